#include "bamboowing/besteffort/dispatch_core.h"

#include <algorithm>
#include <utility>

namespace bamboowing {
namespace {

constexpr duration kInitialEstimate = std::chrono::milliseconds(200);
constexpr std::uint32_t kMaxTeams = 256;
// Interval between checks for overdue agents, jobs and stragglers.
constexpr duration kCheckInterval = std::chrono::milliseconds(15);
constexpr duration kMinRetryAfter = std::chrono::milliseconds(300);
// Time until a retry of a job that fits no target: a target announces a larger capacity within this time.
constexpr duration kCapacityRetryAfter = std::chrono::milliseconds(1500);
// Time after the start of the process within which agents may still be connecting, so that larger targets may follow.
constexpr duration kFleetSettleTime = std::chrono::seconds(2);
// Deadline of a job without one.
constexpr duration kDefaultDeadline = std::chrono::seconds(30);
// Targets without a session are evicted this long after their last report.
constexpr duration kEvictTargetAfter = std::chrono::seconds(30);

std::string Milliseconds(duration time) { return std::to_string(time.count() / 1000) + " ms"; }

std::string Describe(const resource_amount& need) {
  return "cpu " + std::to_string(need.cpu_millicores) + ", memory " + std::to_string(need.memory_mb) +
         " MB, accelerators " + std::to_string(need.accelerators);
}

job_claims_settings ClaimSettings(const dispatch_core_settings& settings) {
  job_claims_settings claims;
  claims.address = settings.peers_address;
  claims.own_incarnation = settings.own_incarnation;
  claims.run_end_limit = settings.run_end_limit;
  claims.stall_limit = settings.stall_limit;
  claims.retention = settings.max_request_delay;
  claims.late_start_limit = settings.fences.late_start_limit;
  return claims;
}

}  // namespace

std::string_view JobVerdictName(job_verdict verdict) {
  switch (verdict) {
    case job_verdict::kCompleted:
      return "completed";
    case job_verdict::kFailed:
      return "failed";
    case job_verdict::kCancelled:
      return "cancelled";
    case job_verdict::kRefused:
      return "refused";
    case job_verdict::kUnknown:
      return "given_up";
    case job_verdict::kNotRepeatable:
      break;
  }
  return "not_repeatable";
}

dispatch_core::dispatch_core(const dispatch_core_settings& settings, std::uint64_t seed, instant now)
    : settings_(settings),
      random_(seed),
      fleet_(settings.health, seed + 1),
      estimator_(kMaxTeams, kInitialEstimate),
      shortest_slack_(settings.slack_window),
      claims_(ClaimSettings(settings), seed + 2, now),
      fences_(settings.fences),
      decayed_at_(now),
      started_at_(now),
      checked_at_(now),
      last_now_(now) {}

void dispatch_core::LogEvent(std::string event, const std::string& job_id, std::string detail) {
  actions_.emplace_back(log_dispatch_event{std::move(event), job_id, std::move(detail)});
}

void dispatch_core::OnEvacuation(const evacuation_state& state) { MergeEvacuation(state, "the store"); }

void dispatch_core::MergeEvacuation(const evacuation_state& state, const std::string& source) {
  if (fleet_.MergeEvacuation(state) == evacuation_change::kNone) {
    return;
  }
  capacities_changed_ = true;
  const evacuation_view& evacuation = fleet_.evacuation();
  LogEvent("evacuation_changed", "",
           "evacuated failure domains: [" + evacuation.Describe() + "], revision " + std::to_string(state.revision) +
               ", from " + source);
}

void dispatch_core::ReportUnknownDomains(instant now) {
  // Agents may still be connecting before.
  if (now - started_at_ < kFleetSettleTime || reported_evacuation_ == fleet_.evacuation().set_version()) {
    return;
  }
  reported_evacuation_ = fleet_.evacuation().set_version();
  for (const std::string& domain : fleet_.evacuation().state().failure_domains) {
    const bool has_target = std::any_of(fleet_.all().begin(), fleet_.all().end(),
                                        [&domain](const std::pair<const std::string, fleet_target>& item) {
                                          return item.second.description.failure_domain == domain;
                                        });
    if (!has_target && unknown_domains_.insert(domain).second) {
      LogEvent("evacuation_without_target", "", "no known target is in the failure domain " + domain);
    }
  }
}

std::uint32_t dispatch_core::TeamOf(const std::string& queue) {
  const std::map<std::string, std::uint32_t>::const_iterator known = teams_.find(queue);
  if (known != teams_.end()) {
    return known->second;
  }
  const std::uint32_t index = std::min(static_cast<std::uint32_t>(teams_.size()), kMaxTeams - 1);
  teams_.emplace(queue, index);
  return index;
}

std::optional<failure> dispatch_core::ValidateJob(const best_effort_job& job) const {
  std::size_t tasks = 0;
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    const job_step& step = job.steps[i];
    tasks += step.count;
    const bool ordered =
        std::all_of(step.after.begin(), step.after.end(), [i](std::uint32_t earlier) { return earlier < i; });
    if (step.count == 0 || !ordered) {
      return failure(error_kind::kInvalidField, not_run_state::kYes,
                     "a step must have at least one task and may only depend on earlier steps");
    }
  }
  if (tasks == 0 || tasks > settings_.max_tasks) {
    return failure(error_kind::kTooLarge, not_run_state::kYes,
                   "a job must have 1 to " + std::to_string(settings_.max_tasks) + " tasks");
  }
  return std::nullopt;
}

void dispatch_core::MakeTasks(open_job& job) {
  for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
    const job_step& shape = job.spec.steps[step];
    job.remaining_tasks.push_back(shape.count);
    for (std::uint32_t index = 0; index < shape.count; ++index) {
      job_task task;
      task.step = step;
      task.index = index;
      job.tasks.push_back(task);
    }
    job.mean_need.cpu_millicores += shape.count * static_cast<double>(shape.need.cpu_millicores);
    job.mean_need.memory_mb += shape.count * static_cast<double>(shape.need.memory_mb);
    job.mean_need.accelerators += shape.count * static_cast<double>(shape.need.accelerators);
  }
  const double tasks = static_cast<double>(job.tasks.size());
  job.mean_need.cpu_millicores /= tasks;
  job.mean_need.memory_mb /= tasks;
  job.mean_need.accelerators /= tasks;
}

void dispatch_core::OnSubmit(call_id call, best_effort_job job, const queue_rule& queue, instant now) {
  last_now_ = now;
  const std::string id = job.id;
  if (crashes_.HasCrashingTask(id)) {
    LogEvent("job_given_up", id, "submitted again after the crashes of its targets");
    actions_.emplace_back(answer_job{call, id, job_verdict::kFailed, CrashFailure()});
    return;
  }
  std::optional<failure> refused = ValidateJob(job);
  const job_map::iterator known = jobs_.find(id);
  const bool open = known != jobs_.end() && !known->second->answered;
  if (!refused && !open && unrepeatable_.Contains(id, now)) {
    LogEvent("job_not_repeatable", id, "a run of an earlier submission may still be started");
    actions_.emplace_back(answer_job{call, id, job_verdict::kNotRepeatable, NotRepeatableError()});
    return;
  }
  if (!refused && known != jobs_.end()) {
    if (!known->second->answered) {
      // The earlier call may be that of a caller that still waits, and this one a copy.
      known->second->calls.push_back(call);
      calls_.emplace(call, id);
      return;
    }
    // Runs of an abandoned submission of the job are still being stopped.
    refused = failure(error_kind::kOverloaded, not_run_state::kUnknown,
                      "runs of an earlier submission of the job are still being stopped");
    actions_.emplace_back(answer_job{call, id, job_verdict::kUnknown, std::move(refused)});
    return;
  }
  std::unique_ptr<open_job> opened = std::make_unique<open_job>();
  if (!refused) {
    opened->calls.push_back(call);
    opened->arrival = now;
    opened->queue = queue;
    opened->estimate_team = TeamOf(queue.name);
    opened->spec = std::move(job);
    MakeTasks(*opened);
    const double critical_path_us = CriticalPathUs(*opened);
    const duration objective(static_cast<std::int64_t>(critical_path_us * queue.slack_factor) +
                             queue.target_latency.count());
    const duration deadline = opened->spec.deadline.count() > 0 ? opened->spec.deadline : kDefaultDeadline;
    opened->objective = now + objective;
    const duration start_limit(
        static_cast<std::int64_t>(static_cast<double>(objective.count()) * settings_.start_deadline_factor));
    opened->start_by = now + std::min(deadline, start_limit);
    opened->caller_deadline = now + deadline;
    opened->latest_start = opened->objective - duration(static_cast<std::int64_t>(critical_path_us));
    shortest_slack_.Observe(opened->latest_start - now, now);
    refused = CheckAdmission(*opened, now);
  }
  if (refused) {
    LogEvent("job_refused", id, refused->reason);
    actions_.emplace_back(answer_job{call, id, job_verdict::kRefused, std::move(refused)});
    return;
  }
  open_job& accepted = *jobs_.emplace(id, std::move(opened)).first->second;
  calls_.emplace(call, id);
  ClaimJob(accepted, now);
}

duration dispatch_core::MaxQueueWait(instant now) {
  const double slack = static_cast<double>(shortest_slack_.Get(now).count());
  return std::max(settings_.queue_wait_floor, duration(static_cast<std::int64_t>(slack * settings_.queue_wait_share)));
}

std::optional<failure> dispatch_core::CheckAdmission(open_job& job, instant now) {
  if (jobs_.size() >= settings_.max_jobs) {
    failure full(error_kind::kOverloaded, not_run_state::kYes, std::to_string(jobs_.size()) + " jobs are already open");
    full.retry_after = kMinRetryAfter;
    return full;
  }
  const duration run_time = job.objective - job.latest_start;
  if (drain_deadline_ && now + run_time > *drain_deadline_) {
    failure draining(error_kind::kDraining, not_run_state::kYes, "the entry exits before the job could complete");
    draining.retry_after = kMinRetryAfter;
    return draining;
  }
  if (std::optional<failure> oversized = CheckSize(job, now); oversized) {
    return oversized;
  }
  if (settings_.order == overload_order::kCost) {
    return CheckCost(job, now);
  }
  const duration wait(static_cast<std::int64_t>(QueueWaitUs()));
  const duration longest = std::min(job.latest_start - now, MaxQueueWait(now));
  if (wait.count() > 0 && wait > longest) {
    failure late(error_kind::kDeadlineInfeasible, not_run_state::kYes,
                 "expected queue wait " + Milliseconds(wait) + ", limit " + Milliseconds(longest) +
                     ", response objective " + Milliseconds(job.objective - now));
    late.retry_after = std::max(kMinRetryAfter, wait);
    return late;
  }
  return std::nullopt;
}

std::optional<failure> dispatch_core::CheckSize(const open_job& job, instant now) const {
  if (now - started_at_ < kFleetSettleTime) {
    return std::nullopt;
  }
  for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
    if (job.remaining_tasks[step] == 0 || MayFitSomeTarget(job, job.spec.steps[step])) {
      continue;
    }
    const std::string evacuated = fleet_.evacuation().Describe();
    failure oversized(error_kind::kNoTarget, not_run_state::kYes,
                      "no target of service " + job.queue.service + " has the capacity for a task of step " +
                          std::to_string(step) + ", " + Describe(job.spec.steps[step].need) +
                          (evacuated.empty() ? "" : ", outside of the evacuated failure domains " + evacuated));
    oversized.retry_after = kCapacityRetryAfter;
    return oversized;
  }
  return std::nullopt;
}

void dispatch_core::RefuseOversizedJobs(instant now) {
  if (now - started_at_ < kFleetSettleTime || !std::exchange(capacities_changed_, false)) {
    return;
  }
  std::vector<std::pair<std::string, failure>> refused;
  for (const job_map::value_type& item : jobs_) {
    const open_job& job = *item.second;
    if (job.answered || job.ever_started || job.starts_unknown_before) {
      continue;  // a started job keeps its completed work until its deadline; the capacity may grow again
    }
    if (std::optional<failure> oversized = CheckSize(job, now); oversized) {
      refused.emplace_back(item.first, std::move(*oversized));
    }
  }
  for (std::pair<std::string, failure>& item : refused) {
    Answer(*jobs_.at(item.first), job_verdict::kRefused, std::move(item.second));
    EraseIfFinished(item.first);
  }
}

void dispatch_core::OnCallerDisconnected(call_id call, instant now) {
  const std::map<call_id, std::string>::const_iterator found = calls_.find(call);
  if (found == calls_.end()) {
    claims_.ForgetCall(call);
    return;
  }
  const std::string id = found->second;
  open_job& job = *jobs_.at(id);
  LogEvent("caller_gone", id, "disconnected after " + std::to_string((now - job.arrival).count() / 1000) + " ms");
  calls_.erase(call);
  job.calls.erase(std::find(job.calls.begin(), job.calls.end(), call));
  if (!job.calls.empty()) {
    return;
  }
  job.answered = true;
  StopRuns(job, now);
  EraseIfFinished(id);
}

void dispatch_core::OnCancel(call_id call, const std::string& job_id, instant now) {
  const job_map::const_iterator found = jobs_.find(job_id);
  const bool open = found != jobs_.end() && !found->second->completed;
  CancelJob(job_id);
  claims_.Cancel(call, job_id, open, now);
  HandleClaims();
}

void dispatch_core::CancelJob(const std::string& job_id) {
  const job_map::iterator found = jobs_.find(job_id);
  if (found == jobs_.end() || found->second->completed) {
    return;
  }
  open_job& job = *found->second;
  job.cancelled = true;
  Answer(job, job_verdict::kCancelled, failure(error_kind::kCancelled, "cancelled by the caller"));
  StopRuns(job, last_now_);
  EraseIfFinished(job_id);
}

void dispatch_core::OnDrain(instant answer_by) {
  drain_deadline_ = answer_by;
  claims_.OnDrain();
}

std::optional<job_phase> dispatch_core::PhaseOf(const std::string& job_id) const {
  const job_map::const_iterator found = jobs_.find(job_id);
  if (found == jobs_.end() || found->second->answered) {
    return std::nullopt;
  }
  return found->second->ever_started ? job_phase::kRunning : job_phase::kQueued;
}

std::uint32_t dispatch_core::PendingJobs(const std::string& queue) const {
  return static_cast<std::uint32_t>(
      std::count_if(jobs_.begin(), jobs_.end(), [&queue](const job_map::value_type& item) {
        return item.second->queue.name == queue && !item.second->answered && !item.second->ever_started;
      }));
}

void dispatch_core::Answer(open_job& job, job_verdict verdict, const std::optional<failure>& error) {
  if (job.answered) {
    return;
  }
  job.answered = true;
  LogAnswer(job, verdict, error);
  const duration response_time = std::max(last_now_ - job.arrival, duration(0));
  for (const call_id call : job.calls) {
    calls_.erase(call);
    actions_.emplace_back(answer_job{call, job.spec.id, verdict, error, response_time});
  }
}

void dispatch_core::LogAnswer(const open_job& job, job_verdict verdict, const std::optional<failure>& error) {
  std::string detail = "queue " + job.queue.name + ", " + std::string(JobVerdictName(verdict)) + " after " +
                       Milliseconds(last_now_ - job.arrival) + ", objective " +
                       Milliseconds(job.objective - job.arrival) + ", tasks " + std::to_string(job.tasks.size()) +
                       ", starts " + std::to_string(job.starts);
  if (job.first_start) {
    detail += ", first start after " + Milliseconds(*job.first_start - job.arrival);
  }
  if (!job.last_run_result.empty()) {
    detail += ", last run: " + job.last_run_result;
  }
  if (error) {
    detail += ", " + error->reason;
  }
  LogEvent("job_answered", job.spec.id, std::move(detail));
}

void dispatch_core::StopRuns(const open_job& job, instant /*now*/) {
  for (run_map::iterator run = runs_.lower_bound({job.spec.id, 0, 0, 0});
       run != runs_.end() && run->first.job_id == job.spec.id; ++run) {
    SendStop(run->first, run->second);
  }
}

void dispatch_core::SendStop(const run_key& key, dispatched_run& run) {
  fleet_target* target = fleet_.FindByIndex(run.target);
  if (target == nullptr || run.stopping) {
    return;
  }
  run.stopping = true;
  target->pending_requests.stops.push_back(key);
}

void dispatch_core::EraseIfFinished(const std::string& job_id) {
  const job_map::iterator found = jobs_.find(job_id);
  if (found == jobs_.end() || !found->second->answered) {
    return;
  }
  open_job& job = *found->second;
  if (job.waiting > 0) {
    Dequeue(job);
    for (job_task& task : job.tasks) {
      if (task.state == task_state::kWaiting) {
        SetWaiting(job, task, false);
      }
    }
  }
  if (job.in_flight == 0) {
    EraseJob(found);
  }
}

instant dispatch_core::AnswerDeadline(const open_job& job) const {
  const instant deadline = job.ever_started ? job.caller_deadline : job.start_by;
  return drain_deadline_ ? std::min(deadline, *drain_deadline_) : deadline;
}

void dispatch_core::ExpireJobs(instant now) {
  std::vector<std::string> overdue;
  std::vector<std::string> abandoned;
  for (const job_map::value_type& item : jobs_) {
    const open_job& job = *item.second;
    if (MustAbandonBeforeDeadline(job, now)) {
      abandoned.push_back(item.first);
      continue;
    }
    if (!job.answered && AnswerDeadline(job) <= now) {
      overdue.push_back(item.first);
    }
  }
  for (const std::string& id : abandoned) {
    AbandonJob(*jobs_.at(id), now);
    EraseIfFinished(id);
  }
  for (const std::string& id : overdue) {
    open_job& job = *jobs_.at(id);
    const std::string waited = std::to_string((now - job.arrival).count() / 1000) + " ms";
    if (!job.claimed || job.starts_unknown_before) {
      AnswerUnclaimedJob(job);
    } else if (job.ever_started) {
      Answer(job, job_verdict::kUnknown,
             failure(error_kind::kDeadlineExceeded, not_run_state::kUnknown, "job not completed within " + waited));
    } else {
      failure late(error_kind::kOverloaded, not_run_state::kYes, "no free capacity within " + waited);
      late.retry_after = kMinRetryAfter;
      if (settings_.order == overload_order::kCost) {
        CountOverload(job, overload_decision::kExpired);
      }
      Answer(job, job_verdict::kRefused, std::move(late));
    }
    StopRuns(job, now);
    EraseIfFinished(id);
  }
}

void dispatch_core::Advance(instant now) {
  last_now_ = now;
  if (now - checked_at_ >= kCheckInterval) {
    checked_at_ = now;
    ExpireAgents(now);
    BeginHeldJobs(now);
    ExpireJobs(now);
    StopStragglers(now);
    ReportUnknownDomains(now);
    std::vector<target_index> restored;
    fleet_.health().Restore(now, restored);
    fleet_.EvictSilent(now - kEvictTargetAfter);
    crashes_.Expire(now);
    unrepeatable_.Expire(now);
    fences_.Expire(now - kEvictTargetAfter);
  }
  RefuseOversizedJobs(now);
  claims_.Advance(now);
  HandleClaims();
  Dispatch(now);
  SendBatches(now);
}

instant dispatch_core::next_wakeup() const {
  return last_now_ + (jobs_.empty() ? settings_.heartbeat / 3 : kCheckInterval);
}

}  // namespace bamboowing
