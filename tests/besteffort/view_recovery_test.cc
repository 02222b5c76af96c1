// How soon jobs are served after entries were lost, replaced or restarted: the entries that are left must not wait for
// those that have gone longer than their runs may last.
#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

#include "cluster_sim.h"
#include "retrying_caller.h"

namespace bamboowing {
namespace {

constexpr std::size_t kTargets = 4;
constexpr std::uint32_t kCores = 32;
constexpr duration kForGood = std::chrono::hours(1);
constexpr duration kJobInterval = std::chrono::milliseconds(50);
/// Within which jobs must be served again, of the deployments' bounds.
constexpr duration kRecoveryLimit = std::chrono::seconds(12);

duration Ms(int time) { return std::chrono::milliseconds(time); }

/// A deployment whose callers submit a job to the entries in use by turns each kJobInterval, but not to those whose
/// process is away or exits soon.
class recovering_deployment {
 public:
  explicit recovering_deployment(std::size_t entries) : sim(entries, kTargets, 1, kCores) {
    TraceIfWanted(sim);
    for (std::size_t i = 0; i < entries; ++i) {
      in_use.push_back(i);
    }
    sim.RunFor(std::chrono::seconds(5));
  }

  /// Submits jobs for @p time.
  void Serve(duration time) {
    for (const instant end = sim.now() + time; sim.now() < end;) {
      do {
        next_ = (next_ + 1) % in_use.size();
      } while (!AcceptsJobs(in_use[next_]));
      jobs_.push_back(sim.Submit(in_use[next_], JobId(static_cast<int>(jobs_.size())), 2, 60));
      sim.RunFor(kJobInterval);
    }
  }

  /// Loses all entries but the first @p left ones, one after the other.
  void LoseAllBut(std::size_t left) {
    while (in_use.size() > left) {
      sim.KillEntry(in_use.back(), kForGood);
      in_use.pop_back();
      sim.RunFor(Ms(200));
    }
  }

  void KillAllInUse(duration down) {
    for (const std::size_t entry : in_use) {
      sim.KillEntry(entry, down);
    }
    sim.RunFor(down);
  }

  /// A new entry takes the place of one in use, which is asked to exit @p overlap later.
  void Replace(std::size_t place, duration overlap) {
    const std::size_t replaced = in_use[place];
    in_use[place] = sim.AddEntry();
    sim.ListEntriesToAgents();
    Serve(overlap);
    sim.RemoveEntry(replaced);
  }

  /// Share of the jobs submitted between these times that were completed.
  double ServedShare(instant begin, instant end) const {
    std::size_t submitted = 0;
    std::size_t served = 0;
    for (const std::size_t index : jobs_) {
      const sim_job& job = sim.jobs()[index];
      if (job.sent >= begin && job.sent < end) {
        ++submitted;
        served += job.verdict == job_verdict::kCompleted ? 1 : 0;
      }
    }
    return submitted == 0 ? 0 : static_cast<double>(served) / static_cast<double>(submitted);
  }

  cluster_sim sim;
  std::vector<std::size_t> in_use;  ///< entries that callers use

 private:
  bool AcceptsJobs(std::size_t entry) {
    return sim.entry(entry) != nullptr && !sim.entry(entry)->claims().IsLeaving(cluster_sim::Address(entry));
  }

  std::vector<std::size_t> jobs_;
  std::size_t next_ = 0;
};

/// From kRecoveryLimit after now on, all jobs are served.
void ExpectRecovery(recovering_deployment& deployment) {
  const instant begin = deployment.sim.now();
  deployment.Serve(kRecoveryLimit + std::chrono::seconds(4));
  deployment.sim.RunFor(std::chrono::seconds(1));
  EXPECT_EQ(deployment.ServedShare(begin + kRecoveryLimit, deployment.sim.now()), 1.0);
  EXPECT_EQ(deployment.sim.OverlappingRuns(), std::vector<std::string>());
}

class view_recovery : public testing::TestWithParam<std::size_t> {};

// Guards against entries that refuse all jobs for long after most of the members are lost for good, when the members
// that are left can reach everything that exists.
TEST_P(view_recovery, FewEntriesServeSoonAfterLossOfOthers) {
  for (const std::size_t left : {1U, 2U}) {
    if (left >= GetParam()) {
      continue;
    }
    recovering_deployment deployment(GetParam());
    deployment.LoseAllBut(left);
    SCOPED_TRACE(std::to_string(left) + " left");
    ExpectRecovery(deployment);
  }
}

// As above, and all processes are killed at the same moment, so that those that are left have forgotten all claims.
TEST_P(view_recovery, EntryServesSoonAfterLossOfOthersAndKillOfAll) {
  recovering_deployment deployment(GetParam());
  deployment.Serve(std::chrono::seconds(2));
  deployment.LoseAllBut(1);
  deployment.KillAllInUse(Ms(500));
  ExpectRecovery(deployment);
}

// Guards against planned replacements that stop the service: changes of the view that take long keep the entries that
// have left among those that must confirm jobs.
TEST_P(view_recovery, PlannedReplacementsRefuseNoJobs) {
  for (const int interval_ms : {1500, 3000, 5000}) {
    recovering_deployment deployment(GetParam());
    const instant begin = deployment.sim.now();
    for (std::size_t i = 0; i < GetParam(); ++i) {
      deployment.Replace(i, std::chrono::seconds(4));
      deployment.Serve(Ms(interval_ms));
    }
    deployment.Serve(std::chrono::seconds(10));
    deployment.sim.RunFor(std::chrono::seconds(1));
    EXPECT_GE(deployment.ServedShare(begin, deployment.sim.now()), 0.99) << interval_ms << " ms between two";
    EXPECT_EQ(deployment.sim.OverlappingRuns(), std::vector<std::string>());
  }
}

// Guards against a view that keeps lost members for long because a change was in progress when all processes were
// killed, and these have forgotten who is missing.
TEST_P(view_recovery, ReplacedEntriesServeSoonAfterKillOfAll) {
  recovering_deployment deployment(GetParam());
  for (std::size_t i = 0; i < GetParam(); ++i) {
    deployment.Replace(i, std::chrono::seconds(1));
    deployment.Serve(std::chrono::seconds(2));
  }
  deployment.KillAllInUse(Ms(500));
  ExpectRecovery(deployment);
}

// Guards against new entries that wait long for members of which none exists any more.
TEST_P(view_recovery, NewEntriesServeSoonAfterLossOfAllMembers) {
  recovering_deployment deployment(GetParam());
  std::vector<std::size_t> added;
  for (std::size_t i = 0; i < GetParam(); ++i) {
    deployment.sim.KillEntry(i, kForGood);
    added.push_back(deployment.sim.AddEntry());
  }
  deployment.in_use = added;
  deployment.sim.ListEntriesToAgents();
  ExpectRecovery(deployment);
}

// Guards against a rolling restart that stops the service of the entries that are not being restarted.
TEST_P(view_recovery, RollingRestartRefusesFewJobs) {
  for (const int interval_ms : {1000, 3000}) {
    recovering_deployment deployment(GetParam());
    const instant begin = deployment.sim.now();
    for (const std::size_t restarted : deployment.in_use) {
      deployment.sim.DrainEntry(restarted, Ms(300));
      deployment.Serve(Ms(interval_ms));
    }
    deployment.Serve(std::chrono::seconds(5));
    deployment.sim.RunFor(std::chrono::seconds(1));
    EXPECT_GE(deployment.ServedShare(begin, deployment.sim.now()), 0.95) << interval_ms << " ms between two";
    EXPECT_EQ(deployment.sim.OverlappingRuns(), std::vector<std::string>());
  }
}

INSTANTIATE_TEST_SUITE_P(Entries, view_recovery, testing::Values(2, 3, 4, 7, 12));

}  // namespace
}  // namespace bamboowing
