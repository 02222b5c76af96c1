// The part of the dispatcher that handles answers, refusals and losses.
#include <cmath>

#include "bamboowing/dispatch/dispatcher.h"

namespace bamboowing {

task_outcome dispatcher::OnAnswered(const task_answer& answer, std::string_view /*target*/, instant now) {
  const std::optional<located_task> located = FindInFlight(answer.key);
  if (!located) {
    return task_outcome::kUnknown;
  }
  const target_index target = queue_.job(located->job).tasks[located->task].target;
  ReleaseSlot(*located, now);
  if (target != kNoTarget) {
    RecordRunTime(*located, answer, target, now);
    RecordHealth(*located, answer.status, target, now);
  }
  const bool failed = answer.status == task_status::kFailed || answer.status == task_status::kLost;
  if (failed && TryRetry(*located, target, now)) {
    return task_outcome::kRetried;
  }
  return EndTask(*located);
}

void dispatcher::OnRefused(const task_key& key, instant now) {
  const std::optional<located_task> located = FindInFlight(key);
  if (!located) {
    return;
  }
  ReleaseSlot(*located, now);
  queue_.Requeue(located->job, located->task);
  blocked_until_ = now;
  queue_.Reorder(located->job, targets_.TotalCapacity());
  queue_.EraseIfDone(located->job);
}

task_outcome dispatcher::OnTaskLost(const task_key& key, instant now) {
  const std::optional<located_task> located = FindInFlight(key);
  if (!located) {
    return task_outcome::kUnknown;
  }
  const target_index target = queue_.job(located->job).tasks[located->task].target;
  ReleaseSlot(*located, now);
  if (TryRetry(*located, target, now)) {
    return task_outcome::kRetried;
  }
  return EndTask(*located);
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
  if (task.phase != task_phase::kInFlight || settings_.first_attempt + task.attempt != key.attempt) {
    return std::nullopt;
  }
  return located_task{*index, key.task};
}

void dispatcher::ReleaseSlot(const located_task& located, instant now) {
  queued_task& task = queue_.job(located.job).tasks[located.task];
  if (held_since_) {
    held_since_ = now;
  }
  if (task.target == kNoTarget) {
    return;
  }
  const std::optional<in_flight_task> moved = targets_.RemoveInFlight(task.target, task.in_flight_position);
  if (moved) {
    queue_.job(moved->job).tasks[moved->task].in_flight_position = task.in_flight_position;
  }
}

void dispatcher::RecordRunTime(const located_task& located, const task_answer& answer, target_index target,
                               instant now) {
  if (answer.status != task_status::kSucceeded || answer.run_time.count() <= 0) {
    return;
  }
  const queued_job& job = queue_.job(located.job);
  const queued_task& task = job.tasks[located.task];
  const double run_us = static_cast<double>(answer.run_time.count());
  const double work_us = run_us * targets_.RelativeSpeed(target);
  estimator_.Observe(job.team, task.declaration_class, work_us);
  queue_.ChargeShare(job.team, work_us - task.work_us, targets_.TotalCapacity(), now);
  targets_.at(target).speed.Observe(std::log(task.work_us / run_us));
  targets_.Update(target);
}

void dispatcher::RecordHealth(const located_task& located, task_status status, target_index target, instant now) {
  queued_job& job = queue_.job(located.job);
  if (status == task_status::kSucceeded) {
    ApplyHealth(target, health_.OnSuccess(target, targets_.at(target).slots), "");
    return;
  }
  if (status != task_status::kFailed && status != task_status::kLost) {
    return;
  }
  if (job.first_failed_target == kNoTarget) {
    job.first_failed_target = target;
    ApplyHealth(target, health_.OnFailure(target, targets_.size(), now),
                "tasks of several jobs failed on this target and not on others");
  } else if (job.first_failed_target != target && !job.failed_on_other_target) {
    job.failed_on_other_target = true;
    health_.WithdrawFailure(job.first_failed_target);
  }
}

bool dispatcher::TryRetry(const located_task& located, target_index failed_target, instant now) {
  queued_job& job = queue_.job(located.job);
  const bool allowed = job.request && job.idempotent && !job.dropped && now < job.deadline &&
                       job.tasks[located.task].attempt + 1 < settings_.retry.max_attempts;
  if (!allowed || !retries_.TryTake()) {
    return false;
  }
  job.avoid_target = failed_target;
  queue_.Requeue(located.job, located.task);
  blocked_until_ = now;
  queue_.Reorder(located.job, targets_.TotalCapacity());
  return true;
}

task_outcome dispatcher::EndTask(const located_task& located) {
  queue_.Finish(located.job, located.task);
  if (!queue_.EraseIfDone(located.job)) {
    queue_.Reorder(located.job, targets_.TotalCapacity());
  }
  return task_outcome::kFinal;
}

}  // namespace bamboowing
