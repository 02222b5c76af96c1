/// @file
/// An HTTP client that says what is certain about a request that got no answer.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "bamboowing/base/error.h"
#include "bamboowing/transport/http.h"

namespace bamboowing {

/// Sends requests to one server and reuses its connections. All functions are safe for use from several threads.
///
/// A request other than GET is sent at most once: when a reused connection breaks it is not repeated, because the
/// server may have acted on it. Connections stay open for reuse for up to about a minute; a server that closes idle
/// connections earlier causes failures whose outcome is unknown.
///
/// A request without an answer fails with `deadline_exceeded` after its time-out, with `no_target` when no connection
/// could be made, otherwise with `target_lost`. `ran` is `kYes` when certainly nothing was sent; otherwise it is
/// `kUnknown`.
class http_client {
 public:
  /// Receives the answer, or nullopt and the reason. Called once, from one of the pool's threads; must not block.
  using callback = std::function<void(std::optional<http_response>, failure)>;

  /// Makes a client for @p address ("127.0.0.1:8080"). Opens no connection yet. Returns null and fills @p why when the
  /// address is malformed.
  static std::unique_ptr<http_client> Open(std::string_view address, failure& error);

  http_client() = default;
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Requests in flight still get their callbacks after the destruction.
  virtual ~http_client() = default;

  /// Sends @p request and waits for the answer for at most @p timeout. Must not be called from the pool's threads
  /// (handlers and callbacks), which would then wait for each other.
  std::optional<http_response> Send(const http_request& request, duration timeout, failure& error);

  /// Sends @p request. After @p timeout the connection is dropped and @p done receives the failure.
  virtual void SendAsync(const http_request& request, duration timeout, callback done) = 0;
};

}  // namespace bamboowing
