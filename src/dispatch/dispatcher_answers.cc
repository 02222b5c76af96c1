// The part of the dispatcher that takes answers, refusals and losses.
#include <cmath>

#include "bamboowing/dispatch/dispatcher.h"

namespace bamboowing {

task_outcome dispatcher::OnAnswered(const task_answer& answer, std::string_view /*target*/, instant now) {
  const std::optional<located_task> which = FindInFlight(answer.key);
  if (!which) {
    return task_outcome::kUnknown;
  }
  const target_index target = queue_.job(which->job).tasks[which->task].target;
  LeaveTarget(*which, now);
  if (target != kNoTarget) {
    Learn(*which, answer, target, now);
    LearnHealth(*which, answer.status, target, now);
  }
  const bool failed = answer.status == task_status::kFailed || answer.status == task_status::kLost;
  if (failed && TryRetry(*which, target, now)) {
    return task_outcome::kRetried;
  }
  return EndTask(*which);
}

void dispatcher::OnRefused(const task_key& key, instant now) {
  const std::optional<located_task> which = FindInFlight(key);
  if (!which) {
    return;
  }
  LeaveTarget(*which, now);
  queue_.PutBack(which->job, which->task);
  blocked_until_ = now;
  queue_.Reorder(which->job, targets_.TotalCapacity());
  queue_.EraseIfDone(which->job);
}

task_outcome dispatcher::OnTaskLost(const task_key& key, instant now) {
  const std::optional<located_task> which = FindInFlight(key);
  if (!which) {
    return task_outcome::kUnknown;
  }
  const target_index target = queue_.job(which->job).tasks[which->task].target;
  LeaveTarget(*which, now);
  if (TryRetry(*which, target, now)) {
    return task_outcome::kRetried;
  }
  return EndTask(*which);
}

std::optional<dispatcher::located_task> dispatcher::FindInFlight(const task_key& key) const {
  const std::optional<job_index> index = queue_.Find(key.job_id);
  if (!index) {
    return std::nullopt;
  }
  const queued_job& job = queue_.job(*index);
  if (key.task >= job.tasks.size()) {
    return std::nullopt;
  }
  const queued_task& task = job.tasks[key.task];
  if (task.place != task_place::kInFlight || settings_.first_attempt + task.attempt != key.attempt) {
    return std::nullopt;
  }
  return located_task{*index, key.task};
}

void dispatcher::LeaveTarget(const located_task& which, instant now) {
  queued_task& task = queue_.job(which.job).tasks[which.task];
  if (held_since_) {
    held_since_ = now;
  }
  if (task.target == kNoTarget) {
    return;
  }
  const std::optional<flight> moved = targets_.RemoveFlight(task.target, task.flight_position);
  if (moved) {
    queue_.job(moved->job).tasks[moved->task].flight_position = task.flight_position;
  }
}

void dispatcher::Learn(const located_task& which, const task_answer& answer, target_index target, instant now) {
  if (answer.status != task_status::kSucceeded || answer.run_time.count() <= 0) {
    return;
  }
  const queued_job& job = queue_.job(which.job);
  const queued_task& task = job.tasks[which.task];
  const double run_us = static_cast<double>(answer.run_time.count());
  const double work_us = run_us * targets_.RelativeSpeed(target);
  estimator_.Observe(job.team, task.declaration, work_us);
  queue_.ChargeShare(job.team, work_us - task.work_us, targets_.TotalCapacity(), now);
  targets_.at(target).speed.Observe(std::log(task.work_us / run_us));
  targets_.Update(target);
}

void dispatcher::LearnHealth(const located_task& which, task_status status, target_index target, instant now) {
  queued_job& job = queue_.job(which.job);
  if (status == task_status::kSucceeded) {
    ApplyHealth(target, health_.OnSuccess(target, targets_.at(target).slots), "");
    return;
  }
  if (status != task_status::kFailed && status != task_status::kLost) {
    return;
  }
  if (job.failed_on == kNoTarget) {
    job.failed_on = target;
    ApplyHealth(target, health_.OnFailure(target, targets_.size(), now),
                "tasks of several jobs failed here and not elsewhere");
  } else if (job.failed_on != target && !job.failed_elsewhere) {
    job.failed_elsewhere = true;
    health_.Withdraw(job.failed_on);
  }
}

bool dispatcher::TryRetry(const located_task& which, target_index failed_on, instant now) {
  queued_job& job = queue_.job(which.job);
  const bool allowed = job.request && job.idempotent && !job.dropped && now < job.deadline &&
                       job.tasks[which.task].attempt + 1 < settings_.retry.max_attempts;
  if (!allowed || !retries_.TryTake()) {
    return false;
  }
  job.avoid = failed_on;
  queue_.PutBack(which.job, which.task);
  blocked_until_ = now;
  queue_.Reorder(which.job, targets_.TotalCapacity());
  return true;
}

task_outcome dispatcher::EndTask(const located_task& which) {
  queue_.Finish(which.job, which.task);
  if (!queue_.EraseIfDone(which.job)) {
    queue_.Reorder(which.job, targets_.TotalCapacity());
  }
  return task_outcome::kFinal;
}

}  // namespace bamboowing
