// Capacities of targets that shrink and grow while runs are active. The targets do not check their capacity, so that
// each start beyond it is executed.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "cluster_sim.h"

namespace bamboowing {
namespace {

constexpr std::size_t kTargets = 2;
constexpr std::uint32_t kCores = 8;
// Time from a stop to the end of a run at the platform's targets.
constexpr duration kStopTime = std::chrono::milliseconds(50);
// A shrink is known to the agents after this time: two heartbeat intervals.
constexpr duration kAnnounced = std::chrono::milliseconds(3000);

duration Ms(int time) { return std::chrono::milliseconds(time); }

const std::vector<std::string> kNone;

class cluster_capacity : public testing::Test {
 protected:
  explicit cluster_capacity(std::size_t entries = 2, std::size_t targets = kTargets)
      : sim(entries, targets, 1, kCores) {
    if (std::getenv("CLUSTER_TRACE") != nullptr) {
      sim.trace = [this](const std::string& line) {
        std::cout << sim.now().time_since_epoch().count() / 1000 << " " << line << "\n";
      };
    }
    for (std::size_t i = 0; i < targets; ++i) {
      sim.target(i).guards_capacity = false;
      sim.target(i).stop_time = kStopTime;
    }
    sim.RunFor(std::chrono::seconds(3));
  }

  void SetCapacities(const resource_amount& capacity) {
    for (std::size_t i = 0; i < kTargets; ++i) {
      sim.SetCapacity(i, capacity);
    }
  }

  /// Submits more work than the targets can run for @p time.
  void Load(duration time) {
    const instant end = sim.now() + time;
    while (sim.now() < end) {
      ++jobs;
      sim.Submit(jobs % 2, "job" + std::to_string(jobs), 2, 100);
      sim.RunFor(Ms(10));
    }
  }

  std::vector<job_step> Steps(const resource_amount& need, int work_ms = 100) { return {sim.Step(1, work_ms, need)}; }

  cluster_sim sim;
  std::size_t jobs = 0;
};

// Guards against starts by the capacity that a target had before it shrank.
TEST_F(cluster_capacity, StartsFitTheShrunkCapacity) {
  Load(std::chrono::seconds(2));
  SetCapacities({3000, 65536, 0});
  Load(std::chrono::seconds(8));
  SetCapacities(sim.FullCapacity());
  Load(std::chrono::seconds(4));
  SetCapacities({0, 65536, 0});
  Load(std::chrono::seconds(8));
  EXPECT_EQ(sim.OvercommittedStarts(), kNone);
}

// Guards against admission by CPU alone when the memory of a target shrinks.
TEST_F(cluster_capacity, StartsFitTheShrunkMemory) {
  sim.task_memory_mb = 8192;
  Load(std::chrono::seconds(2));
  SetCapacities({8000, 20000, 0});
  Load(std::chrono::seconds(8));
  EXPECT_EQ(sim.OvercommittedStarts(), kNone);
}

// Guards against admission by CPU alone when a target loses its accelerators.
TEST_F(cluster_capacity, StartsFitTheShrunkAccelerators) {
  SetCapacities({8000, 65536, 4});
  sim.RunFor(kAnnounced);
  const auto submit = [this](int count) {
    for (int i = 0; i < count; ++i) {
      sim.Submit(0, "gpu" + std::to_string(++jobs), Steps({1000, 64, 2}, 900), 900);
      sim.RunFor(Ms(100));
    }
  };
  submit(20);
  SetCapacities({8000, 65536, 2});
  submit(80);
  EXPECT_EQ(sim.OvercommittedStarts(), kNone);
}

// Guards against starts into the room of runs that are being stopped.
TEST_F(cluster_capacity, RunsBeingStoppedKeepTheirRoom) {
  for (int round = 0; round < 20; ++round) {
    std::vector<std::size_t> submitted;
    for (int i = 0; i < 4; ++i) {
      submitted.push_back(sim.Submit(0, "long" + std::to_string(++jobs), 4, 3000));
    }
    sim.RunFor(Ms(100));
    for (const std::size_t job : submitted) {
      sim.DisconnectCaller(job);
    }
    Load(Ms(300));
  }
  EXPECT_EQ(sim.OvercommittedStarts(), kNone);
}

// Guards against starts into the room of runs that an earlier process of the agent has started.
TEST_F(cluster_capacity, RunsOfEarlierAgentKeepTheirRoom) {
  for (std::size_t i = 0; i < kTargets; ++i) {
    sim.target(i).stop_time = std::chrono::milliseconds(200);
  }
  sim.Submit(0, "long", 16, 5000);
  sim.RunFor(Ms(200));
  sim.KillAgent(0, Ms(100));
  sim.KillAgent(1, Ms(100));
  Load(std::chrono::seconds(6));
  EXPECT_EQ(sim.OvercommittedStarts(), kNone);
}

// Guards against room that is given away while a start request without a response may still be executed.
TEST_F(cluster_capacity, LateStartsKeepTheirRoom) {
  sim.faults.late_requests = 0.1;
  sim.faults.late_delay = Ms(300);
  sim.faults.slow_requests = 0.1;
  sim.faults.lost_responses = 0.1;
  Load(std::chrono::seconds(10));
  SetCapacities({3000, 65536, 0});
  Load(std::chrono::seconds(10));
  EXPECT_EQ(sim.OvercommittedStarts(), kNone);
}

// Guards against a larger capacity that an earlier announcement carries, which arrives after a newer one.
TEST_F(cluster_capacity, LateHeartbeatDoesNotRestoreShrunkCapacity) {
  sim.DelayHeartbeat(0, std::chrono::seconds(6));
  sim.DelayHeartbeat(1, std::chrono::seconds(6));
  SetCapacities({2000, 65536, 0});
  Load(std::chrono::seconds(8));
  EXPECT_EQ(sim.OvercommittedStarts(), kNone);
}

// Guards against admission by the last known capacity of a target whose later announcements are lost.
TEST_F(cluster_capacity, LostHeartbeatsEndAdmission) {
  sim.faults.lost_heartbeats = 1;
  SetCapacities({2000, 65536, 0});
  Load(std::chrono::seconds(8));
  EXPECT_EQ(sim.OvercommittedStarts(), kNone);
  sim.faults.lost_heartbeats = 0;
  sim.RunFor(kAnnounced);
  const std::size_t last = sim.Submit(0, "last", 1, 60);
  sim.RunFor(Ms(200));
  EXPECT_EQ(sim.jobs()[last].verdict, job_verdict::kCompleted);
}

// Guards against starts by the last known capacity when an agent continues after a pause.
TEST_F(cluster_capacity, ResumedAgentWaitsForAnnouncement) {
  sim.faults.lost_heartbeats = 1;
  sim.FreezeAgent(0, std::chrono::seconds(7));
  sim.FreezeAgent(1, std::chrono::seconds(7));
  SetCapacities({2000, 65536, 0});
  Load(std::chrono::seconds(8));
  EXPECT_EQ(sim.OvercommittedStarts(), kNone);
}

// Guards against a delayed announcement from which a restarted agent learns a capacity that has shrunk since.
TEST_F(cluster_capacity, RestartedAgentIgnoresDelayedAnnouncement) {
  sim.DelayHeartbeat(0, std::chrono::seconds(8));
  sim.DelayHeartbeat(1, std::chrono::seconds(8));
  SetCapacities({2000, 65536, 0});
  sim.RunFor(Ms(7500));
  sim.faults.lost_heartbeats = 1;
  sim.KillAgent(0, Ms(200));
  sim.KillAgent(1, Ms(200));
  Load(std::chrono::seconds(3));
  EXPECT_EQ(sim.OvercommittedStarts(), kNone);
}

// Guards against starts at a restarted target by the capacity of its previous incarnation.
TEST_F(cluster_capacity, RestartedTargetGetsNoStartsBeforeItsAnnouncement) {
  for (std::size_t i = 0; i < kTargets; ++i) {
    sim.target(i).next_capacity = resource_amount{2000, 65536, 0};
    sim.CrashTarget(i, std::chrono::seconds(3));
  }
  // The agents have no runs, so nothing has told them of the restart.
  sim.faults.lost_heartbeats = 1;
  sim.RunFor(Ms(3010));
  Load(Ms(1400));
  sim.faults.lost_heartbeats = 0;
  Load(std::chrono::seconds(8));
  EXPECT_EQ(sim.OvercommittedStarts(), kNone);
}

}  // namespace
}  // namespace bamboowing
