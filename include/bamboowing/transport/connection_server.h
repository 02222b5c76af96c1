/// @file
/// An HTTP server that tells when a caller has left before its answer.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "bamboowing/base/error.h"
#include "bamboowing/base/types.h"
#include "bamboowing/transport/http.h"

namespace bamboowing {

/// Receives the calls of a connection_server. The functions are called from its thread and must not block.
class connection_listener {
 public:
  virtual ~connection_listener() = default;

  /// A complete request. Must lead to one Answer(), at any time and from any thread, unless the caller leaves.
  virtual void OnRequest(call_id call, http_request request) = 0;

  /// The connection ended before the answer; an answer would be dropped.
  virtual void OnCallerDisconnected(call_id call) = 0;
};

/// Bounds on connections and requests.
struct connection_limits {
  std::size_t max_connections = 3000;
  std::size_t max_header_bytes = 16U << 10U;
  std::size_t max_body_bytes = 256U << 10U;
  duration idle_timeout{60'000'000};  ///< a connection without an open request is closed after this time
};

/// Serves HTTP/1.1 on one numeric address with one thread. cpprestsdk's listener, which serves everything else,
/// does not report the end of a connection, so this one is built on Boost.Beast.
class connection_server {
 public:
  /// Binds @p address ("127.0.0.1:8080"); port 0 picks a free port. Returns null and fills @p why when that fails.
  /// Nothing is read before Serve(). @p listener must live longer than the server.
  static std::unique_ptr<connection_server> Open(std::string_view address, const connection_limits& limits,
                                                 connection_listener& listener, failure& error);

  connection_server() = default;
  connection_server(const connection_server&) = delete;
  connection_server& operator=(const connection_server&) = delete;

  /// Closes all connections.
  virtual ~connection_server() = default;

  /// Starts the thread that serves connections. Call once.
  virtual void Serve() = 0;

  /// Answers a call. Does nothing for a call that is over.
  virtual void Respond(call_id call, http_response response) = 0;

  /// Closes each connection after its next answer, so that callers move to other entries.
  virtual void DisableKeepAlive() = 0;

  /// Accepts no further connections.
  virtual void StopAccepting() = 0;

  virtual int port() const = 0;
};

}  // namespace bamboowing
