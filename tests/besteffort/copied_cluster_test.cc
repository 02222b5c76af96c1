// Checks the guarantees for jobs whose submissions arrive several times, at several entries and late, while processes
// fail and connections between entries are slow. Each seed generates its own sequence of copies and faults.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "cluster_sim.h"
#include "retrying_caller.h"

namespace bamboowing {
namespace {

struct cluster_size {
  std::size_t entries = 0;
  std::size_t targets = 0;
  int jobs_per_step = 0;
};

constexpr cluster_size kSmall = {4, 5, 1};
// Agents attach to a subset of this many entries.
constexpr cluster_size kLarge = {12, 40, 3};
constexpr std::size_t kDomains = 4;
constexpr std::uint32_t kCores = 4;

duration Below(cluster_sim& sim, duration limit) {
  return duration(sim.random().Below(static_cast<std::uint64_t>(limit.count())));
}

/// A copy of a submission arrives at any entry. The connection of most copies was closed before or is closed soon.
void SendCopy(cluster_sim& sim, std::size_t entries, const sim_job& submitted) {
  constexpr duration kMaxCopyDelay = std::chrono::seconds(3);
  constexpr duration kMaxConnected = std::chrono::milliseconds(30);
  const std::size_t entry = sim.random().Below(entries);
  const bool disconnects = sim.random().Below(3) > 0;
  sim.After(Below(sim, kMaxCopyDelay), [&sim, entry, disconnects, submitted] {
    const std::size_t copy = sim.Submit(entry, submitted.id, 3, submitted.work_ms);
    if (disconnects) {
      sim.After(Below(sim, kMaxConnected), [&sim, copy] { sim.DisconnectCaller(copy); });
    }
  });
}

void CopySubmission(cluster_sim& sim, std::size_t entries, std::size_t job) {
  constexpr duration kMaxTimeToBreak = std::chrono::milliseconds(1500);
  const sim_job submitted = sim.jobs()[job];
  for (std::uint64_t copies = sim.random().Below(3); copies > 0; --copies) {
    SendCopy(sim, entries, submitted);
  }
  if (sim.random().Below(5) == 0) {
    sim.After(Below(sim, kMaxTimeToBreak), [&sim, job] {
      if (!sim.jobs()[job].verdict && !sim.jobs()[job].caller_gone) {
        sim.DisconnectCaller(job);
      }
    });
  }
}

/// Delays the messages between an entry and one other entry, about half of the others, or all others.
void PartitionEntry(cluster_sim& sim, std::size_t entries, std::size_t entry, duration time) {
  const std::size_t one_other = (entry + 1 + sim.random().Below(entries - 1)) % entries;
  const std::uint64_t extent = sim.random().Below(3);
  for (std::size_t other = 0; other < entries; ++other) {
    const bool chosen = extent == 0 ? other == one_other : extent == 1 || sim.random().Below(2) == 0;
    if (other != entry && chosen) {
      sim.PartitionEntries(entry, other, time);
    }
  }
}

void InjectFault(cluster_sim& sim, const cluster_size& size) {
  const std::size_t entry = sim.random().Below(size.entries);
  const std::size_t agent = sim.random().Below(size.targets);
  const duration time = std::chrono::milliseconds(200) + Below(sim, std::chrono::milliseconds(3500));
  switch (sim.random().Below(6)) {
    case 0:
      sim.KillEntry(entry, time / 4);
      break;
    case 1:
      sim.FreezeEntry(entry, time);
      break;
    case 2:
      sim.SuspendEntry(entry, time);
      break;
    case 3:
      PartitionEntry(sim, size.entries, entry, time);
      break;
    case 4:
      sim.Partition(entry, agent, time);
      break;
    default:
      sim.KillAgent(agent, time / 4);
  }
}

/// Runs the jobs, copies and faults of a seed until all of them have ended.
void RunWithCopies(cluster_sim& sim, retrying_caller& caller, const cluster_size& size) {
  TraceIfWanted(sim);
  caller.on_submit = [&sim, &size](std::size_t job) { CopySubmission(sim, size.entries, job); };
  sim.RunFor(std::chrono::seconds(2));
  for (int i = 0; i < 200; ++i) {
    for (int job = 0; job < size.jobs_per_step; ++job) {
      const int number = i * size.jobs_per_step + job;
      caller.Submit(sim.random().Below(size.entries), JobId(number), WorkOf(number));
    }
    if (i % 6 == 5) {
      InjectFault(sim, size);
    }
    sim.RunFor(std::chrono::milliseconds(20) + duration(sim.random().Below(60'000)));
  }
  // The last repeated submission of a caller follows after up to 11 s, its copy 3 s later.
  sim.RunFor(std::chrono::seconds(25));
}

void ExpectAllAnswered(const cluster_sim& sim) {
  for (const sim_job& job : sim.jobs()) {
    EXPECT_TRUE(job.verdict || job.caller_gone) << job.id << " was never answered by entry " << job.entry;
  }
}

/// No run or claim is left, and new jobs are served.
void ExpectSettled(cluster_sim& sim, const cluster_size& size) {
  const std::size_t last = sim.Submit(0, "last", 3, 60);
  sim.RunFor(std::chrono::seconds(1));
  EXPECT_TRUE(sim.jobs()[last].verdict == job_verdict::kCompleted);
  for (std::size_t i = 0; i < size.targets; ++i) {
    EXPECT_EQ(sim.target(i).running(), 0U) << "target " << i;
    EXPECT_EQ(sim.manager(i)->runs(), 0U) << "agent " << i;
  }
  for (std::size_t i = 0; i < size.entries; ++i) {
    EXPECT_EQ(sim.entry(i)->runs(), 0U) << "entry " << i;
    EXPECT_EQ(sim.entry(i)->jobs(), 0U) << "entry " << i;
    EXPECT_EQ(sim.entry(i)->claims().open_claims(), 0U) << "entry " << i;
  }
}

template <const cluster_size& kSize>
class copied_cluster_of : public testing::TestWithParam<int> {
 protected:
  void SetUp() override { RunWithCopies(sim, caller, kSize); }

  cluster_sim sim{kSize.entries, kSize.targets, static_cast<std::uint64_t>(GetParam()), kCores, kDomains};
  retrying_caller caller{sim, kSize.entries};
};

using copied_cluster = copied_cluster_of<kSmall>;
// Its entries share few agents and are not all registrars of a job.
using copied_large_cluster = copied_cluster_of<kLarge>;

// Guards against a copy of a submission that starts tasks which run at another entry.
TEST_P(copied_cluster, RunsDoNotOverlap) { EXPECT_EQ(sim.OverlappingRuns(), std::vector<std::string>()); }
TEST_P(copied_large_cluster, RunsDoNotOverlap) { EXPECT_EQ(sim.OverlappingRuns(), std::vector<std::string>()); }

// Guards against jobs that are refused as not run because another entry holds them and runs them.
TEST_P(copied_cluster, RefusedJobsHaveNotRun) { EXPECT_EQ(RefusedJobsThatRan(sim), std::vector<std::string>()); }
TEST_P(copied_large_cluster, RefusedJobsHaveNotRun) { EXPECT_EQ(RefusedJobsThatRan(sim), std::vector<std::string>()); }

// Guards against callers that wait for ever, e.g. since a copy has taken their place.
TEST_P(copied_cluster, SubmissionsAreAnswered) { ExpectAllAnswered(sim); }
TEST_P(copied_large_cluster, SubmissionsAreAnswered) { ExpectAllAnswered(sim); }

// Guards against claims that nobody releases, and entries that accept no jobs after the faults.
TEST_P(copied_cluster, SettlesAfterFaults) { ExpectSettled(sim, kSmall); }
TEST_P(copied_large_cluster, SettlesAfterFaults) { ExpectSettled(sim, kLarge); }

INSTANTIATE_TEST_SUITE_P(Seeds, copied_cluster, testing::Range(1, LastSeed()));
INSTANTIATE_TEST_SUITE_P(Seeds, copied_large_cluster, testing::Range(1, LastSeed()));

}  // namespace
}  // namespace bamboowing
