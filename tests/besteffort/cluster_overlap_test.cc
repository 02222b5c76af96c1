// Directed faults after which two runs of one task could be active at the same time.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "cluster_sim.h"

namespace bamboowing {
namespace {

constexpr std::size_t kTargets = 4;
constexpr int kLongWorkMs = 5000;
// Time after which a caller submits a job again at another entry when its connection has broken.
constexpr duration kRetransmitDelay = std::chrono::milliseconds(1300);

duration Ms(int time) { return std::chrono::milliseconds(time); }

class cluster_overlap : public testing::Test {
 protected:
  cluster_overlap() : sim(2, kTargets, 1) {
    if (std::getenv("CLUSTER_TRACE") != nullptr) {
      sim.trace = [this](const std::string& line) {
        std::cout << sim.now().time_since_epoch().count() / 1000 << " " << line << "\n";
      };
    }
    sim.RunFor(std::chrono::seconds(2));
  }

  /// Starts a job with one long task from entry 0 and returns the index of its target.
  std::size_t StartLongTask() {
    sim.Submit(0, "job", 1, kLongWorkMs);
    sim.RunFor(Ms(100));
    for (std::size_t i = 0; i < kTargets; ++i) {
      if (sim.target(i).running() > 0) {
        return i;
      }
    }
    ADD_FAILURE() << "the task was not started";
    return 0;
  }

  /// Entry 0 is killed now; its caller submits the job again at entry 1.
  void KillEntryOfCaller() {
    sim.KillEntry(0, std::chrono::seconds(5));
    sim.After(kRetransmitDelay, [this] { sim.Submit(1, "job", 1, kLongWorkMs); });
  }

  cluster_sim sim;
};

// Guards against a lease that is renewed for a run of a killed entry after the agent's machine was suspended: the
// agent's clock has not counted the suspension, so the entry seems to have been in contact recently.
TEST_F(cluster_overlap, RunsOfKilledEntryEndAlthoughMachineWasSuspended) {
  const std::size_t target = StartLongTask();
  KillEntryOfCaller();
  sim.RunFor(Ms(100));
  sim.SuspendAgent(target, Ms(850));
  sim.RunFor(std::chrono::seconds(4));
  EXPECT_EQ(sim.OverlappingRuns(), std::vector<std::string>());
}

// Guards against a start that was received while the agent's machine was suspended and is executed after it has
// resumed, although its entry has ended and the caller has submitted the job elsewhere.
TEST_F(cluster_overlap, StartReceivedDuringSuspensionIsNotExecuted) {
  for (std::size_t i = 0; i < kTargets; ++i) {
    sim.SuspendAgent(i, Ms(900));
  }
  sim.Submit(0, "job", 1, kLongWorkMs);
  sim.RunFor(Ms(10));
  KillEntryOfCaller();
  sim.RunFor(std::chrono::seconds(4));
  EXPECT_EQ(sim.OverlappingRuns(), std::vector<std::string>());
}

}  // namespace
}  // namespace bamboowing
