#include <gtest/gtest.h>

#include <chrono>
#include <future>

#include "bamboowing/transport/http_server.h"
#include "bamboowing/transport/key_value_store.h"
#include "bamboowing/transport/target_runner.h"

namespace bamboowing {
namespace {

constexpr duration kTimeout = std::chrono::seconds(5);

std::string Nested(std::size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

/// A server that answers each request with the same body.
class scripted_server {
 public:
  scripted_server() {
    failure error;
    server_ = http_server::Open(
        "127.0.0.1:0",
        [this](const http_request&, const http_server::responder& answer) {
          answer({200, "application/json", body, std::nullopt});
        },
        http_limits(), error);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }

  std::string body;

 private:
  std::unique_ptr<http_server> server_;
};

std::vector<std::string> OddBodies() {
  return {"",
          "\xff",
          "[]",
          "7",
          "null",
          R"({"grant":"x","state":7,"result":7})",
          R"({"grant":-1,"state":"succeeded","result":{}})",
          R"({"grant":1e300,"state":null,"checkpoint":7,"last_grant":"x"})",
          R"({"last_grant":-1,"cores":1e300,"memory_bytes":-1})",
          R"({"key":7,"value":7,"version":-1,"revision":1e300,"items":7,"deleted":[7],"lease":"x"})",
          R"({"revision":-1,"items":[],"deleted":[]})",
          R"({"revision":1e300,"items":[],"deleted":[]})",
          "{\"result\":" + Nested(200'000) + "}",
          Nested(400'000)};
}

std::optional<task_answer> RunOnce(target_runner& runner) {
  const std::shared_ptr<std::promise<std::optional<task_answer>>> promise =
      std::make_shared<std::promise<std::optional<task_answer>>>();
  runner.Run({{"job", 0, 0}, "x", std::chrono::milliseconds(300), false},
             [promise](std::optional<task_answer> answer, const failure&) { promise->set_value(std::move(answer)); });
  std::future<std::optional<task_answer>> outcome = promise->get_future();
  EXPECT_EQ(outcome.wait_for(kTimeout), std::future_status::ready);
  return outcome.get();
}

// Guards against an agent that ends because of an exception in the callback of a worker's response.
TEST(OddResponse, OfAWorkerEndsTheTaskOnly) {
  scripted_server server;
  for (const std::string& body : OddBodies()) {
    server.body = body;
    failure error;
    worker_settings settings;
    settings.capacity = {4, 4ULL << 30U};
    settings.task_size = {1, 1ULL << 30U};
    settings.usage_interval = duration(0);
    const std::unique_ptr<target_runner> runner =
        OpenWorkerRunner("http://" + server.address() + "/v1/tasks", settings, error);
    ASSERT_NE(runner, nullptr) << error.reason;
    RunOnce(*runner);
    std::promise<void> done;
    runner->Checkpoint({"job", 0, 0}, [&done](const std::optional<std::string>&, const failure&) { done.set_value(); });
    EXPECT_EQ(done.get_future().wait_for(kTimeout), std::future_status::ready);
  }
}

// Guards against an agent that ends because of a minion's response.
TEST(OddResponse, OfAMinionEndsTheTaskOnly) {
  scripted_server server;
  failure error;
  const std::unique_ptr<target_runner> runner = OpenMinionRunner("http://" + server.address() + "/run", error);
  ASSERT_NE(runner, nullptr) << error.reason;
  for (const std::string& body : OddBodies()) {
    server.body = body;
    EXPECT_TRUE(RunOnce(*runner).has_value()) << body.substr(0, 60);
  }
}

// Guards against an exception in the callback of the key-value service's response, and against a number that wraps.
TEST(OddResponse, OfTheKeyValueServiceIsAnError) {
  scripted_server server;
  failure error;
  const std::unique_ptr<key_value_store> store = OpenHttpKeyValueStore(server.address(), kTimeout, error);
  ASSERT_NE(store, nullptr) << error.reason;
  for (const std::string& body : OddBodies()) {
    server.body = body;
    std::promise<bool> listed;
    store->List("", [&listed](const std::optional<list_result>& result, const failure&) {
      listed.set_value(result.has_value());
    });
    EXPECT_FALSE(listed.get_future().get()) << body.substr(0, 60);
    std::promise<bool> read;
    store->Get(
        "k", [&read](const std::optional<get_result>& result, const failure&) { read.set_value(result.has_value()); });
    EXPECT_FALSE(read.get_future().get()) << body.substr(0, 60);
  }
}

}  // namespace
}  // namespace bamboowing
