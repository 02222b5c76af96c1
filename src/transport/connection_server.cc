#include "bamboowing/transport/connection_server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include "address.h"

namespace bamboowing {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::chrono::seconds kIdleCheckInterval{5};
constexpr int kTooLarge = 413;
constexpr int kBadRequest = 400;
// Pipelined requests of one connection that are delivered before the first of them is answered.
constexpr std::size_t kMaxPipelinedCalls = 8;

std::string ToLower(std::string_view text) {
  std::string lower(text);
  for (char& letter : lower) {
    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return lower;
}

http_request FromMessage(http::request<http::string_body>&& message) {
  http_request request;
  request.method = std::string(message.method_string());
  const std::string target(message.target());
  request.path = target.substr(0, target.find('?'));
  for (const http::fields::value_type& field : message) {
    request.headers[ToLower(std::string(field.name_string()))] = std::string(field.value());
  }
  request.body = std::move(message.body());
  return request;
}

http::response<http::string_body> ToMessage(http_response&& response, bool keep_alive) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(response.status));
  message.set(http::field::content_type, response.content_type);
  if (response.retry_after) {
    const std::int64_t seconds = std::chrono::ceil<std::chrono::seconds>(*response.retry_after).count();
    message.set(http::field::retry_after, std::to_string(seconds));
  }
  message.keep_alive(keep_alive);
  message.body() = std::move(response.body);
  message.prepare_payload();
  return message;
}

class connection;

/// State shared by all connections. Used only on the server's thread.
struct server_state {
  server_state(connection_listener& server_listener, const connection_limits& server_limits)
      : listener(server_listener), limits(server_limits) {}
  connection_listener& listener;
  const connection_limits limits;
  std::set<std::shared_ptr<connection>> connections;
  std::map<call_id, std::weak_ptr<connection>> calls;
  call_id last_call = 0;
  bool keep_alive_disabled = false;  ///< connections close after their next response
};

/// Serves the requests of one connection and answers them in order. A request is delivered when it arrives, so that a
/// cancel takes effect before the response to its job. Only a POST waits for all responses before its own, as it may be
/// a copy of an open one. Reading goes on while a response is due, so that a disconnect is detected.
class connection : public std::enable_shared_from_this<connection> {
 public:
  connection(tcp::socket socket, server_state& state) : socket_(std::move(socket)), state_(state) {}

  void Start() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    RecordActivity();
    Read();
  }

  void Respond(call_id call, http_response&& response) {
    const std::deque<open_call>::iterator answered =
        std::find_if(calls_.begin(), calls_.end(), [call](const open_call& open) { return open.id == call; });
    if (answered != calls_.end() && !answered->response) {
      answered->response = std::move(response);
      WriteNext();
    }
  }

  void Close() {
    if (std::exchange(closed_, true)) {
      return;
    }
    const std::shared_ptr<connection> self = shared_from_this();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    for (const open_call& open : calls_) {
      if (state_.calls.erase(open.id) > 0) {
        state_.listener.OnCallerDisconnected(open.id);
      }
    }
    state_.connections.erase(self);
  }

  bool idle() const { return calls_.empty(); }
  std::chrono::steady_clock::time_point last_activity() const { return last_activity_; }

 private:
  /// A request whose response has not been written.
  struct open_call {
    call_id id = 0;  ///< 0 if the request was refused here
    bool keep_alive = false;
    std::optional<http_response> response;
  };

  void RecordActivity() { last_activity_ = std::chrono::steady_clock::now(); }

  void Read() {
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(state_.limits.max_header_bytes));
    parser_->body_limit(state_.limits.max_body_bytes);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](const error_code& error, std::size_t) { self->OnRead(error); });
  }

  void OnRead(const error_code& error) {
    if (closed_) {
      return;
    }
    if (error == http::error::body_limit || error == http::error::header_limit) {
      Refuse(kTooLarge, error_kind::kTooLarge, error.message());
      return;
    }
    if (error.category() == http::make_error_code(http::error::bad_method).category() &&
        error != http::error::end_of_stream && error != http::error::partial_message) {
      Refuse(kBadRequest, error_kind::kInvalidField, error.message());
      return;
    }
    if (error) {
      Close();
      return;
    }
    next_request_ = parser_->release();
    DeliverNext();
  }

  void Refuse(int status, error_kind kind, const std::string& reason) {
    if (!calls_.empty()) {
      Close();
      return;
    }
    http_response response = ErrorResponse(failure(kind, not_run_state::kYes, reason));
    response.status = status;
    calls_.push_back({0, false, std::move(response)});
    WriteNext();
  }

  /// Whether the request that was read last is held back by those before it.
  bool MustWait() const {
    const bool follows_last = !calls_.empty() && !calls_.back().keep_alive;
    const bool is_post = next_request_->method() == http::verb::post;
    return follows_last || (is_post && !calls_.empty()) || calls_.size() >= kMaxPipelinedCalls;
  }

  void DeliverNext() {
    if (!next_request_ || MustWait()) {
      return;
    }
    RecordActivity();
    const call_id call = ++state_.last_call;
    calls_.push_back({call, next_request_->keep_alive(), std::nullopt});
    state_.calls.emplace(call, weak_from_this());
    http_request request = FromMessage(std::move(*next_request_));
    next_request_.reset();
    Read();
    state_.listener.OnRequest(call, std::move(request));
  }

  /// Writes the response to the oldest open request, if there is one and none is being written.
  void WriteNext() {
    if (closed_ || writing_ || calls_.empty() || !calls_.front().response) {
      return;
    }
    // Requests that have been delivered are answered before the connection closes.
    const bool keep_alive = calls_.front().keep_alive && (!state_.keep_alive_disabled || calls_.size() > 1);
    response_ = ToMessage(std::move(*calls_.front().response), keep_alive);
    writing_ = true;
    http::async_write(socket_, response_,
                      [self = shared_from_this(), keep_alive](const error_code& error, std::size_t) {
                        self->OnWritten(error, keep_alive);
                      });
  }

  void OnWritten(const error_code& error, bool keep_alive) {
    writing_ = false;
    if (closed_) {
      return;
    }
    calls_.pop_front();
    RecordActivity();
    if (error || !keep_alive) {
      Close();
      return;
    }
    WriteNext();
    DeliverNext();
  }

  tcp::socket socket_;
  server_state& state_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<http::request<http::string_body>> next_request_;  ///< read, not delivered yet
  http::response<http::string_body> response_;                    ///< being written
  std::deque<open_call> calls_;                                   ///< in the order of their requests
  bool writing_ = false;
  bool closed_ = false;
  std::chrono::steady_clock::time_point last_activity_;
};

class beast_server final : public connection_server {
 public:
  beast_server(const connection_limits& limits, connection_listener& listener)
      : state_(listener, limits), acceptor_(io_), idle_timer_(io_) {}

  beast_server(const beast_server&) = delete;
  beast_server& operator=(const beast_server&) = delete;

  ~beast_server() override {
    io_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  void Bind(const ip_endpoint& endpoint) {
    const tcp::endpoint local(asio::ip::make_address(endpoint.host), static_cast<std::uint16_t>(endpoint.port));
    acceptor_.open(local.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(local);
    acceptor_.listen();
    port_ = acceptor_.local_endpoint().port();
  }

  void Serve() override {
    Accept();
    ScheduleIdleCheck();
    thread_ = std::thread([this] { io_.run(); });
  }

  void Respond(call_id call, http_response response) override {
    asio::post(io_, [this, call, response = std::move(response)]() mutable {
      const std::map<call_id, std::weak_ptr<connection>>::node_type node = state_.calls.extract(call);
      const std::shared_ptr<connection> caller_connection = node.empty() ? nullptr : node.mapped().lock();
      if (caller_connection) {
        caller_connection->Respond(call, std::move(response));
      }
    });
  }

  void DisableKeepAlive() override {
    asio::post(io_, [this] { state_.keep_alive_disabled = true; });
  }

  void StopAccepting() override {
    asio::post(io_, [this] {
      error_code ignored;
      acceptor_.close(ignored);
    });
  }

  int port() const override { return port_; }

 private:
  void Accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
      if (!acceptor_.is_open()) {
        return;
      }
      if (!error && state_.connections.size() < state_.limits.max_connections) {
        const std::shared_ptr<connection> accepted = std::make_shared<connection>(std::move(socket), state_);
        state_.connections.insert(accepted);
        accepted->Start();
      }
      Accept();
    });
  }

  void ScheduleIdleCheck() {
    idle_timer_.expires_after(kIdleCheckInterval);
    idle_timer_.async_wait([this](const error_code& error) {
      if (error) {
        return;
      }
      const std::chrono::steady_clock::time_point idle_since =
          std::chrono::steady_clock::now() - state_.limits.idle_timeout;
      const std::set<std::shared_ptr<connection>> all = state_.connections;
      for (const std::shared_ptr<connection>& open : all) {
        if (open->idle() && open->last_activity() < idle_since) {
          open->Close();
        }
      }
      ScheduleIdleCheck();
    });
  }

  asio::io_context io_{1};
  server_state state_;
  tcp::acceptor acceptor_;
  asio::steady_timer idle_timer_;
  int port_ = 0;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<connection_server> connection_server::Open(std::string_view address, const connection_limits& limits,
                                                           connection_listener& listener, failure& error) {
  const std::optional<ip_endpoint> endpoint = ParseEndpoint(address, error);
  if (!endpoint) {
    return nullptr;
  }
  std::unique_ptr<beast_server> server = std::make_unique<beast_server>(limits, listener);
  try {
    server->Bind(*endpoint);
  } catch (const std::exception& exception) {
    error = failure(error_kind::kInternal, "cannot listen on " + std::string(address) + ": " + exception.what());
    return nullptr;
  }
  return server;
}

}  // namespace bamboowing
