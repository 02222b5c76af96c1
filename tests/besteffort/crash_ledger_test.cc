// Counting of crashed targets by task.
#include "bamboowing/besteffort/crash_ledger.h"

#include <gtest/gtest.h>

namespace bamboowing {
namespace {

constexpr instant kStart{std::chrono::seconds(1000)};

crash_record Crash(const std::string& target, const std::vector<task_name>& tasks) {
  crash_record crash{"agent", target, 1, duration(0), {}};
  for (const task_name& task : tasks) {
    crash.tasks.push_back({task, "queue"});
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
  EXPECT_TRUE(ledger.HasCrashingTask("job"));
  EXPECT_FALSE(ledger.HasCrashingTask("jo"));
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
