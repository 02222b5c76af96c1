// Checks under random faults that no start brings a target over its capacity while capacities shrink and grow. The
// targets do not check their capacity. Each seed generates its own sequence of faults.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "cluster_sim.h"

namespace bamboowing {
namespace {

constexpr std::size_t kEntries = 3;
constexpr std::size_t kTargets = 4;
constexpr std::uint32_t kCores = 8;
constexpr std::uint32_t kMemoryMb = 65536;
constexpr std::uint32_t kAccelerators = 4;

/// End of the range of seeds; a longer one is set by CLUSTER_SEEDS.
int LastSeed() {
  constexpr int kSeeds = 20;
  const char* const seeds = std::getenv("CLUSTER_SEEDS");
  return 1 + (seeds == nullptr ? kSeeds : std::atoi(seeds));
}

class capacity_run {
 public:
  explicit capacity_run(int seed) : sim(kEntries, kTargets, static_cast<std::uint64_t>(seed), kCores) {
    if (std::getenv("CLUSTER_TRACE") != nullptr) {
      sim.trace = [this](const std::string& line) {
        std::cout << sim.now().time_since_epoch().count() / 1000 << " " << line << "\n";
      };
    }
    for (std::size_t i = 0; i < kTargets; ++i) {
      sim.target(i).guards_capacity = false;
      sim.target(i).stop_time = std::chrono::milliseconds(50);
      sim.SetCapacity(i, {kCores * 1000, kMemoryMb, kAccelerators});
    }
    sim.RunFor(std::chrono::seconds(5));
  }

  void Run() {
    sim.faults.late_requests = 0.03;
    sim.faults.slow_requests = 0.05;
    sim.faults.lost_responses = 0.03;
    sim.faults.lost_polls = 0.03;
    sim.faults.lost_heartbeats = 0.2;
    sim.faults.late_heartbeats = 0.2;
    for (int i = 0; i < 600; ++i) {
      Submit("job" + std::to_string(i));
      if (i % 9 == 5) {
        ChangeCapacity();
      }
      if (i % 18 == 11) {
        InjectFault();
      }
      sim.RunFor(std::chrono::milliseconds(10) + duration(Below(60'000)));
    }
    sim.faults = {};
    for (std::size_t i = 0; i < kTargets; ++i) {
      sim.target(i).next_capacity.reset();
      sim.SetCapacity(i, {kCores * 1000, kMemoryMb, kAccelerators});
    }
    sim.RunFor(std::chrono::seconds(15));
  }

  cluster_sim sim;

 private:
  std::uint64_t Below(std::uint64_t bound) { return sim.random().Below(bound); }

  resource_amount RandomNeed() {
    const std::uint32_t cpu = 500 + 500 * static_cast<std::uint32_t>(Below(6));
    const std::uint32_t memory = Below(4) == 0 ? 12000 : 64;
    return {cpu, memory, Below(6) == 0 ? 1U : 0U};
  }

  void Submit(const std::string& id) {
    const int work_ms = Below(5) == 0 ? 900 : 80;
    const std::uint32_t tasks = 1 + static_cast<std::uint32_t>(Below(4));
    const std::size_t job = sim.Submit(Below(kEntries), id, {sim.Step(tasks, work_ms, RandomNeed())}, work_ms);
    if (Below(10) == 0) {
      sim.After(duration(Below(400'000)), [this, job] {
        if (!sim.jobs()[job].verdict && !sim.jobs()[job].caller_gone) {
          sim.DisconnectCaller(job);
        }
      });
    }
  }

  resource_amount RandomCapacity() {
    const std::uint32_t cpu = static_cast<std::uint32_t>(Below(kCores + 1)) * 1000;
    const std::uint32_t memory = Below(2) == 0 ? kMemoryMb : static_cast<std::uint32_t>(Below(kMemoryMb));
    return {cpu, memory, static_cast<std::uint32_t>(Below(kAccelerators + 1))};
  }

  void ChangeCapacity() {
    const std::size_t target = Below(kTargets);
    sim.SetCapacity(target,
                    Below(3) == 0 ? resource_amount{kCores * 1000, kMemoryMb, kAccelerators} : RandomCapacity());
  }

  void InjectFault() {
    const std::size_t entry = Below(kEntries);
    const std::size_t agent = Below(kTargets);
    const duration time = std::chrono::milliseconds(200) + duration(Below(7'000'000));
    switch (Below(8)) {
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
        sim.SuspendAgent(agent, time);
        break;
      case 5:
        sim.Partition(entry, agent, time);
        break;
      case 6:
        sim.SilenceTarget(agent, time);
        break;
      default:
        // A target takes 2 s or more to restart, possibly with another capacity.
        sim.target(agent).next_capacity = RandomCapacity();
        sim.CrashTarget(agent, std::chrono::seconds(2) + duration(Below(2'000'000)));
    }
  }
};

class changing_capacities : public testing::TestWithParam<int> {};

// Guards against starts beyond a capacity that has shrunk, in combination with other faults.
TEST_P(changing_capacities, AreRespected) {
  capacity_run run(GetParam());
  run.Run();
  EXPECT_EQ(run.sim.OvercommittedStarts(), std::vector<std::string>());
  EXPECT_EQ(run.sim.OverlappingRuns(), std::vector<std::string>());
  EXPECT_EQ(run.sim.RefusedJobsThatRan(), std::vector<std::string>());
  for (const sim_job& job : run.sim.jobs()) {
    EXPECT_TRUE(job.verdict || job.caller_gone) << job.id << " was never answered by entry " << job.entry;
  }
  const std::size_t last = run.sim.Submit(0, "last", 3, 60);
  run.sim.RunFor(std::chrono::seconds(1));
  EXPECT_EQ(run.sim.jobs()[last].verdict, job_verdict::kCompleted);
}

INSTANTIATE_TEST_SUITE_P(Seeds, changing_capacities, testing::Range(1, LastSeed()));

}  // namespace
}  // namespace bamboowing
