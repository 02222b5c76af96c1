#include "bamboowing/transport/http_server.h"

#include <cpprest/http_listener.h>
#include <cpprest/uri.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>

#include "address.h"
#include "bamboowing/base/clock.h"
#include "read_timeout_enforcer.h"

namespace bamboowing {
namespace {

namespace web_listener = web::http::experimental::listener;

constexpr std::size_t kReadBytes = 64U << 10U;
constexpr int kPortAttempts = 20;

// Counts open requests and rejects new ones above the limit or while draining.
class request_limiter {
 public:
  explicit request_limiter(std::size_t limit) : limit_(limit) {}

  std::optional<failure> Admit() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++open_count_;
    if (draining_) {
      return failure(error_kind::kDraining, not_run_state::kUnknown, "the process is shutting down");
    }
    if (open_count_ > limit_) {
      // The request has not been read, so it may be a retry of one that has run.
      return failure(error_kind::kOverloaded, not_run_state::kUnknown,
                     "the server has reached its limit of " + std::to_string(limit_) + " open requests");
    }
    return std::nullopt;
  }

  // Records that a request has been received completely and returns the time.
  instant RecordReceived() {
    const instant now = Now();
    const std::lock_guard<std::mutex> lock(mutex_);
    received_times_.insert(now);
    return now;
  }

  bool HasOpenRequestReceivedBetween(instant from, instant to) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::multiset<instant>::const_iterator first = received_times_.lower_bound(from);
    return first != received_times_.end() && *first <= to;
  }

  void Release(std::optional<instant> received_at) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (received_at) {
      received_times_.erase(received_times_.find(*received_at));
    }
    --open_count_;
    if (open_count_ == 0) {
      idle_.notify_all();
    }
  }

  void DrainAndWait() {
    std::unique_lock<std::mutex> lock(mutex_);
    draining_ = true;
    idle_.wait(lock, [this] { return open_count_ == 0; });
  }

  std::size_t open_count() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return open_count_;
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable idle_;
  const std::size_t limit_;
  std::multiset<instant> received_times_;
  std::size_t open_count_ = 0;
  bool draining_ = false;
};

// Keeps a request counted as open until its response is sent and its handler has returned.
class request_permit {
 public:
  explicit request_permit(std::shared_ptr<request_limiter> limiter) : limiter_(std::move(limiter)) {}
  request_permit(const request_permit&) = delete;
  request_permit& operator=(const request_permit&) = delete;
  ~request_permit() { limiter_->Release(received_at_); }

  // Records that the request has been received completely.
  void RecordReceived() { received_at_ = limiter_->RecordReceived(); }

 private:
  const std::shared_ptr<request_limiter> limiter_;
  std::optional<instant> received_at_;
};

web::http::http_response ToMessage(http_response&& response) {
  web::http::http_response message(static_cast<web::http::status_code>(response.status));
  if (response.retry_after) {
    const std::int64_t seconds = std::chrono::ceil<std::chrono::seconds>(*response.retry_after).count();
    message.headers().add(web::http::header_names::retry_after, std::to_string(seconds));
  }
  message.set_body(std::move(response.body), response.content_type);
  return message;
}

// One request from its header to the end of its response.
class open_request {
 public:
  open_request(const web::http::http_request& message, std::shared_ptr<request_permit> permit)
      : message_(message), permit_(std::move(permit)) {}
  open_request(const open_request&) = delete;
  open_request& operator=(const open_request&) = delete;
  ~open_request() { Respond(ErrorResponse(failure(error_kind::kInternal, "the request handler did not respond"))); }

  // Null after the response.
  const std::shared_ptr<request_permit>& permit() const { return permit_; }

  void Respond(http_response&& response) {
    if (responded_.exchange(true)) {
      return;
    }
    // Copies of the responder can keep this object alive long after the response.
    const std::shared_ptr<request_permit> permit = std::move(permit_);
    const pplx::task<void> sent = message_.reply(ToMessage(std::move(response)));
    // The analyzer reports the library's reference counting in task<void>::then as a use after free; AddressSanitizer
    // finds none.
#ifndef __clang_analyzer__
    sent.then([permit](const pplx::task<void>& finished) {
      try {
        finished.get();
      } catch (const std::exception&) {
        // The caller disconnected before the response.
      }
    });
#endif
  }

  // Stops receiving the body. The library sends a response only after the whole body has arrived, so the body is marked
  // complete; closing the buffer makes the library discard further bytes and close the connection.
  void AbortBody(const std::string& reason) {
    const std::exception_ptr error = std::make_exception_ptr(std::runtime_error(reason));
    message_._get_impl()->_complete(0, error);
    message_._get_impl()->outstream().streambuf().close(std::ios_base::out, error);
  }

  const web::http::http_request& message() const { return message_; }
  std::vector<std::uint8_t>& buffer() { return buffer_; }
  std::string& body() { return body_; }

 private:
  web::http::http_request message_;
  std::shared_ptr<request_permit> permit_;
  std::atomic<bool> responded_ = false;
  std::vector<std::uint8_t> buffer_;
  std::string body_;
};

http_request FromMessage(const web::http::http_request& message, std::string&& body) {
  http_request request;
  request.method = message.method();
  request.path = web::uri::decode(message.relative_uri().path());
  for (const std::pair<const std::string, std::string>& item : web::uri::split_query(message.relative_uri().query())) {
    request.query[web::uri::decode(item.first)] = web::uri::decode(item.second);
  }
  message.headers().match(web::http::header_names::authorization, request.authorization);
  request.body = std::move(body);
  return request;
}

// Reads request bodies and calls the handler.
class request_reader : public std::enable_shared_from_this<request_reader> {
 public:
  request_reader(http_server::handler on_request, const http_limits& limits)
      : on_request_(std::move(on_request)),
        limits_(limits),
        limiter_(std::make_shared<request_limiter>(limits.max_open_requests)) {}

  void HandleRequest(const web::http::http_request& message) {
    const std::optional<failure> rejection = limiter_->Admit();
    const std::shared_ptr<open_request> request =
        std::make_shared<open_request>(message, std::make_shared<request_permit>(limiter_));
    if (rejection) {
      request->Respond(ErrorResponse(*rejection));
      return;
    }
    if (message.headers().content_length() > limits_.max_body_bytes) {
      RefuseBody(*request);
      return;
    }
    ReadMore(request);
  }

  request_limiter& limiter() { return *limiter_; }

 private:
  void ReadMore(const std::shared_ptr<open_request>& request) {
    request->buffer().resize(kReadBytes);
    const std::shared_ptr<request_reader> self = shared_from_this();
    request->message()
        .body()
        .streambuf()
        .getn(request->buffer().data(), kReadBytes)
        .then([self, request](const pplx::task<std::size_t>& read) { self->Append(request, read); });
  }

  void Append(const std::shared_ptr<open_request>& request, const pplx::task<std::size_t>& read) {
    std::size_t count = 0;
    try {
      count = read.get();
    } catch (const std::exception&) {
      request->Respond(ErrorResponse(failure(error_kind::kInvalidField, "the request body is incomplete")));
      return;
    }
    request->body().append(reinterpret_cast<const char*>(request->buffer().data()), count);
    if (request->body().size() > limits_.max_body_bytes) {
      RefuseBody(*request);
    } else if (count == request->buffer().size()) {
      ReadMore(request);
    } else {
      CallHandler(request);
    }
  }

  void RefuseBody(open_request& request) const {
    const std::string reason = "the request body exceeds " + std::to_string(limits_.max_body_bytes) + " bytes";
    request.Respond(ErrorResponse(failure(error_kind::kTooLarge, reason)));
    request.AbortBody(reason);
  }

  void CallHandler(const std::shared_ptr<open_request>& request) {
    // Keeps the request counted while the handler runs: its owner may be destroyed once no request is open.
    const std::shared_ptr<request_permit> permit = request->permit();
    permit->RecordReceived();
    std::optional<http_request> request_data;
    try {
      request_data = FromMessage(request->message(), std::move(request->body()));
    } catch (const web::uri_exception&) {
      request->Respond(ErrorResponse(
          failure(error_kind::kInvalidField, not_run_state::kYes, "the request target has a malformed escape")));
      return;
    }
    on_request_(std::move(*request_data), [request](http_response response) { request->Respond(std::move(response)); });
  }

  const http_server::handler on_request_;
  const http_limits limits_;
  const std::shared_ptr<request_limiter> limiter_;
};

class cpprest_server : public http_server {
 public:
  cpprest_server(const ip_endpoint& endpoint, std::shared_ptr<request_reader> reader, duration read_timeout)
      : port_(endpoint.port),
        reader_(std::move(reader)),
        listener_(HttpUrl(endpoint)),
        read_timeout_enforcer_(endpoint.port, read_timeout, [reader = reader_](instant from, instant to) {
          return reader->limiter().HasOpenRequestReceivedBetween(from, to);
        }) {
    listener_.support([reader = reader_](const web::http::http_request& message) { reader->HandleRequest(message); });
    listener_.open().wait();
  }

  ~cpprest_server() override { CloseListener(); }

  void Close() override { CloseListener(); }
  int port() const override { return port_; }
  std::size_t open_requests() const override { return reader_->limiter().open_count(); }

 private:
  void CloseListener() {
    if (closed_.exchange(true)) {
      return;
    }
    reader_->limiter().DrainAndWait();
    listener_.close().wait();
  }

  const int port_;
  const std::shared_ptr<request_reader> reader_;
  web_listener::http_listener listener_;
  read_timeout_enforcer read_timeout_enforcer_;
  std::atomic<bool> closed_ = false;
};

}  // namespace

std::unique_ptr<http_server> http_server::Open(std::string_view address, handler on_request, const http_limits& limits,
                                               failure& error) {
  std::optional<ip_endpoint> endpoint = ParseEndpoint(address, error);
  if (!endpoint) {
    return nullptr;
  }
  const std::shared_ptr<request_reader> reader = std::make_shared<request_reader>(std::move(on_request), limits);
  const bool any_port = endpoint->port == 0;
  // Another process may bind the free port before this listener does.
  for (int attempt = 0; attempt < (any_port ? kPortAttempts : 1); ++attempt) {
    if (any_port) {
      endpoint->port = FindFreePort(endpoint->host);
    }
    try {
      return std::make_unique<cpprest_server>(*endpoint, reader, limits.read_timeout);
    } catch (const std::exception& exception) {
      error = failure(error_kind::kInternal, "cannot listen on " + std::string(address) + ": " + exception.what());
    }
  }
  return nullptr;
}

}  // namespace bamboowing
