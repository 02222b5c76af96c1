// Scheduling of dispatch_core: estimates, the order of waiting tasks, and the choice of targets.

#include <algorithm>
#include <cmath>
#include <limits>

#include "bamboowing/besteffort/dispatch_core.h"

namespace bamboowing {
namespace {

// Time constant of the measured rate of started work.
constexpr double kRateWindowUs = 500'000;
// Jobs per round that may find no target before the round ends; where these do not fit, the rest of the queue rarely
// does.
constexpr int kMaxUnplacedJobs = 12;
// Targets whose expected run times differ by less than this fraction count as equally fast; the choice among them is by
// load.
constexpr double kSpeedTolerance = 0.12;
// Weight of a random term that is added to a target's utilization, so that entries with the same view of the load do
// not all choose the same target.
constexpr double kRandomWeight = 0.15;
// Factor of the expected run time on a target without the affinity label, away from the data.
constexpr double kRemoteFactor = 1.5;
// Number of standard deviations above the mean that gives the longest expected run time.
constexpr double kLongestRunDeviations = 2;
constexpr double kMillisecondUs = 1000;
// Share of the fleet that an entry assumes for itself when it has started little.
constexpr double kMinFleetShare = 0.2;

double Micros(duration time) { return static_cast<double>(time.count()); }

bool HasLabel(const fleet_target& target, const std::string& label) {
  const std::vector<std::string>& labels = target.description.labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

std::uint32_t Remaining(std::uint32_t capacity, std::uint32_t committed) {
  return capacity > committed ? capacity - committed : 0;
}

/// What @p committed leaves of @p capacity. It may exceed a capacity that has shrunk.
resource_amount Remaining(const resource_amount& capacity, const resource_amount& committed) {
  return {Remaining(capacity.cpu_millicores, committed.cpu_millicores),
          Remaining(capacity.memory_mb, committed.memory_mb), Remaining(capacity.accelerators, committed.accelerators)};
}

}  // namespace

work_estimate dispatch_core::EstimateOf(const open_job& job, std::uint32_t step) const {
  task_spec declared;
  declared.declared_run_time = job.spec.steps[step].estimate;
  return estimator_.Estimate(job.estimate_team, run_time_estimator::DeclarationClass(declared));
}

double dispatch_core::CriticalPathUs(const open_job& job) const {
  std::vector<double> ends;
  double longest = 0;
  for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
    double begin = 0;
    for (const std::uint32_t earlier : job.spec.steps[step].after) {
      begin = std::max(begin, ends[earlier]);
    }
    const work_estimate estimate = EstimateOf(job, step);
    // The longest of several parallel tasks takes longer than the mean.
    const double deviations = job.spec.steps[step].count > 1 ? 1 : 0;
    ends.push_back(begin + estimate.mean_us + deviations * std::min(estimate.deviation_us, estimate.mean_us));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

double dispatch_core::QueueWaitUs() const {
  const fleet_capacity usable = UsableCapacity();
  const double waiting = static_cast<double>(waiting_tasks_);
  // The wait is unknown without any target; the job then expires at its deadline.
  if (waiting <= usable.free_tasks || usable.tasks <= 0) {
    return 0;
  }
  const double queued_work_us = waiting_work_us_ * (1 - usable.free_tasks / waiting);
  const double age = Micros(last_now_ - decayed_at_);
  const double started = started_work_us_ * std::exp(-age / kRateWindowUs) / kRateWindowUs;
  // Lower bound of the service rate: the runs in flight, or a share of a fleet that other entries use too.
  const double min_rate = std::max(static_cast<double>(runs_.size()), kMinFleetShare * usable.tasks);
  return queued_work_us / std::max(started, min_rate);
}

dispatch_core::fleet_capacity dispatch_core::UsableCapacity() const {
  fleet_capacity usable;
  for (const std::pair<const std::string, fleet_target>& item : fleet_.all()) {
    if (!fleet_.IsUsable(item.second, last_now_)) {
      continue;
    }
    const resource_amount& capacity = item.second.description.capacity;
    usable.tasks += WaitingTasksWithin(capacity);
    // Free capacity smaller than a whole task is unusable.
    usable.free_tasks += std::floor(WaitingTasksWithin(Remaining(capacity, item.second.Committed())));
  }
  return usable;
}

double dispatch_core::WaitingTasksWithin(const resource_amount& amount) const {
  const double waiting = std::max(1.0, static_cast<double>(waiting_tasks_));
  if (waiting_need_.cpu_millicores + waiting_need_.memory_mb + waiting_need_.accelerators == 0) {
    return waiting;  // tasks that need nothing fit anywhere
  }
  double tasks = std::numeric_limits<double>::max();
  const auto limit = [&tasks, waiting](double available, double needed) {
    tasks = needed > 0 ? std::min(tasks, available * waiting / needed) : tasks;
  };
  limit(amount.cpu_millicores, waiting_need_.cpu_millicores);
  limit(amount.memory_mb, waiting_need_.memory_mb);
  limit(amount.accelerators, waiting_need_.accelerators);
  return tasks;
}

void dispatch_core::SetWaiting(open_job& job, job_task& task, bool waiting) {
  const double work_us = EstimateOf(job, task.step).mean_us;
  task.state = waiting ? task_state::kWaiting : task_state::kBlocked;
  const resource_amount& need = job.spec.steps[task.step].need;
  const double sign = waiting ? 1 : -1;
  waiting_need_.cpu_millicores += sign * need.cpu_millicores;
  waiting_need_.memory_mb += sign * need.memory_mb;
  waiting_need_.accelerators += sign * need.accelerators;
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
  if (job.claimed && job.waiting > 0) {
    queue_.insert({job.rank, job.latest_start, job.spec.id});
  }
}

void dispatch_core::Dequeue(open_job& job) { queue_.erase({job.rank, job.latest_start, job.spec.id}); }

bool dispatch_core::IsEligible(const open_job& job, const job_task& task, const fleet_target& target) const {
  const job_step& step = job.spec.steps[task.step];
  if (target.description.service != job.queue.service) {
    return false;
  }
  if (!step.requirement.empty() && !HasLabel(target, step.requirement)) {
    return false;
  }
  return step.per_target == 0 || RunsOfStepOnTarget(job, task.step, target.index) < step.per_target;
}

bool dispatch_core::MayFitSomeTarget(const open_job& job, const job_step& step) const {
  bool serves = false;
  for (const std::pair<const std::string, fleet_target>& item : fleet_.all()) {
    const target_description& target = item.second.description;
    if (target.service.empty()) {
      return true;  // not described yet
    }
    if (target.service != job.queue.service ||
        (!step.requirement.empty() && !HasLabel(item.second, step.requirement))) {
      continue;
    }
    serves = true;
    if (!fleet_.IsEvacuated(item.second) && FitsWithin(step.need, {}, target.capacity)) {
      return true;
    }
  }
  return !serves;  // without any known target, the job waits for one
}

std::uint32_t dispatch_core::RunsOfStepOnTarget(const open_job& job, std::uint32_t step, target_index target) const {
  std::uint32_t count = 0;
  for (run_map::const_iterator run = runs_.lower_bound({job.spec.id, step, 0, 0});
       run != runs_.end() && run->first.job_id == job.spec.id && run->first.step == step; ++run) {
    count += run->second.target == target ? 1 : 0;
  }
  return count;
}

dispatch_core::target_choice dispatch_core::ChooseTarget(const open_job& job, const job_task& task, instant now) {
  const job_step& step = job.spec.steps[task.step];
  const double work_us = EstimateOf(job, task.step).mean_us;
  double fastest_us = std::numeric_limits<double>::max();
  double best_us = std::numeric_limits<double>::max();
  const bool yields = YieldsCapacity(job, now);
  std::vector<target_choice> free;
  for (std::pair<const std::string, fleet_target>& item : fleet_.all()) {
    fleet_target& target = item.second;
    if (!IsEligible(job, task, target) || !fleet_.IsUsable(target, now)) {
      continue;
    }
    const double affinity_factor = step.affinity.empty() || HasLabel(target, step.affinity) ? 1 : kRemoteFactor;
    const double run_us = work_us * affinity_factor / fleet_.RelativeSpeed(target);
    fastest_us = std::min(fastest_us, run_us);
    const bool avoided = task.avoided_target == target.index && fleet_.HasOtherTarget(target);
    resource_amount held = target.Committed();
    if (yields && FitsWithin(step.need, step.need, target.description.capacity)) {
      AddTo(held, step.need);
    }
    if (!avoided && FitsWithin(step.need, held, target.description.capacity)) {
      best_us = std::min(best_us, run_us);
      free.push_back({&target, run_us});
    }
  }
  if (free.empty()) {
    return {};
  }
  const double remaining_us = Micros(job.objective - now);
  if (best_us > remaining_us && fastest_us < remaining_us && fastest_us < best_us * (1 - kSpeedTolerance)) {
    return {};  // a faster target may become free in time to meet the objective
  }
  target_choice best;
  double best_load = std::numeric_limits<double>::max();
  const bool needs_nothing = step.need == resource_amount();
  for (const target_choice& candidate : free) {
    // Tasks that need nothing do not change the utilization.
    const double known_load = needs_nothing ? candidate.target->own_runs : candidate.target->Utilization();
    const double load = known_load + kRandomWeight * random_.Unit();
    if (candidate.expected_run_us <= best_us * (1 + kSpeedTolerance) && load < best_load) {
      best = candidate;
      best_load = load;
    }
  }
  return best;
}

bool dispatch_core::DispatchJob(open_job& job, instant now) {
  bool started = false;
  bool blocked = false;
  for (std::uint32_t position = 0; position < job.tasks.size(); ++position) {
    job_task& task = job.tasks[position];
    if (task.state != task_state::kWaiting) {
      continue;
    }
    const bool suspect = IsSuspect(job, task);
    const target_choice chosen = suspect ? ChooseExclusiveTarget(job, task, now) : ChooseTarget(job, task, now);
    if (chosen.target == nullptr && suspect) {
      continue;  // suspects wait for other targets than the rest of the queue
    }
    if (chosen.target == nullptr) {
      blocked = true;
      break;
    }
    StartTask(job, position, chosen, now);
    started = true;
  }
  return started || !blocked;
}

void dispatch_core::Dispatch(instant now) {
  // Order: urgent jobs; jobs that can still meet their objective; late jobs; and, while capacity is short, the others
  // by rank. Jobs that are already late get the remaining capacity. Otherwise a burst would make every job slightly
  // late instead of a few.
  const auto begin_of = [this](std::uint64_t rank, instant latest_start) {
    return queue_.lower_bound({rank, latest_start, std::string()});
  };
  const bool capacity_left = DispatchRange(queue_.begin(), begin_of(kInTimeRank, instant::min()), now) &&
                             DispatchRange(begin_of(kInTimeRank, now), begin_of(kServedRank, instant::min()), now) &&
                             DispatchRange(begin_of(kInTimeRank, instant::min()), begin_of(kInTimeRank, now), now);
  if (capacity_left) {
    DispatchRange(begin_of(kServedRank, instant::min()), queue_.end(), now);
  }
}

bool dispatch_core::DispatchRange(waiting_queue::iterator next, waiting_queue::iterator end, instant now) {
  int unplaced_jobs = 0;
  while (next != end && unplaced_jobs < kMaxUnplacedJobs) {
    open_job& job = *jobs_.at(next->job_id);
    unplaced_jobs += DispatchJob(job, now) ? 0 : 1;
    next = job.waiting == 0 ? queue_.erase(next) : std::next(next);
  }
  return unplaced_jobs < kMaxUnplacedJobs;
}

void dispatch_core::StartTask(open_job& job, std::uint32_t position, const target_choice& chosen, instant now) {
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
  start.start_within = settings_.capacity_wait;
  start.queue = job.queue.name;
  start.exclusive = IsSuspect(job, task);
  if (settings_.order == overload_order::kCost && !start.exclusive) {
    start.order = run_order{job.rank == kUrgentRank ? 0 : job.queue.priority, job.latest_start - now};
  }
  if (start.exclusive) {
    start.start_within = settings_.exclusive_wait;
  }

  dispatched_run run;
  run.target = chosen.target->index;
  run.agent_incarnation = chosen.target->agent_incarnation;
  run.session = chosen.target->session;
  run.task = position;
  run.sent_at = now;
  run.expected_us = estimate.mean_us;
  run.exclusive = start.exclusive;
  run.target_generation = chosen.target->target_generation;
  const double longest_us =
      chosen.expected_run_us *
      (1 + kLongestRunDeviations * std::min(1.0, estimate.deviation_us / std::max(estimate.mean_us, kMillisecondUs)));
  const auto after = [this, now, longest_us, exclusive = start.exclusive](double factor) {
    return now + std::max(settings_.straggler_floor, duration(static_cast<std::int64_t>(longest_us * factor))) +
           (exclusive ? settings_.exclusive_wait : duration(0));
  };
  run.straggler_deadline = after(settings_.straggler_factor);
  run.lone_straggler_deadline = after(settings_.lone_straggler_factor);
  CountStartedWork(job, step.need, *chosen.target, run);
  if (task.attempt > 1) {
    LogEvent("task_restarted", job.spec.id,
             "task " + std::to_string(task.step) + "." + std::to_string(task.index) + " attempt " +
                 std::to_string(task.attempt) + " at " + chosen.target->agent);
  }
  runs_.emplace(start.key, run);
  ++chosen.target->own_runs;
  chosen.target->own_exclusive_runs += run.exclusive ? 1 : 0;
  fleet_.CountStart(*chosen.target, run.exclusive ? chosen.target->description.capacity : step.need);
  chosen.target->unsettled_starts.emplace_back(start.key, chosen.target->starts_sent);
  chosen.target->pending_requests.starts.push_back(std::move(start));
}

void dispatch_core::StopStragglers(instant now) {
  for (run_map::value_type& item : runs_) {
    dispatched_run& run = item.second;
    const fleet_target* target = fleet_.FindByIndex(run.target);
    const bool others_succeed = target != nullptr && target->last_success_at > run.sent_at;
    if (run.stopping || now < (others_succeed ? run.lone_straggler_deadline : run.straggler_deadline)) {
      continue;
    }
    run.straggler = true;
    LogEvent("straggler_stopped", item.first.job_id,
             "running for " + std::to_string((now - run.sent_at).count() / 1000) + " ms");
    SendStop(item.first, run);
  }
}

}  // namespace bamboowing
