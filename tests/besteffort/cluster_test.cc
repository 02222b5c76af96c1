// Checks the guarantees for best-effort jobs under random faults: no task has overlapping runs, a refused job has no
// runs, and each job is answered once. Each seed generates its own sequence of faults.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "cluster_sim.h"

namespace bamboowing {
namespace {

constexpr std::size_t kEntries = 3;
constexpr std::size_t kManyEntries = 9;
constexpr std::size_t kTargets = 5;
constexpr std::size_t kManyTargets = 14;

std::string JobId(int number) { return "job" + std::to_string(number); }

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
  if (std::getenv("CLUSTER_TRACE") != nullptr) {
    sim.trace = [&sim](const std::string& line) {
      std::cout << sim.now().time_since_epoch().count() / 1000 << " " << line << "\n";
    };
  }
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
