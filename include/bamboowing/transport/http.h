/// @file
/// HTTP messages as plain data, free of the HTTP library's types, and the settings of the library's thread pool.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "bamboowing/base/error.h"
#include "bamboowing/base/types.h"

namespace bamboowing {

/// One HTTP request. A server hands it over complete, a client sends it.
struct http_request {
  std::string method;                        ///< "GET", "POST", "PUT" or "DELETE"
  std::string path;                          ///< decoded, starts with '/', without the query
  std::map<std::string, std::string> query;  ///< decoded names and values
  std::string body;                          ///< JSON text, may be empty
  std::string authorization;                 ///< value of the Authorization header; empty if there is none
  /// Further headers. A client sends them; of the servers only connection_server gives them, with names in lower case.
  std::map<std::string, std::string> headers;
};

/// One HTTP answer.
struct http_response {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::optional<duration> retry_after;  ///< the Retry-After header, rounded up to whole seconds
};

/// Returns the answer for @p why: the status of its kind from the error table, and the body
/// `{"kind", "reason", "not_run"}` with `retry_after_ms` when that is known.
http_response ErrorResponse(const failure& why);

/// Sets the number of threads that serve all HTTP servers and clients of this process.
///
/// Must be called before the first server or client is opened. Returns false when the pool runs already; it then keeps
/// its number of threads.
bool SetHttpThreads(int thread_count);

}  // namespace bamboowing
