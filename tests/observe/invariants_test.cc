#include "bamboowing/observe/invariants.h"

#include <gtest/gtest.h>

#include "timeline_builder.h"

namespace bamboowing {
namespace {

using kind = event_kind;

constexpr std::int64_t kSecond = 1'000'000;

/// A run without violations: a task that is refused and sent to another agent, a relayed job, a drained and resumed
/// target, and a resubmitted job.
log_builder GoodRun() {
  log_builder log;
  log.AddProcess("entry-1", "entry", duration(40 * kSecond));
  log.AddProcess("entry-2", "entry");
  log.AddProcess("agent-1", "agent", duration(7 * kSecond));
  log.AddProcess("agent-2", "agent");
  log.At(0, "entry-1", kind::kConfigApplied).number = 3;
  log.At(1, "entry-2", kind::kConfigApplied).number = 2;
  event& call = log.At(1000, "entry-1", kind::kCallReceived, "a");
  call.number = 1;
  call.count = 1;
  log.At(1001, "entry-1", kind::kJobRelayed, "a").peer = "entry-2";
  event& accepted = log.At(2000, "entry-2", kind::kJobAccepted, "a");
  accepted.count = 1;
  accepted.peer = "entry-1";
  log.At(2001, "entry-2", kind::kTaskSent, "a", 0).attempt = 0;
  event& refused = log.At(3000, "agent-1", kind::kTaskRefused, "a", 0);
  refused.attempt = 0;
  refused.error = error_kind::kNoSlot;
  log.At(4000, "entry-2", kind::kTaskSent, "a", 0).attempt = 1;
  log.At(5000, "agent-2", kind::kTaskStarted, "a", 0).attempt = 1;
  log.At(6000, "agent-2", kind::kTaskAnswered, "a", 0).attempt = 1;
  log.At(7000, "entry-2", kind::kTaskAnswered, "a", 0).attempt = 1;
  log.At(7001, "entry-2", kind::kJobCompleted, "a").count = 1;
  event& answer = log.At(8000, "entry-1", kind::kCallAnswered, "a");
  answer.number = 1;
  answer.count = 1;
  log.At(9000, "agent-1", kind::kTargetDraining);
  log.At(9000 + 20 * kSecond, "agent-1", kind::kTargetResumed);
  log.At(9001 + 20 * kSecond, "agent-1", kind::kTaskStarted, "later", 0);
  log.At(30 * kSecond, "entry-1", kind::kConfigApplied).number = 4;
  event& second = log.At(31 * kSecond, "entry-1", kind::kCallReceived, "b");
  second.number = 2;
  second.count = 1;
  event& overloaded = log.At(31 * kSecond + 5, "entry-1", kind::kCallAnswered, "b");
  overloaded.number = 2;
  overloaded.error = error_kind::kOverloaded;
  event& third = log.At(32 * kSecond, "entry-1", kind::kCallReceived, "b");
  third.number = 3;
  third.count = 1;
  log.At(32 * kSecond + 10, "agent-2", kind::kTaskStarted, "b", 0);
  return log;
}

/// Checks that the run has exactly one violation, of @p rule, whose text contains @p part.
void ExpectSingleViolation(const log_builder& log, invariant rule, const std::string& part) {
  const timeline merged = log.Merge();
  const invariant_report report = CheckInvariants(merged);
  ASSERT_EQ(report.violations.size(), 1U) << (report.violations.empty() ? "none" : report.violations.back().text);
  EXPECT_EQ(report.violations[0].rule, rule) << report.violations[0].text;
  EXPECT_NE(report.violations[0].text.find(part), std::string::npos) << report.violations[0].text;
  EXPECT_FALSE(report.violations[0].entries.empty());
}

// Guards against false positives, and against a checker that ignores the events.
TEST(Invariants, AcceptsAValidRunAndCountsTheCheckedEvents) {
  const timeline merged = GoodRun().Merge();
  const invariant_report report = CheckInvariants(merged);
  EXPECT_TRUE(report.violations.empty()) << report.violations[0].text;
  EXPECT_EQ(report.starts, 3U);
  EXPECT_EQ(report.answers, 2U);
  EXPECT_EQ(report.refusals, 2U);
  EXPECT_EQ(report.configurations, 3U);
  EXPECT_EQ(report.leaving_targets, 1U);
  EXPECT_EQ(report.missing_events, 0U);
}

// Guards against a missed second start: at another target, or at the same one under a new attempt.
TEST(Invariants, ReportsARepeatedStart) {
  log_builder log = GoodRun();
  log.At(33 * kSecond, "agent-1", kind::kTaskStarted, "a", 0).attempt = 2;
  ExpectSingleViolation(log, invariant::kStartedTwice, "job a task 0 started 2 times");
  log_builder same = GoodRun();
  same.At(33 * kSecond, "agent-2", kind::kTaskStarted, "a", 0).attempt = 1;
  ExpectSingleViolation(same, invariant::kStartedTwice, "agent-2");
}

// Guards against a false positive for a retried request that the caller marked idempotent.
TEST(Invariants, AllowsSeveralStartsOfAnIdempotentRequest) {
  log_builder log = GoodRun();
  log.At(33 * kSecond, "agent-1", kind::kTaskStarted, "r", 0).idempotent = true;
  log.At(34 * kSecond, "agent-2", kind::kTaskStarted, "r", 0).idempotent = true;
  EXPECT_TRUE(CheckInvariants(log.Merge()).violations.empty());
}

// Guards against a missed partial answer, to the caller or in the shard leader's event log.
TEST(Invariants, ReportsAPartialAnswer) {
  log_builder log = GoodRun();
  event& call = log.At(33 * kSecond, "entry-1", kind::kCallReceived, "p");
  call.number = 9;
  call.count = 180;
  event& answer = log.At(34 * kSecond, "entry-1", kind::kCallAnswered, "p");
  answer.number = 9;
  answer.count = 179;
  ExpectSingleViolation(log, invariant::kPartialAnswer, "179 results for 180 tasks");

  log_builder leader = GoodRun();
  leader.At(33 * kSecond, "entry-2", kind::kJobAccepted, "p").count = 3;
  leader.At(34 * kSecond, "entry-2", kind::kJobCompleted, "p").count = 2;
  ExpectSingleViolation(leader, invariant::kPartialAnswer, "complete with 2 results for 3 tasks");

  log_builder failed = GoodRun();
  event& with_results = failed.At(34 * kSecond, "entry-1", kind::kCallAnswered, "p");
  with_results.number = 9;
  with_results.count = 2;
  with_results.error = error_kind::kTargetFailed;
  ExpectSingleViolation(failed, invariant::kPartialAnswer, "failed, but with 2 results");
}

// Guards against a caller that receives two answers, the answer of another job, or none.
TEST(Invariants, ReportsRepeatedForeignAndMissingAnswers) {
  log_builder twice = GoodRun();
  event& again = twice.At(33 * kSecond, "entry-1", kind::kCallAnswered, "a");
  again.number = 1;
  again.count = 1;
  ExpectSingleViolation(twice, invariant::kAnsweredTwice, "call 1 for job a");

  log_builder foreign = GoodRun();
  foreign.At(33 * kSecond, "entry-2", kind::kCallReceived, "mine").number = 5;
  event& other = foreign.At(34 * kSecond, "entry-2", kind::kCallAnswered, "other");
  other.number = 5;
  ExpectSingleViolation(foreign, invariant::kForeignAnswer, "job mine");

  log_builder none = GoodRun();
  none.At(40 * kSecond, "entry-1", kind::kProcessStopped);
  ExpectSingleViolation(none, invariant::kNotAnswered, "call 3 for job b");
}

// Guards against a missed false refusal of a job: work started before the refusal, or after it without a new call.
TEST(Invariants, ReportsAFalseRefusalOfAJob) {
  log_builder before = GoodRun();
  event& late = before.At(33 * kSecond, "entry-2", kind::kJobRefused, "a");
  late.error = error_kind::kOverloaded;
  ExpectSingleViolation(before, invariant::kFalseRefusal, "job a: reported as not run by entry-2");

  log_builder after = GoodRun();
  event& refused = after.At(33 * kSecond, "entry-2", kind::kJobRefused, "c");
  refused.error = error_kind::kTargetLost;
  refused.not_run = not_run_state::kYes;
  after.At(34 * kSecond, "agent-1", kind::kTaskStarted, "c", 4);
  ExpectSingleViolation(after, invariant::kFalseRefusal, "task 4 started, agent-1");
}

// Guards against a false positive where the caller was told that the outcome is unknown.
TEST(Invariants, AllowsAFailureThatDoesNotClaimNotRun) {
  log_builder log = GoodRun();
  event& failed = log.At(33 * kSecond, "entry-2", kind::kJobFailed, "a");
  failed.error = error_kind::kOverloaded;
  failed.not_run = not_run_state::kUnknown;
  EXPECT_TRUE(CheckInvariants(log.Merge()).violations.empty());
}

// Guards against a missed false refusal of a task, with and without attempts in the log.
TEST(Invariants, ReportsAFalseRefusalOfATask) {
  log_builder log = GoodRun();
  log.At(33 * kSecond, "agent-2", kind::kTaskRefused, "a", 0).attempt = 1;
  ExpectSingleViolation(log, invariant::kFalseRefusal, "job a task 0: refused as not run by agent-2");

  log_builder plain = GoodRun();
  plain.At(33 * kSecond, "agent-2", kind::kTaskRefused, "d", 0);
  plain.At(34 * kSecond, "agent-2", kind::kTaskStarted, "d", 0);
  ExpectSingleViolation(plain, invariant::kFalseRefusal, "job d task 0: refused as not run by agent-2");
}

// Guards against a missed reverted configuration. A process may apply an older version than another process.
TEST(Invariants, ReportsARevertedConfiguration) {
  log_builder log = GoodRun();
  log.At(33 * kSecond, "entry-2", kind::kConfigApplied).number = 3;
  EXPECT_TRUE(CheckInvariants(log.Merge()).violations.empty());
  log.At(34 * kSecond, "entry-1", kind::kConfigApplied).number = 3;
  ExpectSingleViolation(log, invariant::kConfigReverted, "applied configuration version 3 after version 4");
}

// Guards against a missed late start, whether an agent or an entry recorded that the target leaves. Starts within the
// bound are allowed.
TEST(Invariants, ReportsALateStart) {
  for (const kind leaving : {kind::kTargetLeft, kind::kTargetDraining, kind::kProcessDraining}) {
    log_builder log = GoodRun();
    log.At(40 * kSecond, "agent-1", leaving);
    log.At(45 * kSecond, "agent-1", kind::kTaskStarted, "in_time", 0);
    EXPECT_TRUE(CheckInvariants(log.Merge()).violations.empty());
    log.At(45 * kSecond + 1, "agent-1", kind::kTaskStarted, "late", 0);
    ExpectSingleViolation(log, invariant::kLateStart, "job late task 0 started, agent-1");
  }
  log_builder entry = GoodRun();
  entry.At(40 * kSecond, "entry-1", kind::kTargetDraining).peer = "agent-2";
  entry.At(46 * kSecond, "agent-2", kind::kTaskStarted, "late", 0);
  ExpectSingleViolation(entry, invariant::kLateStart, "agent-2");
}

// Guards against a false positive when an entry lost its session with an agent that still serves another entry.
TEST(Invariants, AllowsWorkOnAnAgentThatOneEntryLost) {
  log_builder log = GoodRun();
  log.At(40 * kSecond, "entry-1", kind::kTargetLeft).peer = "agent-2";
  log.At(50 * kSecond, "agent-2", kind::kTaskStarted, "elsewhere", 0);
  EXPECT_TRUE(CheckInvariants(log.Merge()).violations.empty());
}

// Guards against a target that is still considered leaving after it was announced again.
TEST(Invariants, AllowsWorkAfterATargetReturns) {
  log_builder log = GoodRun();
  log.At(40 * kSecond, "agent-1", kind::kTargetLeft);
  log.At(50 * kSecond, "agent-1", kind::kTargetAnnounced);
  log.At(51 * kSecond, "agent-1", kind::kTaskStarted, "new", 0);
  EXPECT_TRUE(CheckInvariants(log.Merge()).violations.empty());
}

// Guards against a report that hides that the log lost events.
TEST(Invariants, CountsMissingEvents) {
  log_builder log;
  log.AddProcess("entry-1", "entry");
  log.At(1, "entry-1", kind::kLeaseRenewed).sequence = 3;
  log.At(2, "entry-1", kind::kLeaseRenewed).sequence = 4;
  log.At(3, "entry-1", kind::kLeaseRenewed).sequence = 8;
  EXPECT_EQ(CheckInvariants(log.Merge()).missing_events, 5U);
}

}  // namespace
}  // namespace bamboowing
