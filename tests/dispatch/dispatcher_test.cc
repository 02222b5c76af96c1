#include "bamboowing/dispatch/dispatcher.h"

#include <gtest/gtest.h>

#include <chrono>
#include <set>

namespace bamboowing {
namespace {

using std::chrono::milliseconds;

instant At(int ms) { return instant(milliseconds(ms)); }

job_spec MakeJob(const std::string& id, std::size_t tasks) {
  job_spec job;
  job.job_id = id;
  job.team = "survey";
  job.service = "defects";
  job.deadline = milliseconds(60'000);
  job.tasks.resize(tasks);
  return job;
}

std::vector<assignment> Starts(dispatcher& queue, instant now) {
  std::vector<assignment> out;
  queue.NextStarts(now, out);
  return out;
}

task_answer Answer(const task_key& key, duration run_time = milliseconds(100)) {
  task_answer answer;
  answer.key = key;
  answer.run_time = run_time;
  return answer;
}

// Guards against a start on a target whose slots are all in use.
TEST(Dispatcher, StartsOnlyOnFreeSlots) {
  dispatcher queue(dispatch_settings(), 1);
  queue.AddTarget("a", 2, At(0));
  ASSERT_FALSE(queue.Admit(MakeJob("j", 5), At(0)).has_value());
  const std::vector<assignment> first = Starts(queue, At(0));
  ASSERT_EQ(first.size(), 2U);
  EXPECT_TRUE(Starts(queue, At(1)).empty());
  EXPECT_EQ(queue.OnAnswered(Answer(first[0].key), "a", At(100)), task_outcome::kFinal);
  EXPECT_EQ(Starts(queue, At(100)).size(), 1U);
  EXPECT_EQ(queue.counts().waiting, 2U);
  EXPECT_EQ(queue.counts().in_flight, 2U);
}

// Guards against a slot that is freed twice by a repeated answer.
TEST(Dispatcher, RepeatedAnswerHasNoEffect) {
  dispatcher queue(dispatch_settings(), 1);
  queue.AddTarget("a", 1, At(0));
  ASSERT_FALSE(queue.Admit(MakeJob("j", 3), At(0)).has_value());
  const task_key key = Starts(queue, At(0)).at(0).key;
  EXPECT_EQ(queue.OnAnswered(Answer(key), "a", At(100)), task_outcome::kFinal);
  EXPECT_EQ(queue.OnAnswered(Answer(key), "a", At(100)), task_outcome::kUnknown);
  EXPECT_EQ(queue.OnTaskLost(key, At(100)), task_outcome::kUnknown);
  EXPECT_EQ(Starts(queue, At(100)).size(), 1U);
}

// Guards against a refused task that is lost, or that starts again under the attempt that was refused.
TEST(Dispatcher, RefusedTaskIsQueuedAgainWithNextAttempt) {
  dispatcher queue(dispatch_settings(), 1);
  queue.AddTarget("a", 1, At(0));
  ASSERT_FALSE(queue.Admit(MakeJob("j", 1), At(0)).has_value());
  const task_key key = Starts(queue, At(0)).at(0).key;
  queue.OnRefused(key, At(1));
  const std::vector<assignment> again = Starts(queue, At(1));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].key.attempt, key.attempt + 1);
  EXPECT_EQ(queue.OnAnswered(Answer(key), "a", At(2)), task_outcome::kUnknown);
}

// Guards against starts of a cancelled job, and against a slot that is reused while its task still runs.
TEST(Dispatcher, CancelledJobKeepsSlotsUntilAnswered) {
  dispatcher queue(dispatch_settings(), 1);
  queue.AddTarget("a", 1, At(0));
  ASSERT_FALSE(queue.Admit(MakeJob("j", 3), At(0)).has_value());
  const task_key key = Starts(queue, At(0)).at(0).key;
  ASSERT_FALSE(queue.Admit(MakeJob("k", 1), At(0)).has_value());
  std::vector<task_key> in_flight;
  queue.CancelJob("j", At(1), in_flight);
  ASSERT_EQ(in_flight.size(), 1U);
  EXPECT_EQ(in_flight[0], key);
  EXPECT_TRUE(Starts(queue, At(1)).empty());
  queue.OnAnswered(Answer(key), "a", At(50));
  EXPECT_EQ(Starts(queue, At(50)).at(0).key.job_id, "k");
}

// Guards against a job that stays queued after its deadline.
TEST(Dispatcher, ExpiredJobIsListedOnceAndDropped) {
  dispatcher queue(dispatch_settings(), 1);
  ASSERT_FALSE(queue.Admit(MakeJob("j", 2), At(0)).has_value());
  ASSERT_EQ(queue.next_wakeup(), At(60'000));
  std::vector<std::string> expired;
  queue.ExpireJobs(At(59'999), expired);
  EXPECT_TRUE(expired.empty());
  queue.ExpireJobs(At(60'000), expired);
  queue.ExpireJobs(At(60'001), expired);
  EXPECT_EQ(expired, std::vector<std::string>{"j"});
  EXPECT_EQ(queue.counts().jobs, 0U);
}

// Guards against tasks of a removed target that are never reported.
TEST(Dispatcher, RemovedTargetListsItsTasksInFlight) {
  dispatcher queue(dispatch_settings(), 1);
  queue.AddTarget("a", 2, At(0));
  ASSERT_FALSE(queue.Admit(MakeJob("j", 3), At(0)).has_value());
  Starts(queue, At(0));
  std::vector<task_key> in_flight;
  queue.RemoveTarget("a", At(1), in_flight);
  EXPECT_EQ(in_flight.size(), 2U);
  EXPECT_TRUE(Starts(queue, At(1)).empty());
}

// Guards against a recovered job that runs tasks which an earlier leader started.
TEST(Dispatcher, PartialJobStartsOnlyTheNamedTasks) {
  dispatcher queue(dispatch_settings(), 1);
  queue.AddTarget("a", 8, At(0));
  const std::vector<std::uint32_t> tasks = {1, 3};
  ASSERT_FALSE(queue.AdmitPartial(MakeJob("j", 5), tasks, At(0)).has_value());
  std::set<std::uint32_t> started;
  for (const assignment& start : Starts(queue, At(0))) {
    started.insert(start.key.task);
  }
  EXPECT_EQ(started, (std::set<std::uint32_t>{1, 3}));
}

}  // namespace
}  // namespace bamboowing
