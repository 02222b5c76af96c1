// Load and trouble that decide what callers see on heavy days, in virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "cluster_sim.h"

namespace bamboowing {
namespace {

std::string JobId(int number) { return "job" + std::to_string(number); }

/// Teaches the entries how long tasks take.
void WarmUp(cluster_sim& sim, int work_ms) {
  sim.RunFor(std::chrono::seconds(2));
  for (int i = 0; i < 60; ++i) {
    sim.Submit(static_cast<std::size_t>(i) % 2, "warm" + std::to_string(i), 2, work_ms);
    sim.RunFor(std::chrono::milliseconds(50));
  }
  sim.RunFor(std::chrono::seconds(1));
}

std::size_t Completed(const cluster_sim& sim, const std::string& prefix, duration within) {
  return static_cast<std::size_t>(std::count_if(sim.jobs().begin(), sim.jobs().end(), [&](const sim_job& job) {
    return job.id.rfind(prefix, 0) == 0 && job.verdict == job_verdict::kCompleted && job.answered - job.sent <= within;
  }));
}

// Pattern: a target takes tasks and never ends them, while it answers all orders.
TEST(load, TasksOfAHangingTargetAreDoneElsewhere) {
  cluster_sim sim(2, 4, 11);
  WarmUp(sim, 60);
  sim.target(0).hangs = true;
  for (int i = 0; i < 60; ++i) {
    sim.Submit(static_cast<std::size_t>(i) % 2, JobId(i), 2, 60);
    sim.RunFor(std::chrono::milliseconds(50));
  }
  sim.RunFor(std::chrono::seconds(1));
  // Late answers count up to three times the objective, 156 ms.
  EXPECT_EQ(Completed(sim, "job", std::chrono::milliseconds(468)), 60U);
  EXPECT_GE(Completed(sim, "job", std::chrono::milliseconds(156)), 45U);
  EXPECT_EQ(sim.OverlappingRuns(), std::vector<std::string>());
}

// Pattern: a task takes three times as long as its caller said, at a sound target. Guards against runs that are stopped
// and begun again for nothing (a job of quiet-1 was given up after 3.2 s that way).
TEST(load, ALongTaskAtASoundTargetIsLeftToItsEnd) {
  cluster_sim sim(2, 1, 12);
  WarmUp(sim, 300);
  const std::size_t before = sim.history().size();
  const std::size_t job = sim.Submit(0, "long", 1, 300);
  sim.target(0).speed = 0.4;  // for this start only; the others end as usual
  sim.RunFor(std::chrono::milliseconds(10));
  sim.target(0).speed = 1;
  for (int i = 0; i < 10; ++i) {
    sim.Submit(0, JobId(i), 1, 60);
    sim.RunFor(std::chrono::milliseconds(100));
  }
  EXPECT_EQ(sim.jobs()[job].verdict, job_verdict::kCompleted);
  EXPECT_EQ(sim.history().size() - before, 11U) << "no task was started twice";
}

// Pattern: all processes of the system start at once under load, as after a loss of power. Guards against refusals for
// a wait that was reckoned before any target was known (61 of 240 jobs of trouble-1 in the two seconds after its
// return).
TEST(load, NothingIsRefusedForWantOfTargetsThatAreJustReturning) {
  cluster_sim sim(2, 4, 13);
  for (int i = 0; i < 12; ++i) {
    sim.Submit(static_cast<std::size_t>(i) % 2, JobId(i), 1, 200);
    sim.RunFor(std::chrono::milliseconds(5));
  }
  sim.RunFor(std::chrono::seconds(2));
  EXPECT_EQ(Completed(sim, "job", std::chrono::seconds(1)), 12U);
}

// Pattern: a fleet of many entries. Guards against reports of load that grow with the number of entries for each agent
// (days of dlc-bamboowing-grown, 66 agents and 12 entries, took more than 410 s of processor time).
TEST(load, ReportsOfAnAgentDoNotGrowWithTheNumberOfEntries) {
  const auto reports_of = [](std::size_t entries) {
    cluster_sim sim(entries, 1, 15);
    sim.RunFor(std::chrono::seconds(2));
    const std::size_t before = sim.reports;
    for (int i = 0; i < 200; ++i) {
      sim.Submit(0, JobId(i), 1, 20);
      sim.RunFor(std::chrono::milliseconds(10));
    }
    return sim.reports - before;
  };
  // In proportion it would be three times as many; heartbeats and rounding are allowed half as much again.
  EXPECT_LE(static_cast<double>(reports_of(12)), 1.5 * static_cast<double>(reports_of(4)));
}

// Pattern: more work than room for a while. Guards against a queue in which every job is a little late.
TEST(load, ABurstIsServedInTimeForMostAndRefusedInTimeForTheRest) {
  cluster_sim sim(2, 4, 14);
  WarmUp(sim, 60);
  // 16 slots do 16 tasks in 60 ms; this asks for 1.5 times as much.
  for (int i = 0; i < 200; ++i) {
    sim.Submit(static_cast<std::size_t>(i) % 2, JobId(i), 4, 60);
    sim.RunFor(std::chrono::milliseconds(10));
  }
  sim.RunFor(std::chrono::seconds(2));
  std::size_t refused = 0;
  for (const sim_job& job : sim.jobs()) {
    if (job.verdict == job_verdict::kRefused) {
      ++refused;
      // The objective is 156 ms for a job whose tasks take just 60 ms; what was learned adds up to a quarter.
      EXPECT_LE(job.answered - job.sent, std::chrono::milliseconds(195)) << job.id;
    }
  }
  // The room serves two thirds of it; a half is asked for, since messages and choices cost room too.
  EXPECT_GE(Completed(sim, "job", std::chrono::milliseconds(156)), 100U);
  EXPECT_GT(refused, 0U);
  EXPECT_EQ(sim.RefusedJobsThatRan(), std::vector<std::string>());
}

struct outcome_count {
  int asked = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
};

/// Plays the mix of a heavy day at a multiple of the room, for 6 s: eight short tasks, two middling, four long ones.
/// Returns the outcome by kind.
std::vector<outcome_count> PlayMix(double load, std::uint64_t seed, const std::function<void(cluster_sim&)>& trouble) {
  constexpr std::size_t kEntries = 4;
  constexpr std::size_t kTargets = 12;
  struct kind {
    const char* name;
    std::uint32_t tasks;
    int work_ms;
    double per_s;  ///< at a load of 1, for 12 targets with ten slots each
  };
  // As on the sheet: 206, 37.5 and 600 a second for 475 busy slots.
  const kind kinds[] = {{"short", 8, 60, 52}, {"long", 4, 900, 9.5}, {"middle", 2, 200, 152}};
  cluster_sim sim(kEntries, kTargets, seed, 32);
  sim.task_millicores = 3100;
  sim.RunFor(std::chrono::seconds(2));
  trouble(sim);
  const duration step = std::chrono::milliseconds(1);
  const instant end = sim.now() + std::chrono::seconds(7);
  const instant counted = sim.now() + std::chrono::seconds(1);
  int number = 0;
  while (sim.now() < end) {
    for (const kind& each : kinds) {
      if (sim.random().Unit() < each.per_s * load * 0.001) {
        const double spread = 0.6 + 0.8 * sim.random().Unit();
        sim.Submit(sim.random().Below(kEntries), each.name + std::to_string(++number), each.tasks,
                   static_cast<int>(each.work_ms * spread));
      }
    }
    sim.RunFor(step);
  }
  sim.RunFor(std::chrono::seconds(6));
  std::vector<outcome_count> counts(3);
  for (const sim_job& job : sim.jobs()) {
    for (std::size_t i = 0; i < 3; ++i) {
      if (job.sent < counted || job.id.rfind(kinds[i].name, 0) != 0) {
        continue;
      }
      outcome_count& count = counts[i];
      ++count.asked;
      const bool done = job.verdict == job_verdict::kCompleted;
      // 60 ms beside 1.6 times the work, which the caller knows.
      const bool in_time = done && job.answered - job.sent <= std::chrono::milliseconds(60 + 16 * job.work_ms / 10);
      count.in_time += in_time ? 1 : 0;
      count.late += done && !in_time ? 1 : 0;
      count.refused += job.verdict == job_verdict::kRefused ? 1 : 0;
    }
  }
  EXPECT_EQ(sim.RefusedJobsThatRan(), std::vector<std::string>());
  return counts;
}

/// The outcome over several seeds.
std::vector<outcome_count> PlaySeeds(double load, double late_orders) {
  std::vector<outcome_count> sum(3);
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const std::vector<outcome_count> counts =
        PlayMix(load, seed, [late_orders](cluster_sim& sim) { sim.faults.late_requests = late_orders; });
    for (std::size_t i = 0; i < sum.size(); ++i) {
      sum[i].asked += counts[i].asked;
      sum[i].in_time += counts[i].in_time;
      sum[i].late += counts[i].late;
      sum[i].refused += counts[i].refused;
    }
  }
  return sum;
}

double Share(int part, const outcome_count& of) { return static_cast<double>(part) / of.asked; }

// Pattern: all that the room can do, of jobs with little and with much time to spare.
TEST(load, NearlyAllIsServedInTimeBelowTheRoom) {
  for (const outcome_count& kind : PlaySeeds(0.9, 0)) {
    EXPECT_GE(Share(kind.in_time, kind), 0.9);
  }
}

// Pattern: a fifth more work than room. The room serves five sixths of it. Guards against jobs with much time to spare
// that fill the queue: of the short ones, 0.12 were in time and 0.58 refused, of the long ones 0.91 were in time.
TEST(load, NoKindOfJobPaysForTheOthersInABurst) {
  for (const outcome_count& kind : PlaySeeds(1.2, 0)) {
    EXPECT_GE(Share(kind.in_time, kind), 0.6);
    EXPECT_LE(Share(kind.refused, kind), 0.3);
  }
}

// Pattern: targets leave a part of the orders without an answer and carry them out seconds later. Guards against the
// loss of a job's objective with each such order: of the short jobs, which make eight starts, 0.66 were in time.
TEST(load, OrdersThatAreCarriedOutLateDelayFewJobs) {
  for (const outcome_count& kind : PlaySeeds(0.9, 0.06)) {
    EXPECT_GE(Share(kind.in_time, kind), 0.8);
  }
}

// Pattern: the same, one order in seven, as on a day with restarted targets. The bound is the aim for the days, 0.87 of
// what callers asked for. Guards against a start that is sent once only: of the short jobs, 0.68 were in time.
TEST(load, ManyOrdersThatAreCarriedOutLateDelayFewJobs) {
  for (const outcome_count& kind : PlaySeeds(0.9, 0.15)) {
    EXPECT_GE(Share(kind.in_time, kind), 0.87);
  }
}

}  // namespace
}  // namespace bamboowing
