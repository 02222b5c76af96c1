/// @file
/// An HTTP server with bounded requests.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "bamboowing/base/error.h"
#include "bamboowing/transport/http.h"

namespace bamboowing {

/// Bounds on what callers may ask of a server.
struct http_limits {
  std::size_t max_body_bytes = 1U << 20U;  ///< a larger body is answered with `too_large` before it is read completely
  /// A connection that takes longer to send a request is cut off, within a further eighth of this time. A connection
  /// that stopped in the middle of a request is kept while a request that began at about the same time is still open.
  duration read_timeout = std::chrono::seconds(30);  ///< a connection that takes longer to send a request is cut off
  std::size_t max_open_requests = 4096;              ///< further requests are answered with `overloaded`
};

/// Serves HTTP/1.1 on one numeric address. All functions are safe for use from several threads.
class http_server {
 public:
  /// Gives the answer to one request. May be called from any thread, later than the handler's return; only the first
  /// call counts. When every copy is destroyed without a call, the caller gets the answer `internal`.
  using responder = std::function<void(http_response)>;

  /// Receives one request. Called from the pool's threads, several at a time; must not block.
  using handler = std::function<void(http_request, responder)>;

  /// Listens on @p address ("127.0.0.1:8080"). Returns null and fills @p why when the address is malformed or in use.
  /// Port 0 picks a free port.
  static std::unique_ptr<http_server> Open(std::string_view address, handler on_request, const http_limits& limits,
                                           failure& why);

  http_server() = default;
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Closes the server as Close() does.
  virtual ~http_server() = default;

  /// Answers new requests with `draining`, waits until every open request has its answer, then stops listening. Must
  /// not be called from a handler. Returns when no handler runs and none will be called again.
  virtual void Close() = 0;

  /// The port that the server listens on.
  virtual int port() const = 0;

  /// Requests that have no answer yet.
  virtual std::size_t open_requests() const = 0;
};

}  // namespace bamboowing
