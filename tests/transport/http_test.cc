#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "bamboowing/transport/http_client.h"
#include "bamboowing/transport/http_server.h"
#include "raw_socket.h"

namespace bamboowing {
namespace {

constexpr duration kTimeout = std::chrono::seconds(5);

std::string Address(const http_server& server) { return "127.0.0.1:" + std::to_string(server.port()); }

std::unique_ptr<http_server> OpenEcho(const http_limits& limits) {
  failure error;
  std::unique_ptr<http_server> server = http_server::Open(
      "127.0.0.1:0",
      [](const http_request& request, const http_server::responder& answer) {
        http_response response;
        response.body = request.method + " " + request.path + " " + request.authorization + " " + request.body;
        for (const std::pair<const std::string, std::string>& item : request.query) {
          response.body += " " + item.first + "=" + item.second;
        }
        answer(response);
      },
      limits, error);
  EXPECT_NE(server, nullptr) << error.reason;
  return server;
}

// Guards against parts of a request that are lost or not decoded between client and server.
TEST(Http, TransfersEveryPartOfARequest) {
  const std::unique_ptr<http_server> server = OpenEcho({});
  failure error;
  const std::unique_ptr<http_client> client = http_client::Open(Address(*server), error);
  http_request request{"POST", "/v1/jobs", {{"a b", "c&d"}}, "{}", "Bearer x"};
  const std::optional<http_response> response = client->Send(request, kTimeout, error);
  ASSERT_TRUE(response) << error.reason;
  EXPECT_EQ(response->body, "POST /v1/jobs Bearer x {} a b=c&d");
  EXPECT_EQ(response->status, 200);
}

// Guards against reporting an unknown outcome for a request whose connection was refused.
TEST(Http, RefusedConnectionIsReportedAsNotSent) {
  std::unique_ptr<http_server> server = OpenEcho({});
  const std::string address = Address(*server);
  server->Close();
  server.reset();
  failure error;
  const std::unique_ptr<http_client> client = http_client::Open(address, error);
  EXPECT_FALSE(client->Send({"GET", "/", {}, "", ""}, kTimeout, error));
  EXPECT_EQ(error.not_run, not_run_state::kYes) << error.reason;
  EXPECT_EQ(error.kind, error_kind::kNoTarget);
}

// Guards against reporting a broken connection as an unreachable server: the server may continue the work, and a retry
// elsewhere would run the task twice at the same time, as seen in the fault soak.
TEST(Http, BrokenConnectionIsNotReportedAsNoTarget) {
  const raw_socket listener = raw_socket::Listen();
  failure error;
  const std::unique_ptr<http_client> client = http_client::Open("127.0.0.1:" + std::to_string(listener.port()), error);
  std::thread server([&listener] {
    for (int i = 0; i < 2; ++i) {
      const raw_socket accepted = listener.Accept();
      accepted.ReadUntil("\r\n\r\n");
      if (i == 0) {
        // The client keeps this connection for reuse; the server then closes it.
        accepted.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      }
    }
  });
  EXPECT_TRUE(client->Send({"GET", "/", {}, "", ""}, kTimeout, error)) << error.reason;
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  EXPECT_FALSE(client->Send({"POST", "/", {}, "{}", ""}, kTimeout, error));
  EXPECT_NE(error.kind, error_kind::kNoTarget) << error.reason;
  // Unblocks the server's Accept() if the client did not reconnect.
  raw_socket::Connect(listener.port());
  server.join();
}

// Guards against a use after free: a handler that has responded but not returned still uses its owner, which may be
// destroyed after Close().
TEST(Http, CloseWaitsForHandlersThatHaveResponded) {
  failure error;
  std::atomic<bool> returned = false;
  const std::unique_ptr<http_server> server = http_server::Open(
      "127.0.0.1:0",
      [&returned](const http_request& /*request*/, const http_server::responder& answer) {
        answer(http_response());
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        returned = true;
      },
      http_limits(), error);
  ASSERT_NE(server, nullptr) << error.reason;
  const std::unique_ptr<http_client> client = http_client::Open(Address(*server), error);
  EXPECT_TRUE(client->Send({"GET", "/", {}, "", ""}, kTimeout, error)) << error.reason;
  server->Close();
  EXPECT_TRUE(returned);
}

// Guards against accepting host names, which need a name service, and ports out of range.
TEST(Http, RejectsMalformedAddresses) {
  for (const char* address : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:8x", ""}) {
    failure error;
    EXPECT_EQ(http_client::Open(address, error), nullptr) << address;
    EXPECT_EQ(error.kind, error_kind::kInvalidField);
  }
}

}  // namespace
}  // namespace bamboowing
