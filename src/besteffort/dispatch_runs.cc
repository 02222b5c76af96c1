// Agents and results of dispatch_core: sessions, reports, ended runs, and lost agents.

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "bamboowing/besteffort/dispatch_core.h"

namespace bamboowing {
namespace {

// Maximum number of restarts of a task after lost or stopped runs. A task that exceeds it ends its job.
constexpr std::uint32_t kMaxRestarts = 8;
// A target that rejected a start receives no starts for this long, so that its next report can arrive.
constexpr duration kNoRoomPause = std::chrono::milliseconds(25);
constexpr duration kUnavailablePause = std::chrono::milliseconds(100);
// Increment of the attempt number when a target has seen a higher one from an earlier submission of the job.
constexpr std::uint32_t kAttemptSkip = 8;

std::string DescribeResult(const run_result& end, const std::string& agent, duration since_start) {
  return "task " + std::to_string(end.key.step) + "." + std::to_string(end.key.index) + " attempt " +
         std::to_string(end.key.attempt) + " " + std::string(RunOutcomeName(end.outcome)) + " at " + agent + " after " +
         std::to_string(since_start.count() / 1000) + " ms";
}

}  // namespace

void dispatch_core::OnSessionOpened(session_id session, const std::string& agent, instant now) {
  if (const std::optional<session_id> replaced = fleet_.OpenSession(session, agent, now); replaced) {
    actions_.emplace_back(close_run_session{*replaced});
  }
}

void dispatch_core::OnSessionClosed(session_id session, const std::string& reason, instant /*now*/) {
  if (const fleet_target* target = fleet_.CloseSession(session); target != nullptr) {
    LogEvent("agent_detached", "",
             "agent " + target->agent + ", runs " + std::to_string(target->own_runs) + ", " + reason);
  }
}

void dispatch_core::OnReport(session_id session, const agent_batch& batch, instant now) {
  fleet_target* target = fleet_.Find(session);
  if (target == nullptr) {
    return;
  }
  const bool first = !target->described;
  if (batch.runs.has_target) {
    const target_description& before = target->description;
    const target_description& reported = batch.runs.target;
    capacities_changed_ = capacities_changed_ || !(reported.capacity == before.capacity) ||
                          reported.service != before.service || reported.labels != before.labels;
    RecordReplacedTarget(*target, reported, batch.header.incarnation, now);
  }
  if (fleet_.OnReport(*target, batch, now)) {
    // The new agent process does not know the starts of its predecessor.
    HandleUnansweredJobs(*target, now);
  }
  if (fleet_.evacuation().IsOutdated(batch.runs.evacuation)) {
    target->evacuation_version_sent = 0;
  }
  MergeEvacuation(batch.runs.evacuation, "agent " + target->agent);
  MergeUnsettledJobs(*target, batch.runs, now);
  fences_.OnReport(target->agent, batch.runs.earlier_starts_fenced, now);
  MarkSettledRuns(*target, batch.runs);
  for (const crash_record& crash : batch.runs.crashes) {
    RecordCrash(crash, now);
  }
  if (batch.runs.has_inventory) {
    ReconcileInventory(*target, batch.runs, now);
  }
  if (batch.runs.has_target && !target->description.draining) {
    EndLostRuns(*target, false, now);
  }
  for (const run_result& end : batch.runs.results) {
    if (end.sequence > target->results_received) {
      target->results_received = end.sequence;
      RecordReleasedStart(*target, end, now);
      OnRunEnded(*target, end, now);
    }
  }
  if (batch.runs.has_target) {
    LogEvent(first ? "target_in" : "target_changed", "",
             "agent " + target->agent + ", cpu " + std::to_string(target->description.capacity.cpu_millicores) +
                 (target->description.draining ? ", accepts no runs" : ""));
  }
}

void dispatch_core::ReconcileInventory(fleet_target& target, const run_report& report, instant now) {
  std::set<run_key> reported(report.active_runs.begin(), report.active_runs.end());
  for (const run_result& end : report.results) {
    // A result that was received before may be that of an earlier run with the same key.
    if (end.sequence > target.results_received) {
      reported.insert(end.key);
    }
  }
  std::vector<run_key> missing;
  for (run_map::value_type& item : runs_) {
    dispatched_run& run = item.second;
    if (run.target != target.index || run.session == target.session) {
      continue;  // the inventory does not cover starts that were sent after it
    }
    if (reported.count(item.first) == 0) {
      missing.push_back(item.first);
    } else if (std::exchange(run.stopping, false)) {
      SendStop(item.first, run);  // the stop request may have been lost with the previous session
    }
  }
  for (const run_key& key : report.active_runs) {
    const run_map::const_iterator run = runs_.find(key);
    if (run == runs_.end() || run->second.target != target.index) {
      target.pending_requests.stops.push_back(key);  // no job of this entry needs the run
    }
  }
  // A start that was lost with the previous session never ran. A restarted agent first stops the earlier runs during
  // its reconciliation, and only then accepts work.
  for (const run_key& key : missing) {
    const dispatched_run& run = runs_.at(key);
    if (run.agent_incarnation != target.agent_incarnation) {
      continue;
    }
    OnRunEnded(target, {0, key, run_outcome::kLost, duration(0)}, now);
  }
}

void dispatch_core::RemoveRun(run_map::iterator run) {
  if (fleet_target* target = fleet_.FindByIndex(run->second.target); target != nullptr && target->own_runs > 0) {
    --target->own_runs;
    target->own_exclusive_runs -= run->second.exclusive ? 1 : 0;
  }
  if (run->second.load != nullptr) {
    run->second.load->in_flight = std::max(0.0, run->second.load->in_flight - run->second.target_share);
  }
  runs_.erase(run);
}

void dispatch_core::OnRunEnded(fleet_target& from, const run_result& end, instant now) {
  const run_map::iterator run = runs_.find(end.key);
  // Each submission of a job numbers its attempts from 1: an agent may still report a run of an earlier submission that
  // has the key of a run at another agent.
  if (run == runs_.end() || run->second.target != from.index) {
    if (end.outcome == run_outcome::kUnknown) {
      HandleUnknownRun(end.key, now);
    }
    return;
  }
  ++outcome_counts_[end.outcome];
  const dispatched_run ended = run->second;
  RemoveRun(run);
  const job_map::iterator found = jobs_.find(end.key.job_id);
  if (found == jobs_.end()) {
    return;
  }
  open_job& job = *found->second;
  job_task& task = job.tasks[ended.task];
  --job.in_flight;
  task.state = task_state::kBlocked;
  job.last_run_result = DescribeResult(end, from.agent, now - ended.sent_at);
  if (end.outcome != run_outcome::kDone && !job.answered) {
    LogEvent("run_ended", end.key.job_id, job.last_run_result);
  }
  RecordRunResult(job, task, ended, end, from);
  if (end.outcome == run_outcome::kUnknown) {
    ForbidRepetition(job.spec.id, now);
  }
  if (!job.answered) {
    switch (end.outcome) {
      case run_outcome::kDone:
        CompleteTask(job, task);
        break;
      case run_outcome::kFailed:
        HandleTaskFailure(job, task, ended.target, now);
        break;
      case run_outcome::kStaleAttempt:
        task.attempt += kAttemptSkip;
        RequeueTask(job, task);
        break;
      case run_outcome::kNoRoom:
      case run_outcome::kUnavailable:
        UncountRejectedWork(job, ended);
        from.backoff_until = now + (end.outcome == run_outcome::kNoRoom ? kNoRoomPause : kUnavailablePause);
        if (fleet_.IsEvacuated(from) && !end.start_unanswered) {
          WithdrawStart(job);
        }
        RequeueTask(job, task);
        break;
      case run_outcome::kStopped:
      case run_outcome::kLost:
        task.avoided_target = ended.target;
        ++task.restarts;
        RequeueTask(job, task);
        break;
      case run_outcome::kUnknown:
        AbandonJob(job, now);
    }
    ClaimAgain(job);
  }
  EraseIfFinished(end.key.job_id);
}

void dispatch_core::WithdrawStart(open_job& job) {
  ++job.rejected_starts;
  if (job.rejected_starts == job.starts) {
    job.ever_started = false;
    capacities_changed_ = true;
  }
}

void dispatch_core::CompleteTask(open_job& job, job_task& task) {
  task.state = task_state::kDone;
  --job.remaining_tasks[task.step];
  if (std::all_of(job.remaining_tasks.begin(), job.remaining_tasks.end(),
                  [](std::uint32_t left) { return left == 0; })) {
    job.completed = true;
    Answer(job, job_verdict::kCompleted, std::nullopt);
    return;
  }
  if (job.remaining_tasks[task.step] > 0) {
    return;
  }
  Dequeue(job);
  for (job_task& other : job.tasks) {
    const std::vector<std::uint32_t>& after = job.spec.steps[other.step].after;
    const bool ready =
        std::all_of(after.begin(), after.end(), [&job](std::uint32_t step) { return job.remaining_tasks[step] == 0; });
    if (other.state == task_state::kBlocked && ready) {
      SetWaiting(job, other, true);
    }
  }
  Enqueue(job);
}

void dispatch_core::RequeueTask(open_job& job, job_task& task) {
  if (task.restarts > kMaxRestarts) {
    Answer(job, job_verdict::kUnknown,
           failure(error_kind::kTargetLost, not_run_state::kUnknown,
                   "a task exceeded the limit of restarts after lost or stopped runs"));
    StopRuns(job, last_now_);
    return;
  }
  Dequeue(job);
  SetWaiting(job, task, true);
  Enqueue(job);
}

void dispatch_core::HandleTaskFailure(open_job& job, job_task& task, target_index on, instant now) {
  if (++task.failures >= job.queue.max_attempts) {
    Answer(job, job_verdict::kFailed,
           failure(error_kind::kTargetFailed, not_run_state::kNo,
                   "a task failed " + std::to_string(task.failures) + " times"));
    StopRuns(job, now);
    return;
  }
  task.avoided_target = on;
  Dequeue(job);
  SetWaiting(job, task, true);
  Enqueue(job);
}

void dispatch_core::RecordRunResult(open_job& job, const job_task& task, const dispatched_run& ended,
                                    const run_result& end, fleet_target& from) {
  if (end.outcome == run_outcome::kDone) {
    from.last_success_at = last_now_;
    if (end.run_time.count() > 0 && ended.expected_us > 0) {
      const double run_us = static_cast<double>(end.run_time.count());
      task_spec declared;
      declared.declared_run_time = job.spec.steps[task.step].estimate;
      estimator_.Observe(job.estimate_team, run_time_estimator::DeclarationClass(declared),
                         run_us * fleet_.RelativeSpeed(from));
      fleet_.ObserveSpeed(from, std::log(ended.expected_us / run_us));
    }
    const std::uint32_t slots = from.own_runs + 1;
    if (fleet_.health().OnSuccess(from.index, slots) == health_effect::kRestored) {
      LogEvent("target_restored", "", "agent " + from.agent);
    }
    return;
  }
  const bool straggled = ended.straggler && end.outcome == run_outcome::kStopped;
  if (end.outcome == run_outcome::kFailed || straggled) {
    RecordFailure(job, from, last_now_);
  }
}

void dispatch_core::RecordFailure(open_job& job, fleet_target& on, instant now) {
  if (job.has_failed_run && job.failed_target != on.index) {
    // The job fails on another target too, so the failure is attributed to the job rather than to the target.
    fleet_.health().WithdrawFailure(job.failed_target);
    return;
  }
  const std::uint32_t targets = static_cast<std::uint32_t>(fleet_.all().size());
  job.has_failed_run = true;
  job.failed_target = on.index;
  if (fleet_.health().OnFailure(on.index, targets, now) == health_effect::kEjected) {
    LogEvent("target_ejected", "", "agent " + on.agent + ", repeated run failures");
  }
}

void dispatch_core::EndLostRuns(fleet_target& target, bool all_incarnations, instant now) {
  std::vector<run_key> lost;
  for (const run_map::value_type& item : runs_) {
    if (item.second.target == target.index &&
        (all_incarnations || item.second.agent_incarnation != target.agent_incarnation)) {
      lost.push_back(item.first);
    }
  }
  for (const run_key& key : lost) {
    if (const run_map::const_iterator run = runs_.find(key); run != runs_.end()) {
      OnRunEnded(target, {0, key, LostRunOutcome(run->second), duration(0)}, now);
    }
  }
  HandleLostReleasedStarts(target, all_incarnations, now);
}

void dispatch_core::ExpireAgents(instant now) {
  // An agent keeps runs for up to `owner_timeout` after this entry's last message; if it freezes at that moment, the
  // lease at its target must still expire.
  const duration loss_timeout = settings_.owner_timeout + settings_.lease + settings_.loss_margin;
  for (std::pair<const std::string, fleet_target>& item : fleet_.all()) {
    fleet_target& target = item.second;
    HandleSilentAgent(target, now);
    if (target.session != 0 && now - target.last_report_at >= settings_.session_timeout) {
      LogEvent("agent_silent", "", "agent " + target.agent);
      actions_.emplace_back(close_run_session{target.session});
      fleet_.CloseSession(target.session);
    }
    const bool concerned = target.own_runs > 0 || !target.released_starts.empty();
    if (concerned && now - target.last_report_at >= loss_timeout) {
      LogEvent("agent_lost", "", "agent " + target.agent + ", runs " + std::to_string(target.own_runs));
      KeepUnconfirmedTasks(target, true);
      EndLostRuns(target, true, now);
    }
    if (target.earlier_report_at && now - *target.earlier_report_at >= loss_timeout) {
      target.earlier_report_at.reset();
      KeepUnconfirmedTasks(target, false);
      EndLostRuns(target, false, now);
    }
  }
}

bool dispatch_core::HasAcceptingTarget(instant now) const {
  return std::any_of(fleet_.all().begin(), fleet_.all().end(),
                     [this, now](const std::pair<const std::string, fleet_target>& item) {
                       return fleet_.AcceptsRuns(item.second, now);
                     });
}

void dispatch_core::SendBatches(instant now) {
  for (std::pair<const std::string, fleet_target>& item : fleet_.all()) {
    fleet_target& target = item.second;
    const bool work = !target.pending_requests.starts.empty() || !target.pending_requests.stops.empty();
    const bool crashes = target.crash_revision_sent < crashes_.revision();
    const bool unrepeatable = target.unrepeatable_revision_sent < unrepeatable_.revision();
    const bool evacuation = target.evacuation_version_sent < fleet_.evacuation().set_version();
    const duration heartbeat = target.replies_are_contact ? settings_.acknowledged_heartbeat : settings_.heartbeat;
    const bool due = now - target.last_sent_at >= heartbeat;
    if (target.session == 0 || (!work && !crashes && !unrepeatable && !evacuation && !due)) {
      continue;
    }
    send_run_batch send;
    send.session = target.session;
    send.batch.header.sender = settings_.id;
    send.batch.header.incarnation = settings_.own_incarnation;
    send.batch.header.sent_at = now;
    send.batch.header.echo = target.agent_clock;
    send.batch.header.echo_incarnation = target.agent_incarnation;
    send.batch.runs = std::move(target.pending_requests);
    send.batch.runs.starts_sent = target.starts_sent;
    send.batch.runs.results_received = target.results_received;
    if (crashes) {
      send.batch.runs.crashes = crashes_.Since(target.crash_revision_sent, now);
      target.crash_revision_sent = crashes_.revision();
    }
    send.batch.runs.unrepeatable = unrepeatable_.Since(target.unrepeatable_revision_sent, now);
    target.unrepeatable_revision_sent = unrepeatable_.revision();
    if (evacuation) {
      send.batch.runs.evacuation = fleet_.evacuation().state();
      target.evacuation_version_sent = fleet_.evacuation().set_version();
    }
    target.pending_requests = {};
    target.last_sent_at = now;
    actions_.emplace_back(std::move(send));
  }
}

}  // namespace bamboowing
