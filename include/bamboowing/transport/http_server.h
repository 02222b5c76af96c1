/// @file
/// An HTTP server with limits on request size, read time and open requests.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "bamboowing/base/error.h"
#include "bamboowing/base/types.h"
#include "bamboowing/transport/http.h"

namespace bamboowing {

/// Resource limits of an http_server. Idle connections are closed after 10 minutes; the other limits are the defaults
/// of connection_limits.
struct http_limits {
  std::size_t max_body_bytes =
      1U << 20U;  ///< larger bodies are rejected with `too_large` before they are read completely
  /// Maximum time to receive a request or to write a response; slower connections are closed within a further eighth of
  /// this time or a second, whichever is less.
  duration read_timeout = std::chrono::seconds(30);
  std::size_t max_open_requests = 4096;         ///< further requests are rejected with `overloaded`
  std::size_t max_connections = 3000;           ///< as connection_limits::max_connections
  std::size_t max_buffered_bytes = 32U << 20U;  ///< as connection_limits::max_buffered_bytes
};

/// Serves HTTP/1.1 on one numeric address. All functions are thread-safe.
class http_server {
 public:
  /// Sends the response to one request. May be called from any thread, also after the handler has returned; only the
  /// first call has an effect. If all copies are destroyed without a call, the caller receives an `internal` error.
  using responder = std::function<void(http_response)>;

  /// Receives one request. Called from the server's thread; must not block.
  using handler = std::function<void(http_request, responder)>;

  /// Listens on @p address ("127.0.0.1:8080"); port 0 picks a free port. Returns null and sets @p error if the address
  /// is malformed or in use.
  static std::unique_ptr<http_server> Open(std::string_view address, handler on_request, const http_limits& limits,
                                           failure& error);

  http_server() = default;
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Calls Close().
  virtual ~http_server() = default;

  /// Rejects new requests with `draining`, waits until every open request has been answered, then stops listening. When
  /// it returns, no handler is running or will be called again. Must not be called from a handler.
  virtual void Close() = 0;

  /// The port that the server listens on, also if Open() picked it.
  virtual int port() const = 0;

  /// The number of requests that have not been answered yet.
  virtual std::size_t open_requests() const = 0;
};

}  // namespace bamboowing
