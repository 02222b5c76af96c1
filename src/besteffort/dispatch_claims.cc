// Claims of the jobs of dispatch_core.

#include <algorithm>
#include <utility>
#include <variant>

#include "bamboowing/besteffort/dispatch_core.h"

namespace bamboowing {
namespace {

// An agent that has sent no report for this long is not named to other entries.
constexpr duration kAgentContactAge = std::chrono::milliseconds(450);
// Agents that are named in one log line.
constexpr std::size_t kMaxNamedAgents = 5;

}  // namespace

void dispatch_core::OnPeers(const std::vector<std::string>& addresses, instant now) {
  peer_count_ = addresses.size();
  claims_.OnPeers(addresses, now);
  HandleClaims();
}

claim_reply dispatch_core::OnClaimRequest(const claim_request& request, instant now) {
  claim_reply reply = claims_.OnRequest(request, now);
  if (request.fetch_agents) {
    reply.agents = fences_.FencedSince(now - kAgentContactAge);
  }
  HandleClaims();
  return reply;
}

void dispatch_core::OnClaimReply(std::uint64_t exchange, const std::optional<claim_reply>& reply, instant now) {
  if (reply) {
    fences_.OnOtherEntry(reply->agents, now);
  }
  claims_.OnReply(exchange, reply, now);
  HandleClaims();
}

void dispatch_core::OnRegistrarView(const registrar_view& view, std::optional<instant> confirmed_at, instant now) {
  claims_.OnView(view, confirmed_at, now);
  HandleClaims();
}

void dispatch_core::ClaimJob(open_job& job, instant now) {
  job.claim_pending = false;
  // The last runs of an answered job end with the loss of their agents.
  const duration run_limit =
      settings_.session_timeout + settings_.owner_timeout + settings_.lease + settings_.loss_margin;
  claims_.Claim(job.spec.id, job.caller_deadline - now + run_limit, now);
  HandleClaims();
}

void dispatch_core::HandleClaims() {
  for (claim_action& action : claims_.TakeActions()) {
    if (const claim_decided* decided = std::get_if<claim_decided>(&action); decided != nullptr) {
      HandleDecidedClaim(*decided);
    } else if (const claim_lapsed* lapsed = std::get_if<claim_lapsed>(&action); lapsed != nullptr) {
      HandleLapsedClaim(lapsed->job_id);
    } else if (const claim_unavailable* missing = std::get_if<claim_unavailable>(&action); missing != nullptr) {
      HandleUnavailableClaim(missing->job_id);
    } else if (const claim_cancelled* cancelled = std::get_if<claim_cancelled>(&action); cancelled != nullptr) {
      CancelJob(cancelled->job_id);
    } else if (const cancel_decided* answer = std::get_if<cancel_decided>(&action); answer != nullptr) {
      actions_.emplace_back(*answer);
    } else if (log_claim_event* event = std::get_if<log_claim_event>(&action); event != nullptr) {
      LogEvent(std::move(event->event), event->job_id, std::move(event->detail));
    } else if (send_claim_request* send = std::get_if<send_claim_request>(&action); send != nullptr) {
      actions_.emplace_back(std::move(*send));
    } else if (const abandon_claim_request* abandon = std::get_if<abandon_claim_request>(&action); abandon != nullptr) {
      actions_.emplace_back(*abandon);
    }
  }
}

void dispatch_core::HandleDecidedClaim(const claim_decided& decided) {
  const job_map::iterator found = jobs_.find(decided.job_id);
  if (found == jobs_.end() || found->second->answered) {
    return;
  }
  open_job& job = *found->second;
  if (decided.verdict == claim_verdict::kGranted) {
    job.claimed = true;
    // A job that has begun is known to this entry alone, since it has held the claim before.
    if (!job.begun && decided.starts_unknown_before &&
        !fences_.ExcludesStartsBefore(*decided.starts_unknown_before, last_now_)) {
      job.starts_unknown_before = decided.starts_unknown_before;
      held_jobs_.insert(decided.job_id);
      LogEvent("job_held", decided.job_id, DescribeMissingAgents(*decided.starts_unknown_before));
      return;
    }
    BeginJob(job);
    return;
  }
  if (decided.verdict == claim_verdict::kCancelled) {
    CancelJob(decided.job_id);
    return;
  }
  if (decided.verdict == claim_verdict::kCompleted) {
    // The answer to an earlier submission has not reached the caller.
    job.completed = true;
    Answer(job, job_verdict::kCompleted, std::nullopt);
  } else {
    Answer(job, job_verdict::kNotRepeatable, NotRepeatableError());
  }
  EraseIfFinished(decided.job_id);
}

void dispatch_core::BeginJob(open_job& job) {
  const bool first = !std::exchange(job.begun, true);
  for (job_task& task : job.tasks) {
    if (first && job.spec.steps[task.step].after.empty()) {
      SetWaiting(job, task, true);
    }
  }
  Enqueue(job);
}

std::string dispatch_core::DescribeMissingAgents(instant before) const {
  const std::vector<std::string> missing = fences_.Missing(before, last_now_);
  std::string agents;
  for (std::size_t i = 0; i < std::min(missing.size(), kMaxNamedAgents); ++i) {
    agents += " " + missing[i];
  }
  return "an ended process may have sent starts " + std::to_string((last_now_ - before).count() / 1000) +
         " ms ago, agents that may not have fenced their targets since: " + std::to_string(missing.size()) + agents;
}

void dispatch_core::BeginHeldJobs(instant now) {
  std::vector<std::string> begun;
  for (const std::string& id : held_jobs_) {
    open_job& job = *jobs_.at(id);
    if (fences_.ExcludesStartsBefore(*job.starts_unknown_before, now)) {
      begun.push_back(id);
      job.starts_unknown_before.reset();
      LogEvent("held_job_begun", id, "after " + std::to_string((now - job.arrival).count() / 1000) + " ms");
      BeginJob(job);
    }
  }
  for (const std::string& id : begun) {
    held_jobs_.erase(id);
  }
  if (held_jobs_.empty()) {
    fences_.EndQueries();
  } else if (fences_.TakeQueryDue(now)) {
    claims_.FetchAgents();
  }
}

void dispatch_core::HandleLapsedClaim(const std::string& job_id) {
  const job_map::iterator found = jobs_.find(job_id);
  if (found == jobs_.end() || found->second->answered) {
    return;
  }
  open_job& job = *found->second;
  job.claimed = false;
  job.claim_pending = true;
  job.starts_unknown_before.reset();
  held_jobs_.erase(job_id);
  Dequeue(job);
  StopRuns(job, last_now_);
  ClaimAgain(job);
}

void dispatch_core::ClaimAgain(open_job& job) {
  if (job.claim_pending && !job.answered && job.in_flight == 0) {
    ClaimJob(job, last_now_);
  }
}

bool dispatch_core::MayBeStartedByEndedProcess(const open_job& job) {
  const std::optional<instant> unknown =
      job.starts_unknown_before ? job.starts_unknown_before : claims_.LacksClaimsBefore(last_now_);
  return !job.begun && unknown && !fences_.ExcludesStartsBefore(*unknown, last_now_);
}

void dispatch_core::AnswerAsPossiblyStarted(open_job& job) {
  Answer(job, job_verdict::kUnknown,
         failure(error_kind::kOutcomeUnknown, not_run_state::kUnknown,
                 "an ended process may have started the job, and not all agents have fenced their targets since"));
}

void dispatch_core::HandleUnavailableClaim(const std::string& job_id) {
  const job_map::iterator found = jobs_.find(job_id);
  if (found == jobs_.end() || found->second->answered || found->second->ever_started) {
    return;  // a started job keeps its completed tasks until its deadline
  }
  if (MayBeStartedByEndedProcess(*found->second)) {
    AnswerAsPossiblyStarted(*found->second);
    EraseIfFinished(job_id);
    return;
  }
  failure unavailable(error_kind::kNotReady, not_run_state::kYes,
                      "too few of the entries that must confirm the job can be reached");
  unavailable.retry_after = claims_.RetryAfter(last_now_);
  Answer(*found->second, job_verdict::kRefused, std::move(unavailable));
  EraseIfFinished(job_id);
}

void dispatch_core::AnswerUnclaimedJob(open_job& job) {
  if (MayBeStartedByEndedProcess(job)) {
    AnswerAsPossiblyStarted(job);
    return;
  }
  const std::string holder = claims_.HolderOf(job.spec.id);
  if (!holder.empty() || job.ever_started) {
    Answer(job, job_verdict::kUnknown,
           failure(error_kind::kOutcomeUnknown, not_run_state::kUnknown,
                   holder.empty() ? "the other entries have not confirmed that the job is open nowhere else"
                                  : "an earlier submission of the job is open at entry " + holder));
    return;
  }
  failure unclaimed(error_kind::kNotReady, not_run_state::kYes,
                    "the other entries have not confirmed in time that the job is open nowhere else");
  unclaimed.retry_after = claims_.RetryAfter(last_now_);
  Answer(job, job_verdict::kRefused, std::move(unclaimed));
}

void dispatch_core::EraseJob(job_map::iterator job) {
  held_jobs_.erase(job->first);
  claim_end end = claim_end::kReleased;
  duration retention = settings_.max_request_delay;
  const duration unrepeatable = unrepeatable_.Remaining(job->first, last_now_);
  if (job->second->completed) {
    end = claim_end::kCompleted;
  } else if (job->second->cancelled && job->second->ever_started) {
    // The registrars know the cancel. It is kept from the end of the runs, but not extended by a copy that was denied.
    end = claim_end::kCancelled;
  } else if (unrepeatable > duration(0)) {
    end = claim_end::kNotRepeatable;
    retention = unrepeatable;
  }
  claims_.Release(job->first, end, retention, last_now_);
  jobs_.erase(job);
}

}  // namespace bamboowing
