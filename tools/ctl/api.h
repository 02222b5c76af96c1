/// @file
/// Calls to an entry: callers' interface and operators' interface.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "bamboowing/transport/http_client.h"
#include "ctl/output.h"

namespace bamboowing::ctl {

/// An answer whose body is JSON.
struct json_response {
  int status = 0;
  nlohmann::json body;
};

/// Sends calls to one address.
class api_client {
 public:
  /// @param address named in failures
  /// @param authorization value of the Authorization header; empty for callers' calls
  /// @param timeout longest wait for an answer
  api_client(std::unique_ptr<http_client> connection, std::string address, std::string authorization, duration timeout)
      : connection_(std::move(connection)),
        address_(std::move(address)),
        authorization_(std::move(authorization)),
        timeout_(timeout) {}

  /// Sends @p request, which needs no authorization set. Returns nullopt and fills @p why without an answer.
  std::optional<http_response> Send(http_request request, failure& error);

  /// Sends @p request and returns an answer of status 2xx. Any other answer becomes @p why, from its error body.
  std::optional<json_response> Call(http_request request, failure& error);

  /// The failure that an answer other than 2xx describes.
  static failure FailureFromResponse(const http_response& response);

 private:
  std::unique_ptr<http_client> connection_;
  std::string address_;
  std::string authorization_;
  duration timeout_;
};

/// A request with a body and a query.
http_request MakeRequest(std::string method, std::string path, std::string body = {},
                         std::map<std::string, std::string> query = {});

/// The failure in a JSON object with `kind`, `reason`, `not_run` and `retry_after_ms`; nullopt when it has no kind.
std::optional<failure> FailureFromJson(const nlohmann::json& body);

}  // namespace bamboowing::ctl
