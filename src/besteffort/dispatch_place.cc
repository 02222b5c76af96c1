// The part of dispatch_core that orders waiting tasks and chooses targets.

#include <algorithm>
#include <cmath>
#include <limits>

#include "bamboowing/besteffort/dispatch_core.h"

namespace bamboowing {
namespace {

// The rate of starts is measured over about this time.
constexpr double kRateWindowUs = 500'000;
// Jobs that are looked at in one round without finding room; the rest of the queue hardly fits where these don't.
constexpr int kFruitlessJobs = 12;
// Targets whose run times differ by less than this part count as equally fast; load decides between them.
constexpr double kEqualSpeed = 0.12;
// Weight of the share of a target that is in use, against that of a random choice: entries that see the same load do
// not all choose the same target.
constexpr double kRandomShare = 0.15;
// A target away from the data takes about this multiple of the time.
constexpr double kRemoteFactor = 1.5;
// Standard deviations of the estimate that count as the longest time to expect of a run.
constexpr double kLongestDeviations = 2;
constexpr double kMillisecondUs = 1000;
// Part of the fleet that an entry reckons with when it has started little itself.
constexpr double kLeastShare = 0.2;

double Micros(duration time) { return static_cast<double>(time.count()); }

bool HasLabel(const fleet_target& target, const std::string& label) {
  const std::vector<std::string>& labels = target.description.labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

double UsedShare(const fleet_target& target) {
  const double capacity = target.description.capacity.cpu_millicores;
  return capacity > 0 ? target.Committed().cpu_millicores / capacity : 1;
}

}  // namespace

work_estimate dispatch_core::EstimateOf(const open_job& job, std::uint32_t step) const {
  task_spec declared;
  declared.declared_run_time = job.spec.steps[step].estimate;
  return estimator_.Estimate(job.estimate_team, run_time_estimator::DeclarationClass(declared));
}

double dispatch_core::ChainUs(const open_job& job) const {
  std::vector<double> ends;
  double longest = 0;
  for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
    double begin = 0;
    for (const std::uint32_t earlier : job.spec.steps[step].after) {
      begin = std::max(begin, ends[earlier]);
    }
    const work_estimate estimate = EstimateOf(job, step);
    // The longest of several tasks takes more than the mean.
    const double deviations = job.spec.steps[step].count > 1 ? 1 : 0;
    ends.push_back(begin + estimate.mean_us + deviations * std::min(estimate.deviation_us, estimate.mean_us));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

double dispatch_core::WaitUs() const {
  const fleet_room room = RoomNow();
  // Without any target nothing can be said; the job is given up when its time has passed.
  if (waiting_cpu_ <= room.free_cpu || room.capacity_cpu <= 0) {
    return 0;
  }
  const double beyond_us = waiting_work_us_ * (1 - room.free_cpu / waiting_cpu_);
  const double age = Micros(last_now_ - decayed_at_);
  const double started = started_work_us_ * std::exp(-age / kRateWindowUs) / kRateWindowUs;
  const double mean_cpu = waiting_cpu_ / std::max(1.0, static_cast<double>(waiting_tasks_));
  // Work is done at least at the rate of what is in flight, and of a share of the fleet that other entries use too.
  const double least = std::max(static_cast<double>(flights_.size()), kLeastShare * room.capacity_cpu / mean_cpu);
  return beyond_us / std::max(started, least);
}

dispatch_core::fleet_room dispatch_core::RoomNow() const {
  fleet_room room;
  const double need = std::max(1.0, waiting_cpu_ / std::max(1.0, static_cast<double>(waiting_tasks_)));
  for (const std::pair<const std::string, fleet_target>& item : fleet_.all()) {
    if (!fleet_.Usable(item.second, last_now_)) {
      continue;
    }
    const double capacity = item.second.description.capacity.cpu_millicores;
    room.capacity_cpu += capacity;
    // What is left beside whole tasks is of no use.
    const double left = std::max(0.0, capacity - item.second.Committed().cpu_millicores);
    room.free_cpu += std::floor(left / need) * need;
  }
  return room;
}

void dispatch_core::SetWaiting(open_job& job, job_task& task, bool waiting) {
  const double work_us = EstimateOf(job, task.step).mean_us;
  task.state = waiting ? task_state::kWaiting : task_state::kBlocked;
  const double cpu = job.spec.steps[task.step].need.cpu_millicores;
  waiting_cpu_ = std::max(0.0, waiting_cpu_ + (waiting ? cpu : -cpu));
  waiting_tasks_ += waiting ? 1 : -1;
  if (waiting) {
    ++job.waiting;
    job.waiting_work_us += work_us;
    waiting_work_us_ += work_us;
    return;
  }
  --job.waiting;
  // The estimate may have changed since the task was added.
  const double removed = job.waiting == 0 ? job.waiting_work_us : std::min(work_us, job.waiting_work_us);
  job.waiting_work_us -= removed;
  waiting_work_us_ = std::max(0.0, waiting_work_us_ - removed);
}

void dispatch_core::Enqueue(open_job& job) {
  if (job.waiting > 0) {
    queue_.emplace(job.urgency, job.spec.id);
  }
}

void dispatch_core::Dequeue(open_job& job) { queue_.erase({job.urgency, job.spec.id}); }

bool dispatch_core::Suits(const open_job& job, const job_task& task, const fleet_target& target) const {
  const job_step& step = job.spec.steps[task.step];
  if (target.description.service != job.queue.service) {
    return false;
  }
  if (!step.requirement.empty() && !HasLabel(target, step.requirement)) {
    return false;
  }
  return step.per_target == 0 || RunsOfStepAt(job, task.step, target.index) < step.per_target;
}

std::uint32_t dispatch_core::RunsOfStepAt(const open_job& job, std::uint32_t step, target_index target) const {
  std::uint32_t count = 0;
  for (flight_map::const_iterator at = flights_.lower_bound({job.spec.id, step, 0, 0});
       at != flights_.end() && at->first.job_id == job.spec.id && at->first.step == step; ++at) {
    count += at->second.target == target ? 1 : 0;
  }
  return count;
}

dispatch_core::choice dispatch_core::Choose(const open_job& job, const job_task& task, instant now) {
  const job_step& step = job.spec.steps[task.step];
  const double work_us = EstimateOf(job, task.step).mean_us;
  double fastest_us = std::numeric_limits<double>::max();
  double best_us = std::numeric_limits<double>::max();
  std::vector<choice> free;
  for (std::pair<const std::string, fleet_target>& item : fleet_.all()) {
    fleet_target& target = item.second;
    if (!Suits(job, task, target) || !fleet_.Usable(target, now)) {
      continue;
    }
    const double distance = step.affinity.empty() || HasLabel(target, step.affinity) ? 1 : kRemoteFactor;
    const double run_us = work_us * distance / fleet_.RelativeSpeed(target);
    fastest_us = std::min(fastest_us, run_us);
    const bool avoided = task.avoid == target.index && fleet_.all().size() > 1;
    if (!avoided && FitsWithin(step.need, target.Committed(), target.description.capacity)) {
      best_us = std::min(best_us, run_us);
      free.push_back({&target, run_us});
    }
  }
  if (free.empty()) {
    return {};
  }
  const double left_us = Micros(job.objective - now);
  if (best_us > left_us && fastest_us < left_us && fastest_us < best_us * (1 - kEqualSpeed)) {
    return {};  // a faster target may become free in time
  }
  choice best;
  double best_load = std::numeric_limits<double>::max();
  for (const choice& candidate : free) {
    const double load = UsedShare(*candidate.target) + kRandomShare * random_.Unit();
    if (candidate.run_us <= best_us * (1 + kEqualSpeed) && load < best_load) {
      best = candidate;
      best_load = load;
    }
  }
  return best;
}

bool dispatch_core::DispatchJob(open_job& job, instant now) {
  bool started = false;
  for (std::uint32_t position = 0; position < job.tasks.size(); ++position) {
    job_task& task = job.tasks[position];
    if (task.state != task_state::kWaiting) {
      continue;
    }
    const choice chosen = Choose(job, task, now);
    if (chosen.target == nullptr) {
      break;
    }
    StartTask(job, position, chosen, now);
    started = true;
  }
  return started;
}

void dispatch_core::Dispatch(instant now) {
  // Jobs that can still meet their objective come first; those that are late already take what room is left. Otherwise
  // a burst would make every job a little late instead of a few.
  const job_order::iterator in_time = queue_.lower_bound({now, std::string()});
  const bool room_left = DispatchRange(in_time, queue_.end(), now);
  if (room_left) {
    DispatchRange(queue_.begin(), queue_.lower_bound({now, std::string()}), now);
  }
}

bool dispatch_core::DispatchRange(job_order::iterator next, job_order::iterator end, instant now) {
  int fruitless = 0;
  while (next != end && fruitless < kFruitlessJobs) {
    open_job& job = *jobs_.at(next->second);
    fruitless += DispatchJob(job, now) ? 0 : 1;
    next = job.waiting == 0 ? queue_.erase(next) : std::next(next);
  }
  return fruitless < kFruitlessJobs;
}

void dispatch_core::StartTask(open_job& job, std::uint32_t position, const choice& chosen, instant now) {
  job_task& task = job.tasks[position];
  const job_step& step = job.spec.steps[task.step];
  const work_estimate estimate = EstimateOf(job, task.step);
  SetWaiting(job, task, false);
  task.state = task_state::kInFlight;
  ++task.attempt;
  ++job.in_flight;
  job.ever_started = true;
  ++job.starts;
  job.first_start = job.first_start.value_or(now);
  started_work_us_ *= std::exp(-Micros(now - decayed_at_) / kRateWindowUs);
  started_work_us_ += estimate.mean_us;
  decayed_at_ = now;

  run_start start;
  start.key = {job.spec.id, task.step, task.index, task.attempt};
  start.payload = job.spec.payload;
  start.need = step.need;
  start.start_within = settings_.room_wait;

  flight at;
  at.target = chosen.target->index;
  at.life = chosen.target->life;
  at.session = chosen.target->session;
  at.task = position;
  at.sent = now;
  at.expected_us = estimate.mean_us;
  const double longest_us =
      chosen.run_us *
      (1 + kLongestDeviations * std::min(1.0, estimate.deviation_us / std::max(estimate.mean_us, kMillisecondUs)));
  const auto after = [this, now, longest_us](double factor) {
    return now + std::max(settings_.straggler_floor, duration(static_cast<std::int64_t>(longest_us * factor)));
  };
  at.straggles_at = after(settings_.straggler_factor);
  at.straggles_alone_at = after(settings_.lone_straggler_factor);
  flights_.emplace(start.key, at);
  ++chosen.target->own_runs;
  fleet_.CountStart(*chosen.target, step.need);
  chosen.target->pending.starts.push_back(std::move(start));
}

void dispatch_core::StopStragglers(instant now) {
  for (flight_map::value_type& item : flights_) {
    flight& at = item.second;
    const fleet_target* target = fleet_.At(at.target);
    const bool others_end = target != nullptr && target->done_at > at.sent;
    if (at.stopping || now < (others_end ? at.straggles_alone_at : at.straggles_at)) {
      continue;
    }
    at.straggler = true;
    Note("straggler_stopped", item.first.job_id,
         "running for " + std::to_string((now - at.sent).count() / 1000) + " ms");
    SendStop(item.first, at);
  }
}

}  // namespace bamboowing
