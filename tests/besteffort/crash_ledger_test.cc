// Counting of crashed targets by task.
#include "bamboowing/besteffort/crash_ledger.h"

#include <gtest/gtest.h>

namespace bamboowing {
namespace {

constexpr instant kStart{std::chrono::seconds(1000)};

crash_record Crash(const std::string& target, const std::vector<task_name>& tasks,
                   crash_evidence evidence = crash_evidence::kRan) {
  crash_record crash{"agent", target, 1, duration(0), {}};
  for (const task_name& task : tasks) {
    crash.tasks.push_back({task, "queue", evidence});
  }
  return crash;
}

// Guards against a crash that counts twice because the agent and an entry report it.
TEST(crash_ledger, CountsOneCrashOnce) {
  crash_ledger ledger;
  EXPECT_EQ(ledger.Add(Crash("a", {{"job", 0, 0}, {"job", 0, 1}}), kStart).size(), 2U);
  EXPECT_EQ(ledger.Add(Crash("a", {{"job", 0, 1}, {"job", 0, 2}}), kStart).size(), 1U);
  EXPECT_EQ(ledger.CrashesOf({"job", 0, 1}), 1U);
  EXPECT_FALSE(ledger.HasCrashingTask("job"));
  ledger.Add(Crash("b", {{"job", 0, 1}}), kStart);
  EXPECT_EQ(ledger.CrashesOf({"job", 0, 1}), 2U);
  EXPECT_EQ(ledger.CrashesOf({"job", 0, 0}), 1U);
  EXPECT_FALSE(ledger.HasCrashingTask("job"));
  ledger.Add(Crash("c", {{"job", 0, 1}}), kStart);
  EXPECT_TRUE(ledger.HasCrashingTask("job"));
  EXPECT_FALSE(ledger.HasCrashingTask("jo"));
}

// Guards against a job that is answered as failed although only one target has certainly crashed under its task: its
// starts at other crashed targets had no response.
TEST(crash_ledger, StartsWithoutResponseAreNoProofOfCrashes) {
  crash_ledger ledger;
  const task_name task{"job", 0, 0};
  ledger.Add(Crash("a", {task}), kStart);
  ledger.Add(Crash("b", {task}, crash_evidence::kMayHaveRun), kStart);
  ledger.Add(Crash("c", {task}, crash_evidence::kMayHaveRun), kStart);
  EXPECT_EQ(ledger.CrashesOf(task), 1U);
  EXPECT_FALSE(ledger.IsCrashing(task));
  EXPECT_FALSE(ledger.HasRecentRepetition(kStart));
}

// Guards against a deadly task that is started without limit because its target always crashes before the response.
TEST(crash_ledger, StartsWithoutResponseCountInTheEnd) {
  crash_ledger ledger;
  for (const char* const target : {"a", "b", "c", "d"}) {
    EXPECT_FALSE(ledger.IsCrashing({"job", 0, 0}));
    ledger.Add(Crash(target, {{"job", 0, 0}}, crash_evidence::kMayHaveRun), kStart);
  }
  EXPECT_TRUE(ledger.IsCrashing({"job", 0, 0}));
}

// Guards against a third start of a task under which two targets have crashed, one of them while nothing else ran.
TEST(crash_ledger, SecondCrashIsConclusiveIfTaskRanAlone) {
  crash_ledger ledger;
  ledger.Add(Crash("a", {{"job", 0, 0}, {"other", 0, 0}}), kStart);
  ledger.Add(Crash("b", {{"job", 0, 0}}, crash_evidence::kRanAlone), kStart);
  EXPECT_TRUE(ledger.IsCrashing({"job", 0, 0}));
  EXPECT_FALSE(ledger.IsCrashing({"other", 0, 0}));
  EXPECT_TRUE(ledger.HasRecentRepetition(kStart));
  EXPECT_FALSE(ledger.HasRecentRepetition(kStart + crash_ledger::kSuspicionTime));
}

// Guards against counts that differ between processes because one has learned earlier that the target had accepted the
// run.
TEST(crash_ledger, StrongerEvidenceReplacesWeakerOne) {
  crash_ledger ledger;
  const task_name task{"job", 0, 0};
  ledger.Add(Crash("a", {task}, crash_evidence::kMayHaveRun), kStart);
  EXPECT_EQ(ledger.Add(Crash("a", {task}), kStart).size(), 1U);
  EXPECT_TRUE(ledger.Add(Crash("a", {task}, crash_evidence::kMayHaveRun), kStart).empty());
  EXPECT_EQ(ledger.CrashesOf(task), 1U);
  ledger.Expire(kStart + crash_ledger::kRetention);
  EXPECT_EQ(ledger.CrashesOf(task), 0U);
}

// Guards against processes that send each other the same records without end.
TEST(crash_ledger, PassesOnEachChangeOnce) {
  crash_ledger from;
  crash_ledger to;
  from.Add(Crash("a", {{"job", 0, 0}}), kStart);
  const std::uint64_t sent = from.revision();
  for (const crash_record& crash : from.Since(0, kStart + std::chrono::seconds(2))) {
    EXPECT_EQ(crash.age, std::chrono::seconds(2));
    EXPECT_EQ(to.Add(crash, kStart).size(), 1U);
  }
  for (const crash_record& crash : to.Since(0, kStart)) {
    EXPECT_TRUE(from.Add(crash, kStart).empty());
  }
  EXPECT_EQ(from.revision(), sent);
  EXPECT_TRUE(from.Since(sent, kStart).empty());
}

// Guards against records that are kept for ever, or return from a process that still has them.
TEST(crash_ledger, ForgetsOldCrashes) {
  crash_ledger ledger;
  ledger.Add(Crash("a", {{"job", 0, 0}}), kStart);
  ledger.Expire(kStart + crash_ledger::kRetention);
  EXPECT_EQ(ledger.size(), 0U);
  EXPECT_EQ(ledger.CrashesOf({"job", 0, 0}), 0U);
  crash_record old = Crash("a", {{"job", 0, 0}});
  old.age = crash_ledger::kRetention;
  EXPECT_TRUE(ledger.Add(old, kStart).empty());
  for (std::size_t i = 0; i <= crash_ledger::kMaxRecords; ++i) {
    ledger.Add(Crash(std::to_string(i), {{"job", 0, 0}}), kStart + duration(i));
  }
  EXPECT_EQ(ledger.size(), crash_ledger::kMaxRecords);
  EXPECT_EQ(ledger.CrashesOf({"job", 0, 0}), crash_ledger::kMaxRecords);
}

}  // namespace
}  // namespace bamboowing
