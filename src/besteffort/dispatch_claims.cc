// Claims of the jobs of dispatch_core.

#include <utility>
#include <variant>

#include "bamboowing/besteffort/dispatch_core.h"

namespace bamboowing {
namespace {

constexpr duration kUnclaimedRetryAfter = std::chrono::milliseconds(300);

}  // namespace

void dispatch_core::OnPeers(const std::vector<std::string>& addresses, instant now) {
  claims_.OnPeers(addresses, now);
  HandleClaims();
}

claim_reply dispatch_core::OnClaimRequest(const claim_request& request, instant now) {
  claim_reply reply = claims_.OnRequest(request, now);
  HandleClaims();
  return reply;
}

void dispatch_core::OnClaimReply(std::uint64_t exchange, const std::optional<claim_reply>& reply, instant now) {
  claims_.OnReply(exchange, reply, now);
  HandleClaims();
}

void dispatch_core::ClaimJob(const open_job& job, instant now) {
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
    const bool first = !std::exchange(job.begun, true);
    for (job_task& task : job.tasks) {
      if (first && job.spec.steps[task.step].after.empty()) {
        SetWaiting(job, task, true);
      }
    }
    Enqueue(job);
    return;
  }
  if (decided.verdict == claim_verdict::kUndecided) {
    job.claimed = false;
    Dequeue(job);
    return;
  }
  if (decided.verdict == claim_verdict::kHeld) {
    Answer(job, job_verdict::kUnknown,
           failure(error_kind::kOutcomeUnknown, not_run_state::kUnknown, "another entry has the job as well"));
    StopRuns(job, last_now_);
    EraseIfFinished(decided.job_id);
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

void dispatch_core::AnswerUnclaimedJob(open_job& job) {
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
  unclaimed.retry_after = kUnclaimedRetryAfter;
  Answer(job, job_verdict::kRefused, std::move(unclaimed));
}

void dispatch_core::EraseJob(job_map::iterator job) {
  claim_end end = claim_end::kReleased;
  duration retention = settings_.max_request_delay;
  const duration unrepeatable = unrepeatable_.Remaining(job->first, last_now_);
  if (job->second->completed) {
    end = claim_end::kCompleted;
  } else if (unrepeatable > duration(0)) {
    end = claim_end::kNotRepeatable;
    retention = unrepeatable;
  }
  claims_.Release(job->first, end, retention, last_now_);
  jobs_.erase(job);
}

}  // namespace bamboowing
