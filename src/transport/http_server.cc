#include "bamboowing/transport/http_server.h"

#include <cpprest/http_listener.h>
#include <cpprest/uri.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>

#include "address.h"
#include "read_timeout_enforcer.h"

namespace bamboowing {
namespace {

namespace web_listener = web::http::experimental::listener;

constexpr std::size_t kReadBytes = 64U << 10U;
constexpr int kPortAttempts = 20;

// Counts the requests without an answer and refuses more than the limit.
class request_gate {
 public:
  explicit request_gate(std::size_t limit) : limit_(limit) {}

  std::optional<failure> Enter() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++open_;
    if (draining_) {
      return failure(error_kind::kDraining, not_run::kUnknown, "the process is shutting down");
    }
    if (open_ > limit_) {
      // The request is not read, so it may be a second copy of one that ran.
      return failure(error_kind::kOverloaded, not_run::kUnknown,
                     "more than " + std::to_string(limit_) + " requests are open");
    }
    return std::nullopt;
  }

  // Notes that a request has arrived completely.
  instant Begin() {
    const instant now = std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
    const std::lock_guard<std::mutex> lock(mutex_);
    begun_.insert(now);
    return now;
  }

  bool BeganBetween(instant from, instant to) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::multiset<instant>::const_iterator first = begun_.lower_bound(from);
    return first != begun_.end() && *first <= to;
  }

  void Leave(std::optional<instant> begun) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (begun) {
      begun_.erase(begun_.find(*begun));
    }
    --open_;
    if (open_ == 0) {
      idle_.notify_all();
    }
  }

  void DrainAndWait() {
    std::unique_lock<std::mutex> lock(mutex_);
    draining_ = true;
    idle_.wait(lock, [this] { return open_ == 0; });
  }

  std::size_t open() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return open_;
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable idle_;
  const std::size_t limit_;
  std::multiset<instant> begun_;
  std::size_t open_ = 0;
  bool draining_ = false;
};

// Keeps a request counted while its answer is being made or its handler runs.
class gate_pass {
 public:
  explicit gate_pass(std::shared_ptr<request_gate> gate) : gate_(std::move(gate)) {}
  gate_pass(const gate_pass&) = delete;
  gate_pass& operator=(const gate_pass&) = delete;
  ~gate_pass() { gate_->Leave(begun_); }

  // Says that the request has arrived completely.
  void Begin() { begun_ = gate_->Begin(); }

 private:
  const std::shared_ptr<request_gate> gate_;
  std::optional<instant> begun_;
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

// One request from its header to the end of its answer.
class open_request {
 public:
  open_request(const web::http::http_request& message, std::shared_ptr<gate_pass> pass)
      : message_(message), pass_(std::move(pass)) {}
  open_request(const open_request&) = delete;
  open_request& operator=(const open_request&) = delete;
  ~open_request() { Answer(ErrorResponse(failure(error_kind::kInternal, "the request was dropped"))); }

  // Valid until the answer.
  const std::shared_ptr<gate_pass>& pass() const { return pass_; }

  void Answer(http_response&& response) {
    if (answered_.exchange(true)) {
      return;
    }
    // Others may keep this object for long after its answer.
    const std::shared_ptr<gate_pass> pass = std::move(pass_);
    const pplx::task<void> sent = message_.reply(ToMessage(std::move(response)));
    // The analyzer takes the library's reference counting in task<void>::then for a use after free; a run with
    // AddressSanitizer shows none.
#ifndef __clang_analyzer__
    sent.then([pass](const pplx::task<void>& finished) {
      try {
        finished.get();
      } catch (const std::exception&) {
        // The caller left before its answer; there is nobody to tell.
      }
    });
#endif
  }

  // Ends the reception of the body. The library sends an answer only after the whole body has arrived, so the body is
  // declared complete; closing the buffer makes the library drop what still arrives and close the connection.
  void StopBody(const std::string& reason) {
    const std::exception_ptr error = std::make_exception_ptr(std::runtime_error(reason));
    message_._get_impl()->_complete(0, error);
    message_._get_impl()->outstream().streambuf().close(std::ios_base::out, error);
  }

  const web::http::http_request& message() const { return message_; }
  std::vector<std::uint8_t>& buffer() { return buffer_; }
  std::string& body() { return body_; }

 private:
  web::http::http_request message_;
  std::shared_ptr<gate_pass> pass_;
  std::atomic<bool> answered_ = false;
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

// Reads bodies and calls the handler.
class request_reader : public std::enable_shared_from_this<request_reader> {
 public:
  request_reader(http_server::handler handle, const http_limits& limits)
      : handle_(std::move(handle)), limits_(limits), gate_(std::make_shared<request_gate>(limits.open_requests)) {}

  void Take(const web::http::http_request& message) {
    const std::optional<failure> refused = gate_->Enter();
    const std::shared_ptr<open_request> request =
        std::make_shared<open_request>(message, std::make_shared<gate_pass>(gate_));
    if (refused) {
      request->Answer(ErrorResponse(*refused));
      return;
    }
    if (message.headers().content_length() > limits_.body_bytes) {
      RefuseBody(*request);
      return;
    }
    ReadMore(request);
  }

  request_gate& gate() { return *gate_; }

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
      request->Answer(ErrorResponse(failure(error_kind::kInvalidField, "the body ended early")));
      return;
    }
    request->body().append(reinterpret_cast<const char*>(request->buffer().data()), count);
    if (request->body().size() > limits_.body_bytes) {
      RefuseBody(*request);
    } else if (count == request->buffer().size()) {
      ReadMore(request);
    } else {
      Handle(request);
    }
  }

  void RefuseBody(open_request& request) const {
    const std::string reason = "the body exceeds " + std::to_string(limits_.body_bytes) + " bytes";
    request.Answer(ErrorResponse(failure(error_kind::kTooLarge, reason)));
    request.StopBody(reason);
  }

  void Handle(const std::shared_ptr<open_request>& request) {
    // The owner of the handler may be destroyed once no request is counted.
    const std::shared_ptr<gate_pass> pass = request->pass();
    pass->Begin();
    http_request plain = FromMessage(request->message(), std::move(request->body()));
    handle_(std::move(plain), [request](http_response response) { request->Answer(std::move(response)); });
  }

  const http_server::handler handle_;
  const http_limits limits_;
  const std::shared_ptr<request_gate> gate_;
};

class cpprest_server : public http_server {
 public:
  cpprest_server(const ip_endpoint& endpoint, std::shared_ptr<request_reader> reader, duration send_time)
      : port_(endpoint.port),
        reader_(std::move(reader)),
        listener_(HttpUrl(endpoint)),
        guard_(endpoint.port, send_time,
               [reader = reader_](instant from, instant to) { return reader->gate().BeganBetween(from, to); }) {
    listener_.support([reader = reader_](const web::http::http_request& message) { reader->Take(message); });
    listener_.open().wait();
  }

  ~cpprest_server() override { CloseListener(); }

  void Close() override { CloseListener(); }
  int port() const override { return port_; }
  std::size_t open_requests() const override { return reader_->gate().open(); }

 private:
  void CloseListener() {
    if (closed_.exchange(true)) {
      return;
    }
    reader_->gate().DrainAndWait();
    listener_.close().wait();
  }

  const int port_;
  const std::shared_ptr<request_reader> reader_;
  web_listener::http_listener listener_;
  connection_guard guard_;
  std::atomic<bool> closed_ = false;
};

}  // namespace

std::unique_ptr<http_server> http_server::Open(std::string_view address, handler handle, const http_limits& limits,
                                               failure& why) {
  std::optional<ip_endpoint> endpoint = ParseEndpoint(address, why);
  if (!endpoint) {
    return nullptr;
  }
  const std::shared_ptr<request_reader> reader = std::make_shared<request_reader>(std::move(handle), limits);
  const bool any_port = endpoint->port == 0;
  // Another process can take the free port before the listener binds it.
  for (int attempt = 0; attempt < (any_port ? kPortAttempts : 1); ++attempt) {
    if (any_port) {
      endpoint->port = FreePort(endpoint->host);
    }
    try {
      return std::make_unique<cpprest_server>(*endpoint, reader, limits.send_time);
    } catch (const std::exception& error) {
      why = failure(error_kind::kInternal, "cannot listen on " + std::string(address) + ": " + error.what());
    }
  }
  return nullptr;
}

}  // namespace bamboowing
