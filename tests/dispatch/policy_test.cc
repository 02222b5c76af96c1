#include <gtest/gtest.h>

#include <chrono>
#include <map>

#include "bamboowing/dispatch/dispatcher.h"

namespace bamboowing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant At(std::int64_t ms) { return instant(milliseconds(ms)); }

job_spec MakeJob(const std::string& id, const std::string& team, std::size_t tasks, milliseconds declared) {
  job_spec job;
  job.job_id = id;
  job.team = team;
  job.deadline = seconds(600);
  job.tasks.resize(tasks);
  for (task_spec& task : job.tasks) {
    task.declared_run_time = declared;
  }
  return job;
}

std::vector<assignment> Starts(dispatcher& queue, instant now) {
  std::vector<assignment> out;
  queue.NextStarts(now, out);
  return out;
}

task_outcome Answer(dispatcher& queue, const assignment& start, task_status status, instant now,
                    duration run_time = milliseconds(100)) {
  task_answer answer;
  answer.key = start.key;
  answer.status = status;
  answer.run_time = run_time;
  return queue.OnAnswered(answer, start.target, now);
}

// Guards against an estimator that trusts declared times that are ten times too long.
TEST(RunTimeEstimator, CorrectsBiasedDeclarations) {
  run_time_estimator estimator(4, milliseconds(400));
  task_spec task;
  task.declared_run_time = milliseconds(1000);
  const std::uint8_t declaration = run_time_estimator::DeclarationClass(task);
  EXPECT_NEAR(estimator.Estimate(0, declaration).mean_us, 1e6, 0.25e6);
  for (int i = 0; i < 100; ++i) {
    estimator.Observe(0, declaration, 100e3);
  }
  EXPECT_NEAR(estimator.Estimate(0, declaration).mean_us, 100e3, 5e3);
  // A team without observations starts from the estimate of all teams.
  EXPECT_NEAR(estimator.Estimate(1, declaration).mean_us, 100e3, 5e3);
}

// Guards against a class that mixes declared run times with declared sizes.
TEST(RunTimeEstimator, SeparatesSizesFromRunTimes) {
  run_time_estimator estimator(1, milliseconds(400));
  task_spec task;
  task.input_size = 1U << 30U;
  const std::uint8_t by_size = run_time_estimator::DeclarationClass(task);
  for (int i = 0; i < 100; ++i) {
    estimator.Observe(0, by_size, 5e6);
  }
  EXPECT_NEAR(estimator.Estimate(0, by_size).mean_us, 5e6, 0.5e6);
  task.declared_run_time = milliseconds(10);
  const double other = estimator.Estimate(0, run_time_estimator::DeclarationClass(task)).mean_us;
  EXPECT_LT(other, 50e3);
}

// Guards against a large job that blocks a small one, and against one that never starts behind small ones.
TEST(Order, SmallJobsDoNotStarveLargeOnes) {
  dispatcher queue(dispatch_settings(), 1);
  queue.AddTarget("a", 1, At(0));
  ASSERT_FALSE(queue.Admit(MakeJob("large", "t", 20, milliseconds(200)), At(0)).has_value());
  ASSERT_FALSE(queue.Admit(MakeJob("small", "t", 1, milliseconds(200)), At(1)).has_value());
  const assignment first = Starts(queue, At(1)).at(0);
  EXPECT_EQ(first.key.job_id, "small");
  Answer(queue, first, task_status::kSucceeded, At(201), milliseconds(200));
  // One small job arrives every 200 ms, which alone would fill the slot.
  int large_starts = 0;
  for (int i = 0; i < 2'000; ++i) {
    const instant now = At(1'000 + i * 200);
    ASSERT_FALSE(queue.Admit(MakeJob("s" + std::to_string(i), "t", 1, milliseconds(200)), now).has_value());
    for (const assignment& start : Starts(queue, now)) {
      large_starts += start.key.job_id == "large" ? 1 : 0;
      Answer(queue, start, task_status::kSucceeded, now + milliseconds(199), milliseconds(200));
    }
  }
  EXPECT_EQ(large_starts, 20);
}

// Guards against a team that takes the share of another by queueing more.
TEST(Order, TeamsGetTheirSharesWhenAllHaveWork) {
  dispatcher queue(dispatch_settings(), 1);
  std::vector<team_share> teams = {{"big", 3, 0, 1.0}, {"little", 1, 0, 1.0}};
  queue.SetTeams(teams);
  queue.AddTarget("a", 4, At(0));
  for (int i = 0; i < 400; ++i) {
    ASSERT_FALSE(queue.Admit(MakeJob("b" + std::to_string(i), "big", 4, milliseconds(100)), At(0)).has_value());
    ASSERT_FALSE(queue.Admit(MakeJob("l" + std::to_string(i), "little", 8, milliseconds(100)), At(0)).has_value());
  }
  std::map<char, int> started;
  for (int step = 0; step < 300; ++step) {
    const instant now = At(step * 100);
    for (const assignment& start : Starts(queue, now)) {
      // The shares take effect only after the burst credit is used up.
      started[start.key.job_id[0]] += step >= 100 ? 1 : 0;
      Answer(queue, start, task_status::kSucceeded, now + milliseconds(99));
    }
  }
  EXPECT_NEAR(static_cast<double>(started['b']) / (started['b'] + started['l']), 0.75, 0.1);
}

// Guards against a priority without effect, and against one that stops the teams of lower priority.
TEST(Order, PriorityIsABoundedLead) {
  dispatcher queue(dispatch_settings(), 1);
  std::vector<team_share> teams = {{"urgent", 1, 1, 1.0}, {"plain", 1, 0, 1.0}};
  queue.SetTeams(teams);
  ASSERT_FALSE(queue.Admit(MakeJob("plain", "plain", 1, milliseconds(10)), At(10'000)).has_value());
  ASSERT_FALSE(queue.Admit(MakeJob("urgent", "urgent", 1, milliseconds(10)), At(10'500)).has_value());
  ASSERT_FALSE(queue.Admit(MakeJob("late", "urgent", 1, milliseconds(10)), At(12'000)).has_value());
  queue.AddTarget("a", 1, At(12'000));
  std::vector<std::string> order;
  for (int i = 0; i < 3; ++i) {
    const assignment start = Starts(queue, At(12'000 + i)).at(0);
    order.push_back(start.key.job_id);
    Answer(queue, start, task_status::kSucceeded, At(12'000 + i));
  }
  EXPECT_EQ(order, (std::vector<std::string>{"urgent", "plain", "late"}));
}

// Guards against a long task on a slow target when a fast one is about to be free, and against a task that is held back
// forever because the faster target hangs.
TEST(Placement, HoldsATaskForAFasterTargetForABoundedTime) {
  dispatcher queue(dispatch_settings(), 1);
  queue.AddTarget("fast", 4, At(0));
  queue.AddTarget("slow", 4, At(0));
  std::int64_t ms = 0;
  for (int i = 0; i < 200; ++i, ms += 1'000) {
    ASSERT_FALSE(queue.Admit(MakeJob("warm" + std::to_string(i), "t", 8, milliseconds(100)), At(ms)).has_value());
    for (std::vector<assignment> starts = Starts(queue, At(ms)); !starts.empty(); starts = Starts(queue, At(ms))) {
      for (const assignment& start : starts) {
        Answer(queue, start, task_status::kSucceeded, At(ms), milliseconds(start.target == "fast" ? 50 : 400));
      }
    }
  }
  ASSERT_FALSE(queue.Admit(MakeJob("four", "t", 4, milliseconds(100)), At(ms)).has_value());
  for (const assignment& start : Starts(queue, At(ms))) {
    EXPECT_EQ(start.target, "fast");
  }
  ASSERT_FALSE(queue.Admit(MakeJob("one", "t", 1, milliseconds(100)), At(ms + 1)).has_value());
  EXPECT_TRUE(Starts(queue, At(ms + 1)).empty());
  ASSERT_TRUE(queue.next_wakeup().has_value());
  EXPECT_LE(*queue.next_wakeup(), At(ms + 1) + dispatch_settings().order.hold_limit);
  const std::vector<assignment> late = Starts(queue, At(ms + 1) + dispatch_settings().order.hold_limit);
  ASSERT_EQ(late.size(), 1U);
  EXPECT_EQ(late[0].target, "slow");
}

// Guards against admitting a job that cannot meet its deadline, and against a refusal without retry_after.
TEST(Admission, RefusesWhatCannotEndBeforeItsDeadline) {
  dispatcher queue(dispatch_settings(), 1);
  queue.AddTarget("a", 1, At(0));
  job_spec job = MakeJob("long", "t", 100, milliseconds(1000));
  job.deadline = seconds(20);
  const std::optional<failure> refusal = queue.Admit(job, At(0));
  ASSERT_TRUE(refusal.has_value());
  EXPECT_EQ(refusal->kind, error_kind::kDeadlineInfeasible);
  EXPECT_EQ(refusal->not_run, not_run_state::kYes);
  EXPECT_TRUE(refusal->retry_after.has_value());
  EXPECT_EQ(queue.counts().jobs, 0U);
}

// Guards against one team that fills the whole queue, and against a queue without bound.
TEST(Admission, BoundsTheQueueAndEachTeamsShare) {
  dispatch_settings settings;
  settings.max_waiting_tasks = 100;
  dispatcher queue(settings, 1);
  std::vector<team_share> teams = {{"greedy", 1, 0, 0.5}};
  queue.SetTeams(teams);
  ASSERT_FALSE(queue.Admit(MakeJob("g1", "greedy", 50, milliseconds(10)), At(0)).has_value());
  const std::optional<failure> share = queue.Admit(MakeJob("g2", "greedy", 1, milliseconds(10)), At(0));
  ASSERT_TRUE(share.has_value());
  EXPECT_EQ(share->kind, error_kind::kQuotaExceeded);
  ASSERT_FALSE(queue.Admit(MakeJob("o1", "other", 50, milliseconds(10)), At(0)).has_value());
  const std::optional<failure> full = queue.Admit(MakeJob("o2", "other", 1, milliseconds(10)), At(0));
  ASSERT_TRUE(full.has_value());
  EXPECT_EQ(full->kind, error_kind::kOverloaded);
}

// Runs jobs of one task one after the other; `fails` selects those that fail. Returns the number of failures.
template <typename Fails>
int RunJobs(dispatcher& queue, int jobs, instant& now, const Fails& fails) {
  int failed = 0;
  for (int i = 0; i < jobs; ++i) {
    now += milliseconds(10);
    const std::string id = "j" + std::to_string(now.time_since_epoch().count());
    EXPECT_FALSE(queue.Admit(MakeJob(id, "t", 1, milliseconds(100)), now).has_value());
    for (const assignment& start : Starts(queue, now)) {
      const bool fail = fails(start, i);
      failed += fail ? 1 : 0;
      Answer(queue, start, fail ? task_status::kFailed : task_status::kSucceeded, now, milliseconds(fail ? 1 : 100));
    }
  }
  return failed;
}

// Guards against a target that fails everything and so always has free slots, and against one that never returns.
TEST(Health, EjectsAFailingTargetAndRestoresItInSteps) {
  dispatcher queue(dispatch_settings(), 1);
  for (const char* name : {"a", "b", "c", "d"}) {
    queue.AddTarget(name, 4, At(0));
  }
  instant now = At(0);
  const int failed = RunJobs(queue, 300, now, [](const assignment& start, int) { return start.target == "b"; });
  EXPECT_LE(failed, 5);
  EXPECT_EQ(queue.counts().ejected_targets, 1U);
  std::vector<health_change> changes;
  queue.DrainHealthChanges(changes);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_TRUE(changes[0].ejected);
  EXPECT_EQ(changes[0].target, "b");
  now += seconds(10);
  Starts(queue, now);
  EXPECT_EQ(queue.counts().ejected_targets, 0U);
  RunJobs(queue, 300, now, [](const assignment&, int) { return false; });
  EXPECT_EQ(queue.counts().ejected_targets, 0U);
}

// Guards against the ejection of healthy targets by jobs that fail on every target.
TEST(Health, JobsThatFailOnEveryTargetEjectNone) {
  dispatcher queue(dispatch_settings(), 1);
  for (const char* name : {"a", "b", "c", "d"}) {
    queue.AddTarget(name, 4, At(0));
  }
  instant now = At(0);
  RunJobs(queue, 100, now, [](const assignment&, int) { return false; });
  RunJobs(queue, 1'000, now, [](const assignment&, int i) { return i % 2 == 0; });
  EXPECT_EQ(queue.counts().ejected_targets, 0U);
}

// Guards against an ejection of so many targets that the rest cannot carry the load.
TEST(Health, EjectsNoMoreThanTheAllowedShare) {
  dispatcher queue(dispatch_settings(), 1);
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
    queue.AddTarget(name, 4, At(0));
  }
  instant now = At(0);
  RunJobs(queue, 2'000, now, [](const assignment& start, int) { return start.target < "d"; });
  EXPECT_LE(queue.counts().ejected_targets, 2U);
}

// Guards against retries of work that may not run twice, and against retries without bound.
TEST(Retry, OnlyIdempotentRequestsWithinTheBudget) {
  dispatcher queue(dispatch_settings(), 1);
  queue.AddTarget("a", 4, At(0));
  queue.AddTarget("b", 4, At(0));
  job_spec request = MakeJob("r", "t", 1, milliseconds(100));
  request.is_request = true;
  ASSERT_FALSE(queue.Admit(request, At(0)).has_value());
  EXPECT_EQ(Answer(queue, Starts(queue, At(0)).at(0), task_status::kFailed, At(1)), task_outcome::kFinal);
  request.idempotent = true;
  ASSERT_FALSE(queue.Admit(request, At(2)).has_value());
  const assignment first = Starts(queue, At(2)).at(0);
  EXPECT_EQ(Answer(queue, first, task_status::kFailed, At(3)), task_outcome::kRetried);
  const assignment second = Starts(queue, At(3)).at(0);
  EXPECT_NE(second.target, first.target);
  EXPECT_EQ(second.key.attempt, 1U);
  // The budget allowed one retry.
  EXPECT_EQ(Answer(queue, second, task_status::kFailed, At(4)), task_outcome::kFinal);
  EXPECT_EQ(queue.counts().jobs, 0U);
}

}  // namespace
}  // namespace bamboowing
