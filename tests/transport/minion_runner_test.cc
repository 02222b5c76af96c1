#include <gtest/gtest.h>

#include <chrono>
#include <future>

#include "bamboowing/transport/http_client.h"
#include "bamboowing/transport/target_runner.h"
#include "raw_socket.h"
#include "standins/minion.h"

namespace bamboowing {
namespace {

constexpr duration kTimeout = std::chrono::seconds(5);

struct run_outcome {
  std::optional<task_answer> answer;
  failure error;
};

std::future<run_outcome> StartRun(target_runner& runner, const std::string& payload, std::uint32_t task = 0,
                                  duration limit = kTimeout) {
  const std::shared_ptr<std::promise<run_outcome>> promise = std::make_shared<std::promise<run_outcome>>();
  runner.Run({{"job", task, 0}, payload, limit, false}, [promise](std::optional<task_answer> answer, failure error) {
    promise->set_value({std::move(answer), std::move(error)});
  });
  return promise->get_future();
}

std::string RunUrl(int port) { return "http://127.0.0.1:" + std::to_string(port) + "/run"; }

class MinionRunner : public testing::Test {
 protected:
  void SetUp() override { Start({}); }

  void Start(const standin::minion_options& options) {
    failure error;
    minion_ = standin::minion::Open(options, error);
    ASSERT_NE(minion_, nullptr) << error.reason;
    runner_ = OpenMinionRunner(RunUrl(minion_->port()), error);
    ASSERT_NE(runner_, nullptr) << error.reason;
  }

  std::unique_ptr<standin::minion> minion_;
  std::unique_ptr<target_runner> runner_;
};

// Guards against payloads and results that are altered in transit.
TEST_F(MinionRunner, ReturnsTheResultOfThePayload) {
  const std::string payload = R"({"work_ms":1,"text":"ü \"quoted\""})";
  const run_outcome outcome = StartRun(*runner_, payload).get();
  ASSERT_TRUE(outcome.answer) << outcome.error.reason;
  EXPECT_EQ(outcome.answer->status, task_status::kSucceeded);
  EXPECT_EQ(outcome.answer->result, standin::MinionResult(payload));
  EXPECT_GE(outcome.answer->run_time, std::chrono::milliseconds(1));
}

// Guards against faults reported with the wrong status: a task that may have run must not be started again, and one
// that was not started must not be reported as lost.
TEST_F(MinionRunner, EachFaultHasItsStatus) {
  struct test_case {
    const char* name;
    standin::minion_options options;
    std::optional<task_status> status;  // nullopt: not started
  };
  std::vector<test_case> cases(4);
  cases[0] = {"fails", {}, task_status::kFailed};
  cases[0].options.fault = standin::minion_fault::kFailAll;
  cases[1] = {"silent", {}, task_status::kTimeLimit};
  cases[1].options.fault = standin::minion_fault::kSilent;
  cases[2] = {"refuses", {}, std::nullopt};
  cases[2].options.connections = 0;
  cases[3] = {"fails a share", {}, task_status::kFailed};
  cases[3].options.fault = standin::minion_fault::kFailShare;
  cases[3].options.fail_share = 1;
  for (const test_case& each : cases) {
    Start(each.options);
    const run_outcome outcome = StartRun(*runner_, R"({"work_ms":1})", 0, std::chrono::milliseconds(300)).get();
    ASSERT_EQ(outcome.answer.has_value(), each.status.has_value()) << each.name;
    if (each.status) {
      EXPECT_EQ(outcome.answer->status, *each.status) << each.name;
    } else {
      EXPECT_EQ(outcome.error.not_run, not_run_state::kYes) << each.name;
    }
  }
}

// Guards against reporting a task as possibly started when the connection was refused, and as not started when the
// connection broke.
TEST_F(MinionRunner, RefusedConnectionIsNotStartedAndBrokenConnectionIsLost) {
  failure error;
  const int port = minion_->port();
  minion_->Close();
  std::unique_ptr<target_runner> dead = OpenMinionRunner(RunUrl(port), error);
  const run_outcome refused = StartRun(*dead, "x").get();
  EXPECT_FALSE(refused.answer);
  EXPECT_EQ(refused.error.not_run, not_run_state::kYes);

  const raw_socket listener = raw_socket::Listen();
  std::unique_ptr<target_runner> breaking = OpenMinionRunner(RunUrl(listener.port()), error);
  std::future<run_outcome> broken = StartRun(*breaking, "x");
  listener.Accept().ReadUntil("payload");
  const run_outcome lost = broken.get();
  ASSERT_TRUE(lost.answer);
  EXPECT_EQ(lost.answer->status, task_status::kLost);
}

// Guards against opening more connections than a minion accepts, and against connections that are not released.
TEST_F(MinionRunner, LimitsOpenConnections) {
  standin::minion_options options;
  options.fault = standin::minion_fault::kSilent;
  Start(options);
  std::vector<std::future<run_outcome>> held;
  for (std::uint32_t task = 0; task < kMaxMinionConnections; ++task) {
    held.push_back(StartRun(*runner_, "x", task, std::chrono::milliseconds(500)));
  }
  EXPECT_EQ(StartRun(*runner_, "x", 1000).get().error.kind, error_kind::kNoSlot);
  for (std::future<run_outcome>& each : held) {
    EXPECT_EQ(each.get().answer.value().status, task_status::kTimeLimit);
  }
  failure error;
  const std::unique_ptr<http_client> control = http_client::Open("127.0.0.1:" + std::to_string(minion_->port()), error);
  ASSERT_TRUE(control->Send({"POST", "/fault", {}, R"({"mode":"none"})", ""}, kTimeout, error));
  EXPECT_NE(StartRun(*runner_, "x", 1001).get().error.kind, error_kind::kNoSlot);
}

// Guards against a cancelled task that is answered twice or never.
TEST_F(MinionRunner, StoppedTaskIsAnsweredOnceAsCancelled) {
  std::future<run_outcome> outcome = StartRun(*runner_, R"({"work_ms":50})");
  runner_->Stop({"job", 0, 0});
  EXPECT_EQ(outcome.get().answer.value().status, task_status::kCancelled);
  runner_->Stop({"job", 0, 0});
  // The second run waits for the only slot, so it ends after the response of the first one was dropped.
  EXPECT_EQ(StartRun(*runner_, R"({"work_ms":100})", 1).get().answer.value().status, task_status::kSucceeded);
}

// Guards against accepting announced URLs that are malformed or contain host names, which need a name service.
TEST_F(MinionRunner, RejectsMalformedUrls) {
  for (const char* url :
       {"", "127.0.0.1:1/run", "http://localhost:1/run", "http://127.0.0.1:1", "https://127.0.0.1:1/"}) {
    failure error;
    EXPECT_EQ(OpenMinionRunner(url, error), nullptr) << url;
  }
}

}  // namespace
}  // namespace bamboowing
