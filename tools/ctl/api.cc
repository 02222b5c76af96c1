#include "ctl/api.h"

namespace bamboowing::ctl {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxShownBodyBytes = 200;  // of an unparsable response body, in error messages

/// The error kind for a response without an error body, for example from a load balancer.
error_kind ErrorKindFromStatus(int status) {
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

std::string StringField(const json& body, const char* key) {
  const json::const_iterator found = body.find(key);
  return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

not_run_state ParseNotRun(const std::string& name, error_kind kind) {
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
  const std::string name = StringField(body, "kind");
  if (name.empty()) {
    return std::nullopt;
  }
  const std::optional<error_kind> kind = ErrorKindFromName(name);
  failure error(kind.value_or(error_kind::kInternal), StringField(body, "reason"));
  error.not_run = ParseNotRun(StringField(body, "not_run"), error.kind);
  if (!kind) {
    error.reason = name + ": " + error.reason;
  }
  const json::const_iterator wait = body.find("retry_after_ms");
  if (wait != body.end() && wait->is_number()) {
    error.retry_after = std::chrono::milliseconds(wait->get<std::int64_t>());
  }
  return error;
}

failure api_client::FailureFromResponse(const http_response& response) {
  std::optional<failure> error = FailureFromJson(json::parse(response.body, nullptr, false));
  if (!error) {
    error = failure(ErrorKindFromStatus(response.status), not_run_state::kUnknown,
                    "the server answered with status " + std::to_string(response.status) + ": " +
                        response.body.substr(0, kMaxShownBodyBytes));
  }
  if (!error->retry_after) {
    error->retry_after = response.retry_after;
  }
  return *error;
}

std::optional<http_response> api_client::Send(http_request request, failure& error) {
  request.authorization = authorization_;
  std::optional<http_response> response = connection_->Send(request, timeout_, error);
  if (!response) {
    error.reason = address_ + ": " + error.reason;
  }
  if (!response && request.method == "GET") {
    // A GET has no side effects, so it can be retried even if it reached the server.
    error.not_run = not_run_state::kYes;
  }
  return response;
}

std::optional<json_response> api_client::Call(http_request request, failure& error) {
  const std::optional<http_response> response = Send(std::move(request), error);
  if (!response) {
    return std::nullopt;
  }
  if (response->status < 200 || response->status > 299) {
    error = FailureFromResponse(*response);
    return std::nullopt;
  }
  json_response result{response->status, json::parse(response->body, nullptr, false)};
  if (result.body.is_discarded()) {
    error = failure(error_kind::kInternal,
                    "the server's answer is not JSON: " + response->body.substr(0, kMaxShownBodyBytes));
    return std::nullopt;
  }
  return result;
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
