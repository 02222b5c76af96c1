/// @file
/// HTTP messages independent of the HTTP library's types, and the size of the library's thread pool.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "bamboowing/base/error.h"
#include "bamboowing/base/types.h"

namespace bamboowing {

/// One HTTP request with its complete body, as a server receives it or a client sends it.
struct http_request {
  std::string method;                        ///< "GET", "POST", "PUT" or "DELETE"
  std::string path;                          ///< decoded, starts with '/', without the query
  std::map<std::string, std::string> query;  ///< decoded names and values
  std::string body;                          ///< JSON text, may be empty
  std::string authorization;                 ///< value of the Authorization header; empty if there is none
  /// Additional headers. Clients send them. Of the servers only connection_server fills them in, with lower-case names.
  std::map<std::string, std::string> headers;
};

/// One HTTP response.
struct http_response {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::optional<duration> retry_after;  ///< Retry-After header; sent rounded up to whole seconds
};

/// Returns the response for @p error: the HTTP status of its kind from the error table, and the JSON body
/// `{"kind", "reason", "not_run"}`, with `retry_after_ms` if the error has a retry time.
http_response ErrorResponse(const failure& error);

/// Sets the number of threads shared by all HTTP clients of this process. Each server has one thread of its own.
///
/// Must be called before the first client is opened. Returns false and changes nothing if the thread pool is
/// already running.
bool SetHttpThreads(int thread_count);

}  // namespace bamboowing
