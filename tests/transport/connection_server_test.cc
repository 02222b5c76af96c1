// Requests that a caller pipelines on one connection.
#include "bamboowing/transport/connection_server.h"

#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
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
  connection_server_fixture() {
    failure error;
    server = connection_server::Open("127.0.0.1:0", limits, calls, error);
    EXPECT_NE(server, nullptr) << error.reason;
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

}  // namespace
}  // namespace bamboowing
