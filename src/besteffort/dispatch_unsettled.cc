// Runs of dispatch_core that a later incarnation of their target may still start.

#include <algorithm>
#include <utility>

#include "bamboowing/besteffort/dispatch_core.h"

namespace bamboowing {
namespace {

// A job is abandoned this long before its deadline, so that its caller receives the answer in time.
constexpr duration kAnswerMargin = std::chrono::milliseconds(100);
// An agent without a report for this long may not learn of the loss of its target before a job's deadline.
constexpr duration kSilentAfter = std::chrono::milliseconds(450);

}  // namespace

void dispatch_core::MarkSettledRuns(fleet_target& target, const run_report& report) {
  std::vector<std::pair<run_key, std::uint64_t>> unsettled;
  for (std::pair<run_key, std::uint64_t>& start : target.unsettled_starts) {
    const run_map::iterator run = runs_.find(start.first);
    if (run == runs_.end() || run->second.target != target.index ||
        run->second.agent_incarnation != target.agent_incarnation) {
      continue;  // the run has ended, or its agent has restarted and can't settle it any more
    }
    const std::vector<run_key>& reported = report.unsettled_runs;
    const bool received = start.second <= report.starts_received;
    run->second.settled = received && std::find(reported.begin(), reported.end(), start.first) == reported.end();
    if (!run->second.settled) {
      unsettled.push_back(std::move(start));
    }
  }
  target.unsettled_starts = std::move(unsettled);
}

run_outcome dispatch_core::LostRunOutcome(const dispatched_run& run) {
  return run.settled ? run_outcome::kLost : run_outcome::kUnknown;
}

failure dispatch_core::NotRepeatableError() {
  return {error_kind::kOutcomeUnknown, not_run_state::kUnknown,
          "the target or its agent was lost while a start had no response, so a task may still be started"};
}

void dispatch_core::ForbidRepetition(const std::string& job_id, instant now) {
  if (unrepeatable_.Add(job_id, now + settings_.max_request_delay)) {
    LogEvent("repetition_forbidden", job_id, "a start of the job without a response may still be executed");
    claims_.ForbidRepetition(job_id, now);
  }
}

void dispatch_core::AbandonJob(open_job& job, instant now) {
  ForbidRepetition(job.spec.id, now);
  Answer(job, job_verdict::kNotRepeatable, NotRepeatableError());
  StopRuns(job, now);
}

void dispatch_core::HandleUnknownRun(const run_key& key, instant now) {
  const job_map::iterator found = jobs_.find(key.job_id);
  if (found == jobs_.end()) {
    ForbidRepetition(key.job_id, now);
    return;
  }
  open_job& job = *found->second;
  const bool done = std::any_of(job.tasks.begin(), job.tasks.end(), [&key](const job_task& task) {
    return task.step == key.step && task.index == key.index && task.state == task_state::kDone;
  });
  if (done) {
    // The job can still complete, but another submission of it would start the task again.
    ForbidRepetition(key.job_id, now);
    return;
  }
  AbandonJob(job, now);
  EraseIfFinished(key.job_id);
}

void dispatch_core::RecordReleasedStart(fleet_target& from, const run_result& end, instant now) {
  std::vector<released_start>& released = from.released_starts;
  released.erase(std::remove_if(released.begin(), released.end(),
                                [now](const released_start& start) { return start.until <= now; }),
                 released.end());
  if (end.start_unanswered && end.outcome != run_outcome::kUnknown) {
    released.push_back({end.key, from.agent_incarnation, now + settings_.max_request_delay});
  }
}

void dispatch_core::HandleLostReleasedStarts(fleet_target& target, bool all_incarnations, instant now) {
  std::vector<released_start> kept;
  for (const released_start& start : std::exchange(target.released_starts, {})) {
    if (start.until <= now) {
      continue;
    }
    if (all_incarnations || start.agent_incarnation != target.agent_incarnation) {
      HandleUnknownRun(start.key, now);
    } else {
      kept.push_back(start);
    }
  }
  target.released_starts = std::move(kept);
}

bool dispatch_core::MustAbandonBeforeDeadline(const open_job& job, instant now) {
  if (job.answered || AnswerDeadline(job) - kAnswerMargin > now) {
    return false;
  }
  for (run_map::const_iterator run = runs_.lower_bound({job.spec.id, 0, 0, 0});
       run != runs_.end() && run->first.job_id == job.spec.id; ++run) {
    const fleet_target* target = fleet_.FindByIndex(run->second.target);
    const bool silent = target == nullptr || target->session == 0 || now - target->last_report_at >= kSilentAfter;
    if (silent && !run->second.settled) {
      return true;
    }
  }
  return false;
}

void dispatch_core::HandleSilentAgent(fleet_target& target, instant now) {
  if (target.silence_handled || now - target.last_report_at < kSilentAfter) {
    return;
  }
  target.silence_handled = true;
  HandleUnansweredJobs(target, now);
  for (const released_start& start : target.released_starts) {
    ForbidRepetition(start.key.job_id, now);
  }
  for (const std::pair<run_key, std::uint64_t>& start : target.unsettled_starts) {
    const run_map::const_iterator run = runs_.find(start.first);
    if (run != runs_.end() && run->second.target == target.index) {
      ForbidRepetition(start.first.job_id, now);
    }
  }
}

void dispatch_core::HandleUnansweredJobs(fleet_target& target, instant now) {
  for (const job_expiry& unanswered : target.unanswered_jobs.Since(0, now)) {
    const std::string& id = unanswered.job_id;
    ForbidRepetition(id, now);
    const bool own_run = std::any_of(
        runs_.lower_bound({id, 0, 0, 0}), runs_.end(),
        [&](const run_map::value_type& run) { return run.first.job_id == id && run.second.target == target.index; });
    const bool own_start =
        own_run || std::any_of(target.released_starts.begin(), target.released_starts.end(),
                               [&id](const released_start& start) { return start.key.job_id == id; });
    const job_map::iterator open = jobs_.find(id);
    if (!own_start && open != jobs_.end() && !open->second->answered) {
      AbandonJob(*open->second, now);
      EraseIfFinished(id);
    }
  }
  target.unanswered_jobs.Clear();
}

void dispatch_core::MergeUnsettledJobs(fleet_target& target, const run_report& report, instant now) {
  target.silence_handled = false;
  unrepeatable_.Merge(report.unrepeatable, settings_.max_request_delay, now);
  target.unanswered_jobs.Merge(report.unanswered, settings_.max_request_delay, now);
}

}  // namespace bamboowing
