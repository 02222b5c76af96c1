#include "bamboowing/transport/http_client.h"

#include <cpprest/http_client.h>
#include <cpprest/producerconsumerstream.h>
#include <pplx/threadpool.h>

#include <chrono>
#include <condition_variable>
#include <mutex>

#include "address.h"

namespace bamboowing {
namespace {

namespace web_client = web::http::client;

// The library's timeout applies to single send and receive operations. Requests have their own timer, so this only has
// to exceed the longest wait of any caller (a job's deadline is at most 10 min).
constexpr std::chrono::seconds kLibraryTimeout{900};

// Each failed attempt removes one closed connection from the pool, whose size is about the highest number of concurrent
// requests.
constexpr int kMaxAttempts = 256;

// Prefix of the library's error message when no connection could be established.
constexpr std::string_view kConnectFailed = "Failed to connect";

using body_buffer = concurrency::streams::producer_consumer_buffer<std::uint8_t>;

// When a reused connection breaks, the library resends a request if it can rewind the body. This type of buffer cannot
// be rewound, which prevents a request that the server may have processed from being sent twice.
void SetNonRewindableBody(web::http::http_request& message, const std::string& body) {
  body_buffer buffer;
  if (!body.empty()) {
    buffer.putn_nocopy(reinterpret_cast<const std::uint8_t*>(body.data()), body.size()).wait();
  }
  buffer.close(std::ios_base::out).wait();
  message.set_body(buffer.create_istream(), body.size(), "application/json");
}

web::http::http_request ToMessage(const http_request& request) {
  web::http::http_request message(request.method);
  web::uri_builder uri;
  uri.set_path(request.path, true);
  for (const std::pair<const std::string, std::string>& item : request.query) {
    uri.append_query(item.first, item.second, true);
  }
  message.set_request_uri(uri.to_uri());
  if (!request.authorization.empty()) {
    message.headers().add(web::http::header_names::authorization, request.authorization);
  }
  for (const std::pair<const std::string, std::string>& header : request.headers) {
    message.headers().add(header.first, header.second);
  }
  if (request.method != "GET") {
    SetNonRewindableBody(message, request.body);
  }
  return message;
}

// The library's pool can return a connection that the library itself has closed. Writing to it fails immediately with
// this code, so nothing was sent.
bool WasClosedInPool(const web::http::http_exception& exception) {
  return exception.error_code() == std::errc::bad_file_descriptor;
}

failure ErrorFromException(const web::http::http_exception& exception) {
  // The library reports host_unreachable for a refused connection, and also for a failed write to a connection that the
  // server has closed. Nothing was sent in either case; only the message distinguishes them.
  const bool unreachable =
      exception.error_code() == std::errc::connection_refused || exception.error_code() == std::errc::host_unreachable;
  const bool connect_failed = unreachable && std::string_view(exception.what()).rfind(kConnectFailed, 0) == 0;
  const bool not_sent = unreachable || WasClosedInPool(exception);
  return {connect_failed ? error_kind::kNoTarget : error_kind::kTargetLost,
          not_sent ? not_run_state::kYes : not_run_state::kUnknown, exception.what()};
}

// One request in flight with its timeout.
class pending_request : public std::enable_shared_from_this<pending_request> {
 public:
  pending_request(std::shared_ptr<web_client::http_client> client, http_request request, http_client::callback done)
      : client_(std::move(client)),
        request_(std::move(request)),
        done_(std::move(done)),
        timer_(crossplat::threadpool::shared_instance().service()) {}

  void Start(duration timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (!error) {
        self->timed_out_ = true;
        self->cancel_.cancel();
      }
    });
    SendAttempt();
  }

 private:
  void SendAttempt() {
    const std::shared_ptr<pending_request> self = shared_from_this();
    client_->request(ToMessage(request_), cancel_.get_token())
        .then([self](const web::http::http_response& answer) {
          self->response_.status = answer.status_code();
          self->response_.content_type = answer.headers().content_type();
          self->ReadRetryAfter(answer);
          return answer.extract_vector();
        })
        .then([self](const pplx::task<std::vector<unsigned char>>& body) { self->HandleBody(body); });
  }

  void ReadRetryAfter(const web::http::http_response& answer) {
    int seconds = 0;
    if (answer.headers().match(web::http::header_names::retry_after, seconds)) {
      response_.retry_after = std::chrono::seconds(seconds);
    }
  }

  void HandleBody(const pplx::task<std::vector<unsigned char>>& body) {
    try {
      const std::vector<unsigned char>& bytes = body.get();
      response_.body.assign(bytes.begin(), bytes.end());
      Finish(std::move(response_), failure());
    } catch (const web::http::http_exception& exception) {
      if (WasClosedInPool(exception) && !timed_out_ && ++attempts_ < kMaxAttempts) {
        SendAttempt();
      } else {
        Finish(std::nullopt, ErrorFromException(exception));
      }
    } catch (const std::exception& exception) {
      Finish(std::nullopt, failure(error_kind::kTargetLost, not_run_state::kUnknown, exception.what()));
    }
  }

  void Finish(std::optional<http_response> answer, failure error) {
    if (!answer && timed_out_) {
      error = failure(error_kind::kDeadlineExceeded, not_run_state::kUnknown, "no response within the request timeout");
    }
    boost::asio::post(timer_.get_executor(), [self = shared_from_this()] { self->timer_.cancel(); });
    done_(std::move(answer), std::move(error));
  }

  const std::shared_ptr<web_client::http_client> client_;
  const http_request request_;
  const http_client::callback done_;
  boost::asio::steady_timer timer_;
  pplx::cancellation_token_source cancel_;
  std::atomic<bool> timed_out_ = false;
  int attempts_ = 0;
  http_response response_;
};

class cpprest_client : public http_client {
 public:
  explicit cpprest_client(const ip_endpoint& endpoint)
      : client_(std::make_shared<web_client::http_client>(HttpUrl(endpoint), Config())) {}

  void SendAsync(const http_request& request, duration timeout, callback done) override {
    std::make_shared<pending_request>(client_, request, std::move(done))->Start(timeout);
  }

 private:
  static web_client::http_client_config Config() {
    web_client::http_client_config config;
    config.set_timeout(kLibraryTimeout);
    return config;
  }

  const std::shared_ptr<web_client::http_client> client_;
};

// Passes a response from a pool thread to the thread that waits for it.
struct response_waiter {
  std::mutex mutex;
  std::condition_variable ready;
  bool done = false;
  std::optional<http_response> response;
  failure error;
};

}  // namespace

std::unique_ptr<http_client> http_client::Open(std::string_view address, failure& error) {
  const std::optional<ip_endpoint> endpoint = ParseRemoteEndpoint(address, error);
  if (!endpoint) {
    return nullptr;
  }
  return std::make_unique<cpprest_client>(*endpoint);
}

std::optional<http_response> http_client::Send(const http_request& request, duration timeout, failure& error) {
  const std::shared_ptr<response_waiter> waiter = std::make_shared<response_waiter>();
  SendAsync(request, timeout, [waiter](std::optional<http_response> response, failure request_error) {
    const std::lock_guard<std::mutex> lock(waiter->mutex);
    waiter->response = std::move(response);
    waiter->error = std::move(request_error);
    waiter->done = true;
    waiter->ready.notify_one();
  });
  std::unique_lock<std::mutex> lock(waiter->mutex);
  waiter->ready.wait(lock, [&waiter] { return waiter->done; });
  error = std::move(waiter->error);
  return std::move(waiter->response);
}

bool SetHttpThreads(int thread_count) {
  try {
    crossplat::threadpool::initialize_with_threads(static_cast<std::size_t>(thread_count));
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace bamboowing
