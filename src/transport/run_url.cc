#include "run_url.h"

#include "address.h"

namespace bamboowing {

std::optional<run_url> ParseRunUrl(std::string_view text, failure& error) {
  constexpr std::string_view kScheme = "http://";
  const std::size_t slash = text.find('/', kScheme.size());
  if (text.substr(0, kScheme.size()) != kScheme || slash == std::string_view::npos) {
    error = failure(error_kind::kInvalidField, "expected a URL like http://127.0.0.1:9000/run");
    return std::nullopt;
  }
  run_url url{std::string(text.substr(kScheme.size(), slash - kScheme.size())), std::string(text.substr(slash))};
  if (!ParseRemoteEndpoint(url.address, error)) {
    return std::nullopt;
  }
  return url;
}

}  // namespace bamboowing
