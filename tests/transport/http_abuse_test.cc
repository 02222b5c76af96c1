#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <list>
#include <thread>

#include "bamboowing/transport/http_client.h"
#include "bamboowing/transport/http_server.h"
#include "raw_socket.h"

namespace bamboowing {
namespace {

constexpr duration kTimeout = std::chrono::seconds(5);
constexpr std::size_t kBodyLimit = 100'000;

std::unique_ptr<http_server> OpenServer(const http_limits& limits, http_server::handler handle) {
  failure error;
  std::unique_ptr<http_server> server = http_server::Open("127.0.0.1:0", std::move(handle), limits, error);
  EXPECT_NE(server, nullptr) << error.reason;
  return server;
}

void RespondImmediately(const http_request& request, const http_server::responder& answer) {
  http_response response;
  response.body = std::to_string(request.body.size());
  answer(response);
}

bool ServesRequests(const http_server& server) {
  failure error;
  const std::unique_ptr<http_client> client = http_client::Open("127.0.0.1:" + std::to_string(server.port()), error);
  return client->Send({"POST", "/", {}, "x", ""}, kTimeout, error).has_value();
}

// Guards against a server that waits for a body although its declared length exceeds the limit.
TEST(HttpAbuse, OversizedContentLengthIsRejectedBeforeTheBody) {
  http_limits limits;
  limits.max_body_bytes = kBodyLimit;
  const std::unique_ptr<http_server> server = OpenServer(limits, RespondImmediately);
  const raw_socket caller = raw_socket::Connect(server->port());
  ASSERT_TRUE(caller.Send("POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 10000000\r\n\r\n"));
  const std::string answer = caller.ReadUntil("too_large");
  EXPECT_NE(answer.find("413"), std::string::npos) << answer;
  EXPECT_TRUE(ServesRequests(*server));
}

// Guards against a process that ends because a request target has a malformed escape.
TEST(HttpAbuse, MalformedEscapesInTheTargetAreRejected) {
  const std::unique_ptr<http_server> server = OpenServer({}, RespondImmediately);
  for (const std::string target : {"/a?x=%q", "/a?%zz=1", "/a?x=%", "/%zz", "/%"}) {
    const raw_socket caller = raw_socket::Connect(server->port());
    ASSERT_TRUE(caller.Send("GET " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"));
    const std::string answer = caller.ReadUntil("\r\n\r\n");
    EXPECT_NE(answer.find("400"), std::string::npos) << target << " " << answer;
  }
  EXPECT_TRUE(ServesRequests(*server));
}

// Guards against unbounded memory use for a body without a declared length.
TEST(HttpAbuse, EndlessChunkedBodyIsRejected) {
  http_limits limits;
  limits.max_body_bytes = kBodyLimit;
  const std::unique_ptr<http_server> server = OpenServer(limits, RespondImmediately);
  const raw_socket caller = raw_socket::Connect(server->port());
  ASSERT_TRUE(caller.Send("POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"));
  const std::string chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
  std::size_t sent = 0;
  while (!caller.IsReadable() && sent < 1000 * kBodyLimit && caller.Send(chunk)) {
    sent += 0x1000;
  }
  EXPECT_LT(sent, 1000 * kBodyLimit);
  const std::string answer = caller.ReadUntil("too_large");
  EXPECT_NE(answer.find("413"), std::string::npos) << answer << " after " << sent;
  EXPECT_TRUE(ServesRequests(*server));
}

// Guards against a process that runs out of memory because of header lines, trailers or chunk extensions without end,
// which the listener of cpprestsdk kept.
TEST(HttpAbuse, PartsWithoutEndAreRejected) {
  constexpr std::size_t kFloodBytes = 64U << 20U;
  const std::unique_ptr<http_server> server = OpenServer({}, RespondImmediately);
  const std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string line = "X: " + std::string(1024, 'a') + "\r\n";
  for (const std::string& start :
       {std::string("GET / HTTP/1.1\r\n"), chunked + "1\r\nx\r\n0\r\n", chunked + "1;x=" + std::string(1024, 'a')}) {
    const raw_socket caller = raw_socket::Connect(server->port());
    const std::string more = start.find(';') == std::string::npos ? line : std::string(1024, 'a');
    bool open = caller.Send(start);
    std::size_t sent = 0;
    while (open && !caller.IsReadable() && sent < kFloodBytes) {
      open = caller.Send(more);
      sent += more.size();
    }
    EXPECT_LT(sent, kFloodBytes) << start;
    EXPECT_EQ(caller.ReadUntil("too_large").rfind("HTTP/1.1 413", 0), 0U) << start;
    EXPECT_TRUE(ServesRequests(*server));
  }
}

// Guards against a responder that uses its server after Close(), and against a Close() that waits forever for a caller
// who has disconnected.
TEST(HttpAbuse, ResponderOutlivesItsServer) {
  std::promise<http_server::responder> received_responder;
  std::unique_ptr<http_server> server =
      OpenServer({}, [&received_responder](const http_request&, const http_server::responder& answer) {
        received_responder.set_value(answer);
      });
  raw_socket caller = raw_socket::Connect(server->port());
  ASSERT_TRUE(caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  const http_server::responder answer = received_responder.get_future().get();
  caller.Close();
  answer(http_response());
  server.reset();
  answer(http_response());
}

// Guards against a client that waits for the interim response before it sends its body.
TEST(HttpAbuse, ExpectedContinueIsSent) {
  const std::unique_ptr<http_server> server = OpenServer({}, RespondImmediately);
  const raw_socket caller = raw_socket::Connect(server->port());
  ASSERT_TRUE(caller.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n"));
  EXPECT_EQ(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
  ASSERT_TRUE(caller.Send("abc"));
  EXPECT_NE(caller.ReadUntil("\r\n\r\n3").find("200 OK"), std::string::npos);
}

// Guards against a size limit that rejects valid chunked bodies.
TEST(HttpAbuse, ChunkedBodyWithinTheLimitIsServed) {
  http_limits limits;
  limits.max_body_bytes = kBodyLimit;
  const std::unique_ptr<http_server> server = OpenServer(limits, RespondImmediately);
  const raw_socket caller = raw_socket::Connect(server->port());
  ASSERT_TRUE(caller.Send("POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"));
  const std::string chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
  for (int i = 0; i < 24; ++i) {
    ASSERT_TRUE(caller.Send(chunk));
  }
  ASSERT_TRUE(caller.Send("0\r\n\r\n"));
  const std::string answer = caller.ReadUntil("98304");
  EXPECT_NE(answer.find("200 OK"), std::string::npos) << answer;
}

// Guards against a crash or a request that stays open when the response is sent after the caller has disconnected.
TEST(HttpAbuse, CallerDisconnectsBeforeTheResponse) {
  std::promise<http_server::responder> received_responder;
  const std::unique_ptr<http_server> server =
      OpenServer({}, [&received_responder](const http_request& request, const http_server::responder& answer) {
        if (request.path == "/leave") {
          received_responder.set_value(answer);
        } else {
          RespondImmediately(request, answer);
        }
      });
  raw_socket caller = raw_socket::Connect(server->port());
  ASSERT_TRUE(caller.Send("GET /leave HTTP/1.1\r\nHost: a\r\n\r\n"));
  const http_server::responder answer = received_responder.get_future().get();
  caller.Close();
  http_response response;
  response.body = std::string(1U << 20U, 'x');
  answer(response);
  answer(response);
  EXPECT_TRUE(ServesRequests(*server));
  server->Close();
  EXPECT_EQ(server->open_requests(), 0U);
}

// Guards against a request that is never answered because its handler drops the responder.
TEST(HttpAbuse, DroppedResponderSendsInternalError) {
  const std::unique_ptr<http_server> server = OpenServer({}, [](const http_request&, const http_server::responder&) {});
  const raw_socket caller = raw_socket::Connect(server->port());
  ASSERT_TRUE(caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  EXPECT_NE(caller.ReadUntil("internal\"").find("500"), std::string::npos);
}

// Guards against an unbounded number of open requests, and against a Close() that drops requests in flight.
TEST(HttpAbuse, LimitsOpenRequestsAndFinishesThemOnClose) {
  http_limits limits;
  limits.max_open_requests = 1;
  std::promise<http_server::responder> received_responder;
  const std::unique_ptr<http_server> server =
      OpenServer(limits, [&received_responder](const http_request&, const http_server::responder& answer) {
        received_responder.set_value(answer);
      });
  const raw_socket first = raw_socket::Connect(server->port());
  ASSERT_TRUE(first.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  const http_server::responder answer = received_responder.get_future().get();
  const raw_socket second = raw_socket::Connect(server->port());
  ASSERT_TRUE(second.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  EXPECT_NE(second.ReadUntil("overloaded").find("503"), std::string::npos);
  std::thread closer([&server] { server->Close(); });
  const raw_socket third = raw_socket::Connect(server->port());
  answer({200, "text/plain", "finished", std::nullopt});
  EXPECT_NE(first.ReadUntil("finished").find("finished"), std::string::npos);
  closer.join();
}

// A server that answers "/first" and closes the connection without a response on "/second".
class breaking_server {
 public:
  breaking_server() : listener_(raw_socket::Listen()), thread_([this] { Run(); }) {}
  ~breaking_server() {
    stopping_ = true;
    const raw_socket wake = raw_socket::Connect(listener_.port());
    thread_.join();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
  int second_requests() const { return second_requests_; }
  int reused_connections() const { return reused_connections_; }

 private:
  struct connection {
    explicit connection(raw_socket accepted) : peer(std::move(accepted)) {}
    raw_socket peer;
    std::thread thread;
  };

  void Run() {
    std::list<connection> connections;
    while (!stopping_) {
      connection& added = connections.emplace_back(listener_.Accept());
      added.thread = std::thread([this, &added] { Serve(added.peer); });
    }
    for (connection& each : connections) {
      each.peer.Shutdown();
      each.thread.join();
    }
  }

  void Serve(const raw_socket& peer) {
    for (int count = 0;; ++count) {
      const std::string request = peer.ReadUntil("\r\n\r\n");
      if (request.find("/second") != std::string::npos) {
        ++second_requests_;
        reused_connections_ += count > 0 ? 1 : 0;
        peer.Shutdown();
      }
      if (request.find("/first") == std::string::npos) {
        return;
      }
      peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
  }

  const raw_socket listener_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> second_requests_ = 0;
  std::atomic<int> reused_connections_ = 0;
  std::thread thread_;
};

// Guards against the library's automatic retry on a new connection when a reused one breaks: the server may already
// have started the task.
TEST(HttpAbuse, RequestIsNotResentWhenAReusedConnectionBreaks) {
  constexpr int kRounds = 20;
  for (const char* body : {"{\"task\":1}", ""}) {
    breaking_server server;
    failure error;
    const std::unique_ptr<http_client> client = http_client::Open(server.address(), error);
    for (int round = 1; round <= kRounds; ++round) {
      ASSERT_TRUE(client->Send({"POST", "/first", {}, "", ""}, kTimeout, error)) << error.reason;
      EXPECT_FALSE(client->Send({"POST", "/second", {}, body, ""}, kTimeout, error));
      EXPECT_EQ(error.not_run, not_run_state::kUnknown);
      EXPECT_EQ(server.second_requests(), round) << "the request was sent again";
    }
    // A connection returns to the pool shortly after the response, so not every round reuses one.
    EXPECT_GT(server.reused_connections(), 0);
  }
}

// Sends one byte of an endless request after each response to a well-behaved caller, until the server closes the
// connection. Returns whether it did so within kTimeout.
bool IsDisconnected(const http_server& server, std::string_view start, std::string_view more) {
  const raw_socket slow = raw_socket::Connect(server.port());
  const instant begin = std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
  bool open = slow.Send(start);
  while (open && std::chrono::steady_clock::now() - begin < kTimeout) {
    EXPECT_TRUE(ServesRequests(server)) << "a slow caller blocks other callers";
    open = !slow.IsReadable() && slow.Send(more);
  }
  return !open;
}

// Guards against callers that occupy connections by sending requests very slowly or incompletely.
TEST(HttpAbuse, SlowRequestsAreDisconnectedWithoutBlockingOthers) {
  struct test_case {
    const char* start;
    const char* more;
  };
  const test_case cases[] = {
      {"GET / HTTP/1.1\r\nHost: a\r\nX: ", "x"},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n", "x"},
      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
      {"GET / HTTP/1.1\r\nHo", ""},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n", ""},
  };
  http_limits limits;
  limits.read_timeout = std::chrono::milliseconds(200);
  const std::unique_ptr<http_server> server = OpenServer(limits, RespondImmediately);
  for (const test_case& each : cases) {
    EXPECT_TRUE(IsDisconnected(*server, each.start, each.more)) << each.start << each.more;
  }
  server->Close();
  EXPECT_EQ(server->open_requests(), 0U);
}

// Guards against disconnecting callers that are idle or wait for the response to a long-running request.
TEST(HttpAbuse, WaitingAndIdleCallersStayConnected) {
  http_limits limits;
  limits.read_timeout = std::chrono::milliseconds(100);
  std::promise<http_server::responder> received_responder;
  const std::unique_ptr<http_server> server =
      OpenServer(limits, [&received_responder](const http_request& request, const http_server::responder& answer) {
        if (request.path == "/wait") {
          received_responder.set_value(answer);
        } else {
          RespondImmediately(request, answer);
        }
      });
  const raw_socket idle = raw_socket::Connect(server->port());
  ASSERT_TRUE(idle.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  EXPECT_NE(idle.ReadUntil("\r\n\r\n0").find("200"), std::string::npos);
  const raw_socket waiting = raw_socket::Connect(server->port());
  ASSERT_TRUE(waiting.Send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"));
  const http_server::responder answer = received_responder.get_future().get();
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(IsDisconnected(*server, "GET / HTTP/1.1\r\nX: ", "x"));
  }
  answer({200, "text/plain", "late", std::nullopt});
  EXPECT_NE(waiting.ReadUntil("late").find("late"), std::string::npos);
  ASSERT_TRUE(idle.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  EXPECT_NE(idle.ReadUntil("\r\n\r\n0").find("200"), std::string::npos);
}

// Guards against a request that never completes because the server accepts the connection but does not respond.
TEST(HttpAbuse, UnresponsiveServerCausesATimeout) {
  const raw_socket listener = raw_socket::Listen();
  failure error;
  const std::unique_ptr<http_client> client = http_client::Open("127.0.0.1:" + std::to_string(listener.port()), error);
  EXPECT_FALSE(client->Send({"POST", "/", {}, "{}", ""}, std::chrono::milliseconds(100), error));
  EXPECT_EQ(error.not_run, not_run_state::kUnknown);
}

}  // namespace
}  // namespace bamboowing
