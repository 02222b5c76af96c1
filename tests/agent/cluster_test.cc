// Injects random pauses, network cuts, restarts, store outages and resubmissions. Each seed is one run; a failure is
// reproduced by its seed.
#include <gtest/gtest.h>

#include "cluster_sim.h"

namespace bamboowing {
namespace {

using std::chrono::seconds;

constexpr duration kFaultTime = seconds(40);
constexpr duration kRecoveryTime = seconds(30);

void RandomFault(cluster_sim& sim) {
  cluster_sim::sim_entry& entry = sim.entries[sim.random.Below(sim.entries.size())];
  const std::size_t a = sim.random.Below(sim.agents.size());
  switch (sim.random.Below(9)) {
    case 0:
      entry.paused = !entry.paused;
      break;
    case 1:
      sim.agents[a].paused = !sim.agents[a].paused;
      break;
    case 2:
    case 3:
      entry.links[a].partitioned = !entry.links[a].partitioned;
      break;
    case 4:
      entry.store_partitioned = !entry.store_partitioned;
      break;
    case 5:
      sim.store.down = !sim.store.down;
      break;
    case 6:
      if (sim.random.Below(3) == 0) {
        sim.RestartEntry(sim.random.Below(sim.entries.size()));
      }
      break;
    case 7:
      if (sim.random.Below(3) == 0) {
        sim.RestartAgent(a);
      }
      break;
    default:
      for (cluster_sim::sim_entry& other : sim.entries) {
        other.paused = false;
        other.store_partitioned = false;
      }
      sim.store.down = false;
      break;
  }
}

void ClearFaults(cluster_sim& sim) {
  sim.store.down = false;
  for (cluster_sim::sim_entry& entry : sim.entries) {
    entry.paused = entry.store_partitioned = false;
    for (auto& [a, link] : entry.links) {
      link.partitioned = false;
    }
  }
  for (cluster_sim::sim_agent& agent : sim.agents) {
    agent.paused = false;
  }
}

// Guards against a task that runs twice, a refused start that runs, two owners with authority, a start on behalf of an
// owner without authority, and a cluster that does not recover. The checks are in cluster_sim.
TEST(Cluster, RandomFaults) {
  std::size_t done = 0;
  std::size_t all = 0;
  for (std::uint64_t seed = 1; seed <= 200 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    cluster_sim sim(seed);
    const instant end = sim.now + kFaultTime;
    while (sim.now < end + kRecoveryTime) {
      sim.Step();
      if (sim.now < end && sim.random.Below(60) == 0) {
        RandomFault(sim);
      }
      if (sim.now < end && sim.random.Below(60) == 0) {
        sim.Submit(1 + sim.random.Below(3), sim.random.Below(2) == 0);
      }
      if (sim.now == end) {
        ClearFaults(sim);
      }
    }
    for (const cluster_sim::client_job& job : sim.clients) {
      EXPECT_TRUE(job.done || job.failed) << job.id << " has no answer";
      done += job.done ? 1 : 0;
      ++all;
    }
  }
  // If hardly any job completed, the checks would be vacuous.
  EXPECT_GT(done, all / 3);
  RecordProperty("jobs", static_cast<int>(all));
  RecordProperty("complete", static_cast<int>(done));
  std::printf("%zu jobs, %zu complete\n", all, done);
}

}  // namespace
}  // namespace bamboowing
