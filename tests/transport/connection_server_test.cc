// Pipelined requests, and the bounds on what clients can make the server hold.
#include "bamboowing/transport/connection_server.h"

#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "raw_socket.h"

namespace bamboowing {
namespace {

constexpr std::chrono::seconds kWaitLimit{10};

std::string Request(const std::string& method, const std::string& path, const std::string& body = "") {
  return method + " " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// Records the requests; each DELETE answers itself and the request with the same path before it.
class job_calls : public connection_listener {
 public:
  void OnRequest(call_id call, http_request request) override {
    std::optional<call_id> cancelled;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      requests_.push_back(request.method + " " + request.path);
      if (request.method == "POST") {
        jobs_[request.path] = call;
      } else if (request.method == "DELETE" && jobs_.count(request.path) != 0) {
        cancelled = jobs_[request.path];
      }
      changed_.notify_all();
    }
    if (request.method != "POST") {
      Answer(call, request.method);
    }
    if (cancelled) {
      Answer(*cancelled, "cancelled");
    }
  }

  void OnCallerDisconnected(call_id call) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    disconnected_.push_back(call);
    changed_.notify_all();
  }

  void Answer(call_id call, const std::string& body) {
    http_response response;
    response.body = body;
    server->Respond(call, std::move(response));
  }

  bool WaitForRequests(std::size_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, kWaitLimit, [this, count] { return requests_.size() >= count; });
  }

  bool WaitForDisconnects(std::size_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, kWaitLimit, [this, count] { return disconnected_.size() >= count; });
  }

  std::vector<std::string> requests() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return requests_;
  }

  std::vector<call_id> disconnected() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return disconnected_;
  }

  call_id CallOf(const std::string& path) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return jobs_.at(path);
  }

  connection_server* server = nullptr;

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> requests_;
  std::vector<call_id> disconnected_;
  std::map<std::string, call_id> jobs_;
};

class connection_server_fixture : public testing::Test {
 protected:
  connection_server_fixture() { Restart(); }

  /// Replaces the server by one with the present limits.
  void Restart() {
    failure error;
    server.reset();
    server = connection_server::Open("127.0.0.1:0", limits, calls, error);
    ASSERT_NE(server, nullptr) << error.reason;
    calls.server = server.get();
    server->Serve();
  }

  bool ServesRequests() const {
    const raw_socket caller = raw_socket::Connect(server->port());
    return caller.Send(Request("GET", "/")) && caller.ReadUntil("GET").find("200 OK") != std::string::npos;
  }

  connection_limits limits;
  job_calls calls;
  std::unique_ptr<connection_server> server;
};

// Guards against a cancel that waits for the end of its job because it follows the submission on the same connection.
TEST_F(connection_server_fixture, PipelinedCancelEndsItsJob) {
  const raw_socket caller = raw_socket::Connect(server->port());
  ASSERT_TRUE(caller.Send(Request("POST", "/a", "x") + Request("DELETE", "/a")));
  const std::string answers = caller.ReadUntil("DELETE");
  const std::size_t first = answers.find("cancelled");
  ASSERT_NE(first, std::string::npos) << answers;
  EXPECT_NE(answers.find("DELETE", first), std::string::npos) << answers;
}

// Guards against responses in another order than their requests: a caller would take them for each other.
TEST_F(connection_server_fixture, PipelinedRequestsAreAnsweredInOrder) {
  const raw_socket caller = raw_socket::Connect(server->port());
  ASSERT_TRUE(caller.Send(Request("POST", "/a") + Request("GET", "/b") + Request("DELETE", "/c")));
  ASSERT_TRUE(calls.WaitForRequests(3));
  EXPECT_TRUE(ServesRequests());
  EXPECT_FALSE(caller.IsReadable());
  calls.Answer(calls.CallOf("/a"), "first");
  const std::string answers = caller.ReadUntil("DELETE");
  EXPECT_LT(answers.find("first"), answers.find("GET"));
  EXPECT_LT(answers.find("GET"), answers.find("DELETE"));
}

// Guards against a copy of a submission that is delivered while the first is open: the copy would take over its answer,
// and the connection would wait forever for a response to the first.
TEST_F(connection_server_fixture, PipelinedSubmissionWaitsForTheOneBeforeIt) {
  const raw_socket caller = raw_socket::Connect(server->port());
  ASSERT_TRUE(caller.Send(Request("POST", "/a") + Request("POST", "/a")));
  ASSERT_TRUE(calls.WaitForRequests(1));
  EXPECT_TRUE(ServesRequests());
  EXPECT_EQ(calls.requests(), (std::vector<std::string>{"POST /a", "GET /"}));
  calls.Answer(calls.CallOf("/a"), "first");
  ASSERT_TRUE(calls.WaitForRequests(3));
  calls.Answer(calls.CallOf("/a"), "second");
  const std::string answers = caller.ReadUntil("second");
  EXPECT_LT(answers.find("first"), answers.find("second"));
}

// Guards against a caller that takes memory without limit by requests that it pipelines, and against requests that are
// dropped beyond the limit.
TEST_F(connection_server_fixture, ManyPipelinedRequestsAreDeliveredAFewAtATime) {
  const raw_socket caller = raw_socket::Connect(server->port());
  std::string all = Request("POST", "/a");
  for (int i = 0; i < 100; ++i) {
    all += Request("DELETE", "/" + std::to_string(i));
  }
  all += Request("GET", "/last");
  ASSERT_TRUE(caller.Send(all));
  ASSERT_TRUE(calls.WaitForRequests(8));
  EXPECT_TRUE(ServesRequests());
  EXPECT_EQ(calls.requests().size(), 9U);
  calls.Answer(calls.CallOf("/a"), "first");
  const std::string answers = caller.ReadUntil("GET");
  EXPECT_LT(answers.find("first"), answers.find("DELETE"));
  EXPECT_NE(answers.find("GET"), std::string::npos);
  EXPECT_EQ(calls.requests().size(), 103U);
}

// Guards against a connection or a process that hangs or ends because of what follows a submission.
TEST_F(connection_server_fixture, MalformedPipelinedInputEndsOnlyItsConnection) {
  const std::vector<std::string> odd = {"nonsense\r\n\r\n",
                                        std::string(4096, '\0'),
                                        Request("POST", "/b", std::string(limits.max_body_bytes + 1, 'x')),
                                        "GET /" + std::string(limits.max_header_bytes + 1, 'x') + " HTTP/1.1\r\n\r\n",
                                        "POST /b HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                                        "POST /b HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n"};
  for (std::size_t i = 0; i < odd.size(); ++i) {
    const raw_socket caller = raw_socket::Connect(server->port());
    ASSERT_TRUE(caller.Send(Request("POST", "/a")));
    ASSERT_TRUE(calls.WaitForRequests(2 * i + 1));
    caller.Send(odd[i]);
    EXPECT_TRUE(caller.WaitClosed()) << i;
    EXPECT_TRUE(calls.WaitForDisconnects(i + 1)) << i;
    EXPECT_TRUE(ServesRequests()) << i;
  }
}

// Guards against runs for a caller that has disconnected after it pipelined requests, and against calls that are both
// answered and reported as disconnected.
TEST_F(connection_server_fixture, DisconnectIsReportedForOpenCalls) {
  raw_socket caller = raw_socket::Connect(server->port());
  ASSERT_TRUE(caller.Send(Request("POST", "/a") + Request("GET", "/b")));
  ASSERT_TRUE(calls.WaitForRequests(2));
  EXPECT_TRUE(ServesRequests());
  caller.Close();
  ASSERT_TRUE(calls.WaitForDisconnects(1));
  EXPECT_TRUE(ServesRequests());
  EXPECT_EQ(calls.disconnected(), std::vector<call_id>{calls.CallOf("/a")});
}

// Guards against requests that are served after the caller has asked to close the connection behind an earlier one.
TEST_F(connection_server_fixture, NothingIsServedBehindTheLastRequest) {
  const raw_socket caller = raw_socket::Connect(server->port());
  ASSERT_TRUE(caller.Send("POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" +
                          Request("POST", "/b")));
  ASSERT_TRUE(calls.WaitForRequests(1));
  EXPECT_TRUE(ServesRequests());
  calls.Answer(calls.CallOf("/a"), "end");
  EXPECT_TRUE(caller.WaitClosed());
  EXPECT_EQ(calls.requests(), (std::vector<std::string>{"POST /a", "GET /"}));
}

// Guards against a delivered request without an answer, because its entry drains and closes the connection behind the
// request before it.
TEST_F(connection_server_fixture, DrainingAnswersDeliveredRequests) {
  const raw_socket caller = raw_socket::Connect(server->port());
  ASSERT_TRUE(caller.Send(Request("POST", "/a") + Request("GET", "/b")));
  ASSERT_TRUE(calls.WaitForRequests(2));
  server->DisableKeepAlive();
  calls.Answer(calls.CallOf("/a"), "first");
  const std::string answers = caller.ReadUntil("GET");
  EXPECT_NE(answers.find("first"), std::string::npos) << answers;
  EXPECT_NE(answers.find("Connection: close"), std::string::npos) << answers;
  EXPECT_TRUE(caller.WaitClosed());
}

constexpr std::string_view kChunkedPost = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t kFloodBytes = 64U << 20U;

/// Sends @p start, then @p more until the server answers or closes the connection. Returns the bytes sent.
std::size_t SendUntilRefused(const raw_socket& caller, const std::string& start, const std::string& more) {
  std::size_t sent = 0;
  bool open = caller.Send(start);
  while (open && !caller.IsReadable() && sent < kFloodBytes) {
    open = caller.Send(more);
    sent += more.size();
  }
  return sent;
}

// Guards against a process that runs out of memory, for example by trailers without end: the parser has no limit
// for parts that it returns only when they are complete.
TEST_F(connection_server_fixture, PartsWithoutEndAreRefused) {
  const std::string chunked(kChunkedPost);
  const std::string text(1024, 'a');
  const std::vector<std::pair<std::string, std::string>> floods = {{chunked + "1\r\nx\r\n0\r\n", "X: " + text + "\r\n"},
                                                                   {chunked + "1\r\nx\r\n0\r\nX: ", text},
                                                                   {chunked + "1;x=", text},
                                                                   {chunked + "0;x=", text},
                                                                   {"POST /a HTTP/1.1\r\n", "X: " + text + "\r\n"},
                                                                   {"POST /a HTTP/1.1\r\nX: ", text},
                                                                   {"POST /", text}};
  for (std::size_t i = 0; i < floods.size(); ++i) {
    const raw_socket caller = raw_socket::Connect(server->port());
    EXPECT_LT(SendUntilRefused(caller, floods[i].first, floods[i].second), kFloodBytes) << i;
    const std::string answer = caller.ReadUntil("}");
    EXPECT_EQ(answer.rfind("HTTP/1.1 413", 0), 0U) << i << " " << answer;
    EXPECT_TRUE(caller.WaitClosed()) << i;
    EXPECT_TRUE(ServesRequests()) << i;
  }
  EXPECT_EQ(calls.requests(), std::vector<std::string>(floods.size(), "GET /"));
}

// Guards against limits that refuse a request within them, and against limits that add up over the chunks.
TEST_F(connection_server_fixture, ChunkedRequestWithinTheLimitsIsServed) {
  const std::string long_text(15U << 10U, 'a');
  std::string request(kChunkedPost);
  for (int i = 0; i < 20; ++i) {
    request += "1000;x=" + long_text + "\r\n" + std::string(0x1000, 'x') + "\r\n";
  }
  request += "0;x=" + long_text + "\r\n";
  const raw_socket caller = raw_socket::Connect(server->port());
  ASSERT_TRUE(caller.Send(request + "\r\n"));
  ASSERT_TRUE(calls.WaitForRequests(1));
  calls.Answer(calls.CallOf("/a"), "first");
  EXPECT_NE(caller.ReadUntil("first").find("200 OK"), std::string::npos);
  ASSERT_TRUE(caller.Send(std::string(kChunkedPost) + "1\r\nx\r\n0\r\nX: " + long_text + "\r\n\r\n"));
  ASSERT_TRUE(calls.WaitForRequests(2));
  calls.Answer(calls.CallOf("/a"), "second");
  EXPECT_NE(caller.ReadUntil("second").find("200 OK"), std::string::npos);
}

// Guards against clients that occupy connections for long by requests that they send slowly or not completely, and
// against time limits that end callers who wait for their answer.
TEST_F(connection_server_fixture, SlowRequestsAreClosed) {
  limits.receive_timeout = std::chrono::milliseconds(200);
  Restart();
  const raw_socket waiting = raw_socket::Connect(server->port());
  ASSERT_TRUE(waiting.Send(Request("POST", "/wait")));
  ASSERT_TRUE(calls.WaitForRequests(1));
  const std::string chunked(kChunkedPost);
  for (const std::string& start :
       {std::string("GET / HTTP/1.1\r\nHo"), std::string("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n"), chunked,
        chunked + "1;x", chunked + "0\r\nX: "}) {
    const raw_socket slow = raw_socket::Connect(server->port());
    ASSERT_TRUE(slow.Send(start));
    EXPECT_TRUE(slow.WaitClosed()) << start;
  }
  calls.Answer(calls.CallOf("/wait"), "late");
  EXPECT_NE(waiting.ReadUntil("late").find("200 OK"), std::string::npos);
}

// Guards against responses that are kept forever for callers that do not read them.
TEST_F(connection_server_fixture, CallerThatDoesNotReadIsClosed) {
  limits.receive_timeout = std::chrono::milliseconds(200);
  Restart();
  const raw_socket caller = raw_socket::Connect(server->port());
  ASSERT_TRUE(caller.Send(Request("POST", "/a")));
  ASSERT_TRUE(calls.WaitForRequests(1));
  calls.Answer(calls.CallOf("/a"), std::string(kFloodBytes, 'x'));
  const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + kWaitLimit;
  bool open = true;
  while (open && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    open = caller.Send("\r\n");
  }
  EXPECT_FALSE(open);
  EXPECT_TRUE(ServesRequests());
}

// Guards against memory that grows with the number of incomplete requests, and against a flood of them that shuts out
// ordinary callers.
TEST_F(connection_server_fixture, IncompleteRequestsShareABound) {
  limits.max_buffered_bytes = 1U << 20U;
  Restart();
  std::vector<raw_socket> flood;
  for (int i = 0; i < 12; ++i) {
    flood.push_back(raw_socket::Connect(server->port()));
    ASSERT_TRUE(flood.back().Send("POST /a HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + std::string(199999, 'x')));
    EXPECT_TRUE(ServesRequests()) << i;
  }
  for (int i = 0; i < 6; ++i) {
    EXPECT_TRUE(flood[static_cast<std::size_t>(i)].WaitClosed()) << i;
  }
  ASSERT_TRUE(flood.back().Send("x"));
  ASSERT_TRUE(calls.WaitForRequests(13));
  EXPECT_EQ(calls.requests().back(), "POST /a");
}

// Guards against memory that grows with the number of requests that wait for their answers, and against a refusal that
// says that a job has not run, although it may be a copy of one that has.
TEST_F(connection_server_fixture, RequestsBeyondTheByteLimitAreRefused) {
  limits.max_buffered_bytes = 1U << 20U;
  Restart();
  const std::string body(200'000, 'x');
  std::vector<raw_socket> callers;
  for (int i = 0; i < 5; ++i) {
    callers.push_back(raw_socket::Connect(server->port()));
    ASSERT_TRUE(callers.back().Send(Request("POST", "/" + std::to_string(i), body)));
    ASSERT_TRUE(calls.WaitForRequests(static_cast<std::size_t>(i) + 1));
  }
  const raw_socket refused = raw_socket::Connect(server->port());
  ASSERT_TRUE(refused.Send(Request("POST", "/refused", body)));
  const std::string answer = refused.ReadUntil("}");
  EXPECT_EQ(answer.rfind("HTTP/1.1 503", 0), 0U) << answer;
  EXPECT_NE(answer.find("Retry-After: 1"), std::string::npos) << answer;
  EXPECT_NE(answer.find(R"("not_run":"unknown")"), std::string::npos) << answer;
  for (int i = 0; i < 5; ++i) {
    calls.Answer(calls.CallOf("/" + std::to_string(i)), "done");
    EXPECT_NE(callers[static_cast<std::size_t>(i)].ReadUntil("done").find("200 OK"), std::string::npos);
  }
  const raw_socket served = raw_socket::Connect(server->port());
  ASSERT_TRUE(served.Send(Request("POST", "/served", body)));
  EXPECT_TRUE(calls.WaitForRequests(6));
}

// Guards against ordinary callers that are shut out by connections without a request, and against a connection with an
// open request that is closed in favour of a new one.
TEST_F(connection_server_fixture, NewConnectionReplacesTheLongestWaiting) {
  limits.max_connections = 3;
  Restart();
  const raw_socket caller = raw_socket::Connect(server->port());
  ASSERT_TRUE(caller.Send(Request("POST", "/a")));
  ASSERT_TRUE(calls.WaitForRequests(1));
  const raw_socket silent = raw_socket::Connect(server->port());
  const raw_socket incomplete = raw_socket::Connect(server->port());
  ASSERT_TRUE(incomplete.Send("POST /b HTTP/1.1\r\n"));
  EXPECT_TRUE(ServesRequests());
  EXPECT_TRUE(silent.WaitClosed());
  EXPECT_FALSE(incomplete.IsReadable());
  calls.Answer(calls.CallOf("/a"), "first");
  EXPECT_NE(caller.ReadUntil("first").find("200 OK"), std::string::npos);
}

// Guards against more connections than the limit when each has an open request.
TEST_F(connection_server_fixture, ConnectionsWithOpenRequestsAreNotReplaced) {
  limits.max_connections = 2;
  Restart();
  std::vector<raw_socket> callers;
  for (const char* path : {"/a", "/b"}) {
    callers.push_back(raw_socket::Connect(server->port()));
    ASSERT_TRUE(callers.back().Send(Request("POST", path)));
    ASSERT_TRUE(calls.WaitForRequests(callers.size()));
  }
  EXPECT_TRUE(raw_socket::Connect(server->port()).WaitClosed());
  for (const char* path : {"/a", "/b"}) {
    calls.Answer(calls.CallOf(path), "done");
  }
  for (const raw_socket& each : callers) {
    EXPECT_NE(each.ReadUntil("done").find("200 OK"), std::string::npos);
  }
  EXPECT_TRUE(ServesRequests());
}

}  // namespace
}  // namespace bamboowing
