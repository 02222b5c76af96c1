#include "bamboowing/dispatch/dispatcher.h"

#include <algorithm>
#include <numeric>

namespace bamboowing {
namespace {

// Bound of the health changes that wait for DrainHealthChanges(). Beyond it the oldest are dropped.
constexpr std::size_t kMaxHealthChanges = 4096;

}  // namespace

dispatcher::dispatcher(const dispatch_settings& settings, std::uint64_t seed)
    : settings_(settings),
      queue_(settings),
      targets_(seed),
      health_(settings.health, seed + 1),
      estimator_(settings.max_teams, settings.default_run_time),
      admission_(settings),
      placement_(settings.order),
      retries_(settings.retry) {}

void dispatcher::SetTeams(span<const team_share> teams) { queue_.SetTeams(teams); }

void dispatcher::SetLimits(const dispatch_limits& limits) {
  settings_.max_waiting_tasks = limits.max_waiting_tasks;
  settings_.retry.max_attempts = limits.max_attempts;
  admission_.SetMaxWaiting(limits.max_waiting_tasks);
  retries_.SetShare(limits.retry_share);
}

void dispatcher::AddTarget(std::string_view target, std::uint32_t slots, instant now) {
  if (targets_.Find(target) != kNoTarget) {
    SetUsableSlots(target, slots, now);
    return;
  }
  if (targets_.size() < settings_.max_targets) {
    const target_index added = targets_.Add(target, std::min(slots, settings_.max_slots_per_target));
    health_.Add(added);
  }
}

void dispatcher::SetUsableSlots(std::string_view target, std::uint32_t slots, instant /*now*/) {
  const target_index index = targets_.Find(target);
  if (index != kNoTarget) {
    target_state& state = targets_.at(index);
    // `allowed_slots` is below the number of slots only while the target is ejected or recovering.
    const bool restricted = state.allowed_slots < state.slots;
    state.slots = std::min(slots, settings_.max_slots_per_target);
    state.allowed_slots = restricted ? std::min(state.allowed_slots, state.slots) : state.slots;
    targets_.Update(index);
  }
}

void dispatcher::SetTargetDraining(std::string_view target, bool draining, instant /*now*/) {
  const target_index index = targets_.Find(target);
  if (index != kNoTarget) {
    targets_.at(index).draining = draining;
    targets_.Update(index);
  }
}

void dispatcher::RemoveTarget(std::string_view target, instant /*now*/, std::vector<task_key>& in_flight) {
  const target_index index = targets_.Find(target);
  if (index == kNoTarget) {
    return;
  }
  for (const in_flight_task& task : targets_.at(index).in_flight) {
    queue_.job(task.job).tasks[task.task].target = kNoTarget;
    in_flight.push_back(KeyOf(task.job, task.task));
  }
  health_.Remove(index);
  targets_.Remove(index);
}

std::optional<failure> dispatcher::Admit(const job_spec& job, instant now) {
  std::vector<std::uint32_t> all(job.tasks.size());
  std::iota(all.begin(), all.end(), 0U);
  return AddJob(job, all, false, now);
}

std::optional<failure> dispatcher::AdmitPartial(const job_spec& job, span<const std::uint32_t> tasks_to_start,
                                                instant now) {
  return AddJob(job, tasks_to_start, true, now);
}

std::optional<failure> dispatcher::AddJob(const job_spec& job, span<const std::uint32_t> tasks_to_start, bool recovered,
                                          instant now) {
  std::optional<failure> refusal = admission_.CheckBounds(queue_, job, tasks_to_start.size());
  if (refusal) {
    return refusal;
  }
  const double capacity = targets_.TotalCapacity();
  queued_job added = MakeJob(job, tasks_to_start, now);
  if (!recovered) {
    refusal = admission_.CheckShare(queue_, added.team, tasks_to_start.size(), capacity);
    if (!refusal) {
      refusal = admission_.CheckDeadline(queue_, added, capacity);
    }
    if (refusal) {
      return refusal;
    }
  }
  if (added.request && added.idempotent) {
    retries_.OnAdmitted();
  }
  const job_index index = queue_.Add(std::move(added), capacity);
  blocked_until_ = now;
  queue_.EraseIfDone(index);
  return std::nullopt;
}

queued_job dispatcher::MakeJob(const job_spec& job, span<const std::uint32_t> tasks_to_start, instant now) {
  queued_job result;
  result.id = job.job_id;
  result.team = queue_.TeamOf(job.team);
  result.arrival = now;
  result.deadline = now + job.deadline;
  result.request = job.is_request;
  result.idempotent = job.idempotent;
  result.tasks.resize(job.tasks.size());
  for (const std::uint32_t index : tasks_to_start) {
    if (index >= job.tasks.size()) {
      continue;
    }
    queued_task& task = result.tasks[index];
    task.declaration_class = run_time_estimator::DeclarationClass(job.tasks[index]);
    const work_estimate estimate = estimator_.Estimate(result.team, task.declaration_class);
    task.work_us = static_cast<float>(estimate.mean_us);
    task.conservative_work_us =
        static_cast<float>(estimate.mean_us + settings_.order.risk_share * estimate.deviation_us);
    task.phase = task_phase::kWaiting;
    result.admitted_longest_us = std::max(result.admitted_longest_us, static_cast<double>(task.conservative_work_us));
    result.admitted_work_us += task.work_us;
  }
  return result;
}

void dispatcher::CancelJob(std::string_view job_id, instant /*now*/, std::vector<task_key>& in_flight) {
  const std::optional<job_index> index = queue_.Find(job_id);
  if (!index) {
    return;
  }
  queue_.DropWaiting(*index);
  const queued_job& job = queue_.job(*index);
  for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
    if (job.tasks[task].phase == task_phase::kInFlight) {
      in_flight.push_back(KeyOf(*index, task));
    }
  }
  queue_.EraseIfDone(*index);
}

void dispatcher::ExpireJobs(instant now, std::vector<std::string>& job_ids) {
  std::optional<std::pair<instant, job_index>> next = queue_.NextDeadline();
  while (next && next->first <= now) {
    job_ids.push_back(queue_.job(next->second).id);
    queue_.DropWaiting(next->second);
    queue_.EraseIfDone(next->second);
    next = queue_.NextDeadline();
  }
}

void dispatcher::NextStarts(instant now, std::vector<assignment>& out) {
  RestoreTargets(now);
  FillTargets(now, out);
}

std::optional<instant> dispatcher::next_wakeup() const {
  std::optional<instant> earliest = health_.next_ejection_end();
  const auto consider = [&earliest](instant at) { earliest = earliest ? std::min(*earliest, at) : at; };
  const std::optional<std::pair<instant, job_index>> deadline = queue_.NextDeadline();
  if (deadline) {
    consider(deadline->first);
  }
  if (held_since_ && queue_.waiting() > 0) {
    consider(*held_since_ + settings_.order.hold_limit);
    consider(blocked_until_);
  }
  return earliest;
}

void dispatcher::DrainHealthChanges(std::vector<health_change>& out) {
  out.insert(out.end(), changes_.begin(), changes_.end());
  changes_.clear();
}

dispatch_counts dispatcher::counts() const {
  dispatch_counts result;
  result.jobs = queue_.jobs();
  result.waiting = queue_.waiting();
  result.in_flight = queue_.in_flight();
  result.targets = targets_.size();
  result.ejected_targets = health_.ejected();
  result.retry_budget = retries_.available();
  return result;
}

std::vector<team_depth> dispatcher::TeamDepths() const {
  std::vector<team_depth> result;
  for (const queued_team& team : queue_.teams()) {
    if (team.active()) {
      result.push_back({team.name, team.waiting, team.in_flight});
    }
  }
  std::sort(result.begin(), result.end(), [](const team_depth& a, const team_depth& b) { return a.team < b.team; });
  return result;
}

void dispatcher::RestoreTargets(instant now) {
  std::vector<target_index> restored;
  health_.Restore(now, restored);
  for (const target_index target : restored) {
    ApplyHealth(target, health_effect::kSlotsIncreased, "");
    changes_.push_back({targets_.at(target).name, false, "the ejection ended; the target uses one slot at first"});
  }
}

void dispatcher::ApplyHealth(target_index target, health_effect effect, std::string reason) {
  if (effect == health_effect::kNone) {
    return;
  }
  blocked_class_ = -1;
  targets_.at(target).allowed_slots = health_.AllowedSlots(target);
  targets_.Update(target);
  if (effect == health_effect::kEjected) {
    changes_.push_back({targets_.at(target).name, true, std::move(reason)});
  }
  if (changes_.size() > kMaxHealthChanges) {
    changes_.erase(changes_.begin());
  }
}

task_key dispatcher::KeyOf(job_index job, std::uint32_t task) const {
  const queued_job& of = queue_.job(job);
  return {of.id, task, settings_.first_attempt + of.tasks[task].attempt};
}

}  // namespace bamboowing
