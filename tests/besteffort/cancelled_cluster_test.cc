// Checks that a cancel holds at all entries while submissions are copied and repeated and processes fail. Each seed
// generates its own sequence of cancels, copies and faults.
#include <gtest/gtest.h>

#include <iostream>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster_sim.h"
#include "retrying_caller.h"

namespace bamboowing {
namespace {

constexpr std::size_t kEntries = 4;
constexpr std::size_t kTargets = 6;
constexpr std::size_t kDomains = 4;
constexpr std::uint32_t kCores = 4;
constexpr duration kRetransmitDelay = std::chrono::milliseconds(1300);
// A task may be started by this time after an answered cancel: the bound `cancel_ms` of the deployments.
constexpr duration kCancelLimit = std::chrono::seconds(3);

duration Below(cluster_sim& sim, duration limit) {
  return duration(sim.random().Below(static_cast<std::uint64_t>(limit.count())));
}

/// Cancels a job, and again at any entry until the cancel is answered.
void CancelUntilAnswered(cluster_sim& sim, const std::string& job, int attempts) {
  constexpr duration kAnswerTimeout = std::chrono::milliseconds(1500);
  const std::size_t cancel = sim.Cancel(sim.random().Below(kEntries), job);
  sim.After(kAnswerTimeout, [&sim, cancel, job, attempts] {
    const std::optional<cancel_outcome> outcome = sim.cancels()[cancel].outcome;
    if ((!outcome || outcome == cancel_outcome::kUnconfirmed) && attempts > 1) {
      sim.After(kRetransmitDelay, [&sim, job, attempts] { CancelUntilAnswered(sim, job, attempts - 1); });
    }
  });
}

/// A copy of a submission arrives at any entry, also seconds after the cancel.
void SendCopies(cluster_sim& sim, const sim_job& submitted) {
  constexpr duration kMaxCopyDelay = std::chrono::seconds(8);
  for (std::uint64_t copies = sim.random().Below(3); copies > 0; --copies) {
    const std::size_t entry = sim.random().Below(kEntries);
    sim.After(Below(sim, kMaxCopyDelay),
              [&sim, entry, submitted] { sim.Submit(entry, submitted.id, 3, submitted.work_ms); });
  }
}

void InjectFault(cluster_sim& sim) {
  const std::size_t entry = sim.random().Below(kEntries);
  const std::size_t other = (entry + 1 + sim.random().Below(kEntries - 1)) % kEntries;
  const std::size_t agent = sim.random().Below(kTargets);
  const duration time = std::chrono::milliseconds(200) + Below(sim, std::chrono::milliseconds(3500));
  switch (sim.random().Below(6)) {
    case 0:
      sim.KillEntry(entry, time / 4);
      break;
    case 1:
      sim.FreezeEntry(entry, time);
      break;
    case 2:
      sim.PartitionEntries(entry, other, time);
      break;
    case 3:
      for (std::size_t each = 0; each < kEntries; ++each) {
        if (each != entry) {
          sim.PartitionEntries(entry, each, time);
        }
      }
      break;
    case 4:
      sim.Partition(entry, agent, time);
      break;
    default:
      sim.KillAgent(agent, time / 4);
  }
}

class cancelled_cluster : public testing::TestWithParam<int> {
 protected:
  void SetUp() override {
    constexpr duration kMaxCancelDelay = std::chrono::milliseconds(1500);
    TraceIfWanted(sim);
    // Starts and stops whose answers are lost.
    sim.faults.lost_responses = 0.05;
    caller.on_submit = [this](std::size_t job) {
      const sim_job submitted = sim.jobs()[job];
      SendCopies(sim, submitted);
    };
    sim.RunFor(std::chrono::seconds(2));
    for (int i = 0; i < 200; ++i) {
      caller.Submit(sim.random().Below(kEntries), JobId(i), WorkOf(i));
      if (i % 3 == 0) {
        sim.After(Below(sim, kMaxCancelDelay), [this, i] { CancelUntilAnswered(sim, JobId(i), 4); });
      }
      if (i % 6 == 5) {
        InjectFault(sim);
      }
      sim.RunFor(std::chrono::milliseconds(20) + Below(sim, std::chrono::milliseconds(60)));
    }
    sim.RunFor(std::chrono::seconds(25));
  }

  cluster_sim sim{kEntries, kTargets, static_cast<std::uint64_t>(GetParam()), kCores, kDomains};
  retrying_caller caller{sim, kEntries};
};

// Guards against a cancelled job that is started by an entry which has not heard of the cancel.
TEST_P(cancelled_cluster, StartsNothingAfterCancel) {
  EXPECT_EQ(sim.StartsAfterCancel(kCancelLimit), std::vector<std::string>());
}

// Guards against cancels that let another entry run a job whose runs have not ended.
TEST_P(cancelled_cluster, RunsDoNotOverlap) { EXPECT_EQ(sim.OverlappingRuns(), std::vector<std::string>()); }

// Guards against cancels without an answer, and against faults after which cancels are recorded nowhere.
TEST_P(cancelled_cluster, MostCancelsAreConfirmed) {
  std::size_t answered = 0;
  std::set<std::string> confirmed;
  std::set<std::string> cancelled;
  for (const sim_cancel& cancel : sim.cancels()) {
    cancelled.insert(cancel.job);
    if (cancel.outcome && cancel.outcome != cancel_outcome::kUnconfirmed) {
      confirmed.insert(cancel.job);
    }
    answered += cancel.outcome ? 1 : 0;
  }
  EXPECT_GT(answered, cancelled.size() * 9 / 10);
  EXPECT_GT(confirmed.size(), cancelled.size() * 9 / 10);
}

// Guards against cancelled jobs whose claims or runs are kept.
TEST_P(cancelled_cluster, SettlesAfterFaults) {
  const std::size_t last = sim.Submit(0, "last", 3, 60);
  sim.RunFor(std::chrono::seconds(1));
  EXPECT_TRUE(sim.jobs()[last].verdict == job_verdict::kCompleted);
  for (std::size_t i = 0; i < kEntries; ++i) {
    EXPECT_EQ(sim.entry(i)->jobs(), 0U) << "entry " << i;
    EXPECT_EQ(sim.entry(i)->claims().open_claims(), 0U) << "entry " << i;
    EXPECT_EQ(sim.entry(i)->claims().unanswered_cancels(), 0U) << "entry " << i;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, cancelled_cluster, testing::Range(1, LastSeed()));

class cancel_test : public testing::Test {
 protected:
  void SetUp() override {
    TraceIfWanted(sim);
    sim.RunFor(std::chrono::seconds(2));
  }
  std::size_t RunningTasks() {
    std::size_t running = 0;
    for (std::size_t i = 0; i < kTargets; ++i) {
      running += sim.target(i).running();
    }
    return running;
  }
  std::optional<cancel_outcome> Outcome(std::size_t cancel) const { return sim.cancels()[cancel].outcome; }

  cluster_sim sim{kEntries, kTargets, 1, kCores, kDomains};
};

// Guards against a cancel that reaches another entry than the job's and has no effect (review case 1).
TEST_F(cancel_test, AtAnyEntryStopsRunsPromptly) {
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    const std::string id = JobId(static_cast<int>(entry));
    const std::size_t job = sim.Submit(0, id, 3, 5000);
    sim.RunFor(std::chrono::milliseconds(200));
    EXPECT_EQ(RunningTasks(), 3U);
    const std::size_t cancel = sim.Cancel(entry, id);
    sim.RunFor(std::chrono::milliseconds(100));
    EXPECT_TRUE(Outcome(cancel) == cancel_outcome::kCancelled) << "entry " << entry;
    EXPECT_TRUE(sim.jobs()[job].verdict == job_verdict::kCancelled) << "entry " << entry;
    EXPECT_EQ(RunningTasks(), 0U) << "entry " << entry;
  }
}

// Guards against a late copy of the submission that starts a cancelled job again (review case 2).
TEST_F(cancel_test, LateCopyStartsNothing) {
  sim.Submit(0, "job", 3, 5000);
  sim.RunFor(std::chrono::milliseconds(200));
  sim.Cancel(0, "job");
  sim.RunFor(std::chrono::milliseconds(200));
  const std::size_t runs = sim.history().size();
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    sim.RunFor(std::chrono::seconds(3));
    const std::size_t copy = sim.Submit(entry, "job", 3, 5000);
    sim.RunFor(std::chrono::milliseconds(100));
    EXPECT_TRUE(sim.jobs()[copy].verdict == job_verdict::kCancelled) << "entry " << entry;
  }
  EXPECT_EQ(sim.history().size(), runs);
}

// Guards against a cancel that precedes the submission and is forgotten.
TEST_F(cancel_test, HoldsBeforeSubmission) {
  const std::size_t cancel = sim.Cancel(1, "job");
  sim.RunFor(std::chrono::milliseconds(50));
  EXPECT_TRUE(Outcome(cancel) == cancel_outcome::kNotOpen);
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    const std::size_t copy = sim.Submit(entry, "job", 3, 60);
    sim.RunFor(std::chrono::milliseconds(100));
    EXPECT_TRUE(sim.jobs()[copy].verdict == job_verdict::kCancelled) << "entry " << entry;
  }
  EXPECT_TRUE(sim.history().empty());
}

// Guards against cancels that are kept for ever: the caller may use the id again.
TEST_F(cancel_test, ExpiresAfterRetention) {
  sim.Cancel(1, "job");
  sim.RunFor(job_claims_settings().retention + std::chrono::seconds(1));
  const std::size_t job = sim.Submit(2, "job", 3, 60);
  sim.RunFor(std::chrono::seconds(1));
  EXPECT_TRUE(sim.jobs()[job].verdict == job_verdict::kCompleted);
}

// Guards against a confirmed cancel that too few registrars know.
TEST_F(cancel_test, IsUnconfirmedWithoutMajority) {
  for (std::size_t other = 1; other < kEntries; ++other) {
    sim.PartitionEntries(0, other, std::chrono::seconds(10));
  }
  const std::size_t cancel = sim.Cancel(0, "job");
  sim.RunFor(job_claims_settings().cancel_limit - std::chrono::milliseconds(20));
  EXPECT_FALSE(Outcome(cancel));
  sim.RunFor(std::chrono::milliseconds(60));
  EXPECT_TRUE(Outcome(cancel) == cancel_outcome::kUnconfirmed);
}

// Guards against a completed job that is shown as cancelled.
TEST_F(cancel_test, CompletedJobStaysCompleted) {
  sim.Submit(0, "job", 3, 60);
  sim.RunFor(std::chrono::seconds(1));
  const std::size_t cancel = sim.Cancel(1, "job");
  sim.RunFor(std::chrono::milliseconds(50));
  EXPECT_TRUE(Outcome(cancel) == cancel_outcome::kNotOpen);
  const std::size_t copy = sim.Submit(2, "job", 3, 60);
  sim.RunFor(std::chrono::milliseconds(100));
  EXPECT_TRUE(sim.jobs()[copy].verdict == job_verdict::kCompleted);
}

// Guards against cancels that cost more the more entries there are. One cancel has at most four cancels in requests:
// to three registrars and the holder.
TEST(cancel_cost, IsBoundedForAnyNumberOfEntries) {
  constexpr int kJobs = 40;
  constexpr std::size_t kCostTargets = 8;
  constexpr double kMaxCancels = kRegistrars + 1;
  for (const std::size_t entries : {std::size_t{4}, std::size_t{35}}) {
    cluster_sim sim(entries, kCostTargets, 1, 32, kDomains);
    sim.RunFor(std::chrono::seconds(3));
    const auto run = [&sim, entries](bool cancel) {
      const claim_counts before = sim.claim_traffic;
      const std::size_t requests_before = sim.claim_requests;
      for (int i = 0; i < kJobs; ++i) {
        const std::size_t entry = static_cast<std::size_t>(i) % entries;
        const std::string id = (cancel ? "with" : "without") + std::to_string(i);
        sim.Submit(entry, id, 3, 1000);
        if (cancel && i % 4 == 0) {
          sim.After(std::chrono::milliseconds(300),
                    [&sim, entry, entries, id] { sim.Cancel((entry + 1) % entries, id); });
        }
        sim.RunFor(std::chrono::milliseconds(50));
      }
      sim.RunFor(std::chrono::seconds(4));
      claim_counts used = sim.claim_traffic;
      used.cancels -= before.cancels;
      used.cancel_bytes -= before.cancel_bytes;
      used.bytes -= before.bytes;
      return std::make_pair(sim.claim_requests - requests_before, used);
    };
    const std::pair<std::size_t, claim_counts> without = run(false);
    const std::pair<std::size_t, claim_counts> with = run(true);
    const double cancels = static_cast<double>(sim.cancels().size());
    const double each = static_cast<double>(with.second.cancels) / cancels;
    std::cout << entries << " entries, per cancel: cancels in requests " << each
              << ", bytes of these and their answers " << static_cast<double>(with.second.cancel_bytes) / cancels
              << "; all requests " << without.first << " without and " << with.first << " with " << sim.cancels().size()
              << " cancels, bytes " << without.second.bytes << " and " << with.second.bytes << "\n";
    EXPECT_GT(each, 0);
    EXPECT_LE(each, kMaxCancels);
    for (const sim_cancel& cancel : sim.cancels()) {
      EXPECT_TRUE(cancel.outcome == cancel_outcome::kCancelled) << cancel.job;
    }
  }
}

}  // namespace
}  // namespace bamboowing
