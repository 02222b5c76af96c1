#include "bamboowing/dispatch/dispatcher.h"

#include <algorithm>
#include <numeric>

namespace bamboowing {

dispatcher::dispatcher(const dispatch_settings& settings, std::uint64_t /*seed*/) : settings_(settings) {}

void dispatcher::SetTeams(span<const team_share> /*teams*/) {}

void dispatcher::AddTarget(std::string_view target, std::uint32_t slots, instant now) {
  if (targets_.size() >= settings_.max_targets && targets_.find(target) == targets_.end()) {
    return;
  }
  targets_.try_emplace(std::string(target));
  SetUsableSlots(target, slots, now);
}

void dispatcher::SetUsableSlots(std::string_view target, std::uint32_t slots, instant /*now*/) {
  const auto found = targets_.find(target);
  if (found != targets_.end()) {
    found->second.slots = std::min(slots, settings_.max_slots_per_target);
  }
}

void dispatcher::SetTargetDraining(std::string_view target, bool draining, instant /*now*/) {
  const auto found = targets_.find(target);
  if (found != targets_.end()) {
    found->second.draining = draining;
  }
}

void dispatcher::RemoveTarget(std::string_view target, instant /*now*/, std::vector<task_key>& in_flight) {
  targets_.erase(std::string(target));
  for (const auto& [job_id, job] : jobs_) {
    for (const auto& [index, task] : job.tasks) {
      if (task.in_flight && task.target == target) {
        in_flight.push_back({job_id, index, task.attempt});
      }
    }
  }
}

std::optional<failure> dispatcher::Admit(const job_spec& job, instant now) {
  std::vector<std::uint32_t> all(job.tasks.size());
  std::iota(all.begin(), all.end(), 0U);
  return AdmitPartial(job, all, now);
}

std::optional<failure> dispatcher::AdmitPartial(const job_spec& job, span<const std::uint32_t> tasks_to_start,
                                                instant now) {
  if (job.tasks.size() > settings_.max_tasks_per_job) {
    return failure(error_kind::kTooLarge, "the job has more tasks than one job may have");
  }
  if (jobs_.count(job.job_id) > 0) {
    return failure(error_kind::kConflict, "a job with this id is queued already");
  }
  if (waiting_.size() + tasks_to_start.size() > settings_.max_waiting_tasks || jobs_.size() >= settings_.max_jobs) {
    return failure(error_kind::kOverloaded, "the queue is full");
  }
  job_entry entry;
  entry.team = job.team;
  entry.order = next_order_++;
  entry.deadline = now + job.deadline;
  for (const std::uint32_t index : tasks_to_start) {
    entry.tasks[index].waiting = true;
    waiting_.emplace(waiting_place{entry.order, index}, job.job_id);
  }
  deadlines_.emplace(entry.deadline, job.job_id);
  jobs_.emplace(job.job_id, std::move(entry));
  EraseIfDone(job.job_id);
  return std::nullopt;
}

void dispatcher::CancelJob(std::string_view job_id, instant /*now*/, std::vector<task_key>& in_flight) {
  const std::string id(job_id);
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  DropWaiting(found->second);
  for (const auto& [index, task] : found->second.tasks) {
    in_flight.push_back({id, index, task.attempt});
  }
  EraseIfDone(id);
}

void dispatcher::ExpireJobs(instant now, std::vector<std::string>& job_ids) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const std::string id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    job_ids.push_back(id);
    jobs_.at(id).expired = true;
    DropWaiting(jobs_.at(id));
    EraseIfDone(id);
  }
}

void dispatcher::NextStarts(instant /*now*/, std::vector<assignment>& out) {
  for (auto& [name, target] : targets_) {
    while (!target.draining && target.busy < target.slots && !waiting_.empty()) {
      const auto next = waiting_.begin();
      task_state& task = jobs_.at(next->second).tasks.at(next->first.second);
      task.waiting = false;
      task.in_flight = true;
      task.target = name;
      ++target.busy;
      out.push_back({{next->second, next->first.second, task.attempt}, name});
      waiting_.erase(next);
    }
  }
}

task_outcome dispatcher::OnAnswered(const task_answer& answer, std::string_view /*target*/, instant now) {
  return OnTaskLost(answer.key, now);
}

void dispatcher::OnRefused(const task_key& key, instant /*now*/) {
  task_state* task = FindInFlight(key);
  if (task == nullptr) {
    return;
  }
  Release(task->target);
  job_entry& job = jobs_.at(key.job_id);
  task->in_flight = false;
  ++task->attempt;
  if (job.expired) {
    job.tasks.erase(key.task);
    EraseIfDone(key.job_id);
    return;
  }
  task->waiting = true;
  waiting_.emplace(waiting_place{job.order, key.task}, key.job_id);
}

task_outcome dispatcher::OnTaskLost(const task_key& key, instant /*now*/) {
  task_state* task = FindInFlight(key);
  if (task == nullptr) {
    return task_outcome::kUnknown;
  }
  Release(task->target);
  FinishTask(key);
  return task_outcome::kFinal;
}

std::optional<instant> dispatcher::next_wakeup() const {
  if (deadlines_.empty()) {
    return std::nullopt;
  }
  return deadlines_.begin()->first;
}

void dispatcher::DrainHealthChanges(std::vector<health_change>& /*out*/) {}

dispatch_counts dispatcher::counts() const {
  dispatch_counts result;
  result.jobs = static_cast<std::uint32_t>(jobs_.size());
  result.waiting = static_cast<std::uint32_t>(waiting_.size());
  result.targets = static_cast<std::uint32_t>(targets_.size());
  for (const team_depth& depth : TeamDepths()) {
    result.in_flight += depth.in_flight;
  }
  return result;
}

std::vector<team_depth> dispatcher::TeamDepths() const {
  std::map<std::string, team_depth> depths;
  for (const auto& [job_id, job] : jobs_) {
    team_depth& depth = depths[job.team];
    for (const auto& [index, task] : job.tasks) {
      depth.waiting += task.waiting ? 1 : 0;
      depth.in_flight += task.in_flight ? 1 : 0;
    }
  }
  std::vector<team_depth> result;
  for (auto& [team, depth] : depths) {
    depth.team = team;
    result.push_back(depth);
  }
  return result;
}

dispatcher::task_state* dispatcher::FindInFlight(const task_key& key) {
  const auto job = jobs_.find(key.job_id);
  if (job == jobs_.end()) {
    return nullptr;
  }
  const auto task = job->second.tasks.find(key.task);
  const bool matches = task != job->second.tasks.end() && task->second.in_flight && task->second.attempt == key.attempt;
  return matches ? &task->second : nullptr;
}

void dispatcher::Release(const std::string& target) {
  const auto found = targets_.find(target);
  if (found != targets_.end()) {
    --found->second.busy;
  }
}

void dispatcher::FinishTask(const task_key& key) {
  jobs_.at(key.job_id).tasks.erase(key.task);
  EraseIfDone(key.job_id);
}

void dispatcher::DropWaiting(job_entry& job) {
  for (auto task = job.tasks.begin(); task != job.tasks.end();) {
    if (task->second.waiting) {
      waiting_.erase({job.order, task->first});
      task = job.tasks.erase(task);
    } else {
      ++task;
    }
  }
  job.expired = true;
}

void dispatcher::EraseIfDone(const std::string& job_id) {
  const auto job = jobs_.find(job_id);
  if (job != jobs_.end() && job->second.tasks.empty()) {
    deadlines_.erase({job->second.deadline, job_id});
    jobs_.erase(job);
  }
}

}  // namespace bamboowing
