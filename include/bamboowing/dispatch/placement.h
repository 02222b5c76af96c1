/// @file
/// Which waiting task a free slot gets.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/dispatch/job_queue.h"
#include "bamboowing/dispatch/settings.h"

namespace bamboowing {

/// A free slot and the targets that are faster than it.
struct free_slot {
  target_index target = kNoTarget;
  double speed = 1;            ///< relative to the mean
  double faster_capacity = 0;  ///< work per unit of time of all usable targets that are faster, busy or not
  double faster_slots = 0;     ///< their slots
};

/// A waiting task: job and position in the job's list of waiting tasks.
struct placement {
  job_index job = 0;
  std::size_t position = 0;
};

/// Chooses a waiting task for a free slot: the longest task of the first job in the order, unless the job would
/// probably end earlier if the task waited for a faster target. Then a shorter task of this job or a task of one of the
/// next jobs is chosen, or none.
class placement_policy {
 public:
  explicit placement_policy(const order_settings& settings) : settings_(settings) {}

  /// Returns nullopt if all tasks that were considered should wait for faster targets.
  std::optional<placement> Choose(const job_queue& queue, const free_slot& slot, instant now);

 private:
  std::optional<placement> ChooseFromFirstJob(const job_queue& queue, const free_slot& slot, instant now) const;
  std::optional<placement> ChooseFromJobs(const job_queue& queue, const free_slot& slot, int wanted, instant now);
  std::optional<std::size_t> SelectTask(const queued_job& job, const free_slot& slot, double work_before_us,
                                        instant now) const;

  order_settings settings_;
  std::vector<team_cursor> cursors_;  // kept to avoid allocations
};

}  // namespace bamboowing
