#include "bamboowing/ownership/job_recovery.h"

#include <gtest/gtest.h>

namespace bamboowing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kLeaderSince{seconds(1000)};
const recorded_agent kFirst{"agent-1", 1};
const recorded_agent kSecond{"agent-2", 2};

job_spec Job(std::size_t tasks) {
  job_spec job;
  job.job_id = "job";
  job.tasks.resize(tasks);
  return job;
}

held_task Held(std::uint32_t task, held_state state, std::uint32_t attempt = 0) {
  return {{"job", task, attempt}, state};
}

// Returns a recovery in which kFirst reported @p held and kSecond has not reported.
job_recovery RecoveryWithMissingAgent(const std::vector<held_task>& held) {
  job_recovery recovery{recovery_settings{}};
  recovery.BeginEpoch(std::vector<recorded_agent>{kFirst, kSecond}, kLeaderSince - seconds(2));
  recovery.OnInventory(kFirst, held, kLeaderSince - seconds(1));
  recovery.OnBecameLeader(kLeaderSince);
  return recovery;
}

// A submission while kSecond is missing; nobody reported the job.
struct uncertain_row {
  const char* name;
  duration after;  ///< arrival after the takeover
  bool generated;
  std::optional<duration> first_sent_ago;
  bool idempotent;
  recovery_verdict verdict;
};

// Guards against a second start of a task that the missing agent may have started, and against refusing jobs that are
// certainly new.
TEST(JobRecovery, UnknownJobWhileAnAgentIsMissing) {
  const uncertain_row rows[] = {
      {"unmarked, soon", seconds(1), false, std::nullopt, false, recovery_verdict::kDefer},
      {"unmarked, later", seconds(10), false, std::nullopt, false, recovery_verdict::kFail},
      {"unmarked, at the end of the window", seconds(119), false, std::nullopt, false, recovery_verdict::kFail},
      {"unmarked, after the window", seconds(120), false, std::nullopt, false, recovery_verdict::kProceed},
      {"generated id", seconds(10), true, std::nullopt, false, recovery_verdict::kProceed},
      {"first sent after the takeover", seconds(10), false, seconds(5), false, recovery_verdict::kProceed},
      {"first sent within the margin", seconds(10), false, milliseconds(9500), false, recovery_verdict::kFail},
      {"first sent before the takeover", seconds(10), false, seconds(11), false, recovery_verdict::kFail},
      {"idempotent request", seconds(10), false, std::nullopt, true, recovery_verdict::kProceed},
  };
  for (const uncertain_row& row : rows) {
    SCOPED_TRACE(row.name);
    const job_recovery recovery = RecoveryWithMissingAgent({});
    job_spec job = Job(2);
    job.generated_id = row.generated;
    job.first_sent_ago = row.first_sent_ago;
    job.is_request = row.idempotent;
    job.idempotent = row.idempotent;
    const recovery_decision decision = recovery.Decide(job, kLeaderSince + row.after);
    EXPECT_EQ(decision.verdict, row.verdict);
    EXPECT_EQ(decision.tasks.size(), row.verdict == recovery_verdict::kProceed ? 2U : 0U);
    if (row.verdict == recovery_verdict::kFail) {
      EXPECT_EQ(decision.error.not_run, not_run_state::kUnknown);
      EXPECT_EQ(decision.error.kind, error_kind::kOutcomeUnknown);
    }
  }
}

// Guards against starting a task before this entry is leader, even if the job is certainly new.
TEST(JobRecovery, NoTaskStartsBeforeTakeoverEnds) {
  job_recovery recovery{recovery_settings{}};
  recovery.BeginEpoch({}, kLeaderSince);
  job_spec job = Job(1);
  job.generated_id = true;
  EXPECT_EQ(recovery.Decide(job, kLeaderSince).verdict, recovery_verdict::kDefer);
  recovery.OnBecameLeader(kLeaderSince);
  EXPECT_EQ(recovery.Decide(job, kLeaderSince).verdict, recovery_verdict::kProceed);
}

// Guards against a second start of a task that an agent reported, and against losing its answer.
TEST(JobRecovery, UsesReportedTasks) {
  job_recovery recovery = RecoveryWithMissingAgent({Held(0, held_state::kAnswered), Held(1, held_state::kRunning, 3)});
  recovery.OnInventory(kSecond, {}, kLeaderSince);
  const recovery_decision decision = recovery.Decide(Job(3), kLeaderSince + seconds(1));
  ASSERT_EQ(decision.verdict, recovery_verdict::kProceed);
  EXPECT_EQ(decision.tasks[0].step, recovery_step::kFetchAnswer);
  EXPECT_EQ(decision.tasks[0].agent, kFirst);
  EXPECT_EQ(decision.tasks[1].step, recovery_step::kAwaitAnswer);
  EXPECT_EQ(decision.tasks[1].attempt, 3U);
  EXPECT_EQ(decision.tasks[2].step, recovery_step::kStart);
}

// Guards against a partially started job: if the outcome of one task is unknown, no task of the job is started.
TEST(JobRecovery, OneUnknownTaskFailsTheJob) {
  const job_recovery recovery = RecoveryWithMissingAgent({Held(0, held_state::kAnswered)});
  EXPECT_EQ(recovery.Decide(Job(1), kLeaderSince + seconds(10)).verdict, recovery_verdict::kProceed);
  const recovery_decision decision = recovery.Decide(Job(2), kLeaderSince + seconds(10));
  EXPECT_EQ(decision.verdict, recovery_verdict::kFail);
  EXPECT_TRUE(decision.tasks.empty());
}

// Guards against a second run of a job whose answer was delivered by the previous leader, or was lost with its agent.
TEST(JobRecovery, StartedTaskWithoutAnswerFailsTheJobAsRun) {
  for (const bool lost : {false, true}) {
    job_recovery recovery = RecoveryWithMissingAgent({Held(0, lost ? held_state::kAnswered : held_state::kReleased)});
    recovery.OnInventory(kSecond, {}, kLeaderSince);
    if (lost) {
      recovery.OnAgentLost(kFirst);
    }
    const recovery_decision decision = recovery.Decide(Job(1), kLeaderSince + seconds(1));
    EXPECT_EQ(decision.verdict, recovery_verdict::kFail);
    EXPECT_EQ(decision.error.not_run, not_run_state::kNo);
    job_spec request = Job(1);
    request.is_request = request.idempotent = true;
    EXPECT_EQ(recovery.Decide(request, kLeaderSince + seconds(1)).tasks.at(0).step, recovery_step::kStart);
  }
}

// Guards against mistaking a restarted agent, which has lost its records, for the missing one.
TEST(JobRecovery, InventoryOfLaterIncarnationDoesNotCoverEarlierOne) {
  job_recovery recovery = RecoveryWithMissingAgent({});
  recovery.OnInventory({kSecond.id, 99}, {}, kLeaderSince);
  EXPECT_EQ(recovery.Decide(Job(1), kLeaderSince + seconds(10)).verdict, recovery_verdict::kFail);
  recovery.OnInventory(kSecond, {}, kLeaderSince);
  EXPECT_EQ(recovery.Decide(Job(1), kLeaderSince + seconds(10)).verdict, recovery_verdict::kProceed);
}

// Guards against mistaking a refusal from an earlier epoch for one of the current epoch, after which the task would run
// twice. Seed 13 of Cluster.RandomFaults reproduced the fault.
TEST(JobRecovery, AttemptsOfDifferentEpochsDiffer) {
  EXPECT_NE(FirstAttempt(1), FirstAttempt(2));
  EXPECT_GT(FirstAttempt(2), FirstAttempt(1) + 1000);
  EXPECT_EQ(FirstAttempt(3) + 5, (3U << 16U) + 5);
}

// Guards against unbounded memory, and against starting a task again because its inventory exceeded the limit.
TEST(JobRecovery, BeyondLimitOutcomeOfUnknownJobsIsUndetermined) {
  recovery_settings settings;
  settings.holding_limit = 2;
  job_recovery recovery(settings);
  recovery.BeginEpoch(std::vector<recorded_agent>{kFirst}, kLeaderSince);
  recovery.OnBecameLeader(kLeaderSince);
  recovery.OnInventory(kFirst,
                       std::vector<held_task>{Held(0, held_state::kRunning), Held(1, held_state::kRunning),
                                              Held(2, held_state::kRunning)},
                       kLeaderSince);
  EXPECT_EQ(recovery.Decide(Job(2), kLeaderSince + seconds(10)).verdict, recovery_verdict::kProceed);
  EXPECT_EQ(recovery.Decide(Job(3), kLeaderSince + seconds(10)).verdict, recovery_verdict::kFail);
  EXPECT_EQ(recovery.Decide(Job(3), kLeaderSince + seconds(120)).verdict, recovery_verdict::kProceed);
  recovery.OnTick(kLeaderSince + seconds(600));
  EXPECT_EQ(recovery.Decide(Job(2), kLeaderSince + seconds(600)).tasks[0].step, recovery_step::kStart);
  EXPECT_EQ(recovery.Decide(Job(3), kLeaderSince + seconds(600)).verdict, recovery_verdict::kProceed);
}

}  // namespace
}  // namespace bamboowing
