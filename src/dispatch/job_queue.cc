#include "bamboowing/dispatch/job_queue.h"

#include <algorithm>

namespace bamboowing {
namespace {

duration Micros(double us) { return duration(static_cast<std::int64_t>(us)); }

}  // namespace

void job_queue::SetTeams(span<const team_share> teams) {
  shares_.clear();
  for (const team_share& share : teams) {
    shares_[share.name] = share;
  }
  for (queued_team& team : teams_) {
    const auto found = shares_.find(team.name);
    active_weight_ -= team.active() ? team.weight : 0;
    ApplyShare(team, found == shares_.end() ? team_share() : found->second, settings_);
    active_weight_ += team.active() ? team.weight : 0;
    RefreshHead(static_cast<team_index>(&team - teams_.data()));
  }
}

team_index job_queue::TeamOf(const std::string& name) {
  const auto found = team_by_name_.find(name);
  if (found != team_by_name_.end()) {
    return found->second;
  }
  if (teams_.size() >= settings_.max_teams) {
    return static_cast<team_index>(teams_.size() - 1);
  }
  const team_index index = static_cast<team_index>(teams_.size());
  teams_.emplace_back();
  heads_.emplace_back();
  teams_.back().name = name;
  const auto share = shares_.find(name);
  ApplyShare(teams_.back(), share == shares_.end() ? team_share() : share->second, settings_);
  team_by_name_.emplace(name, index);
  return index;
}

job_index job_queue::Add(queued_job job, double capacity) {
  job_index index = 0;
  if (free_indices_.empty()) {
    index = static_cast<job_index>(jobs_.size());
    jobs_.emplace_back();
  } else {
    index = free_indices_.back();
    free_indices_.pop_back();
  }
  jobs_[index] = std::make_unique<queued_job>(std::move(job));
  queued_job& added = *jobs_[index];
  for (std::uint32_t i = 0; i < added.tasks.size(); ++i) {
    if (added.tasks[i].phase == task_phase::kWaiting) {
      added.waiting.push_back(static_cast<std::uint16_t>(i));
      CountWaiting(added, added.tasks[i].work_us, 1);
    }
  }
  std::stable_sort(added.waiting.begin(), added.waiting.end(), [&added](std::uint16_t a, std::uint16_t b) {
    return added.tasks[a].conservative_work_us < added.tasks[b].conservative_work_us;
  });
  RefreshBounds(added);
  by_id_.emplace(added.id, index);
  deadlines_.emplace(added.deadline, index);
  added.order_key = OrderKeyOf(added, capacity);
  if (!added.waiting.empty()) {
    teams_[added.team].order.emplace(added.order_key, index);
    RefreshHead(added.team);
  }
  return index;
}

std::optional<job_index> job_queue::Find(std::string_view job_id) const {
  const auto found = by_id_.find(job_id);
  if (found == by_id_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::uint32_t job_queue::MarkInFlight(job_index index, std::size_t position, target_index target,
                                      instant expected_end) {
  queued_job& taken_from = job(index);
  const std::uint32_t task = taken_from.waiting[position];
  taken_from.waiting.erase(taken_from.waiting.begin() + static_cast<std::ptrdiff_t>(position));
  RefreshBounds(taken_from);
  queued_task& state = taken_from.tasks[task];
  state.phase = task_phase::kInFlight;
  state.target = target;
  state.expected_end = expected_end;
  taken_from.expected_end = std::max(taken_from.expected_end, expected_end);
  CountWaiting(taken_from, -state.work_us, -1);
  CountInFlight(taken_from, state.work_us, 1);
  return task;
}

void job_queue::Requeue(job_index index, std::uint32_t task) {
  queued_job& returned_to = job(index);
  queued_task& state = returned_to.tasks[task];
  CountInFlight(returned_to, -state.work_us, -1);
  ++state.attempt;
  state.target = kNoTarget;
  if (returned_to.dropped) {
    state.phase = task_phase::kDone;
    return;
  }
  state.phase = task_phase::kWaiting;
  InsertWaiting(returned_to, task);
  CountWaiting(returned_to, state.work_us, 1);
}

void job_queue::Finish(job_index index, std::uint32_t task) {
  queued_job& finished_of = job(index);
  finished_of.tasks[task].phase = task_phase::kDone;
  CountInFlight(finished_of, -finished_of.tasks[task].work_us, -1);
  if (finished_of.tasks[task].expected_end < finished_of.expected_end) {
    return;
  }
  finished_of.expected_end = instant();
  for (const queued_task& other : finished_of.tasks) {
    if (other.phase == task_phase::kInFlight) {
      finished_of.expected_end = std::max(finished_of.expected_end, other.expected_end);
    }
  }
}

void job_queue::DropWaiting(job_index index) {
  queued_job& dropped = job(index);
  if (!dropped.dropped) {
    deadlines_.erase({dropped.deadline, index});
    dropped.dropped = true;
  }
  teams_[dropped.team].order.erase({dropped.order_key, index});
  RefreshHead(dropped.team);
  for (const std::uint16_t task : dropped.waiting) {
    dropped.tasks[task].phase = task_phase::kDone;
    CountWaiting(dropped, -dropped.tasks[task].work_us, -1);
  }
  dropped.waiting.clear();
}

bool job_queue::EraseIfDone(job_index index) {
  const queued_job& done = job(index);
  if (!done.waiting.empty() || done.in_flight > 0) {
    return false;
  }
  by_id_.erase(done.id);
  deadlines_.erase({done.deadline, index});
  jobs_[index].reset();
  free_indices_.push_back(index);
  return true;
}

void job_queue::Reorder(job_index index, double capacity) {
  queued_job& moved = job(index);
  std::set<std::pair<instant, job_index>>& order = teams_[moved.team].order;
  const instant order_key = OrderKeyOf(moved, capacity);
  const auto present = order.find({moved.order_key, index});
  const bool queued = present != order.end();
  if (queued && !moved.waiting.empty() && order_key == moved.order_key) {
    return;
  }
  if (queued) {
    order.erase(present);
  }
  moved.order_key = order_key;
  if (!moved.waiting.empty()) {
    order.emplace(order_key, index);
  }
  RefreshHead(moved.team);
}

void job_queue::ChargeShare(team_index index, double work_us, double capacity, instant now) {
  if (capacity <= 0) {
    return;
  }
  queued_team& charged = teams_[index];
  const instant earliest = now - settings_.share.burst_credit;
  const instant latest = now + settings_.share.longest_debt;
  const instant used = std::max(charged.share_clock, earliest) + Micros(work_us / (capacity * ShareOf(index)));
  charged.share_clock = std::min(used, latest);
  heads_[index].share_clock = charged.share_clock;
}

std::optional<std::pair<instant, job_index>> job_queue::NextDeadline() const {
  if (deadlines_.empty()) {
    return std::nullopt;
  }
  return *deadlines_.begin();
}

std::optional<job_index> job_queue::FirstInOrder(instant now) const {
  const team_head* best = nullptr;
  instant best_key;
  for (const team_head& head : heads_) {
    if (!head.has_waiting) {
      continue;
    }
    const instant order_key = ShareAdjustedKey(head, head.order_key, now);
    if (best == nullptr || order_key < best_key) {
      best = &head;
      best_key = order_key;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->first;
}

void job_queue::BeginScan(std::vector<team_cursor>& cursors, instant now) const {
  cursors.clear();
  for (team_index i = 0; i < heads_.size(); ++i) {
    if (heads_[i].has_waiting) {
      cursors.push_back({ShareAdjustedKey(heads_[i], heads_[i].order_key, now), i});
    }
  }
}

std::optional<job_index> job_queue::NextInScan(std::vector<team_cursor>& cursors, instant now) const {
  const auto best = std::min_element(cursors.begin(), cursors.end(), [](const team_cursor& a, const team_cursor& b) {
    return a.order_key < b.order_key;
  });
  if (best == cursors.end()) {
    return std::nullopt;
  }
  const queued_team& team = teams_[best->team];
  if (!best->started) {
    best->next = team.order.begin();
    best->started = true;
  }
  const job_index index = best->next->second;
  ++best->next;
  if (best->next == team.order.end()) {
    *best = cursors.back();
    cursors.pop_back();
  } else {
    best->order_key = ShareAdjustedKey(heads_[best->team], best->next->first, now);
  }
  return index;
}

double job_queue::ShareOf(team_index index) const {
  const queued_team& team = teams_[index];
  const double others = active_weight_ - (team.active() ? team.weight : 0);
  return team.weight / std::max(others + team.weight, 1.0);
}

instant job_queue::ShareAdjustedKey(const team_head& head, instant order_key, instant now) {
  // Work of a team that is ahead of its share is ordered behind all work that arrives before the team is back within
  // its share.
  return head.share_clock > now ? std::max(order_key, head.share_clock) : order_key - head.priority_lead;
}

void job_queue::RefreshHead(team_index index) {
  const queued_team& team = teams_[index];
  team_head& head = heads_[index];
  head.has_waiting = !team.order.empty();
  head.share_clock = team.share_clock;
  head.priority_lead = settings_.share.priority_lead * team.priority;
  if (head.has_waiting) {
    head.order_key = team.order.begin()->first;
    head.first = team.order.begin()->second;
  }
}

instant job_queue::OrderKeyOf(const queued_job& job, double capacity) const {
  const order_settings& order = settings_.order;
  const double drain_us = job.waiting_work_us / std::max(capacity, 1.0);
  instant order_key = job.arrival + Micros(order.work_share * drain_us);
  if (order.slack_share > 0 && job.in_flight > 0) {
    order_key = std::max(order_key, job.expected_end - Micros(order.slack_share * drain_us));
  }
  const double allowed_us = static_cast<double>((job.deadline - job.arrival).count());
  return std::min(order_key, job.arrival + Micros(order.deadline_share * allowed_us));
}

void job_queue::RefreshBounds(queued_job& job) {
  job.shortest_us = job.waiting.empty() ? 0 : job.tasks[job.waiting.front()].conservative_work_us;
  job.longest_us = job.waiting.empty() ? 0 : job.tasks[job.waiting.back()].conservative_work_us;
}

void job_queue::InsertWaiting(queued_job& job, std::uint32_t task) {
  const auto position = std::lower_bound(
      job.waiting.begin(), job.waiting.end(), job.tasks[task].conservative_work_us,
      [&job](std::uint16_t other, float work_us) { return job.tasks[other].conservative_work_us < work_us; });
  job.waiting.insert(position, static_cast<std::uint16_t>(task));
  RefreshBounds(job);
}

void job_queue::CountWaiting(queued_job& job, double work_us, int tasks) {
  queued_team& team = teams_[job.team];
  const bool was_active = team.active();
  job.waiting_work_us = std::max(0.0, job.waiting_work_us + work_us);
  team.waiting_work_us = std::max(0.0, team.waiting_work_us + work_us);
  waiting_work_us_ = std::max(0.0, waiting_work_us_ + work_us);
  team.waiting += tasks;
  waiting_ += tasks;
  SetActive(team, was_active);
}

void job_queue::CountInFlight(queued_job& job, double work_us, int tasks) {
  queued_team& team = teams_[job.team];
  const bool was_active = team.active();
  job.in_flight += tasks;
  team.in_flight += tasks;
  in_flight_ += tasks;
  in_flight_work_us_ = std::max(0.0, in_flight_work_us_ + work_us);
  SetActive(team, was_active);
}

void job_queue::SetActive(queued_team& team, bool was_active) {
  if (team.active() != was_active) {
    active_weight_ += was_active ? -static_cast<double>(team.weight) : static_cast<double>(team.weight);
  }
}

void job_queue::ApplyShare(queued_team& team, const team_share& share, const dispatch_settings& settings) {
  team.weight = std::max(share.weight, 1U);
  team.priority = share.priority;
  const double fraction = std::clamp(share.queue_share, 0.0, 1.0);
  team.max_waiting = static_cast<std::uint32_t>(fraction * settings.max_waiting_tasks);
}

}  // namespace bamboowing
