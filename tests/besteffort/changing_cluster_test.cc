// Checks the guarantees for jobs whose submissions arrive several times, at several entries and late, while the set of
// entries changes: entries are added, lost for good, restarted, replaced, frozen and killed together, and the store
// does not answer. Each seed generates its own sequence of copies and faults.
#include <gtest/gtest.h>

#include <set>
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
  std::size_t max_lost = 0;   ///< entries that are lost for good
  std::size_t max_added = 0;  ///< entries that are added
};

constexpr cluster_size kSmall = {4, 5, 1, 1, 2};
// Agents attach to a subset of this many entries.
constexpr cluster_size kLarge = {12, 40, 2, 3, 3};
constexpr std::size_t kDomains = 4;
constexpr std::uint32_t kCores = 4;
// A change of the view takes 9.6 s, so that some of them end while jobs are submitted.
constexpr int kSteps = 400;
constexpr int kStepsPerFault = 14;
// Longer than any simulation.
constexpr duration kForGood = std::chrono::hours(1);

// Small enough for many long runs at a time.
constexpr std::uint32_t kTaskMillicores = 200;

/// Work of a task in milliseconds. Most jobs run when the next fault occurs, and many outlast the end of their entry.
int WorkOfChanging(int job) { return job % 3 == 0 ? 1500 : job % 3 == 1 ? 500 : 60; }

duration Below(cluster_sim& sim, duration limit) {
  return duration(sim.random().Below(static_cast<std::uint64_t>(limit.count())));
}

/// A simulation whose entries change.
struct changing_entries {
  changing_entries(cluster_sim& simulated, const cluster_size& of) : sim(simulated), size(of), entries(of.entries) {}

  std::size_t Any() { return sim.random().Below(entries); }
  bool IsLost(std::size_t entry) const { return lost.count(entry) != 0; }

  cluster_sim& sim;
  const cluster_size& size;
  std::size_t entries = 0;     ///< number of entries, with those that were added or lost
  std::set<std::size_t> lost;  ///< for good
};

/// A copy of a submission arrives at any entry. The connection of most copies was closed before or is closed soon.
void SendCopy(changing_entries& changing, const sim_job& submitted) {
  constexpr duration kMaxCopyDelay = std::chrono::seconds(3);
  constexpr duration kMaxConnected = std::chrono::milliseconds(30);
  cluster_sim& sim = changing.sim;
  const std::size_t entry = changing.Any();
  const bool disconnects = sim.random().Below(3) > 0;
  sim.After(Below(sim, kMaxCopyDelay), [&sim, entry, disconnects, submitted] {
    const std::size_t copy = sim.Submit(entry, submitted.id, 3, submitted.work_ms);
    if (disconnects) {
      sim.After(Below(sim, kMaxConnected), [&sim, copy] { sim.DisconnectCaller(copy); });
    }
  });
}

void CopySubmission(changing_entries& changing, std::size_t job) {
  constexpr duration kMaxTimeToBreak = std::chrono::milliseconds(1500);
  cluster_sim& sim = changing.sim;
  const sim_job submitted = sim.jobs()[job];
  for (std::uint64_t copies = sim.random().Below(3); copies > 0; --copies) {
    SendCopy(changing, submitted);
  }
  if (sim.random().Below(5) == 0) {
    sim.After(Below(sim, kMaxTimeToBreak), [&sim, job] {
      if (!sim.jobs()[job].verdict && !sim.jobs()[job].caller_gone) {
        sim.DisconnectCaller(job);
      }
    });
  }
}

void AddEntry(changing_entries& changing) {
  constexpr duration kMaxListDelay = std::chrono::milliseconds(600);
  if (changing.entries >= changing.size.entries + changing.size.max_added) {
    return;
  }
  changing.sim.AddEntry();
  ++changing.entries;
  changing.sim.After(Below(changing.sim, kMaxListDelay), [&changing] { changing.sim.ListEntriesToAgents(); });
}

/// An entry drains and is restarted, or is replaced by a new one.
void DrainEntry(changing_entries& changing, std::size_t entry) {
  constexpr duration kMaxDown = std::chrono::milliseconds(1500);
  if (changing.IsLost(entry)) {
    return;
  }
  const bool replaced = entry != 0 && changing.sim.random().Below(2) == 0 &&
                        changing.entries < changing.size.entries + changing.size.max_added &&
                        changing.sim.entry(entry) != nullptr;
  if (!replaced) {
    changing.sim.DrainEntry(entry, Below(changing.sim, kMaxDown));
    return;
  }
  AddEntry(changing);
  changing.lost.insert(entry);
  changing.sim.After(Below(changing.sim, kMaxDown), [&changing, entry] { changing.sim.RemoveEntry(entry); });
}

/// Entry 0 is kept for the check that new jobs are served.
void LoseEntry(changing_entries& changing, std::size_t entry) {
  const bool running = changing.sim.entry(entry) != nullptr;  // otherwise it is restarted soon
  if (entry != 0 && running && changing.lost.size() < changing.size.max_lost) {
    changing.lost.insert(entry);
    changing.sim.KillEntry(entry, kForGood);
  }
}

void FreezeSeveral(changing_entries& changing, duration time) {
  for (std::size_t entry = 0; entry < changing.entries; ++entry) {
    if (changing.sim.random().Below(4) > 0) {
      changing.sim.FreezeEntry(entry, time);
    }
  }
}

void KillAll(changing_entries& changing, duration down) {
  for (std::size_t entry = 0; entry < changing.entries; ++entry) {
    if (!changing.IsLost(entry)) {
      changing.sim.KillEntry(entry, down + Below(changing.sim, std::chrono::milliseconds(300)));
    }
  }
}

/// Delays the messages between an entry and one other entry, about half of the others, or all others.
void PartitionEntry(changing_entries& changing, std::size_t entry, duration time) {
  cluster_sim& sim = changing.sim;
  const std::size_t one_other = (entry + 1 + sim.random().Below(changing.entries - 1)) % changing.entries;
  const std::uint64_t extent = sim.random().Below(3);
  for (std::size_t other = 0; other < changing.entries; ++other) {
    const bool chosen = extent == 0 ? other == one_other : extent == 1 || sim.random().Below(2) == 0;
    if (other != entry && chosen) {
      sim.PartitionEntries(entry, other, time);
    }
  }
}

void InjectFault(changing_entries& changing) {
  constexpr duration kMaxOutage = std::chrono::seconds(10);
  cluster_sim& sim = changing.sim;
  const std::size_t entry = changing.Any();
  const std::size_t agent = sim.random().Below(changing.size.targets);
  const duration time = std::chrono::milliseconds(200) + Below(sim, std::chrono::milliseconds(3500));
  switch (sim.random().Below(14)) {
    case 12:
    case 13:
      DrainEntry(changing, entry);
      break;
    case 0:
      AddEntry(changing);
      break;
    case 1:
      LoseEntry(changing, entry);
      break;
    case 2:
    case 3:
      FreezeSeveral(changing, time / 2);
      break;
    case 4:
      KillAll(changing, time / 8);
      break;
    case 5:
      sim.StopStore(Below(sim, kMaxOutage));
      break;
    case 6:
    case 7:
      PartitionEntry(changing, entry, time);
      break;
    case 8:
      if (!changing.IsLost(entry)) {
        sim.KillEntry(entry, time / 4);
      }
      break;
    case 9:
      sim.SuspendEntry(entry, time);
      break;
    case 10:
      sim.Partition(entry, agent, time);
      break;
    default:
      sim.KillAgent(agent, time / 4);
  }
}

/// Runs the jobs, copies and faults of a seed until all of them have ended.
void RunWithChanges(changing_entries& changing, retrying_caller& caller) {
  cluster_sim& sim = changing.sim;
  TraceIfWanted(sim);
  sim.task_millicores = kTaskMillicores;
  caller.on_submit = [&changing](std::size_t job) { CopySubmission(changing, job); };
  sim.RunFor(std::chrono::seconds(2));
  for (int i = 0; i < kSteps; ++i) {
    for (int job = 0; job < changing.size.jobs_per_step; ++job) {
      const int number = i * changing.size.jobs_per_step + job;
      caller.Submit(changing.Any(), JobId(number), WorkOfChanging(number));
    }
    if (i % kStepsPerFault == kStepsPerFault - 1) {
      InjectFault(changing);
    }
    sim.RunFor(std::chrono::milliseconds(20) + duration(sim.random().Below(60'000)));
  }
  // The last repeated submission of a caller follows after up to 11 s, its copy 3 s later. A change of the view that
  // begins with the end of a store outage of 10 s takes 9.6 s, and another one may follow.
  sim.RunFor(std::chrono::seconds(40));
}

void ExpectAllAnswered(const cluster_sim& sim) {
  for (const sim_job& job : sim.jobs()) {
    EXPECT_TRUE(job.verdict || job.caller_gone) << job.id << " was never answered by entry " << job.entry;
  }
}

/// No run or claim is left, and each entry that is not lost serves new jobs.
void ExpectSettled(const changing_entries& changing) {
  cluster_sim& sim = changing.sim;
  std::vector<std::size_t> last;
  for (std::size_t i = 0; i < changing.entries; ++i) {
    if (!changing.IsLost(i)) {
      EXPECT_TRUE(sim.entry(i)->claims().IsServing(sim.now())) << "entry " << i;
      last.push_back(sim.Submit(i, "last" + std::to_string(i), 3, 60));
      sim.RunFor(std::chrono::milliseconds(300));
    }
  }
  sim.RunFor(std::chrono::seconds(1));
  for (const std::size_t job : last) {
    EXPECT_TRUE(sim.jobs()[job].verdict == job_verdict::kCompleted) << "entry " << sim.jobs()[job].entry;
  }
  for (std::size_t i = 0; i < changing.size.targets; ++i) {
    EXPECT_EQ(sim.target(i).running(), 0U) << "target " << i;
    EXPECT_EQ(sim.manager(i)->runs(), 0U) << "agent " << i;
  }
  for (std::size_t i = 0; i < changing.entries; ++i) {
    if (!changing.IsLost(i)) {
      EXPECT_EQ(sim.entry(i)->runs(), 0U) << "entry " << i;
      EXPECT_EQ(sim.entry(i)->jobs(), 0U) << "entry " << i;
      EXPECT_EQ(sim.entry(i)->claims().open_claims(), 0U) << "entry " << i;
    }
  }
}

template <const cluster_size& kSize>
class changing_cluster_of : public testing::TestWithParam<int> {
 protected:
  void SetUp() override { RunWithChanges(changing, caller); }

  cluster_sim sim{kSize.entries, kSize.targets, static_cast<std::uint64_t>(GetParam()), kCores, kDomains};
  changing_entries changing{sim, kSize};
  retrying_caller caller{sim, kSize.entries};
};

using changing_cluster = changing_cluster_of<kSmall>;
// Its entries share few agents and are not all registrars of a job.
using changing_large_cluster = changing_cluster_of<kLarge>;

/// All checks of one simulation, since those of many entries take seconds of processor time.
void ExpectGuarantees(const changing_entries& changing) {
  // Guards against two entries that hold a job by the registrars of different views, or by registrars that have
  // forgotten.
  EXPECT_EQ(changing.sim.OverlappingRuns(), std::vector<std::string>()) << "overlapping runs";
  // Guards against jobs that are refused as not run although a task has run, e.g. after a lapsed claim.
  EXPECT_EQ(RefusedJobsThatRan(changing.sim), std::vector<std::string>()) << "refused jobs that ran";
  // Guards against callers that wait for ever, e.g. for registrars that are lost.
  ExpectAllAnswered(changing.sim);
  // Guards against claims that nobody releases, and views that are not changed after the faults.
  ExpectSettled(changing);
}

TEST_P(changing_cluster, KeepsGuarantees) { ExpectGuarantees(changing); }
TEST_P(changing_large_cluster, KeepsGuarantees) { ExpectGuarantees(changing); }

INSTANTIATE_TEST_SUITE_P(Seeds, changing_cluster, testing::Range(1, LastSeed()));
INSTANTIATE_TEST_SUITE_P(Seeds, changing_large_cluster, testing::Range(1, LastSeed()));

}  // namespace
}  // namespace bamboowing
