#include "http_connections.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <deque>
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
using steady_time = std::chrono::steady_clock::time_point;
using request_parser = http::request_parser<http::string_body>;

constexpr int kTooLarge = 413;
constexpr int kBadRequest = 400;
constexpr int kOverloaded = 503;
constexpr std::chrono::seconds kRetryAfter{1};
// Pipelined requests of one connection that are delivered before the first of them is answered.
constexpr std::size_t kMaxPipelinedCalls = 8;
constexpr std::size_t kReadBytes = 16U << 10U;
// Memory of one header field besides its text. Without it, a header of many empty fields would be counted as about a
// twentieth of its memory.
constexpr std::size_t kFieldBytes = 192;
// A refusal is lost if its connection closes while the client still sends, so bytes are discarded up to these bounds.
constexpr std::chrono::seconds kDiscardTime{2};
constexpr std::size_t kMaxDiscardedBytes = 1U << 20U;
// Limits are checked eight times within the time to receive a request.
constexpr int kChecksPerTimeout = 8;
constexpr std::chrono::milliseconds kMinCheckInterval{10};
constexpr std::chrono::milliseconds kMaxCheckInterval{1000};
// accept() fails at once until a descriptor is free, so the next attempt waits.
constexpr std::chrono::milliseconds kAcceptRetryInterval{100};

std::string ToLower(std::string_view text) {
  std::string lower(text);
  for (char& letter : lower) {
    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return lower;
}

received_request FromMessage(http::request<http::string_body>&& message) {
  received_request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
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

std::size_t HeaderBytes(const http::request<http::string_body>& message) {
  std::size_t bytes = message.target().size();
  for (const http::fields::value_type& field : message) {
    bytes += kFieldBytes + field.name_string().size() + field.value().size();
  }
  return bytes;
}

class connection;

/// State shared by all connections. Used only on the server's thread.
struct server_state {
  server_state(request_listener& server_listener, const connection_limits& server_limits)
      : listener(server_listener), limits(server_limits) {}

  /// Closes the connection that has been without a complete request for longest, @p excluded aside. With
  /// @p only_buffering, connections that hold no bytes are passed over. Returns whether there was one.
  bool CloseLongestWaiting(const connection* excluded, bool only_buffering);

  request_listener& listener;
  const connection_limits limits;
  std::set<std::shared_ptr<connection>> connections;
  std::map<call_id, std::weak_ptr<connection>> calls;
  call_id last_call = 0;
  std::size_t buffered_bytes = 0;    ///< of all connections
  bool keep_alive_disabled = false;  ///< connections close after their next response
  std::array<char, kReadBytes> read_buffer{};
};

/// Serves the requests of one connection and answers them in order. A request is delivered when it arrives, so that a
/// cancel takes effect before the response to its job. Only a POST waits for all responses before its own, as it may be
/// a copy of an open one. Reading goes on while a response is due, so that a disconnect is
/// detected, unless a pipelined request is held back.
class connection : public std::enable_shared_from_this<connection> {
 public:
  connection(tcp::socket socket, server_state& state) : socket_(std::move(socket)), state_(state) {}

  void Start() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    RecordActivity();
    WaitReadable();
  }

  void Respond(call_id call, http_response&& response) {
    const std::deque<open_call>::iterator answered =
        std::find_if(calls_.begin(), calls_.end(), [call](const open_call& open) { return open.id == call; });
    if (answered != calls_.end() && !answered->response) {
      answered->bytes += response.body.size();
      answered->response = std::move(response);
      CountBytes();
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
    state_.buffered_bytes -= std::exchange(buffered_bytes_, 0);
    for (const open_call& open : calls_) {
      if (state_.calls.erase(open.id) > 0) {
        state_.listener.OnCallerDisconnected(open.id);
      }
      if (open.id != 0) {
        state_.listener.OnEnd(open.id);
      }
    }
    state_.connections.erase(self);
  }

  /// Closes the connection if it has exceeded a time limit.
  void CheckTimeLimits(steady_time now) {
    const connection_limits& limits = state_.limits;
    const bool receives_too_long = receiving_since_ && *receiving_since_ + limits.receive_timeout < now;
    const bool sends_too_long = writing_ && writing_since_ + limits.receive_timeout < now;
    const bool discards_too_long = discarding_ && last_activity_ + kDiscardTime < now;
    const bool idles_too_long = calls_.empty() && !receiving_since_ && last_activity_ + limits.idle_timeout < now;
    if (receives_too_long || sends_too_long || discards_too_long || idles_too_long) {
      Close();
    }
  }

  bool idle() const { return calls_.empty(); }
  std::size_t buffered_bytes() const { return buffered_bytes_; }
  steady_time last_activity() const { return last_activity_; }

 private:
  /// A request whose response has not been written.
  struct open_call {
    call_id id = 0;  ///< 0 if the request was refused here
    bool keep_alive = false;
    std::optional<http_response> response;
    std::size_t bytes = 0;  ///< of the request, and of the response until it is written
  };

  void RecordActivity() { last_activity_ = std::chrono::steady_clock::now(); }

  void WaitReadable() {
    if (closed_ || std::exchange(waiting_readable_, true)) {
      return;
    }
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& error) { self->OnReadable(error); });
  }

  /// Reads into the buffer that all connections share, so that an idle connection has none.
  void OnReadable(error_code error) {
    waiting_readable_ = false;
    if (closed_) {
      return;
    }
    std::size_t count = 0;
    if (!error) {
      count = socket_.read_some(asio::buffer(state_.read_buffer), error);
    }
    if (error == asio::error::would_block || error == asio::error::interrupted) {
      WaitReadable();
      return;
    }
    if (error) {
      Close();
      return;
    }
    if (refused_) {
      Discard(count);
      return;
    }
    unparsed_.append(state_.read_buffer.data(), count);
    ServeReceived();
  }

  void Discard(std::size_t count) {
    discarded_bytes_ += count;
    if (discarded_bytes_ > kMaxDiscardedBytes) {
      Close();
      return;
    }
    WaitReadable();
  }

  /// Delivers the requests that have been received and may be delivered, then waits for more bytes.
  void ServeReceived() {
    while (!closed_ && !refused_) {
      if (!next_request_ && !ParseNext()) {
        break;
      }
      if (!DeliverNext()) {
        return;
      }
    }
    WaitReadable();
  }

  /// Parses received bytes. Returns whether they complete a request.
  bool ParseNext() {
    if (unparsed_.empty()) {
      return false;
    }
    if (!parser_) {
      StartParser();
    }
    const error_code error = ParseReceived();
    if (error) {
      RefuseMalformed(error);
      return false;
    }
    if (!parser_->is_done()) {
      CheckIncomplete();
      return false;
    }
    request_bytes_ = HeaderBytes(parser_->get()) + parser_->get().body().size();
    next_request_ = parser_->release();
    parser_.reset();
    receiving_since_.reset();
    CountBytes();
    ApplyByteLimit();
    return !closed_ && !refused_;
  }

  void StartParser() {
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(state_.limits.max_header_bytes));
    parser_->body_limit(state_.limits.max_body_bytes);
    header_bytes_ = 0;
    receiving_since_ = std::chrono::steady_clock::now();
  }

  error_code ParseReceived() {
    error_code error;
    std::size_t parsed = 0;
    std::size_t taken = 1;
    while (!error && taken > 0 && parsed < unparsed_.size() && !parser_->is_done()) {
      taken = parser_->put(asio::buffer(unparsed_.data() + parsed, unparsed_.size() - parsed), error);
      parsed += taken;
    }
    unparsed_.erase(0, parsed);
    if (unparsed_.empty()) {
      std::string().swap(unparsed_);
    }
    return error == http::error::need_more ? error_code() : error;
  }

  /// Applies the limits to a request that is not complete.
  void CheckIncomplete() {
    if (parser_->is_header_done() && header_bytes_ == 0) {
      header_bytes_ = HeaderBytes(parser_->get());
      SendContinue();
    }
    // The parser returns a chunk size line and the trailers only when they are complete.
    if (parser_->is_header_done() && unparsed_.size() > state_.limits.max_trailer_bytes) {
      Refuse(kTooLarge, failure(error_kind::kTooLarge, not_run_state::kYes,
                                "a chunk size line or the trailers exceed " +
                                    std::to_string(state_.limits.max_trailer_bytes) + " bytes"));
      return;
    }
    CountBytes();
    ApplyByteLimit();
  }

  void SendContinue() {
    if (calls_.empty() && boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
      error_code ignored;
      socket_.write_some(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
    }
  }

  void RefuseMalformed(const error_code& error) {
    if (error == http::error::body_limit || error == http::error::header_limit) {
      Refuse(kTooLarge, failure(error_kind::kTooLarge, not_run_state::kYes, error.message()));
      return;
    }
    Refuse(kBadRequest, failure(error_kind::kInvalidField, not_run_state::kYes, error.message()));
  }

  /// Answers the request that is being received without delivering it, then closes the connection.
  void Refuse(int status, const failure& error) {
    if (!calls_.empty()) {
      Close();
      return;
    }
    refused_ = true;
    parser_.reset();
    next_request_.reset();
    std::string().swap(unparsed_);
    receiving_since_.reset();
    request_bytes_ = 0;
    http_response response = ErrorResponse(error);
    response.status = status;
    calls_.push_back({0, false, std::move(response), 0});
    CountBytes();
    WriteNext();
  }

  /// Updates the share of this connection in the bytes that the server holds.
  void CountBytes() {
    std::size_t bytes = unparsed_.size() + (next_request_ ? request_bytes_ : 0);
    if (parser_) {
      bytes += header_bytes_ + parser_->get().body().size();
    }
    for (const open_call& open : calls_) {
      bytes += open.bytes;
    }
    state_.buffered_bytes += bytes;
    state_.buffered_bytes -= std::exchange(buffered_bytes_, bytes);
  }

  /// At the limit of the server, closes the connections that have been sending an incomplete request for longest, then
  /// refuses the request that this one receives.
  void ApplyByteLimit() {
    while (!closed_ && !refused_ && state_.buffered_bytes > state_.limits.max_buffered_bytes) {
      if (!state_.CloseLongestWaiting(this, true)) {
        // The request may be a copy of one that has run, so the refusal does not say that it has not.
        failure error(error_kind::kOverloaded, not_run_state::kUnknown,
                      "the server has reached its limit of buffered bytes");
        error.retry_after = kRetryAfter;
        Refuse(kOverloaded, error);
      }
    }
  }

  /// Whether the request that was read last is held back by those before it.
  bool MustWait() const {
    const bool follows_last = !calls_.empty() && !calls_.back().keep_alive;
    const bool is_post = next_request_->method() == http::verb::post;
    return follows_last || (is_post && !calls_.empty()) || calls_.size() >= kMaxPipelinedCalls;
  }

  /// Delivers the request that was read last. Returns false if it has to wait.
  bool DeliverNext() {
    if (MustWait()) {
      return false;
    }
    RecordActivity();
    const call_id call = ++state_.last_call;
    calls_.push_back({call, next_request_->keep_alive(), std::nullopt, std::exchange(request_bytes_, 0)});
    state_.calls.emplace(call, weak_from_this());
    received_request request = FromMessage(std::move(*next_request_));
    next_request_.reset();
    state_.listener.OnRequest(call, std::move(request));
    return true;
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
    writing_since_ = std::chrono::steady_clock::now();
    http::async_write(socket_, response_,
                      [self = shared_from_this(), keep_alive](const error_code& error, std::size_t) {
                        self->OnWritten(error, keep_alive);
                      });
  }

  void OnWritten(const error_code& error, bool keep_alive) {
    writing_ = false;
    response_ = {};
    if (closed_) {
      return;
    }
    const call_id call = calls_.front().id;
    calls_.pop_front();
    if (call != 0) {
      state_.listener.OnEnd(call);
    }
    CountBytes();
    RecordActivity();
    if (refused_ && !error) {
      StartDiscarding();
      return;
    }
    if (error || !keep_alive) {
      Close();
      return;
    }
    WriteNext();
    ServeReceived();
  }

  void StartDiscarding() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    discarding_ = true;
    WaitReadable();
  }

  tcp::socket socket_;
  server_state& state_;
  std::string unparsed_;                                          ///< received, not parsed yet
  std::optional<request_parser> parser_;                          ///< of the request that is being received
  std::optional<http::request<http::string_body>> next_request_;  ///< received, not delivered yet
  http::response<http::string_body> response_;                    ///< being written
  std::deque<open_call> calls_;                                   ///< in the order of their requests
  std::size_t header_bytes_ = 0;                                  ///< of the request that is being received
  std::size_t request_bytes_ = 0;                                 ///< of next_request_
  std::size_t buffered_bytes_ = 0;                                ///< the share of state_.buffered_bytes
  std::size_t discarded_bytes_ = 0;
  bool waiting_readable_ = false;
  bool writing_ = false;
  bool refused_ = false;     ///< received bytes are no longer parsed
  bool discarding_ = false;  ///< the refusal has been written
  bool closed_ = false;
  std::optional<steady_time> receiving_since_;  ///< the first byte of an incomplete request
  steady_time writing_since_;
  steady_time last_activity_;  ///< accepted, or the last complete request or response
};

bool server_state::CloseLongestWaiting(const connection* excluded, bool only_buffering) {
  std::shared_ptr<connection> longest;
  for (const std::shared_ptr<connection>& open : connections) {
    const bool closable = open.get() != excluded && open->idle() && (!only_buffering || open->buffered_bytes() > 0);
    if (closable && (!longest || open->last_activity() < longest->last_activity())) {
      longest = open;
    }
  }
  if (longest) {
    longest->Close();
  }
  return longest != nullptr;
}

class beast_connections final : public http_connections {
 public:
  beast_connections(const connection_limits& limits, request_listener& listener)
      : state_(listener, limits), acceptor_(io_), accept_timer_(io_), check_timer_(io_) {}

  beast_connections(const beast_connections&) = delete;
  beast_connections& operator=(const beast_connections&) = delete;

  ~beast_connections() override {
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
    ScheduleCheck();
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
      if (error && error != asio::error::connection_aborted) {
        RetryAccept();
        return;
      }
      if (!error) {
        Add(std::move(socket));
      }
      Accept();
    });
  }

  void Add(tcp::socket socket) {
    if (state_.connections.size() >= state_.limits.max_connections && !state_.CloseLongestWaiting(nullptr, false)) {
      return;
    }
    const std::shared_ptr<connection> accepted = std::make_shared<connection>(std::move(socket), state_);
    state_.connections.insert(accepted);
    accepted->Start();
  }

  /// Accepts again after a while. The cause is most likely that the process has no descriptor left.
  void RetryAccept() {
    state_.CloseLongestWaiting(nullptr, false);
    accept_timer_.expires_after(kAcceptRetryInterval);
    accept_timer_.async_wait([this](const error_code& error) {
      if (!error && acceptor_.is_open()) {
        Accept();
      }
    });
  }

  void ScheduleCheck() {
    const std::chrono::steady_clock::duration interval = state_.limits.receive_timeout / kChecksPerTimeout;
    check_timer_.expires_after(
        std::clamp<std::chrono::steady_clock::duration>(interval, kMinCheckInterval, kMaxCheckInterval));
    check_timer_.async_wait([this](const error_code& error) {
      if (error) {
        return;
      }
      const steady_time now = std::chrono::steady_clock::now();
      const std::set<std::shared_ptr<connection>> all = state_.connections;
      for (const std::shared_ptr<connection>& open : all) {
        open->CheckTimeLimits(now);
      }
      ScheduleCheck();
    });
  }

  asio::io_context io_{1};
  server_state state_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  asio::steady_timer check_timer_;
  int port_ = 0;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<http_connections> http_connections::Open(std::string_view address, const connection_limits& limits,
                                                         request_listener& listener, failure& error) {
  const std::optional<ip_endpoint> endpoint = ParseEndpoint(address, error);
  if (!endpoint) {
    return nullptr;
  }
  std::unique_ptr<beast_connections> server = std::make_unique<beast_connections>(limits, listener);
  try {
    server->Bind(*endpoint);
  } catch (const std::exception& exception) {
    error = failure(error_kind::kInternal, "cannot listen on " + std::string(address) + ": " + exception.what());
    return nullptr;
  }
  return server;
}

}  // namespace bamboowing
