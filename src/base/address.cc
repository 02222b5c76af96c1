#include "bamboowing/base/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>

namespace bamboowing {
namespace {

constexpr int kMaxPort = 65535;
constexpr std::size_t kMaxPortDigits = 5;
constexpr std::size_t kMaxQuotedBytes = 64;

std::optional<int> ParsePort(std::string_view digits) {
  int port = 0;
  const std::from_chars_result parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool valid = digits.size() <= kMaxPortDigits && digits.find('-') == std::string_view::npos &&
                     parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size() && port <= kMaxPort;
  return valid ? std::optional<int>(port) : std::nullopt;
}

bool IsHost(const std::string& host) {
  in_addr parsed{};
  // A null byte would hide the rest of the text from inet_pton().
  return host.find('\0') == std::string::npos && inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

failure MalformedAddress(std::string_view text) {
  return {error_kind::kInvalidField,
          "expected an address like 127.0.0.1:8080, found '" + std::string(text.substr(0, kMaxQuotedBytes)) + "'"};
}

}  // namespace

std::optional<ip_endpoint> ParseEndpoint(std::string_view text, failure& error) {
  const std::size_t colon = text.rfind(':');
  if (colon != std::string_view::npos) {
    std::string host(text.substr(0, colon));
    const std::optional<int> port = ParsePort(text.substr(colon + 1));
    if (port && IsHost(host)) {
      return ip_endpoint{std::move(host), *port};
    }
  }
  error = MalformedAddress(text);
  return std::nullopt;
}

std::optional<ip_endpoint> ParseRemoteEndpoint(std::string_view text, failure& error) {
  std::optional<ip_endpoint> endpoint = ParseEndpoint(text, error);
  if (endpoint && endpoint->port == 0) {
    error = MalformedAddress(text);
    return std::nullopt;
  }
  return endpoint;
}

}  // namespace bamboowing
