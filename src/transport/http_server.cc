#include "bamboowing/transport/http_server.h"

#include <cpprest/uri.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>

#include "http_connections.h"

namespace bamboowing {
namespace {

// Clients keep connections for reuse and take a closed one for a failed call, so idle connections stay open for long.
constexpr std::chrono::minutes kIdleTimeout{10};

// Decodes the target and takes over the rest. Throws web::uri_exception if the target is malformed.
http_request FromReceived(received_request&& received) {
  const web::uri target(received.target);
  http_request request;
  request.method = std::move(received.method);
  request.path = web::uri::decode(target.path());
  for (const std::pair<const std::string, std::string>& item : web::uri::split_query(target.query())) {
    request.query[web::uri::decode(item.first)] = web::uri::decode(item.second);
  }
  request.authorization = std::move(received.headers["authorization"]);
  request.body = std::move(received.body);
  return request;
}

// Counts open requests, rejects new ones above the limit or while draining, and passes responses to the connections
// until the server closes. Kept alive by responders.
class request_tracker {
 public:
  explicit request_tracker(std::size_t limit) : limit_(limit) {}

  void Attach(http_connections& connections) {
    const std::lock_guard<std::mutex> lock(mutex_);
    connections_ = &connections;
  }

  // Counts a request. Returns the reason if it must be rejected.
  std::optional<failure> Admit(call_id call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.emplace(call, open_request());
    // The server does not know whether the request is a retry of one that has run.
    if (draining_) {
      return failure(error_kind::kDraining, not_run_state::kUnknown, "the process is shutting down");
    }
    if (open_.size() > limit_) {
      return failure(error_kind::kOverloaded, not_run_state::kUnknown,
                     "the server has reached its limit of " + std::to_string(limit_) + " open requests");
    }
    return std::nullopt;
  }

  void Respond(call_id call, http_response&& response) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (connections_ != nullptr) {
      connections_->Respond(call, std::move(response));
    }
    SetFlag(call, &open_request::responded);
  }

  void RecordHandlerReturn(call_id call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    SetFlag(call, &open_request::handler_returned);
  }

  void RecordEnd(call_id call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    SetFlag(call, &open_request::ended);
  }

  // Rejects new requests and waits until none is open. Afterwards responses are dropped.
  void DrainAndWait() {
    std::unique_lock<std::mutex> lock(mutex_);
    draining_ = true;
    idle_.wait(lock, [this] { return open_.empty(); });
    connections_ = nullptr;
  }

  std::size_t open_count() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return open_.size();
  }

 private:
  // A request is open until all of these are true.
  struct open_request {
    bool responded = false;
    bool handler_returned = false;  // its owner may be destroyed once no request is open
    bool ended = false;             // the response was written or the caller has disconnected
  };

  void SetFlag(call_id call, bool open_request::*flag) {
    const std::map<call_id, open_request>::iterator found = open_.find(call);
    if (found == open_.end()) {
      return;
    }
    open_request& request = found->second;
    request.*flag = true;
    if (request.responded && request.handler_returned && request.ended) {
      open_.erase(found);
    }
    if (open_.empty()) {
      idle_.notify_all();
    }
  }

  mutable std::mutex mutex_;
  std::condition_variable idle_;
  const std::size_t limit_;
  http_connections* connections_ = nullptr;  // null after the last request
  std::map<call_id, open_request> open_;
  bool draining_ = false;
};

// The response to one request, which is sent once.
class pending_response {
 public:
  pending_response(call_id call, std::shared_ptr<request_tracker> tracker)
      : call_(call), tracker_(std::move(tracker)) {}
  pending_response(const pending_response&) = delete;
  pending_response& operator=(const pending_response&) = delete;
  ~pending_response() { Send(ErrorResponse(failure(error_kind::kInternal, "the request handler did not respond"))); }

  void Send(http_response&& response) {
    if (!sent_.exchange(true)) {
      tracker_->Respond(call_, std::move(response));
    }
  }

 private:
  const call_id call_;
  const std::shared_ptr<request_tracker> tracker_;
  std::atomic<bool> sent_ = false;
};

connection_limits ToConnectionLimits(const http_limits& limits) {
  connection_limits result;
  result.max_connections = limits.max_connections;
  result.max_body_bytes = limits.max_body_bytes;
  result.max_buffered_bytes = limits.max_buffered_bytes;
  result.receive_timeout = limits.read_timeout;
  result.idle_timeout = kIdleTimeout;
  return result;
}

class beast_http_server final : public http_server, private request_listener {
 public:
  beast_http_server(handler on_request, const http_limits& limits)
      : on_request_(std::move(on_request)), tracker_(std::make_shared<request_tracker>(limits.max_open_requests)) {}

  beast_http_server(const beast_http_server&) = delete;
  beast_http_server& operator=(const beast_http_server&) = delete;
  ~beast_http_server() override { CloseConnections(); }

  bool Open(std::string_view address, const http_limits& limits, failure& error) {
    connections_ = http_connections::Open(address, ToConnectionLimits(limits), *this, error);
    if (!connections_) {
      return false;
    }
    port_ = connections_->port();
    tracker_->Attach(*connections_);
    connections_->Serve();
    return true;
  }

  void Close() override { CloseConnections(); }
  int port() const override { return port_; }
  std::size_t open_requests() const override { return tracker_->open_count(); }

 private:
  void CloseConnections() {
    if (closed_.exchange(true)) {
      return;
    }
    tracker_->DrainAndWait();
    connections_.reset();
  }

  void OnRequest(call_id call, received_request received) override {
    const std::shared_ptr<pending_response> pending = std::make_shared<pending_response>(call, tracker_);
    Handle(tracker_->Admit(call), std::move(received), pending);
    tracker_->RecordHandlerReturn(call);
  }

  void Handle(const std::optional<failure>& rejection, received_request&& received,
              const std::shared_ptr<pending_response>& pending) {
    if (rejection) {
      pending->Send(ErrorResponse(*rejection));
      return;
    }
    std::optional<http_request> request;
    try {
      request = FromReceived(std::move(received));
    } catch (const web::uri_exception&) {
      pending->Send(ErrorResponse(
          failure(error_kind::kInvalidField, not_run_state::kYes, "the request target has a malformed escape")));
      return;
    }
    on_request_(std::move(*request), [pending](http_response response) { pending->Send(std::move(response)); });
  }

  void OnCallerDisconnected(call_id /*call*/) override {}
  void OnEnd(call_id call) override { tracker_->RecordEnd(call); }

  const handler on_request_;
  const std::shared_ptr<request_tracker> tracker_;
  std::unique_ptr<http_connections> connections_;
  int port_ = 0;
  std::atomic<bool> closed_ = false;
};

}  // namespace

std::unique_ptr<http_server> http_server::Open(std::string_view address, handler on_request, const http_limits& limits,
                                               failure& error) {
  std::unique_ptr<beast_http_server> server = std::make_unique<beast_http_server>(std::move(on_request), limits);
  if (!server->Open(address, limits, error)) {
    return nullptr;
  }
  return server;
}

}  // namespace bamboowing
