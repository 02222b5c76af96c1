/// @file
/// Admission control of jobs.
#pragma once

#include <optional>

#include "bamboowing/base/error.h"
#include "bamboowing/dispatch/job_queue.h"
#include "bamboowing/dispatch/settings.h"

namespace bamboowing {

/// Checks jobs against the bounds of the queue, the team's share of it and the deadline.
class admission_control {
 public:
  explicit admission_control(const dispatch_settings& settings) : settings_(settings) {}

  /// Changes the bound of the queue for jobs that are admitted from now on.
  void SetMaxWaiting(std::uint32_t tasks) { settings_.max_waiting_tasks = tasks; }

  /// Refuses a job that is malformed or that exceeds a bound of the queue.
  std::optional<failure> CheckBounds(const job_queue& queue, const job_spec& job, std::size_t tasks) const;

  /// Refuses a job when its team's share of the queue is full.
  std::optional<failure> CheckShare(const job_queue& queue, team_index team, std::size_t tasks, double capacity) const;

  /// Refuses a job that cannot end before its deadline.
  std::optional<failure> CheckDeadline(const job_queue& queue, const queued_job& job, double capacity) const;

 private:
  dispatch_settings settings_;
};

}  // namespace bamboowing
