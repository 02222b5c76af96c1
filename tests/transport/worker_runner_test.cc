#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <vector>

#include "bamboowing/transport/target_runner.h"
#include "standins/minion.h"
#include "standins/worker.h"

namespace bamboowing {
namespace {

constexpr duration kTimeout = std::chrono::seconds(5);
constexpr std::uint64_t kGigabyte = 1ULL << 30U;

struct run_outcome {
  std::optional<task_answer> answer;
  failure error;
};

class WorkerRunner : public testing::Test {
 protected:
  void SetUp() override {
    settings_.capacity = {30, 64 * kGigabyte};
    settings_.task_size = {2, kGigabyte};
    Start({});
  }

  void Start(const standin::worker_options& options) {
    failure error;
    worker_ = standin::worker::Open(options, error);
    ASSERT_NE(worker_, nullptr) << error.reason;
    const std::string url = "http://127.0.0.1:" + std::to_string(worker_->port()) + "/v1/tasks";
    runner_ = OpenWorkerRunner(url, settings_, error);
    ASSERT_NE(runner_, nullptr) << error.reason;
  }

  std::future<run_outcome> Run(const std::string& payload, std::uint32_t task = 0, duration limit = kTimeout) {
    const std::shared_ptr<std::promise<run_outcome>> promise = std::make_shared<std::promise<run_outcome>>();
    runner_->Run({{"job", task, 0}, payload, limit, false},
                 [promise](std::optional<task_answer> answer, failure error) {
                   promise->set_value({std::move(answer), std::move(error)});
                 });
    return promise->get_future();
  }

  worker_settings settings_;
  std::unique_ptr<standin::worker> worker_;
  std::unique_ptr<target_runner> runner_;
};

// Guards against task outcomes reported with the wrong status.
TEST_F(WorkerRunner, EachOutcomeHasItsStatus) {
  struct test_case {
    const char* payload;
    duration limit;
    task_status status;
  };
  const test_case cases[] = {
      {R"({"work_ms":1})", kTimeout, task_status::kSucceeded},
      {R"({"work_ms":5000,"use_cores":2.5})", kTimeout, task_status::kFailed},
      {R"({"work_ms":5000,"use_memory_bytes":2000000000})", kTimeout, task_status::kFailed},
      {R"({"work_ms":5000})", std::chrono::milliseconds(100), task_status::kTimeLimit},
  };
  std::uint32_t task = 0;
  for (const test_case& each : cases) {
    const run_outcome outcome = Run(each.payload, ++task, each.limit).get();
    ASSERT_TRUE(outcome.answer) << each.payload << outcome.error.reason;
    EXPECT_EQ(outcome.answer->status, each.status) << each.payload;
    if (each.status == task_status::kSucceeded) {
      EXPECT_EQ(outcome.answer->result, standin::MinionResult(each.payload));
    }
  }
}

// Guards against a lease that expires while its task is running.
TEST_F(WorkerRunner, RenewsTheLeaseOfALongTask) {
  settings_.lease_duration = std::chrono::milliseconds(150);
  Start({});
  EXPECT_EQ(Run(R"({"work_ms":600})").get().answer.value().status, task_status::kSucceeded);
}

// Guards against overcommitting a worker while its usage report lags: the report shows no usage during the whole test.
TEST_F(WorkerRunner, CountsGrantsThatALaggingReportOmits) {
  settings_.usage_interval = duration(0);
  standin::worker_options options;
  options.usage_lag = std::chrono::hours(1);
  options.cores = 1000;
  Start(options);
  std::vector<std::future<run_outcome>> runs;
  for (std::uint32_t task = 0; task < 15; ++task) {
    runs.push_back(Run(R"({"work_ms":300})", task));
  }
  EXPECT_EQ(Run("{}", 100).get().error.kind, error_kind::kNoSlot);
  for (std::future<run_outcome>& run : runs) {
    EXPECT_EQ(run.get().answer.value().status, task_status::kSucceeded);
  }
}

// Guards against reporting a task as possibly started when the worker refused it.
TEST_F(WorkerRunner, TasksRefusedByTheWorkerAreReportedAsNotRun) {
  standin::worker_options options;
  options.cores = 1;
  Start(options);
  const run_outcome refused = Run("{}").get();
  EXPECT_FALSE(refused.answer);
  EXPECT_EQ(refused.error.not_run, not_run_state::kYes);
}

// Guards against a task that continues or is answered twice after Stop(), a throttled task that continues at full
// speed, and a lost checkpoint.
TEST_F(WorkerRunner, StopsThrottlesAndMakesCheckpoints) {
  settings_.task_size = {20, kGigabyte};
  settings_.usage_interval = duration(0);
  Start({});
  std::future<run_outcome> run = Run(R"({"work_ms":60000})");
  std::optional<std::string> text;
  while (!text) {  // until the task has started
    std::promise<std::optional<std::string>> checkpoint;
    runner_->Checkpoint({"job", 0, 0}, [&checkpoint](std::optional<std::string> made, const failure&) {
      checkpoint.set_value(std::move(made));
    });
    text = checkpoint.get_future().get();
  }
  EXPECT_LT(std::stod(*text), 0.5);
  EXPECT_TRUE(runner_->Throttle({"job", 0, 0}, 0.5));
  runner_->Stop({"job", 0, 0});
  EXPECT_EQ(run.get().answer.value().status, task_status::kCancelled);
  EXPECT_FALSE(runner_->Throttle({"job", 0, 0}, 0.5));
}

// Guards against grants that are counted twice or not at all around a report, and against an outdated report that
// removes them.
TEST(WorkerCommitments, AddsGrantsSinceTheReport) {
  worker_commitments commitments({10, 100});
  commitments.Reserve({4, 10});
  EXPECT_DOUBLE_EQ(commitments.Committed().cores, 4);
  commitments.Confirm({4, 10}, 1);
  EXPECT_DOUBLE_EQ(commitments.Committed().cores, 4);
  commitments.Reserve({4, 10});
  commitments.Confirm({4, 10}, 2);
  EXPECT_FALSE(commitments.Fits({4, 10}));
  commitments.ApplyReport({1, {3, 9}});
  EXPECT_DOUBLE_EQ(commitments.Committed().cores, 7);
  commitments.ApplyReport({2, {0, 0}});
  EXPECT_TRUE(commitments.Fits({10, 100}));
  EXPECT_FALSE(commitments.Fits({1, 101}));
  commitments.ApplyReport({1, {3, 9}});
  EXPECT_DOUBLE_EQ(commitments.Committed().cores, 0);
  commitments.Reserve({4, 10});
  commitments.Confirm({4, 10}, 0);
  EXPECT_DOUBLE_EQ(commitments.Committed().cores, 0);
}

}  // namespace
}  // namespace bamboowing
