// Checks the guarantees for best-effort jobs under random faults: no task has overlapping runs, a refused job has no
// runs, and each job is answered once. Each seed generates its own sequence of faults.
#include <gtest/gtest.h>

#include "cluster_sim.h"
#include "retrying_caller.h"

namespace bamboowing {
namespace {

constexpr std::size_t kEntries = 3;
constexpr std::size_t kManyEntries = 9;
constexpr std::size_t kTargets = 5;
constexpr std::size_t kManyTargets = 14;

void InjectFault(cluster_sim& sim, std::size_t entries, std::size_t targets) {
  seeded_random& random = sim.random();
  const std::size_t entry = random.Below(entries);
  const std::size_t agent = random.Below(targets);
  const duration time = std::chrono::milliseconds(200) + duration(random.Below(3'500'000));
  switch (random.Below(8)) {
    case 0:
      sim.KillEntry(entry, time / 4);
      break;
    case 1:
      sim.FreezeEntry(entry, time);
      break;
    case 2:
      sim.KillAgent(agent, time / 4);
      break;
    case 3:
      sim.FreezeAgent(agent, time);
      break;
    case 4:
      sim.Partition(entry, agent, time);
      break;
    case 5:
      sim.ResetSession(entry, agent);
      break;
    case 6:
      sim.CrashTarget(agent, time);
      break;
    default:
      sim.SilenceTarget(agent, time);
  }
}

/// Submits a job without an answer again at another entry, after the platform's retransmission time.
void ResubmitLost(cluster_sim& sim, std::size_t entries, std::size_t job, int work_ms) {
  constexpr duration kAnswerTimeout = std::chrono::milliseconds(1500);
  constexpr duration kRetransmitDelay = std::chrono::milliseconds(1300);
  sim.After(kAnswerTimeout, [&sim, entries, job, work_ms] {
    const sim_job lost = sim.jobs()[job];
    if (lost.verdict && *lost.verdict != job_verdict::kUnknown) {
      return;
    }
    if (!lost.verdict && !lost.caller_gone) {
      sim.DisconnectCaller(job);
    }
    sim.After(kRetransmitDelay,
              [&sim, entries, lost, work_ms] { sim.Submit((lost.entry + 1) % entries, lost.id, 3, work_ms); });
  });
}

void RunWithRandomFaults(std::size_t entries, std::size_t targets, int seed) {
  cluster_sim sim(entries, targets, static_cast<std::uint64_t>(seed));
  TraceIfWanted(sim);
  sim.faults.late_requests = seed % 3 == 0 ? 0.06 : 0;
  sim.faults.lost_polls = sim.faults.late_requests;
  sim.RunFor(std::chrono::seconds(2));
  for (int i = 0; i < 200; ++i) {
    const int work_ms = i % 4 == 0 ? 900 : 60;
    const std::size_t job = sim.Submit(sim.random().Below(entries), JobId(i), 3, work_ms);
    ResubmitLost(sim, entries, job, work_ms);
    if (i % 12 == 5) {
      InjectFault(sim, entries, targets);
    }
    sim.RunFor(std::chrono::milliseconds(20) + duration(sim.random().Below(60'000)));
  }
  sim.faults.late_requests = 0;
  sim.faults.lost_polls = 0;
  sim.RunFor(std::chrono::seconds(15));

  EXPECT_EQ(sim.OverlappingRuns(), std::vector<std::string>());
  EXPECT_EQ(sim.RefusedJobsThatRan(), std::vector<std::string>());
  for (const sim_job& job : sim.jobs()) {
    EXPECT_TRUE(job.verdict || job.caller_gone) << job.id << " was never answered by entry " << job.entry;
  }
  // No runs are left, and new jobs are served.
  const std::size_t last = sim.Submit(0, "last", 3, 60);
  sim.RunFor(std::chrono::seconds(1));
  EXPECT_TRUE(sim.jobs()[last].verdict == job_verdict::kCompleted) << "seed " << seed;
  for (std::size_t i = 0; i < targets; ++i) {
    EXPECT_EQ(sim.target(i).running(), 0U);
    EXPECT_EQ(sim.manager(i)->runs(), 0U);
  }
}

/// Kinds of faults beyond those of InjectFault().
enum class fault_group : std::uint8_t {
  kRestarts,       ///< targets restart under their id, and requests are slow or executed late
  kSuspensions,    ///< machines are suspended
  kAnnouncements,  ///< heartbeats and announced ends of targets arrive late or early
  kKilledEntries,  ///< entries are killed while an agent or target stops responding
  kLateStarts,     ///< targets restart repeatedly, many requests are executed late, and agents stop beside them
  kAll,
};

void InjectRestart(cluster_sim& sim, std::size_t agent) {
  const duration down = sim.random().Below(2) == 0 ? duration(0) : duration(sim.random().Below(400'000));
  sim.CrashTarget(agent, down);
}

void InjectSuspension(cluster_sim& sim, std::size_t entries, std::size_t agent, duration time) {
  if (sim.random().Below(4) == 0) {
    sim.SuspendEntry(sim.random().Below(entries), time);
  } else {
    sim.SuspendAgent(agent, time);
  }
}

void InjectAnnouncement(cluster_sim& sim, std::size_t agent, duration time) {
  switch (sim.random().Below(4)) {
    case 0:
      sim.DelayHeartbeat(agent, time);
      sim.ReplaceTarget(agent, duration(sim.random().Below(300'000)));
      break;
    case 1:
      sim.DelayHeartbeat(agent, time);
      sim.CrashTarget(agent, duration(sim.random().Below(300'000)));
      break;
    case 2:
      sim.ReplaceTarget(agent, time);
      break;
    default:
      sim.LeaveTarget(agent, duration(sim.random().Below(600'000)), time);
  }
}

void InjectKill(cluster_sim& sim, std::size_t entries, std::size_t agent, duration time) {
  sim.KillEntry(sim.random().Below(entries), time / 4);
  sim.After(duration(sim.random().Below(700'000)), [&sim, agent, time] {
    if (sim.random().Below(2) == 0) {
      sim.FreezeAgent(agent, time);
    } else {
      sim.SilenceTarget(agent, time);
    }
  });
}

/// Restarts a target one to three times within 2 s; its agent may be frozen, killed or separated from an entry.
void InjectRepeatedRestart(cluster_sim& sim, std::size_t entries, std::size_t agent, duration time) {
  switch (sim.random().Below(6)) {
    case 0:
      sim.FreezeAgent(agent, time);
      break;
    case 1:
      sim.KillAgent(agent, time / 4);
      break;
    case 2:
      sim.Partition(sim.random().Below(entries), agent, time);
      break;
    default:
      break;
  }
  const std::uint64_t restarts = 1 + sim.random().Below(3);
  for (std::uint64_t i = 0; i < restarts; ++i) {
    sim.After(duration(sim.random().Below(2'000'000)), [&sim, agent] { InjectRestart(sim, agent); });
  }
}

void InjectGroupFault(cluster_sim& sim, fault_group group, std::size_t entries, std::size_t targets) {
  const std::size_t agent = sim.random().Below(targets);
  const duration time = std::chrono::milliseconds(200) + duration(sim.random().Below(3'500'000));
  switch (group) {
    case fault_group::kRestarts:
      InjectRestart(sim, agent);
      break;
    case fault_group::kSuspensions:
      InjectSuspension(sim, entries, agent, time);
      break;
    case fault_group::kAnnouncements:
      InjectAnnouncement(sim, agent, time);
      break;
    case fault_group::kKilledEntries:
      InjectKill(sim, entries, agent, time);
      break;
    case fault_group::kLateStarts:
      InjectRepeatedRestart(sim, entries, agent, time);
      break;
    case fault_group::kAll:
      InjectGroupFault(sim, static_cast<fault_group>(sim.random().Below(4)), entries, targets);
  }
}

void RunWithFaultGroup(fault_group group, int seed) {
  cluster_sim sim(kEntries, kTargets, static_cast<std::uint64_t>(seed));
  TraceIfWanted(sim);
  retrying_caller caller(sim, kEntries);
  // The clocks of the targets show more than a late request takes.
  sim.RunFor(std::chrono::seconds(15));
  if (group == fault_group::kRestarts || group == fault_group::kAll) {
    sim.faults.late_requests_outlive_target = true;
    sim.faults.late_requests = 0.06;
    sim.faults.slow_requests = 0.06;
    sim.faults.lost_responses = 0.03;
    sim.faults.lost_polls = 0.06;
  }
  if (group == fault_group::kLateStarts) {
    // The highest share of late requests of the days that are known.
    sim.faults.late_requests_outlive_target = true;
    sim.faults.late_requests = 0.2;
    sim.faults.lost_polls = 0.2;
  }
  for (int i = 0; i < 200; ++i) {
    caller.Submit(sim.random().Below(kEntries), JobId(i), WorkOf(i));
    if (i % 12 == 5) {
      InjectFault(sim, kEntries, kTargets);
    }
    if (i % 12 == 8) {
      InjectGroupFault(sim, group, kEntries, kTargets);
    }
    sim.RunFor(std::chrono::milliseconds(20) + duration(sim.random().Below(60'000)));
  }
  sim.faults = {};
  // Late requests are executed after up to 12 s.
  sim.RunFor(std::chrono::seconds(45));

  EXPECT_EQ(sim.OverlappingRuns(), std::vector<std::string>());
  EXPECT_EQ(RefusedJobsThatRan(sim), std::vector<std::string>());
  for (const sim_job& job : sim.jobs()) {
    EXPECT_TRUE(job.verdict || job.caller_gone) << job.id << " was never answered by entry " << job.entry;
  }
  const std::size_t last = sim.Submit(0, "last", 3, 60);
  sim.RunFor(std::chrono::seconds(1));
  EXPECT_TRUE(sim.jobs()[last].verdict == job_verdict::kCompleted);
  for (std::size_t i = 0; i < kTargets; ++i) {
    EXPECT_EQ(sim.target(i).running(), 0U);
    EXPECT_EQ(sim.manager(i)->runs(), 0U);
  }
  for (std::size_t i = 0; i < kEntries; ++i) {
    EXPECT_EQ(sim.entry(i)->runs(), 0U) << "entry " << i;
  }
}

class cluster : public testing::TestWithParam<int> {};

TEST_P(cluster, KeepsGuaranteesUnderRandomFaults) { RunWithRandomFaults(kEntries, kTargets, GetParam()); }

class large_cluster : public testing::TestWithParam<int> {};

// With this many entries, an agent attaches to a subset and changes it during faults.
TEST_P(large_cluster, KeepsGuaranteesUnderRandomFaults) { RunWithRandomFaults(kManyEntries, kManyTargets, GetParam()); }

INSTANTIATE_TEST_SUITE_P(Seeds, cluster, testing::Range(1, 121));
INSTANTIATE_TEST_SUITE_P(Seeds, large_cluster, testing::Range(1, 61));

// Seeds that failed before:
// - 1312: the stop request of a run was lost with its session, and the run continued after its caller had disconnected.
// - 877, 1148: an inventory made before a start was sent was taken as proof that the start was lost.
// - 548, 832: defects of the simulation, in which a stopped target executed requests.
INSTANTIATE_TEST_SUITE_P(FailedBefore, cluster, testing::Values(548, 832, 877, 1148, 1312));

class restarted_cluster : public testing::TestWithParam<int> {};
class suspended_cluster : public testing::TestWithParam<int> {};
class announced_cluster : public testing::TestWithParam<int> {};
class killed_cluster : public testing::TestWithParam<int> {};
class late_cluster : public testing::TestWithParam<int> {};
class troubled_cluster : public testing::TestWithParam<int> {};

// Guards against starts that a restarted target executes late, after their runs were taken as ended.
TEST_P(restarted_cluster, KeepsGuarantees) { RunWithFaultGroup(fault_group::kRestarts, GetParam()); }

// Guards against decisions by a clock that has not counted the suspension of its machine.
TEST_P(suspended_cluster, KeepsGuarantees) { RunWithFaultGroup(fault_group::kSuspensions, GetParam()); }

// Guards against runs that end as lost by an announcement while they are active.
TEST_P(announced_cluster, KeepsGuarantees) { RunWithFaultGroup(fault_group::kAnnouncements, GetParam()); }

// Guards against runs of a killed entry that are active when its callers submit their jobs again.
TEST_P(killed_cluster, KeepsGuarantees) { RunWithFaultGroup(fault_group::kKilledEntries, GetParam()); }

// Guards against starts without a response that a target executes after its second restart, or while its agent can't
// fence it.
TEST_P(late_cluster, KeepsGuarantees) { RunWithFaultGroup(fault_group::kLateStarts, GetParam()); }

// Combines all faults.
TEST_P(troubled_cluster, KeepsGuarantees) { RunWithFaultGroup(fault_group::kAll, GetParam()); }

INSTANTIATE_TEST_SUITE_P(Seeds, restarted_cluster, testing::Range(1, LastSeed()));
INSTANTIATE_TEST_SUITE_P(Seeds, suspended_cluster, testing::Range(1, LastSeed()));
INSTANTIATE_TEST_SUITE_P(Seeds, announced_cluster, testing::Range(1, LastSeed()));
INSTANTIATE_TEST_SUITE_P(Seeds, killed_cluster, testing::Range(1, LastSeed()));
INSTANTIATE_TEST_SUITE_P(Seeds, late_cluster, testing::Range(1, LastSeed()));
INSTANTIATE_TEST_SUITE_P(Seeds, troubled_cluster, testing::Range(1, LastSeed()));

TEST(cluster_without_faults, CompletesAllJobsWithinTheirObjective) {
  cluster_sim sim(kEntries, kTargets, 1);
  sim.RunFor(std::chrono::seconds(2));
  for (int i = 0; i < 100; ++i) {
    sim.Submit(static_cast<std::size_t>(i) % kEntries, JobId(i), 3, 60);
    sim.RunFor(std::chrono::milliseconds(40));
  }
  sim.RunFor(std::chrono::seconds(1));
  for (const sim_job& job : sim.jobs()) {
    EXPECT_EQ(job.verdict, job_verdict::kCompleted) << job.id;
    EXPECT_LT(job.answered - job.sent, std::chrono::milliseconds(156)) << job.id;
  }
}

// Guards against runs that continue at a target after their entry was killed, while the caller retries elsewhere.
TEST(cluster_fault, RunsOfKilledEntryEndBeforeCallerRetries) {
  cluster_sim sim(kEntries, kTargets, 2);
  sim.RunFor(std::chrono::seconds(2));
  sim.Submit(0, "long", 3, 3000);
  sim.RunFor(std::chrono::milliseconds(100));
  sim.KillEntry(0, std::chrono::seconds(5));
  sim.RunFor(std::chrono::milliseconds(1300));
  for (std::size_t i = 0; i < kTargets; ++i) {
    EXPECT_EQ(sim.target(i).running(), 0U);
  }
}

// Guards against a restarted agent that renews the lease of orphaned runs.
TEST(cluster_fault, RestartedAgentStopsRunsOfItsPredecessor) {
  cluster_sim sim(1, 1, 3);
  sim.RunFor(std::chrono::seconds(2));
  sim.Submit(0, "long", 2, 5000);
  sim.RunFor(std::chrono::milliseconds(100));
  ASSERT_EQ(sim.target(0).running(), 2U);
  sim.KillAgent(0, std::chrono::milliseconds(200));
  sim.RunFor(std::chrono::seconds(2));
  EXPECT_EQ(sim.OverlappingRuns(), std::vector<std::string>());
  EXPECT_GT(sim.target(0).running(), 0U) << "the entry must restart the tasks";
}

}  // namespace
}  // namespace bamboowing
