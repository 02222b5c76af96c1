// Overload of a small deployment with three priorities, with both orders of waiting jobs.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <iostream>

#include "cluster_sim.h"

namespace bamboowing {
namespace {

constexpr std::size_t kEntries = 4;
constexpr std::size_t kTargets = 12;
constexpr std::uint32_t kCores = 32;
constexpr std::uint32_t kTaskMillicores = 3100;  // ten tasks fit a target
constexpr double kSlots = 120;
constexpr std::size_t kPriorities = 3;
constexpr duration kSettle = std::chrono::seconds(2);
constexpr duration kCallerWait = std::chrono::milliseconds(1500);
// The time in which all jobs of a run are answered after its end.
constexpr duration kAnswerTime = std::chrono::seconds(4);

/// Shape of the jobs of one priority.
struct job_shape {
  std::uint32_t tasks;
  int min_ms;
  int max_ms;

  double MeanSlotSeconds() const { return tasks * (min_ms + max_ms) * 0.0005; }
};

constexpr std::array<job_shape, kPriorities> kShapes = {{{8, 51, 60}, {2, 170, 200}, {4, 760, 900}}};

using load_shares = std::array<double, kPriorities>;  ///< work by priority, as shares of the capacity

struct outcome_count {
  int submitted = 0;
  int completed = 0;
  int in_time = 0;
  int refused = 0;
};

class overload_run {
 public:
  overload_run(overload_order order, std::uint64_t seed)
      : sim(kEntries, kTargets, seed, kCores, 4, false, order), load_(seed + 100) {
    sim.task_millicores = kTaskMillicores;
    sim.caller_wait = kCallerWait;
    if (std::getenv("OVERLOAD_TRACE") != nullptr) {
      sim.trace = [this](const std::string& line) {
        std::cout << sim.now().time_since_epoch().count() / 1000 << " " << line << "\n";
      };
    }
    sim.RunFor(kSettle);
  }

  /// Submits jobs for @p time. The sequence depends on the seed only, not on the order.
  void Load(const load_shares& shares, duration time) {
    const instant end = sim.now() + time;
    while (sim.now() < end) {
      for (std::size_t priority = 0; priority < kPriorities; ++priority) {
        if (load_.Unit() < shares.at(priority) * kSlots / kShapes.at(priority).MeanSlotSeconds() * 0.001) {
          Submit(priority);
        }
      }
      sim.RunFor(std::chrono::milliseconds(1));
    }
  }

  /// Outcomes of the jobs that were sent from @p from until @p until, by priority.
  std::array<outcome_count, kPriorities> Count(instant from, instant until) const {
    std::array<outcome_count, kPriorities> counts;
    for (const sim_job& job : sim.jobs()) {
      if (job.sent < from || job.sent >= until) {
        continue;
      }
      outcome_count& count = counts.at(PriorityOf(job));
      const bool completed = job.verdict == job_verdict::kCompleted;
      ++count.submitted;
      count.completed += completed ? 1 : 0;
      count.in_time += completed && job.answered - job.sent <= Objective(job) ? 1 : 0;
      count.refused += job.verdict == job_verdict::kRefused ? 1 : 0;
    }
    return counts;
  }

  static std::size_t PriorityOf(const sim_job& job) { return static_cast<std::size_t>(job.id[1] - '0'); }
  static duration Objective(const sim_job& job) { return std::chrono::milliseconds(60 + 16 * job.work_ms / 10); }

  cluster_sim sim;

 private:
  void Submit(std::size_t priority) {
    const job_shape& shape = kShapes.at(priority);
    const int spread_ms = shape.max_ms - shape.min_ms + 1;
    const int work_ms = shape.min_ms + static_cast<int>(load_.Below(static_cast<std::uint64_t>(spread_ms)));
    const std::string id = "p" + std::to_string(priority) + "-" + std::to_string(++number_);
    queue_rule queue = cluster_sim::QueueOf(id);
    queue.name = "queue-p" + std::to_string(priority);
    queue.priority = static_cast<std::uint32_t>(priority);
    const std::size_t entry = load_.Below(kEntries);
    sim.Submit(entry, id, {sim.Step(shape.tasks, work_ms, {kTaskMillicores, sim.task_memory_mb, 0})}, work_ms, queue);
  }

  seeded_random load_;
  int number_ = 0;
};

std::array<outcome_count, kPriorities> Sum(const std::array<outcome_count, kPriorities>& one,
                                           const std::array<outcome_count, kPriorities>& other) {
  std::array<outcome_count, kPriorities> sum = one;
  for (std::size_t i = 0; i < kPriorities; ++i) {
    sum.at(i).submitted += other.at(i).submitted;
    sum.at(i).completed += other.at(i).completed;
    sum.at(i).in_time += other.at(i).in_time;
    sum.at(i).refused += other.at(i).refused;
  }
  return sum;
}

double Share(int part, const outcome_count& of) { return static_cast<double>(part) / of.submitted; }

void Print(const char* load, overload_order order, const std::array<outcome_count, kPriorities>& counts) {
  std::cout << load << ", " << (order == overload_order::kCost ? "cost" : "deadline");
  for (std::size_t i = 0; i < kPriorities; ++i) {
    std::cout << "; priority " << i << ": submitted " << counts.at(i).submitted << ", completed "
              << counts.at(i).completed << ", in time " << counts.at(i).in_time << ", refused " << counts.at(i).refused;
  }
  std::cout << "\n";
}

constexpr std::uint64_t kSeeds = 3;
// Each priority needs 0.3 of the capacity; the burst multiplies the lowest by 1.8.
constexpr load_shares kUsualLoad = {0.3, 0.3, 0.3};
constexpr load_shares kBurst = {0.3, 0.3, 0.3 * 1.8};
constexpr load_shares kLastingOverload = {0.5, 0.4, 0.6};

std::array<outcome_count, kPriorities> CountBurst(overload_order order) {
  std::array<outcome_count, kPriorities> sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    overload_run run(order, seed);
    run.Load(kUsualLoad, std::chrono::seconds(3));
    const instant from = run.sim.now();
    run.Load(kBurst, std::chrono::seconds(4));
    const instant until = run.sim.now();
    run.Load(kUsualLoad, std::chrono::seconds(1));
    run.sim.RunFor(kAnswerTime);
    sum = Sum(sum, run.Count(from, until));
    EXPECT_EQ(run.sim.RefusedJobsThatRan(), std::vector<std::string>());
  }
  return sum;
}

// Guards against a burst to a queue of low priority that costs the other queues their jobs.
TEST(overload, BurstOfLowPriorityKeepsJobsOfHigherPriority) {
  const std::array<outcome_count, kPriorities> by_deadline = CountBurst(overload_order::kDeadline);
  const std::array<outcome_count, kPriorities> by_cost = CountBurst(overload_order::kCost);
  Print("burst", overload_order::kDeadline, by_deadline);
  Print("burst", overload_order::kCost, by_cost);
  EXPECT_GE(Share(by_cost[0].completed, by_cost[0]), 0.98);
  // The order must not cost the middle priority jobs, whose demand fits beside that of the highest.
  EXPECT_GE(by_cost[1].completed, by_deadline[1].completed);
  EXPECT_GE(by_cost[0].in_time, by_deadline[0].in_time);
}

/// Longest time within which no job of the priority was completed, from @p from until @p until.
duration LongestPause(const overload_run& run, std::size_t priority, instant from, instant until) {
  std::vector<instant> completed{from, until};
  for (const sim_job& job : run.sim.jobs()) {
    if (overload_run::PriorityOf(job) == priority && job.verdict == job_verdict::kCompleted && job.answered > from &&
        job.answered < until) {
      completed.push_back(job.answered);
    }
  }
  std::sort(completed.begin(), completed.end());
  duration longest{0};
  for (std::size_t i = 1; i < completed.size(); ++i) {
    longest = std::max(longest, completed[i] - completed[i - 1]);
  }
  return longest;
}

/// Checks that a refused job has no runs and is answered before the time at which it could no longer be started.
void CheckRefusals(const overload_run& run) {
  EXPECT_EQ(run.sim.RefusedJobsThatRan(), std::vector<std::string>());
  std::size_t refused = 0;
  std::size_t at_arrival = 0;
  for (const sim_job& job : run.sim.jobs()) {
    EXPECT_TRUE(job.verdict) << job.id;
    if (job.verdict == job_verdict::kRefused) {
      ++refused;
      at_arrival += job.answered == job.sent ? 1 : 0;
      // The learned estimate adds up to a quarter to the objective.
      EXPECT_LE(job.answered - job.sent, overload_run::Objective(job) * 5 / 4) << job.id;
    }
  }
  EXPECT_GT(refused, 0U);
  std::cout << "refused " << refused << ", of them at arrival " << at_arrival << "\n";
}

std::array<outcome_count, kPriorities> CountLastingOverload(overload_order order) {
  std::array<outcome_count, kPriorities> sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    overload_run run(order, seed);
    run.Load(kLastingOverload, std::chrono::seconds(2));
    const instant from = run.sim.now();
    run.Load(kLastingOverload, std::chrono::seconds(12));
    const instant until = run.sim.now();
    run.sim.RunFor(kAnswerTime);
    sum = Sum(sum, run.Count(from, until));
    CheckRefusals(run);
    if (order == overload_order::kCost) {
      EXPECT_LE(LongestPause(run, 2, from, until), std::chrono::seconds(4)) << seed;
    }
  }
  return sum;
}

// Guards against refusals of jobs of the highest priority, whose demand fits the capacity, and against the starvation
// of the others.
TEST(overload, LastingOverloadKeepsHighestPriority) {
  const std::array<outcome_count, kPriorities> by_deadline = CountLastingOverload(overload_order::kDeadline);
  const std::array<outcome_count, kPriorities> by_cost = CountLastingOverload(overload_order::kCost);
  Print("lasting overload", overload_order::kDeadline, by_deadline);
  Print("lasting overload", overload_order::kCost, by_cost);
  EXPECT_GE(Share(by_cost[0].completed, by_cost[0]), 0.98);
  EXPECT_GE(by_cost[1].completed, by_deadline[1].completed);
  EXPECT_GT(by_cost[2].completed, 0);
}

// Guards against an order that changes what happens without shortage.
TEST(overload, ChangesNothingWithoutShortage) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::array<std::vector<std::string>, 2> completed;
    for (const overload_order order : {overload_order::kDeadline, overload_order::kCost}) {
      overload_run run(order, seed);
      run.Load({0.15, 0.15, 0.2}, std::chrono::seconds(6));
      run.sim.RunFor(kAnswerTime);
      for (const sim_job& job : run.sim.jobs()) {
        if (job.verdict == job_verdict::kCompleted) {
          completed.at(order == overload_order::kCost ? 1 : 0).push_back(job.id);
        }
      }
      EXPECT_EQ(completed.at(order == overload_order::kCost ? 1 : 0).size(), run.sim.jobs().size());
    }
    EXPECT_EQ(completed[0], completed[1]) << seed;
  }
}

}  // namespace
}  // namespace bamboowing
