/// @file
/// HTTP client for the caller API and the operator API of an entry.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "bamboowing/transport/http_client.h"
#include "ctl/output.h"

namespace bamboowing::ctl {

/// An HTTP response with its body parsed as JSON.
struct json_response {
  int status = 0;
  nlohmann::json body;
};

/// Sends requests to one address of an entry.
class api_client {
 public:
  /// @param address "IP:PORT", prefixed to the reason of connection failures
  /// @param authorization value of the Authorization header; empty for the caller API
  /// @param timeout maximum wait for each response
  api_client(std::unique_ptr<http_client> connection, std::string address, std::string authorization, duration timeout)
      : connection_(std::move(connection)),
        address_(std::move(address)),
        authorization_(std::move(authorization)),
        timeout_(timeout) {}

  /// Sends @p request with the client's Authorization header. Returns nullopt and sets @p error if no response arrives.
  std::optional<http_response> Send(http_request request, failure& error);

  /// Sends @p request and returns a response with status 2xx. Returns nullopt and sets @p error if no response arrives,
  /// if the status is not 2xx, or if the body is not JSON.
  std::optional<json_response> Call(http_request request, failure& error);

  /// Converts a response with a status other than 2xx to a failure, from its error body if it has one.
  static failure FailureFromResponse(const http_response& response);

 private:
  std::unique_ptr<http_client> connection_;
  std::string address_;
  std::string authorization_;
  duration timeout_;
};

http_request MakeRequest(std::string method, std::string path, std::string body = {},
                         std::map<std::string, std::string> query = {});

/// Parses a JSON object with `kind`, `reason`, `not_run` and `retry_after_ms`. Returns nullopt if it has no kind.
std::optional<failure> FailureFromJson(const nlohmann::json& body);

}  // namespace bamboowing::ctl
