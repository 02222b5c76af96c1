#include "bamboowing/dispatch/admission.h"

#include <algorithm>

namespace bamboowing {
namespace {

// Smallest retry_after, so that a refused caller does not return before the queue has changed.
constexpr duration kMinRetryAfter{50'000};

duration Micros(double us) { return duration(static_cast<std::int64_t>(us)); }

failure RefuseWithRetryAfter(error_kind kind, std::string reason, double wait_us) {
  failure refusal(kind, not_run_state::kYes, std::move(reason));
  refusal.retry_after = std::max(Micros(wait_us), kMinRetryAfter);
  return refusal;
}

}  // namespace

std::optional<failure> admission_control::CheckBounds(const job_queue& queue, const job_spec& job,
                                                      std::size_t tasks) const {
  if (job.tasks.empty()) {
    return failure(error_kind::kInvalidField, "the job has no tasks");
  }
  if (job.tasks.size() > settings_.max_tasks_per_job) {
    return failure(error_kind::kTooLarge, "the job has " + std::to_string(job.tasks.size()) + " tasks; at most " +
                                              std::to_string(settings_.max_tasks_per_job) + " are allowed");
  }
  if (queue.Find(job.job_id)) {
    return failure(error_kind::kConflict, "a job with this id is queued already");
  }
  if (queue.waiting() + tasks > settings_.max_waiting_tasks || queue.jobs() >= settings_.max_jobs) {
    return RefuseWithRetryAfter(error_kind::kOverloaded, "the queue is full", 0);
  }
  return std::nullopt;
}

std::optional<failure> admission_control::CheckShare(const job_queue& queue, team_index team, std::size_t tasks,
                                                     double capacity) const {
  const queued_team& team_state = queue.teams()[team];
  if (team_state.waiting + tasks <= team_state.max_waiting) {
    return std::nullopt;
  }
  const double excess = static_cast<double>(team_state.waiting + tasks - team_state.max_waiting);
  const double task_us = team_state.waiting > 0 ? team_state.waiting_work_us / team_state.waiting : 0;
  const double rate = std::max(capacity, 1.0) * queue.ShareOf(team);
  return RefuseWithRetryAfter(error_kind::kQuotaExceeded,
                              "the team has " + std::to_string(team_state.waiting) +
                                  " waiting tasks; its share of the queue is " + std::to_string(team_state.max_waiting),
                              excess * task_us / rate);
}

std::optional<failure> admission_control::CheckDeadline(const job_queue& queue, const queued_job& job,
                                                        double capacity) const {
  if (capacity < 1) {
    // Without a usable target the wait cannot be estimated; the deadline itself bounds it.
    return std::nullopt;
  }
  const queued_team& team = queue.teams()[job.team];
  // On average half of the work of a running task remains.
  const double running_work_us = queue.in_flight_work_us() / 2;
  const double team_wait_us = team.waiting_work_us / (capacity * queue.ShareOf(job.team));
  const double total_wait_us = (queue.waiting_work_us() + running_work_us) / capacity;
  // A team within its share waits at most for its own work at its own share, regardless of the work of other teams.
  const double wait_us = std::min(total_wait_us, team_wait_us + running_work_us / capacity);
  const double own_us = job.admitted_work_us / capacity;
  const double allowed_us = static_cast<double>((job.deadline - job.arrival).count());
  const double backlog_excess_us = wait_us + own_us - settings_.admission.backlog_share * allowed_us;
  const double end_excess_us =
      wait_us + own_us + settings_.admission.run_time_margin * job.admitted_longest_us - allowed_us;
  const double excess_us = std::max(backlog_excess_us, end_excess_us);
  if (excess_us <= 0) {
    return std::nullopt;
  }
  return RefuseWithRetryAfter(error_kind::kDeadlineInfeasible,
                              "the queued work takes about " +
                                  std::to_string(static_cast<std::int64_t>(wait_us / 1e3)) +
                                  " ms; the job is not expected to end within its deadline of " +
                                  std::to_string(static_cast<std::int64_t>(allowed_us / 1e3)) + " ms",
                              excess_us);
}

}  // namespace bamboowing
