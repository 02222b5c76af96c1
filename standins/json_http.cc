#include "standins/json_http.h"

#include <charconv>

namespace bamboowing::standin {

http_response JsonResponse(int status, const nlohmann::json& body) {
  http_response response;
  response.status = status;
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

nlohmann::json ParseJsonBody(const http_request& request) {
  nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
  return body.is_object() ? body : nlohmann::json::object();
}

std::uint64_t QueryNumber(const http_request& request, const std::string& name, std::uint64_t default_value) {
  const std::string text = QueryText(request, name);
  std::uint64_t value = 0;
  const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  return !text.empty() && parsed.ec == std::errc() ? value : default_value;
}

std::string QueryText(const http_request& request, const std::string& name) {
  const std::map<std::string, std::string>::const_iterator found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

}  // namespace bamboowing::standin
