/// @file
/// Which waiting jobs of an entry are served, deferred or refused while capacity is short.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <vector>

#include "bamboowing/base/types.h"

namespace bamboowing {

struct overload_settings {
  /// Share of the started work that each priority with waiting jobs keeps, from 0 to 1.
  double reserved_share = 0.05;
  /// Sliding window over which the shares are measured.
  duration share_window{2'000'000};
};

/// A job with waiting tasks. Work is run time multiplied by the share of a target that the tasks need, in microseconds.
struct waiting_job {
  std::uint32_t priority = 0;  ///< 0 is the highest
  instant latest_start;        ///< latest start that still meets the objective
  instant start_by;            ///< a job without a started task is refused at this time
  double work_us = 0;          ///< of all waiting tasks
  double last_task_us = 0;     ///< part of `work_us` that the job's last waiting task needs
  bool started = false;        ///< a task of the job was started, so that the job cannot be refused as not run
};

/// Capacity that an entry can use.
struct service_capacity {
  double rate = 0;          ///< work that is done per unit of time: the number of targets in use; above 0
  double free_work_us = 0;  ///< part of the waiting work that free capacity starts at once
};

/// What becomes of a waiting job.
enum class job_service : std::uint8_t {
  kInTime,      ///< expected to make its latest start
  kUrgent,      ///< late, but within the reserved share of its priority: served first
  kDeferred,    ///< served after the jobs in time of its own and of higher priorities
  kInfeasible,  ///< deferred, and no longer expected to start before `start_by`
};

struct planned_job {
  /// `favoured` of a job that is deferred because of its own latest start.
  static constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();

  job_service service = job_service::kInTime;
  std::size_t favoured = kNone;  ///< index of the job in favour of which this one is deferred
  double wait_us = 0;            ///< expected wait until the last waiting task starts
};

/// Work started within a sliding window, by priority.
class started_shares {
 public:
  explicit started_shares(duration window) : window_(window) {}

  void Add(std::uint32_t priority, double work_us, instant now);
  /// Work of this priority within the window, in microseconds.
  double Of(std::uint32_t priority, instant now) const;
  double Total(instant now) const;
  /// Whether there is work of a higher priority within the window.
  bool HasAbove(std::uint32_t priority, instant now) const;

 private:
  static constexpr std::size_t kSlices = 8;
  struct slice {
    std::int64_t number = -1;  ///< time of the slice in units of its length
    double work_us = 0;
  };
  using slices = std::array<slice, kSlices>;

  std::int64_t SliceNumber(instant at) const;
  double Sum(const slices& of, instant now) const;

  duration window_;
  std::map<std::uint32_t, slices> by_priority_;
};

/// Plans the waiting jobs of one entry. Has no clock; times must not go backwards.
class overload_planner {
 public:
  explicit overload_planner(const overload_settings& settings) : settings_(settings), shares_(settings.share_window) {}

  /// Adds the work of a started task; negative if the target rejected the start.
  void AddStartedWork(std::uint32_t priority, double work_us, instant now) { shares_.Add(priority, work_us, now); }

  /// Whether tasks of a higher priority were started within the window.
  bool HasServedHigherPriority(std::uint32_t priority, instant now) const { return shares_.HasAbove(priority, now); }

  /// Returns the service of each job, by its index in @p jobs, which are in order of latest start. Where a job would
  /// miss its latest start, the jobs that cost their callers least are deferred: those of the lowest priority, and
  /// among them those with the most work. Takes O(n log n).
  std::vector<planned_job> Plan(span<const waiting_job> jobs, const service_capacity& capacity, instant now) const;

 private:
  /// Marks the jobs that are within the reserved share of their priority.
  std::vector<bool> MarkReserved(span<const waiting_job> jobs, instant now) const;

  overload_settings settings_;
  started_shares shares_;
};

}  // namespace bamboowing
