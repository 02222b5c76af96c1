#include "bamboowing/overload/overload_planner.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "bamboowing/base/random.h"

namespace bamboowing {
namespace {

constexpr instant kNow{std::chrono::seconds(100)};

/// A job of one task that may start @p slack_ms after kNow and is refused after three times that.
waiting_job Job(std::uint32_t priority, int slack_ms, int work_ms, bool started = false) {
  waiting_job job;
  job.priority = priority;
  job.latest_start = kNow + std::chrono::milliseconds(slack_ms);
  job.start_by = kNow + std::chrono::milliseconds(std::max(0, slack_ms) * 3);
  job.work_us = work_ms * 1000.0;
  job.last_task_us = job.work_us;
  job.started = started;
  return job;
}

std::vector<job_service> Services(const std::vector<planned_job>& plan) {
  std::vector<job_service> services;
  services.reserve(plan.size());
  for (const planned_job& job : plan) {
    services.push_back(job.service);
  }
  return services;
}

/// A planner at which each of these priorities has used its share.
overload_planner Served(const std::vector<std::uint32_t>& priorities) {
  overload_planner planner{overload_settings()};
  for (const std::uint32_t priority : priorities) {
    planner.AddStartedWork(priority, 1'000'000, kNow);
  }
  return planner;
}

constexpr job_service kInTime = job_service::kInTime;
constexpr job_service kDeferred = job_service::kDeferred;
constexpr job_service kInfeasible = job_service::kInfeasible;

// Guards against deferrals without shortage: a queue of jobs that all make their latest start, of different priorities.
TEST(overload_planner, DefersNothingWhileAllAreInTime) {
  const std::vector<waiting_job> jobs{Job(2, 100, 100), Job(0, 100, 100), Job(1, 200, 100)};
  EXPECT_EQ(Services(Served({0, 1, 2}).Plan(jobs, {1, 0}, kNow)),
            (std::vector<job_service>{kInTime, kInTime, kInTime}));
}

// Guards against refusals of a burst that fits into free capacity.
TEST(overload_planner, DefersNothingThatFreeCapacityStarts) {
  const std::vector<waiting_job> jobs(20, Job(0, 1, 100));
  const std::vector<planned_job> plan = Served({0}).Plan(jobs, {1, 2'000'000}, kNow);
  EXPECT_TRUE(std::all_of(plan.begin(), plan.end(), [](const planned_job& job) { return job.service == kInTime; }));
}

// Guards against a burst of low priority with early latest starts that makes jobs of high priority late.
TEST(overload_planner, DefersLowestPriorityFirst) {
  const std::vector<waiting_job> jobs{Job(2, 50, 60), Job(1, 60, 60), Job(2, 70, 20), Job(0, 75, 60)};
  const std::vector<planned_job> plan = Served({0, 1, 2}).Plan(jobs, {1, 0}, kNow);
  EXPECT_EQ(Services(plan), (std::vector<job_service>{kDeferred, kInTime, kDeferred, kInTime}));
  EXPECT_EQ(plan[0].favoured, 2U);
  EXPECT_EQ(plan[2].favoured, 3U);
}

// Guards against shedding many small jobs instead of a large one in a burst of one priority.
TEST(overload_planner, DefersMostWorkAmongEqualPriorities) {
  const std::vector<waiting_job> jobs{Job(0, 50, 20), Job(0, 60, 300), Job(0, 70, 20), Job(0, 80, 20)};
  const std::vector<planned_job> plan = Served({0}).Plan(jobs, {1, 0}, kNow);
  EXPECT_EQ(Services(plan), (std::vector<job_service>{kInTime, kDeferred, kInTime, kInTime}));
  EXPECT_EQ(plan[1].favoured, 2U);
}

// Guards against an order that loses more jobs than necessary: with one priority, the number of late jobs is the
// smallest that any choice achieves.
TEST(overload_planner, KeepsAsManyJobsAsAnyChoice) {
  seeded_random random(1);
  for (int round = 0; round < 200; ++round) {
    std::vector<waiting_job> jobs;
    for (int i = 0; i < 8; ++i) {
      const int work_ms = 10 + static_cast<int>(random.Below(90));
      jobs.push_back(Job(0, static_cast<int>(random.Below(250)), work_ms));
    }
    std::sort(jobs.begin(), jobs.end(),
              [](const waiting_job& one, const waiting_job& other) { return one.latest_start < other.latest_start; });
    // All tasks of a job start at the end of its work here, so that a choice of jobs is feasible if the sums are.
    for (waiting_job& job : jobs) {
      job.last_task_us = 0;
    }
    std::size_t most = 0;
    for (unsigned choice = 0; choice < 256; ++choice) {
      double sum = 0;
      std::size_t kept = 0;
      bool feasible = true;
      for (std::size_t i = 0; i < jobs.size(); ++i) {
        if ((choice >> i & 1U) != 0) {
          sum += jobs[i].work_us;
          ++kept;
          feasible = feasible && sum <= static_cast<double>((jobs[i].latest_start - kNow).count());
        }
      }
      most = feasible ? std::max(most, kept) : most;
    }
    const std::vector<job_service> services = Services(Served({0}).Plan(jobs, {1, 0}, kNow));
    EXPECT_EQ(static_cast<std::size_t>(std::count(services.begin(), services.end(), kInTime)), most) << round;
  }
}

// Guards against a refusal as not run of a job that has a started task, and against the loss of its completed tasks.
TEST(overload_planner, NeverRefusesStartedJobs) {
  const std::vector<waiting_job> late{Job(2, -500, 100, true), Job(2, -500, 100), Job(0, 80, 10)};
  EXPECT_EQ(Services(Served({0, 2}).Plan(late, {1, 0}, kNow)),
            (std::vector<job_service>{kDeferred, kInfeasible, kInTime}));
  // Among equal priorities, those without a started task are deferred first, even with less work.
  const std::vector<waiting_job> jobs{Job(2, 50, 40, true), Job(2, 60, 30), Job(0, 65, 10)};
  EXPECT_EQ(Services(Served({0, 2}).Plan(jobs, {1, 0}, kNow)), (std::vector<job_service>{kInTime, kDeferred, kInTime}));
}

// Guards against shedding others for a job that misses its latest start anyway.
TEST(overload_planner, DefersNoOthersForJobThatIsLateByItself) {
  std::vector<waiting_job> jobs{Job(2, 60, 5), Job(0, 70, 200)};
  jobs[1].last_task_us = 10'000;
  const std::vector<planned_job> plan = Served({0, 2}).Plan(jobs, {1, 0}, kNow);
  EXPECT_EQ(Services(plan), (std::vector<job_service>{kInTime, kDeferred}));
  EXPECT_EQ(plan[1].favoured, planned_job::kNone);
}

// Guards against refusals of jobs that can still start before their start_by, and against jobs that wait for a refusal
// which is already certain.
TEST(overload_planner, DistinguishesDeferredFromHopelessJobs) {
  const std::vector<waiting_job> jobs{Job(1, 90, 100), Job(1, 95, 400), Job(0, 99, 101)};
  const std::vector<planned_job> plan = Served({0, 1}).Plan(jobs, {1, 0}, kNow);
  // The first starts after 101 ms, before 270 ms; the second would start after 201 ms, before 285 ms.
  EXPECT_EQ(Services(plan), (std::vector<job_service>{kDeferred, kDeferred, kInTime}));
  EXPECT_DOUBLE_EQ(plan[1].wait_us, 201'000);
  const std::vector<planned_job> slower = Served({0, 1}).Plan(jobs, {0.6, 0}, kNow);
  EXPECT_EQ(Services(slower), (std::vector<job_service>{kDeferred, kInfeasible, kInTime}));
}

// Guards against starvation of low priorities by a lasting overload of higher ones.
TEST(overload_planner, KeepsReservedShare) {
  const auto jobs_at = [](instant at) {
    std::vector<waiting_job> jobs{Job(2, 20, 40), Job(2, 25, 40), Job(2, 30, 40), Job(0, 70, 60), Job(0, 75, 60)};
    for (waiting_job& job : jobs) {
      job.latest_start += at - kNow;
      job.start_by += at - kNow;
    }
    return jobs;
  };
  overload_planner planner = Served({0});
  // 5 % of 1 s are 50 ms: enough for one job and a part of the second.
  const std::vector<job_service> due{kInTime, kInTime, kInfeasible, kInTime, kInTime};
  EXPECT_EQ(Services(planner.Plan(jobs_at(kNow), {1, 0}, kNow)), due);
  planner.AddStartedWork(2, 60'000, kNow);
  const std::vector<planned_job> used = planner.Plan(jobs_at(kNow), {1, 0}, kNow);
  EXPECT_EQ(
      std::count_if(used.begin(), used.begin() + 3, [](const planned_job& job) { return job.service == kInTime; }), 0);
  // The window slides: without further starts of this priority, its share is due again.
  const instant later = kNow + std::chrono::seconds(2);
  planner.AddStartedWork(0, 1'000'000, later);
  EXPECT_EQ(Services(planner.Plan(jobs_at(later), {1, 0}, later)), due);
}

// Guards against a reserved share that is kept only on paper: a late job within it is served first.
TEST(overload_planner, ServesLateJobsOfReservedShareFirst) {
  const std::vector<waiting_job> jobs{Job(2, -10, 40), Job(0, 70, 60)};
  EXPECT_EQ(Services(Served({0}).Plan(jobs, {1, 0}, kNow)), (std::vector<job_service>{job_service::kUrgent, kInTime}));
  EXPECT_EQ(Services(Served({0, 2}).Plan(jobs, {1, 0}, kNow)), (std::vector<job_service>{kInfeasible, kInTime}));
}

// Guards against a plan that keeps more work than the rate serves, with random jobs of all priorities.
TEST(overload_planner, KeptJobsMakeTheirLatestStart) {
  seeded_random random(2);
  for (int round = 0; round < 100; ++round) {
    std::vector<waiting_job> jobs;
    jobs.reserve(100);
    for (int i = 0; i < 100; ++i) {
      jobs.push_back(Job(static_cast<std::uint32_t>(random.Below(3)), 1 + static_cast<int>(random.Below(900)),
                         1 + static_cast<int>(random.Below(50))));
    }
    std::sort(jobs.begin(), jobs.end(),
              [](const waiting_job& one, const waiting_job& other) { return one.latest_start < other.latest_start; });
    const std::vector<planned_job> plan = Served({0, 1, 2}).Plan(jobs, {1, 0}, kNow);
    double before_us = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      if (plan[i].service == kInTime) {
        EXPECT_LE(before_us, static_cast<double>((jobs[i].latest_start - kNow).count()) + 1) << round;
        before_us += jobs[i].work_us;
      }
    }
  }
}

}  // namespace
}  // namespace bamboowing
