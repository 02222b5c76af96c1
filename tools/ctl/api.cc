#include "ctl/api.h"

namespace bamboowing::ctl {
namespace {

using nlohmann::json;

constexpr std::size_t kShownBytes = 200;  // of an answer that is not an error body

/// The kind for an answer without an error body, for example from a load balancer.
error_kind KindOfStatus(int status) {
  switch (status) {
    case 400:
      return error_kind::kInvalidField;
    case 401:
    case 403:
      return error_kind::kUnauthorized;
    case 404:
      return error_kind::kNotFound;
    case 409:
      return error_kind::kConflict;
    default:
      return error_kind::kInternal;
  }
}

std::string TextOf(const json& body, const char* key) {
  const json::const_iterator found = body.find(key);
  return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

not_run_state RanOf(const std::string& name, error_kind kind) {
  for (const not_run_state value : {not_run_state::kYes, not_run_state::kNo, not_run_state::kUnknown}) {
    if (NotRunName(value) == name) {
      return value;
    }
  }
  return name.empty() ? ErrorRow(kind).not_run : not_run_state::kUnknown;
}

}  // namespace

std::optional<failure> FailureFromJson(const json& body) {
  if (!body.is_object()) {
    return std::nullopt;
  }
  const std::string name = TextOf(body, "kind");
  if (name.empty()) {
    return std::nullopt;
  }
  const std::optional<error_kind> kind = ErrorKindFromName(name);
  failure why(kind.value_or(error_kind::kInternal), TextOf(body, "reason"));
  why.not_run = RanOf(TextOf(body, "not_run"), why.kind);
  if (!kind) {
    why.reason = name + ": " + why.reason;
  }
  const json::const_iterator wait = body.find("retry_after_ms");
  if (wait != body.end() && wait->is_number()) {
    why.retry_after = std::chrono::milliseconds(wait->get<std::int64_t>());
  }
  return why;
}

failure api_client::FailureOf(const http_response& response) {
  std::optional<failure> why = FailureFromJson(json::parse(response.body, nullptr, false));
  if (!why) {
    why = failure(KindOfStatus(response.status), not_run_state::kUnknown,
                  "the server answered with status " + std::to_string(response.status) + ": " +
                      response.body.substr(0, kShownBytes));
  }
  if (!why->retry_after) {
    why->retry_after = response.retry_after;
  }
  return *why;
}

std::optional<http_response> api_client::Send(http_request request, failure& why) {
  request.authorization = authorization_;
  std::optional<http_response> response = connection_->Send(request, timeout_, why);
  if (!response) {
    why.reason = address_ + ": " + why.reason;
  }
  if (!response && request.method == "GET") {
    // A read changes nothing, so it may be repeated even when it reached the server.
    why.not_run = not_run_state::kYes;
  }
  return response;
}

std::optional<json_answer> api_client::Call(http_request request, failure& why) {
  const std::optional<http_response> response = Send(std::move(request), why);
  if (!response) {
    return std::nullopt;
  }
  if (response->status < 200 || response->status > 299) {
    why = FailureOf(*response);
    return std::nullopt;
  }
  json_answer answer{response->status, json::parse(response->body, nullptr, false)};
  if (answer.body.is_discarded()) {
    why = failure(error_kind::kInternal, "the server's answer is not JSON: " + response->body.substr(0, kShownBytes));
    return std::nullopt;
  }
  return answer;
}

http_request MakeRequest(std::string method, std::string path, std::string body,
                         std::map<std::string, std::string> query) {
  http_request request;
  request.method = std::move(method);
  request.path = std::move(path);
  request.body = std::move(body);
  request.query = std::move(query);
  return request;
}

}  // namespace bamboowing::ctl
