// Evacuation of failure domains: no task is started there, whatever its job has gone through and whichever process is
// cut off, and jobs are served elsewhere or refused at once.
#include <gtest/gtest.h>

#include <algorithm>

#include "cluster_sim.h"

namespace bamboowing {
namespace {

constexpr std::size_t kEntries = 3;
constexpr std::size_t kTargets = 8;
constexpr std::size_t kDomains = 4;
constexpr std::uint32_t kCores = 4;
// Time from the operators' request until no task is started, with all processes running and connected: the store tells
// them every 250 ms in the simulation.
constexpr duration kNoticed = std::chrono::milliseconds(300);
// The same with processes that stand still for up to 3.7 s or are restarted.
constexpr duration kNoticedUnderFaults = std::chrono::seconds(5);
// Bound of the time from a submission to an immediate refusal.
constexpr duration kImmediately = std::chrono::milliseconds(20);

duration Ms(int time) { return std::chrono::milliseconds(time); }

class evacuation : public testing::TestWithParam<std::uint64_t> {
 protected:
  evacuation() : sim(kEntries, kTargets, Seed(), kCores, kDomains, true) { sim.RunFor(Ms(4000)); }

  static std::uint64_t Seed() {
    const testing::TestInfo* info = testing::UnitTest::GetInstance()->current_test_info();
    return info->value_param() != nullptr ? GetParam() : 1;
  }

  /// Submits a job of two tasks each 20 ms for @p time, in turn at each entry: about half of the capacity.
  void RunLoad(duration time) {
    for (duration passed{0}; passed < time; passed += Ms(20)) {
      sim.Submit(submitted % kEntries, "job" + std::to_string(submitted), 2, 100);
      ++submitted;
      sim.RunFor(Ms(20));
    }
  }

  void InjectFault() {
    seeded_random& random = sim.random();
    const std::size_t entry = random.Below(kEntries);
    const std::size_t agent = random.Below(kTargets);
    const duration time = Ms(200) + duration(random.Below(3'500'000));
    switch (random.Below(9)) {
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
        sim.CrashTarget(agent, time);
        break;
      case 6:
        sim.SilenceTarget(agent, time);
        break;
      case 7:
        sim.CutAgentFromStore(agent, time);
        break;
      default:
        sim.CutEntryFromStore(entry, time);
    }
  }

  /// Number of starts of tasks in a failure domain since @p since.
  std::size_t StartsIn(const std::string& domain, instant since) const {
    return static_cast<std::size_t>(
        std::count_if(sim.history().begin(), sim.history().end(), [&](const run_record& run) {
          const std::size_t agent = std::stoul(run.target.substr(run.target.find('-') + 1));
          return run.started_at >= since && sim.DomainOfAgent(agent) == domain;
        }));
  }

  std::size_t Count(job_verdict verdict) const {
    return static_cast<std::size_t>(std::count_if(sim.jobs().begin(), sim.jobs().end(),
                                                  [verdict](const sim_job& job) { return job.verdict == verdict; }));
  }

  void ExpectGuarantees(duration noticed) {
    EXPECT_EQ(sim.StartsInEvacuatedDomains(noticed), std::vector<std::string>());
    EXPECT_EQ(sim.OverlappingRuns(), std::vector<std::string>());
    EXPECT_EQ(sim.RefusedJobsThatRan(), std::vector<std::string>());
  }

  cluster_sim sim;
  std::size_t submitted = 0;
};

// Guards against tasks that are started in an evacuated failure domain, and against one that stays unused afterwards.
TEST_F(evacuation, StartsNothingUntilItEnds) {
  RunLoad(Ms(1000));
  sim.SetEvacuation({"domain-1"});
  RunLoad(Ms(3000));
  sim.SetEvacuation({});
  const instant ended_at = sim.now();
  RunLoad(Ms(2000));
  sim.RunFor(Ms(1000));
  ExpectGuarantees(kNoticed);
  EXPECT_EQ(Count(job_verdict::kCompleted), submitted);
  EXPECT_GT(StartsIn("domain-1", ended_at), 0U);
}

// Guards against an agent that starts tasks because it can't reach the store. Entries tell it.
TEST_F(evacuation, AgentsWithoutTheStoreLearnFromEntries) {
  for (std::size_t i = 0; i < kTargets; ++i) {
    sim.CutAgentFromStore(i, Ms(10'000));
  }
  // Its starts reach agents that only the other entries can have told.
  sim.CutEntryFromStore(0, Ms(10'000));
  sim.SetEvacuation({"domain-0", "domain-2"});
  RunLoad(Ms(3000));
  sim.RunFor(Ms(1000));
  ExpectGuarantees(kNoticed);
  EXPECT_EQ(Count(job_verdict::kCompleted), submitted);
}

// Guards against starts that an entry sends because it can't reach the store. Agents reject them, and tell it.
TEST_F(evacuation, EntriesWithoutTheStoreLearnFromAgents) {
  for (std::size_t i = 0; i < kEntries; ++i) {
    sim.CutEntryFromStore(i, Ms(10'000));
  }
  sim.SetEvacuation({"domain-3"});
  RunLoad(Ms(3000));
  sim.RunFor(Ms(1000));
  ExpectGuarantees(kNoticed);
  for (std::size_t i = 0; i < kEntries; ++i) {
    EXPECT_TRUE(sim.entry(i)->fleet().evacuation().Contains("domain-3")) << "entry " << i;
  }
  EXPECT_EQ(Count(job_verdict::kCompleted), submitted);
}

// Guards against processes that start during an evacuation, while the store is down, and take its set as empty.
TEST_F(evacuation, HoldsForProcessesThatStartWhileTheStoreIsDown) {
  sim.SetEvacuation({"domain-1"});
  RunLoad(Ms(1000));
  sim.StopStore(Ms(8000));
  for (std::size_t i = 0; i < kTargets; ++i) {
    sim.KillAgent(i, Ms(300));
    RunLoad(Ms(200));
  }
  sim.KillEntry(0, Ms(300));
  const instant restarted_at = sim.now();
  RunLoad(Ms(2000));
  ExpectGuarantees(kNoticed);
  EXPECT_GT(StartsIn("domain-0", restarted_at), 0U) << "the other targets must be used";
}

// Guards against jobs that wait until their deadline although no target may serve them.
TEST_F(evacuation, OfAllTargetsRefusesJobsAtOnce) {
  sim.SetEvacuation({"domain-0", "domain-1", "domain-2", "domain-3"});
  sim.RunFor(Ms(1000));
  const std::size_t job = sim.Submit(0, "refused", 2, 60);
  sim.RunFor(Ms(1000));
  EXPECT_EQ(sim.jobs()[job].verdict, job_verdict::kRefused);
  EXPECT_LE(sim.jobs()[job].answered - sim.jobs()[job].sent, kImmediately);
  EXPECT_TRUE(sim.entry(0)->HasAcceptingTarget(sim.now()));
  sim.SetEvacuation({});
  sim.RunFor(Ms(500));
  const std::size_t served = sim.Submit(0, "served", 2, 60);
  sim.RunFor(Ms(1000));
  EXPECT_EQ(sim.jobs()[served].verdict, job_verdict::kCompleted);
  ExpectGuarantees(kNoticed);
}

// Guards against jobs that wait in the queue while the last targets that fit them are evacuated.
TEST_F(evacuation, RefusesWaitingJobsThatFitNoOtherTarget) {
  for (std::size_t i = 0; i < kTargets; ++i) {
    sim.SetCapacity(i, i % kDomains == 1 ? resource_amount{4000, 65536, 0} : resource_amount{1000, 65536, 0});
  }
  sim.RunFor(Ms(1600));
  const auto large = [this](const std::string& id) {
    return sim.Submit(0, id, {sim.Step(2, 900, {4000, 64, 0})}, 900);
  };
  large("running");
  sim.RunFor(Ms(100));
  const std::size_t waiting = large("waiting");
  sim.RunFor(Ms(100));
  sim.SetEvacuation({"domain-1"});
  const instant evacuated_at = sim.now();
  sim.RunFor(Ms(3000));
  EXPECT_EQ(sim.jobs()[waiting].verdict, job_verdict::kRefused);
  EXPECT_LE(sim.jobs()[waiting].answered - evacuated_at, kNoticed);
  ExpectGuarantees(kNoticed);
}

// Guards against an evacuation of a failure domain that does not exist and nevertheless has an effect.
TEST_F(evacuation, OfUnknownDomainChangesNothing) {
  sim.SetEvacuation({"elsewhere"});
  RunLoad(Ms(1000));
  sim.RunFor(Ms(1000));
  EXPECT_EQ(Count(job_verdict::kCompleted), submitted);
}

// Guards against starts that entries send only to have them rejected.
TEST_F(evacuation, EntriesSendNoStartsToEvacuatedTargets) {
  sim.SetEvacuation({"domain-1"});
  sim.RunFor(kNoticed);
  RunLoad(Ms(1000));
  sim.RunFor(Ms(1000));
  for (std::size_t i = 0; i < kEntries; ++i) {
    const std::map<run_outcome, std::uint64_t>& outcomes = sim.entry(i)->outcome_counts();
    EXPECT_EQ(outcomes.count(run_outcome::kUnavailable), 0U) << "entry " << i;
  }
}

// Guards against jobs that wait until their deadline because an entry that did not know of the evacuation has sent
// their starts, which the agents have rejected.
TEST_F(evacuation, RefusesJobsWhoseStartsWereRejectedAtOnce) {
  sim.CutEntryFromStore(0, Ms(20'000));
  sim.SetEvacuation({"domain-0", "domain-1", "domain-2", "domain-3"});
  std::vector<std::size_t> jobs;
  for (int i = 0; i < 350; ++i) {
    jobs.push_back(sim.Submit(0, "job" + std::to_string(i), 1, 5));
    sim.RunFor(Ms(1));
  }
  sim.RunFor(Ms(2000));
  // The entry sends starts until the agents' next reports tell it.
  const duration reported = kNoticed + kImmediately;
  for (const std::size_t job : jobs) {
    EXPECT_TRUE(sim.jobs()[job].verdict) << sim.jobs()[job].id;
    EXPECT_LE(sim.jobs()[job].answered - sim.jobs()[job].sent, reported) << sim.jobs()[job].id;
  }
  EXPECT_GT(Count(job_verdict::kRefused), 0U);
  EXPECT_EQ(Count(job_verdict::kUnknown), 0U);
  ExpectGuarantees(kNoticed);
}

// Guards against a process that knows the newest state and does not tell another one, because it has sent the same set
// before.
TEST_F(evacuation, NewerStateReachesProcessesWithAnOlderOne) {
  sim.StopStore(Ms(60'000));
  sim.entry(0)->OnEvacuation({10, {"domain-0"}});
  sim.RunFor(Ms(1000));
  sim.entry(0)->OnEvacuation({25, {"domain-0"}});
  sim.entry(1)->OnEvacuation({20, {}});
  sim.RunFor(Ms(1000));
  const instant since = sim.now();
  RunLoad(Ms(3000));
  EXPECT_EQ(StartsIn("domain-0", since), 0U);
}

// Guards against a task that avoids the target of its lost run although it is the only one left.
TEST_F(evacuation, LostTaskUsesTheOnlyTargetLeft) {
  cluster_sim small(kEntries, kDomains, 1, kCores, kDomains, true);
  small.RunFor(Ms(4000));
  small.SetEvacuation({"domain-1", "domain-2", "domain-3"});
  small.RunFor(Ms(1000));
  const std::size_t job = small.Submit(0, "lost", 1, 500);
  small.RunFor(Ms(100));
  small.CrashTarget(0, Ms(500));
  small.RunFor(Ms(15'000));
  EXPECT_EQ(small.jobs()[job].verdict, job_verdict::kCompleted);
}

// Guards against starts after any sequence of faults at the processes that know of the evacuation. Each seed evacuates
// one or two failure domains, twice.
TEST_P(evacuation, HoldsUnderFaults) {
  for (int round = 0; round < 2; ++round) {
    const std::size_t first = sim.random().Below(kDomains);
    sim.SetEvacuation(
        {"domain-" + std::to_string(first), "domain-" + std::to_string((first + sim.random().Below(2)) % kDomains)});
    for (int fault = 0; fault < 12; ++fault) {
      InjectFault();
      RunLoad(Ms(700));
    }
    sim.SetEvacuation({});
    RunLoad(Ms(1000));
  }
  sim.RunFor(Ms(4000));
  ExpectGuarantees(kNoticedUnderFaults);
}

INSTANTIATE_TEST_SUITE_P(Seeds, evacuation, testing::Range<std::uint64_t>(1, 21));

}  // namespace
}  // namespace bamboowing
