/// @file
/// An HTTP client that reports whether a request without a response may have reached the server.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "bamboowing/base/error.h"
#include "bamboowing/transport/http.h"

namespace bamboowing {

/// Sends requests to one server over pooled connections. All functions are thread-safe.
///
/// A request other than GET is sent at most once: it is not retried when a reused connection breaks, because the server
/// may have processed it. Idle connections are kept for up to about a minute. If the server closes them earlier,
/// requests can fail with an unknown outcome.
///
/// A request without a response fails with `deadline_exceeded` after its timeout, with `no_target` if no connection
/// could be established, and otherwise with `target_lost`. The error's `ran` is `kYes` if nothing was sent, otherwise
/// `kUnknown`.
class http_client {
 public:
  /// Receives the response, or nullopt and the error. Called once from a thread of the HTTP thread pool; must not
  /// block.
  using callback = std::function<void(std::optional<http_response>, failure)>;

  /// Creates a client for @p address ("127.0.0.1:8080") without connecting. Returns null and sets @p error if the
  /// address is malformed.
  static std::unique_ptr<http_client> Open(std::string_view address, failure& error);

  http_client() = default;
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Callbacks of requests in flight are still called after destruction.
  virtual ~http_client() = default;

  /// Sends @p request and blocks until the response or @p timeout. Returns nullopt and sets @p error on failure. Must
  /// not be called from handlers and callbacks: they run on the pool's threads, which can deadlock waiting for each
  /// other.
  std::optional<http_response> Send(const http_request& request, duration timeout, failure& error);

  /// Sends @p request. After @p timeout the connection is closed and @p done receives the error.
  virtual void SendAsync(const http_request& request, duration timeout, callback done) = 0;
};

}  // namespace bamboowing
