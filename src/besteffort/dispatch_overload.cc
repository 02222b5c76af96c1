// Service of waiting jobs by their cost while capacity is short.

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "bamboowing/besteffort/dispatch_core.h"

namespace bamboowing {
namespace {

// Time constant of the measured rate of started work.
constexpr double kRateWindowUs = 500'000;
// As for other refusals, see dispatch_core.cc.
constexpr duration kMinRetryAfter = std::chrono::milliseconds(300);

double Micros(duration time) { return static_cast<double>(time.count()); }

std::string Milliseconds(double us) { return std::to_string(std::llround(us / 1000)) + " ms"; }

/// Number of tasks with these needs that a target's amount suffices for; without needs the largest number.
double TasksWithin(const resource_amount& amount, double cpu_millicores, double memory_mb, double accelerators) {
  double tasks = std::numeric_limits<double>::max();
  const auto limit = [&tasks](double available, double needed) {
    tasks = needed > 0 ? std::min(tasks, available / needed) : tasks;
  };
  limit(amount.cpu_millicores, cpu_millicores);
  limit(amount.memory_mb, memory_mb);
  limit(amount.accelerators, accelerators);
  return tasks;
}

std::uint32_t Remaining(std::uint32_t capacity, std::uint32_t committed) {
  return capacity > committed ? capacity - committed : 0;
}

resource_amount FreeAmount(const fleet_target& target) {
  const resource_amount& capacity = target.description.capacity;
  const resource_amount committed = target.Committed();
  return {Remaining(capacity.cpu_millicores, committed.cpu_millicores),
          Remaining(capacity.memory_mb, committed.memory_mb), Remaining(capacity.accelerators, committed.accelerators)};
}

}  // namespace

std::string_view OverloadDecisionName(overload_decision decision) {
  switch (decision) {
    case overload_decision::kDeferred:
      return "deferred";
    case overload_decision::kRefused:
      return "refused";
    case overload_decision::kDisplaced:
      return "displaced";
    case overload_decision::kExpired:
      break;
  }
  return "expired";
}

void dispatch_core::CountOverload(const open_job& job, overload_decision decision) {
  ++overload_counts_[{job.queue.priority, decision}];
}

dispatch_core::service_load& dispatch_core::LoadOf(const std::string& service) {
  return loads_.try_emplace(service, settings_.overload, last_now_).first->second;
}

void dispatch_core::CountStartedWork(const open_job& job, const resource_amount& need, const fleet_target& target,
                                     dispatched_run& run) {
  if (settings_.order != overload_order::kCost) {
    return;
  }
  service_load& load = LoadOf(job.queue.service);
  const double tasks = TasksWithin(target.description.capacity, need.cpu_millicores, need.memory_mb, need.accelerators);
  run.load = &load;
  run.target_share = 1 / std::max(1.0, tasks);
  load.in_flight += run.target_share;
  AddStartedWork(load, job.queue.priority, run.expected_us * run.target_share);
}

void dispatch_core::AddStartedWork(service_load& load, std::uint32_t priority, double work_us) {
  load.started_us *= std::exp(-Micros(last_now_ - load.decayed_at) / kRateWindowUs);
  load.started_us = std::max(0.0, load.started_us + work_us);
  load.decayed_at = last_now_;
  load.planner.AddStartedWork(priority, work_us, last_now_);
}

void dispatch_core::UncountRejectedWork(const open_job& job, const dispatched_run& run) {
  if (run.load != nullptr) {
    AddStartedWork(*run.load, job.queue.priority, -run.expected_us * run.target_share);
  }
}

dispatch_core::waiting_service dispatch_core::WaitingJobsOf(open_job& arriving) {
  waiting_service waiting;
  waiting.jobs.reserve(queue_.size() + 1);
  for (const queue_position& position : queue_) {
    open_job& job = *jobs_.at(position.job_id);
    if (job.queue.service == arriving.queue.service) {
      waiting.jobs.push_back(&job);
    }
  }
  waiting.jobs.push_back(&arriving);
  // Positions are in order of rank first.
  std::stable_sort(waiting.jobs.begin(), waiting.jobs.end(),
                   [](const open_job* one, const open_job* other) { return one->latest_start < other->latest_start; });
  return waiting;
}

bool dispatch_core::FitsFreeCapacity(const open_job& job) const {
  for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
    const job_step& shape = job.spec.steps[step];
    if (!shape.after.empty() || job.remaining_tasks[step] == 0) {
      continue;
    }
    job_task task;
    task.step = static_cast<std::uint32_t>(step);
    double free_tasks = 0;
    for (const std::pair<const std::string, fleet_target>& item : fleet_.all()) {
      const fleet_target& target = item.second;
      if (fleet_.IsUsable(target, last_now_) && IsEligible(job, task, target)) {
        const double fitting = std::floor(
            TasksWithin(FreeAmount(target), shape.need.cpu_millicores, shape.need.memory_mb, shape.need.accelerators));
        free_tasks += shape.per_target == 0 ? fitting : std::min<double>(fitting, shape.per_target);
      }
    }
    if (free_tasks < job.remaining_tasks[step]) {
      return false;
    }
  }
  return true;
}

bool dispatch_core::MeasureService(waiting_service& waiting, const open_job& arriving) {
  double tasks = 0;
  resource_sum need;
  for (const open_job* job : waiting.jobs) {
    const double job_tasks = job == &arriving ? FirstTasks(*job) : job->waiting;
    tasks += job_tasks;
    need.cpu_millicores += job_tasks * job->mean_need.cpu_millicores;
    need.memory_mb += job_tasks * job->mean_need.memory_mb;
    need.accelerators += job_tasks * job->mean_need.accelerators;
  }
  tasks = std::max(1.0, tasks);
  double targets = 0;
  double free_tasks = 0;
  for (const std::pair<const std::string, fleet_target>& item : fleet_.all()) {
    const fleet_target& target = item.second;
    if (target.description.service != arriving.queue.service || !fleet_.IsUsable(target, last_now_)) {
      continue;
    }
    ++targets;
    const resource_amount& capacity = target.description.capacity;
    waiting.mean_capacity.cpu_millicores += capacity.cpu_millicores;
    waiting.mean_capacity.memory_mb += capacity.memory_mb;
    waiting.mean_capacity.accelerators += capacity.accelerators;
    // Free capacity smaller than a whole task is unusable.
    free_tasks += std::floor(TasksWithin(FreeAmount(target), need.cpu_millicores / tasks, need.memory_mb / tasks,
                                         need.accelerators / tasks));
  }
  // The wait is unknown without any target; the job then expires at its deadline.
  if (targets == 0 || free_tasks >= tasks) {
    return false;
  }
  waiting.mean_capacity.cpu_millicores /= targets;
  waiting.mean_capacity.memory_mb /= targets;
  waiting.mean_capacity.accelerators /= targets;
  const service_load& load = LoadOf(arriving.queue.service);
  const double started =
      load.started_us * std::exp(-Micros(last_now_ - load.decayed_at) / kRateWindowUs) / kRateWindowUs;
  // Lower bounds: the runs in flight, and an equal share of the targets, so that an entry that has served little does
  // not refuse everything.
  const double equal_share = targets / static_cast<double>(peer_count_ + 1);
  waiting.capacity.rate = std::max({started, load.in_flight, equal_share});
  waiting.free_share = free_tasks / tasks;
  return true;
}

double dispatch_core::FirstTasks(const open_job& job) {
  double tasks = 0;
  for (const job_step& step : job.spec.steps) {
    tasks += step.after.empty() ? step.count : 0;
  }
  return tasks;
}

waiting_job dispatch_core::DescribeWaiting(const open_job& job, bool arriving, const resource_sum& capacity) const {
  const auto part = [](double need, double available) { return available > 0 ? need / available : 0; };
  const double share = std::min(1.0, std::max({part(job.mean_need.cpu_millicores, capacity.cpu_millicores),
                                               part(job.mean_need.memory_mb, capacity.memory_mb),
                                               part(job.mean_need.accelerators, capacity.accelerators)}));
  double work_us = job.waiting_work_us;
  double tasks = job.waiting;
  if (arriving) {
    work_us = 0;
    tasks = FirstTasks(job);
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
      const job_step& shape = job.spec.steps[step];
      work_us += shape.after.empty() ? shape.count * EstimateOf(job, step).mean_us : 0;
    }
  }
  waiting_job described;
  described.priority = job.queue.priority;
  described.latest_start = job.latest_start;
  described.start_by = job.start_by;
  described.work_us = work_us * share;
  described.last_task_us = described.work_us / std::max(1.0, tasks);
  described.started = job.ever_started;
  return described;
}

std::optional<failure> dispatch_core::CheckCost(open_job& job, instant now) {
  if (queue_.empty()) {
    return std::nullopt;  // no job waits
  }
  waiting_service waiting = WaitingJobsOf(job);
  if (!MeasureService(waiting, job)) {
    for (open_job* each : waiting.jobs) {
      SetRank(*each, kInTimeRank);
    }
    return std::nullopt;
  }
  std::vector<waiting_job> described;
  described.reserve(waiting.jobs.size());
  double work_us = 0;
  for (const open_job* each : waiting.jobs) {
    described.push_back(DescribeWaiting(*each, each == &job, waiting.mean_capacity));
    work_us += described.back().work_us;
  }
  waiting.capacity.free_work_us = work_us * waiting.free_share;
  const std::vector<planned_job> plan = LoadOf(job.queue.service).planner.Plan(described, waiting.capacity, now);
  return ApplyPlan(waiting, described, plan, job);
}

std::optional<failure> dispatch_core::ApplyPlan(const waiting_service& waiting, span<const waiting_job> described,
                                                span<const planned_job> plan, const open_job& arriving) {
  std::optional<failure> refused;
  std::vector<std::pair<std::string, failure>> displaced;
  const bool shortage =
      std::any_of(plan.begin(), plan.end(), [](const planned_job& job) { return job.service != job_service::kInTime; });
  for (std::size_t index = 0; index < waiting.jobs.size(); ++index) {
    open_job& job = *waiting.jobs[index];
    const planned_job& planned = plan[index];
    const std::string favoured = planned.favoured == planned_job::kNone ? "" : waiting.jobs[planned.favoured]->spec.id;
    const bool deferred = planned.service == job_service::kDeferred || planned.service == job_service::kInfeasible;
    SetRank(job, RankOf(job, planned.service, shortage));
    if (planned.service == job_service::kInfeasible && !FitsFreeCapacity(job)) {
      const bool is_arriving = &job == &arriving;
      failure late = CostFailure(job, described[index], planned);
      LogEvent("job_shed", job.spec.id, DescribeCost(job, described[index], planned) + DescribeFavoured(favoured));
      CountOverload(job, is_arriving ? overload_decision::kRefused : overload_decision::kDisplaced);
      if (is_arriving) {
        refused = std::move(late);
      } else {
        displaced.emplace_back(job.spec.id, std::move(late));
      }
    } else if (deferred && !std::exchange(job.deferral_logged, true)) {
      CountOverload(job, overload_decision::kDeferred);
      LogEvent("job_deferred", job.spec.id, DescribeCost(job, described[index], planned) + DescribeFavoured(favoured));
    }
  }
  for (std::pair<std::string, failure>& item : displaced) {
    Answer(*jobs_.at(item.first), job_verdict::kRefused, std::move(item.second));
    EraseIfFinished(item.first);
  }
  return refused;
}

bool dispatch_core::YieldsCapacity(const open_job& job, instant now) const {
  if (job.rank < kServedRank) {
    return false;  // no shortage, or late and within the reserved share
  }
  const std::map<std::string, service_load>::const_iterator load = loads_.find(job.queue.service);
  return load != loads_.end() && load->second.planner.HasServedHigherPriority(job.queue.priority, now);
}

std::uint64_t dispatch_core::RankOf(const open_job& job, job_service service, bool shortage) {
  if (!shortage) {
    return kInTimeRank;
  }
  switch (service) {
    case job_service::kUrgent:
      return kUrgentRank;
    case job_service::kInTime:
      return kServedRank + 2ULL * job.queue.priority;
    case job_service::kDeferred:
    case job_service::kInfeasible:
      break;
  }
  return kServedRank + 2ULL * job.queue.priority + 1;
}

void dispatch_core::SetRank(open_job& job, std::uint64_t rank) {
  if (job.rank == rank) {
    return;
  }
  const bool queued = queue_.erase({job.rank, job.latest_start, job.spec.id}) > 0;
  job.rank = rank;
  if (queued) {
    Enqueue(job);
  }
}

std::string dispatch_core::DescribeCost(const open_job& job, const waiting_job& described,
                                        const planned_job& planned) const {
  const double slack_us = Micros(job.latest_start - last_now_);
  return "priority " + std::to_string(job.queue.priority) + ", needs " + Milliseconds(described.work_us) +
         " of a whole target, expected wait " + Milliseconds(planned.wait_us) + ", latest start " +
         (slack_us < 0 ? Milliseconds(-slack_us) + " ago" : "in " + Milliseconds(slack_us));
}

std::string dispatch_core::DescribeFavoured(const std::string& favoured) {
  return favoured.empty() ? ", can't start in time even if no other job is deferred" : ", in favour of job " + favoured;
}

failure dispatch_core::CostFailure(const open_job& job, const waiting_job& described,
                                   const planned_job& planned) const {
  // The caller does not learn the id of another caller's job, with which it could cancel that job.
  failure late(error_kind::kDeadlineInfeasible, not_run_state::kYes,
               "no capacity in time: " + DescribeCost(job, described, planned) + ", start limit in " +
                   Milliseconds(Micros(job.start_by - last_now_)));
  late.retry_after = std::max(kMinRetryAfter, duration(static_cast<std::int64_t>(planned.wait_us)));
  return late;
}

}  // namespace bamboowing
