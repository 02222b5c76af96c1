/// @file
/// The HTTP/1.1 connections of one listening address, with bounds on all that clients can make it hold.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "bamboowing/transport/connection_server.h"

namespace bamboowing {

/// One complete request as it was received.
struct received_request {
  std::string method;
  std::string target;                          ///< path and query, not decoded
  std::map<std::string, std::string> headers;  ///< with lower-case names
  std::string body;
};

/// Receives the requests of http_connections. All functions are called from its thread and must not block.
class request_listener {
 public:
  virtual ~request_listener() = default;

  /// Called for each complete request. Requires one Respond(), unless OnCallerDisconnected() is called first.
  virtual void OnRequest(call_id call, received_request request) = 0;

  /// Called when the connection closes before Respond() has been executed. A later response is dropped.
  virtual void OnCallerDisconnected(call_id call) = 0;

  /// The last event of each call: its response has been written, or its connection has closed.
  virtual void OnEnd(call_id call) = 0;
};

/// Serves one numeric address with one thread. Functions are as those of connection_server.
class http_connections {
 public:
  static std::unique_ptr<http_connections> Open(std::string_view address, const connection_limits& limits,
                                                request_listener& listener, failure& error);

  http_connections() = default;
  http_connections(const http_connections&) = delete;
  http_connections& operator=(const http_connections&) = delete;

  /// Closes all connections without further calls of the listener.
  virtual ~http_connections() = default;

  virtual void Serve() = 0;
  virtual void Respond(call_id call, http_response response) = 0;
  virtual void DisableKeepAlive() = 0;
  virtual void StopAccepting() = 0;
  virtual int port() const = 0;
};

}  // namespace bamboowing
