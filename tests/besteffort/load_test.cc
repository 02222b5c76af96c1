// Response times and refusals under heavy load and target faults, in virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "cluster_sim.h"

namespace bamboowing {
namespace {

std::string JobId(int number) { return "job" + std::to_string(number); }

/// Runs jobs until the entries have estimates of the run time.
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

// Guards against jobs that hang with their target: it accepts tasks and never finishes them, while it responds to all
// requests.
TEST(load, MovesTasksOfHangingTarget) {
  cluster_sim sim(2, 4, 11);
  WarmUp(sim, 60);
  sim.target(0).hangs = true;
  for (int i = 0; i < 60; ++i) {
    sim.Submit(static_cast<std::size_t>(i) % 2, JobId(i), 2, 60);
    sim.RunFor(std::chrono::milliseconds(50));
  }
  sim.RunFor(std::chrono::seconds(1));
  // Late answers count up to three times the objective of 156 ms.
  EXPECT_EQ(Completed(sim, "job", std::chrono::milliseconds(468)), 60U);
  EXPECT_GE(Completed(sim, "job", std::chrono::milliseconds(156)), 45U);
  EXPECT_EQ(sim.OverlappingRuns(), std::vector<std::string>());
}

// Guards against needless restarts of a task that takes three times as long as declared on a healthy target. Such
// restarts made a job of load scenario quiet-1 end at its deadline after 3.2 s.
TEST(load, DoesNotRestartLongTaskOnHealthyTarget) {
  cluster_sim sim(2, 1, 12);
  WarmUp(sim, 300);
  const std::size_t before = sim.history().size();
  const std::size_t job = sim.Submit(0, "long", 1, 300);
  sim.target(0).speed = 0.4;  // only for this start; later tasks run at normal speed
  sim.RunFor(std::chrono::milliseconds(10));
  sim.target(0).speed = 1;
  for (int i = 0; i < 10; ++i) {
    sim.Submit(0, JobId(i), 1, 60);
    sim.RunFor(std::chrono::milliseconds(100));
  }
  EXPECT_EQ(sim.jobs()[job].verdict, job_verdict::kCompleted);
  EXPECT_EQ(sim.history().size() - before, 11U) << "no task may be started twice";
}

// Guards against refusals based on a queue wait that was estimated before any target was known, when all processes
// start at once under load, as after a power failure. In load scenario trouble-1, 61 of 240 jobs were refused in the
// two seconds after the restart.
TEST(load, RefusesNoJobsWhileTargetsReconnect) {
  cluster_sim sim(2, 4, 13);
  for (int i = 0; i < 12; ++i) {
    sim.Submit(static_cast<std::size_t>(i) % 2, JobId(i), 1, 200);
    sim.RunFor(std::chrono::milliseconds(5));
  }
  sim.RunFor(std::chrono::seconds(2));
  EXPECT_EQ(Completed(sim, "job", std::chrono::seconds(1)), 12U);
}

// Guards against load reports whose number grows with the number of entries of each agent. In load scenario
// dlc-bamboowing-grown, with 66 agents and 12 entries, a run took more than 410 s of processor time.
TEST(load, ReportsOfAgentDoNotGrowWithNumberOfEntries) {
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
  // Proportional growth would give a factor of 3; heartbeats and rounding are allowed a factor of 1.5.
  EXPECT_LE(static_cast<double>(reports_of(12)), 1.5 * static_cast<double>(reports_of(4)));
}

// Guards against a queue in which a burst makes every job slightly late.
TEST(load, CompletesOrRefusesBurstInTime) {
  cluster_sim sim(2, 4, 14);
  WarmUp(sim, 60);
  // 16 slots complete 16 tasks in 60 ms; this submits 1.5 times as much.
  for (int i = 0; i < 200; ++i) {
    sim.Submit(static_cast<std::size_t>(i) % 2, JobId(i), 4, 60);
    sim.RunFor(std::chrono::milliseconds(10));
  }
  sim.RunFor(std::chrono::seconds(2));
  std::size_t refused = 0;
  for (const sim_job& job : sim.jobs()) {
    if (job.verdict == job_verdict::kRefused) {
      ++refused;
      // The objective is 156 ms for tasks of exactly 60 ms; the learned estimate adds up to a quarter.
      EXPECT_LE(job.answered - job.sent, std::chrono::milliseconds(195)) << job.id;
    }
  }
  // The capacity suffices for two thirds; the bound is one half, since messages and placement cost capacity too.
  EXPECT_GE(Completed(sim, "job", std::chrono::milliseconds(156)), 100U);
  EXPECT_GT(refused, 0U);
  EXPECT_EQ(sim.RefusedJobsThatRan(), std::vector<std::string>());
}

struct outcome_count {
  int submitted = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
};

/// Runs a mix of jobs at a multiple of the capacity and counts the jobs of 6 s after a warm-up of 1 s: jobs of eight
/// short, two medium, or four long tasks. Returns the outcomes by kind.
std::vector<outcome_count> RunMix(double load, std::uint64_t seed,
                                  const std::function<void(cluster_sim&)>& inject_faults) {
  constexpr std::size_t kEntries = 4;
  constexpr std::size_t kTargets = 12;
  struct kind {
    const char* name;
    std::uint32_t tasks;
    int work_ms;
    double per_s;  ///< at a load of 1, for 12 targets with ten slots each
  };
  // In the ratio of the full-size load: 206, 37.5 and 600 jobs per second for 475 busy slots.
  const kind kinds[] = {{"short", 8, 60, 52}, {"long", 4, 900, 9.5}, {"middle", 2, 200, 152}};
  cluster_sim sim(kEntries, kTargets, seed, 32);
  sim.task_millicores = 3100;
  sim.RunFor(std::chrono::seconds(2));
  inject_faults(sim);
  const duration step = std::chrono::milliseconds(1);
  const instant end = sim.now() + std::chrono::seconds(7);
  const instant counted = sim.now() + std::chrono::seconds(1);
  int number = 0;
  while (sim.now() < end) {
    for (const kind& job_kind : kinds) {
      if (sim.random().Unit() < job_kind.per_s * load * 0.001) {
        const double spread = 0.6 + 0.8 * sim.random().Unit();
        sim.Submit(sim.random().Below(kEntries), job_kind.name + std::to_string(++number), job_kind.tasks,
                   static_cast<int>(job_kind.work_ms * spread));
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
      ++count.submitted;
      const bool done = job.verdict == job_verdict::kCompleted;
      // The objective is 60 ms plus 1.6 times the work that the caller declares.
      const bool in_time = done && job.answered - job.sent <= std::chrono::milliseconds(60 + 16 * job.work_ms / 10);
      count.in_time += in_time ? 1 : 0;
      count.late += done && !in_time ? 1 : 0;
      count.refused += job.verdict == job_verdict::kRefused ? 1 : 0;
    }
  }
  // Guards against jobs that are given up because responses to their starts are lost: no target restarts.
  EXPECT_EQ(std::count_if(sim.jobs().begin(), sim.jobs().end(),
                          [](const sim_job& job) { return job.verdict == job_verdict::kNotRepeatable; }),
            0);
  EXPECT_EQ(sim.RefusedJobsThatRan(), std::vector<std::string>());
  return counts;
}

/// Sums the outcomes over several seeds.
std::vector<outcome_count> RunSeeds(double load, double late_requests) {
  std::vector<outcome_count> sum(3);
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const std::vector<outcome_count> counts =
        RunMix(load, seed, [late_requests](cluster_sim& sim) { sim.faults.late_requests = late_requests; });
    for (std::size_t i = 0; i < sum.size(); ++i) {
      sum[i].submitted += counts[i].submitted;
      sum[i].in_time += counts[i].in_time;
      sum[i].late += counts[i].late;
      sum[i].refused += counts[i].refused;
    }
  }
  return sum;
}

double Share(int part, const outcome_count& of) { return static_cast<double>(part) / of.submitted; }

// Guards against late jobs below the capacity, with jobs of little and of much slack.
TEST(load, CompletesNearlyAllJobsInTimeBelowCapacity) {
  for (const outcome_count& kind : RunSeeds(0.9, 0)) {
    EXPECT_GE(Share(kind.in_time, kind), 0.9);
  }
}

// Guards against jobs with much slack that fill the queue, at 1.2 times the capacity, which serves five sixths of the
// jobs. Previously, of the short jobs a share of 0.12 was in time and 0.58 refused, while 0.91 of the long ones were in
// time.
TEST(load, TreatsAllKindsOfJobsFairlyInBurst) {
  for (const outcome_count& kind : RunSeeds(1.2, 0)) {
    EXPECT_GE(Share(kind.in_time, kind), 0.6);
    EXPECT_LE(Share(kind.refused, kind), 0.3);
  }
}

// Guards against the loss of a job's objective with each request that a target leaves unanswered and executes seconds
// later. Previously, a share of 0.66 of the short jobs, with eight starts each, was in time.
TEST(load, LateRequestsDelayFewJobs) {
  for (const outcome_count& kind : RunSeeds(0.9, 0.06)) {
    EXPECT_GE(Share(kind.in_time, kind), 0.8);
  }
}

// Guards against starts that are sent only once, with one late request in seven, as on a day with restarted targets.
// The bound of 0.87 is the goal for such days. Previously, a share of 0.68 of the short jobs was in time.
TEST(load, ManyLateRequestsDelayFewJobs) {
  for (const outcome_count& kind : RunSeeds(0.9, 0.15)) {
    EXPECT_GE(Share(kind.in_time, kind), 0.87);
  }
}

// Guards against jobs without needs that never complete: their runs were started again each time their lease ended, and
// the caller got no result.
TEST(load, CompletesJobsWithoutNeeds) {
  for (const int work_ms : {60, 1500}) {
    for (const std::uint32_t tasks : {1U, 180U}) {
      cluster_sim sim(2, 4, 16);
      sim.RunFor(std::chrono::seconds(2));
      for (int i = 0; i < 5; ++i) {
        sim.Submit(static_cast<std::size_t>(i) % 2, JobId(i), {sim.Step(tasks, work_ms, {})}, work_ms);
      }
      sim.RunFor(std::chrono::milliseconds(work_ms) + std::chrono::seconds(1));
      EXPECT_EQ(Completed(sim, "job", std::chrono::milliseconds(work_ms + 200)), 5U) << tasks << " of " << work_ms;
      EXPECT_EQ(sim.history().size(), 5U * tasks) << "no task may be started twice";
    }
  }
}

// Guards against tasks without needs that all run at one target, because they don't change the load by which targets
// are chosen.
TEST(load, SpreadsTasksWithoutNeeds) {
  cluster_sim sim(1, 4, 17);
  sim.RunFor(std::chrono::seconds(2));
  // One target is idle, the others are half full.
  for (std::size_t i = 0; i < 6; ++i) {
    sim.Submit(0, "long" + std::to_string(i), 1, 5000);
    sim.RunFor(std::chrono::milliseconds(30));
  }
  sim.Submit(0, "empty", {sim.Step(180, 500, {})}, 500);
  sim.RunFor(std::chrono::milliseconds(200));
  for (std::size_t target = 0; target < 4; ++target) {
    EXPECT_GE(sim.target(target).running(), 40U) << target;
    EXPECT_LE(sim.target(target).running(), 50U) << target;
  }
}

// Guards against refusals of jobs that arrive together and fit beside those that fill the processors: their tasks need
// no processor.
TEST(load, AdmitsJobsWithoutNeedsAtFullTargets) {
  for (const resource_amount& need : {resource_amount{}, resource_amount{0, 64, 0}}) {
    cluster_sim sim(2, 4, 18);
    WarmUp(sim, 60);
    for (int i = 0; i < 16; ++i) {
      sim.Submit(static_cast<std::size_t>(i) % 2, "full" + std::to_string(i), 1, 3000);
      sim.RunFor(std::chrono::milliseconds(40));
    }
    for (int i = 0; i < 10; ++i) {
      sim.Submit(static_cast<std::size_t>(i) % 2, JobId(i), {sim.Step(180, 60, need)}, 60);
    }
    sim.RunFor(std::chrono::seconds(1));
    EXPECT_EQ(Completed(sim, "job", std::chrono::milliseconds(300)), 10U) << need.memory_mb << " MB";
  }
}

}  // namespace
}  // namespace bamboowing
