#include "bamboowing/dispatch/placement.h"

#include <algorithm>

namespace bamboowing {
namespace {

// Number of jobs considered for one slot. So much work is usually queued before later jobs that any target would do for
// them.
constexpr int kJobsConsidered = 16;

}  // namespace

std::optional<placement> placement_policy::Choose(const job_queue& queue, const free_slot& slot, instant now) {
  const bool slow = slot.speed < settings_.slow_speed && slot.faster_slots >= 1;
  if (!slow) {
    const std::optional<placement> from_first_job = ChooseFromFirstJob(queue, slot, now);
    if (from_first_job) {
      return from_first_job;
    }
  }
  return ChooseFromJobs(queue, slot, slow ? settings_.slow_choice : 1, now);
}

std::optional<placement> placement_policy::ChooseFromFirstJob(const job_queue& queue, const free_slot& slot,
                                                              instant now) const {
  const std::optional<job_index> first = queue.FirstInOrder(now);
  if (!first) {
    return std::nullopt;
  }
  const std::optional<std::size_t> position = SelectTask(queue.job(*first), slot, 0, now);
  if (!position) {
    return std::nullopt;
  }
  return placement{*first, *position};
}

std::optional<placement> placement_policy::ChooseFromJobs(const job_queue& queue, const free_slot& slot,
                                                          int max_candidates, instant now) {
  queue.BeginScan(cursors_, now);
  double work_before_us = 0;
  std::optional<placement> newest;
  int found = 0;
  for (int i = 0; i < kJobsConsidered && found < max_candidates; ++i) {
    const std::optional<job_index> index = queue.NextInScan(cursors_, now);
    if (!index) {
      break;
    }
    const queued_job& job = queue.job(*index);
    // The last job considered represents all jobs behind it.
    const bool last = i + 1 == kJobsConsidered;
    const double before_us = last ? queue.waiting_work_us() - job.waiting_work_us : work_before_us;
    const std::optional<std::size_t> position = SelectTask(job, slot, before_us, now);
    if (position) {
      ++found;
      if (!newest || job.arrival > queue.job(newest->job).arrival) {
        newest = placement{*index, *position};
      }
    }
    work_before_us += job.waiting_work_us;
  }
  return newest;
}

std::optional<std::size_t> placement_policy::SelectTask(const queued_job& job, const free_slot& slot,
                                                        double work_before_us, instant now) const {
  if (job.avoid_target == slot.target) {
    return std::nullopt;
  }
  if (slot.faster_slots < 1 || settings_.hold_back <= 0) {
    return job.waiting.size() - 1;
  }
  // Expected end of the job if all its waiting tasks go to faster targets: the shortest task starts last.
  const double faster_speed = slot.faster_capacity / slot.faster_slots;
  const double shortest_us = job.shortest_us;
  const double drained_us = (work_before_us + job.waiting_work_us) / slot.faster_capacity;
  const double running_us = job.in_flight > 0 ? static_cast<double>((job.expected_end - now).count()) : 0;
  const double end_us = std::max(running_us, drained_us + shortest_us / faster_speed);
  const double longest_fitting_us = settings_.hold_back * end_us * slot.speed;
  if (longest_fitting_us < job.shortest_us) {
    return std::nullopt;
  }
  if (longest_fitting_us >= job.longest_us) {
    return job.waiting.size() - 1;
  }
  const auto after = std::upper_bound(job.waiting.begin(), job.waiting.end(), longest_fitting_us,
                                      [&job](double limit, std::uint16_t task) {
                                        return limit < static_cast<double>(job.tasks[task].conservative_work_us);
                                      });
  if (after == job.waiting.begin()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(after - job.waiting.begin()) - 1;
}

}  // namespace bamboowing
