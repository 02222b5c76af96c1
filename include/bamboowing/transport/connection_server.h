/// @file
/// An HTTP server that reports callers that disconnect before the response.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "bamboowing/base/error.h"
#include "bamboowing/base/types.h"
#include "bamboowing/transport/http.h"

namespace bamboowing {

/// Receives requests from a connection_server. All functions are called from the server's thread and must not block.
class connection_listener {
 public:
  virtual ~connection_listener() = default;

  /// Called for each complete request. Requires exactly one Respond(), at any time and from any thread, unless
  /// OnCallerDisconnected() is called first.
  virtual void OnRequest(call_id call, http_request request) = 0;

  /// Called when the connection closes before the response. A later response is dropped.
  virtual void OnCallerDisconnected(call_id call) = 0;
};

/// Bounds on all that clients can make a server hold. Well-behaved clients reach none of the defaults.
struct connection_limits {
  /// At this limit, the connection that has been without a complete request for longest is closed for a new one.
  std::size_t max_connections = 3000;
  std::size_t max_header_bytes = 16U << 10U;   ///< of a request
  std::size_t max_trailer_bytes = 16U << 10U;  ///< of the trailers, and of each chunk size line with its extension
  std::size_t max_body_bytes = 256U << 10U;    ///< of a request
  /// Of all requests that have been received, also in part, and not answered, and of responses that are not written.
  /// At this limit, connections with an incomplete request are closed, first the one without a complete request or
  /// response for longest; then requests are refused with `overloaded`.
  std::size_t max_buffered_bytes = 32U << 20U;
  /// Time to receive one request or to write one response; slower connections are closed within a further eighth of it
  /// or a second, whichever is less.
  duration receive_timeout{30'000'000};
  duration idle_timeout{60'000'000};  ///< connections without an open request are closed after this time
};

/// Serves HTTP/1.1 on one numeric address with one thread.
class connection_server {
 public:
  /// Binds @p address ("127.0.0.1:8080"); port 0 picks a free port. Returns null and sets @p error on failure.
  /// Nothing is read before Serve(). @p listener must outlive the server.
  static std::unique_ptr<connection_server> Open(std::string_view address, const connection_limits& limits,
                                                 connection_listener& listener, failure& error);

  connection_server() = default;
  connection_server(const connection_server&) = delete;
  connection_server& operator=(const connection_server&) = delete;

  /// Closes all connections.
  virtual ~connection_server() = default;

  /// Starts the server's thread. Must be called at most once.
  virtual void Serve() = 0;

  /// Sends the response to a call. Does nothing if the call was answered already or its caller has disconnected.
  virtual void Respond(call_id call, http_response response) = 0;

  /// Closes each connection after its next response, so that callers reconnect to other entries.
  virtual void DisableKeepAlive() = 0;

  /// Closes the listening socket. Established connections stay open.
  virtual void StopAccepting() = 0;

  virtual int port() const = 0;
};

}  // namespace bamboowing
