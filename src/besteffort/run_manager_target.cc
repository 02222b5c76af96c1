// Requests of run_manager to the target: clock samples, leases, and polls.

#include <algorithm>
#include <utility>

#include "bamboowing/besteffort/run_manager.h"

namespace bamboowing {
namespace {

// Interval between polls while runs of an earlier agent process are being stopped.
constexpr duration kReconcileInterval = std::chrono::milliseconds(60);
// The target lists an accepted run immediately; if a list that was requested this much later lacks the run, the run has
// ended.
constexpr duration kListDelay = std::chrono::milliseconds(200);
// Upper bound of the time from sending a request to its arrival at a target on the same machine.
constexpr duration kRequestDelay = std::chrono::milliseconds(50);
constexpr duration kMinSleep = std::chrono::milliseconds(1);
constexpr std::uint64_t kMaxTokenStep = 1ULL << 40U;

}  // namespace

void run_manager::SampleClock(const std::optional<target_time>& clock, instant now) {
  if (clock) {
    target_clock_ = clock;
    clock_sampled_at_ = now;
    LimitCapacityTime(*clock, now);
  }
}

void run_manager::LimitCapacityTime(target_time clock, instant now) {
  if (described_clock_) {
    capacity_known_at_ = std::min(capacity_known_at_, now - (clock - *described_clock_));
  }
}

bool run_manager::IncarnationConfirmed(instant now) const {
  return now - incarnation_confirmed_at_ < settings_.confirm_incarnation_after;
}

void run_manager::UpdateCapacityKnown(instant now) {
  const bool known = now - capacity_known_at_ < settings_.max_capacity_age;
  if (known == capacity_known_) {
    return;
  }
  capacity_known_ = known;
  LogEvent(known ? "capacity_known" : "capacity_outdated", "",
           "target " + target_incarnation_.id + ", announced " +
               std::to_string((now - capacity_known_at_).count() / 1000) + " ms ago");
  for (std::pair<const std::string, owner>& to : owners_) {
    to.second.target_update_pending = true;
  }
}

void run_manager::RecordRequestSent(instant now) {
  if (!unanswered_since_) {
    unanswered_since_ = now;
  }
}

void run_manager::RecordResponse(instant now) {
  last_response_at_ = now;
  unanswered_since_.reset();
}

bool run_manager::TargetResponsive(instant now) const {
  return !unanswered_since_ || now - *unanswered_since_ < settings_.unresponsive_after;
}

std::optional<target_time> run_manager::LeaseEnd(instant now) const {
  if (!target_clock_) {
    return std::nullopt;
  }
  instant end = now + settings_.lease;
  for (const std::pair<const run_key, managed_run>& run : runs_) {
    const bool at_target =
        run.second.state != run_state::kWaiting && run.second.target_generation == target_generation_;
    if (!at_target) {
      continue;
    }
    end = std::min(end, LastContact(run.second.owner) + settings_.owner_lease_limit);
    if (run.second.state == run_state::kStopping) {
      end = std::min(end, run.second.state_since + settings_.owner_lease_limit);
    }
  }
  if (end <= now) {
    return std::nullopt;
  }
  return *target_clock_ + std::chrono::duration_cast<target_time>(end - clock_sampled_at_);
}

void run_manager::RaiseToken() {
  // The target does not report the highest token that it has seen, so the steps double.
  token_ += token_step_;
  token_step_ = std::min(token_step_ * 2, kMaxTokenStep);
  LogEvent("token_raised", "", "token " + std::to_string(token_));
  poll_now_ = true;
}

instant run_manager::LeaseExpiryBound(const managed_run& run) const {
  const duration lease(
      static_cast<std::int64_t>(static_cast<double>(settings_.lease.count()) * (1 + 2 * settings_.clock_drift)));
  // Without a response for this long, the lease has expired at the target even if every request arrived late.
  const instant renewed_until = last_lease_sent_at_ + lease + kRequestDelay;
  if (!run.may_run_until) {
    return renewed_until;
  }
  const bool at_target = run.target_generation == target_generation_;
  return at_target ? std::max(renewed_until, *run.may_run_until) : *run.may_run_until;
}

duration run_manager::MaxLease() const {
  const double lease = static_cast<double>(settings_.max_lease.count()) * (1 + 2 * settings_.clock_drift);
  return duration(static_cast<std::int64_t>(lease)) + kRequestDelay;
}

bool run_manager::FencePollDue(instant now) const {
  return NeedsFencePolls(now) && now - last_poll_at_ >= settings_.fence_poll_interval;
}

bool run_manager::NeedsFencePolls(instant now) const {
  const bool idle = phase_ == phase::kServing && !HasRunsAtTarget() && TargetResponsive(now);
  const bool earlier_starts = phase_ == phase::kLost && now - started_at_ < settings_.max_request_delay;
  const bool own_starts = (phase_ == phase::kLost || idle) && MayExecuteLateStart(now);
  return (earlier_starts || own_starts) && pending_polls_.empty();
}

void run_manager::ExpireUnleasedRuns(instant now) {
  bool lapsed = false;
  bool lapsed_at_target = false;
  for (run_map::iterator run = runs_.begin(); run != runs_.end();) {
    const run_map::iterator ending = run++;
    if (ending->second.state != run_state::kWaiting && now >= LeaseExpiryBound(ending->second)) {
      const bool at_target = ending->second.target_generation == target_generation_;
      const run_outcome outcome = IsUnsettled(ending->second, now) ? run_outcome::kUnknown : run_outcome::kLost;
      EndRun(ending, outcome, "its lease expired without a response", now);
      lapsed = true;
      lapsed_at_target = lapsed_at_target || at_target;
    }
  }
  if (lapsed) {
    LogEvent("lease_lapsed", "", "lease expired without a response from the target");
    if (lapsed_at_target && phase_ == phase::kServing) {
      BeginReconciliation();
    }
    for (std::pair<const std::string, owner>& to : owners_) {
      to.second.target_update_pending = true;
    }
  }
}

void run_manager::SchedulePoll(instant now) {
  if (phase_ == phase::kUnknown) {
    return;
  }
  if (FencePollDue(now)) {
    SendPoll(duration(0), now);
    return;
  }
  if (phase_ == phase::kLost) {
    return;
  }
  if (phase_ == phase::kReconciling) {
    if (pending_polls_.empty() && now >= next_reconcile_poll_) {
      next_reconcile_poll_ = now + kReconcileInterval;
      SendPoll(duration(0), now);
    }
    return;
  }
  const std::size_t long_polls = static_cast<std::size_t>(std::count_if(
      pending_polls_.begin(), pending_polls_.end(),
      [](const std::pair<const std::uint64_t, pending_poll>& item) { return item.second.waits_for_results; }));
  if (!waiting_.empty() && !IncarnationConfirmed(now) && pending_polls_.size() == long_polls) {
    SendPoll(duration(0), now);
    return;
  }
  const bool needed = HasRunsAtTarget() || last_finished_sequence_ > acknowledged_sequence_ || !TargetResponsive(now);
  if (!needed) {
    poll_now_ = false;
    return;
  }
  if (poll_now_) {
    poll_now_ = false;
    SendPoll(duration(0), now);
  } else if (long_polls == 0 && TargetResponsive(now)) {
    SendPoll(HasRunsAtTarget() ? settings_.poll_wait : duration(0), now);
  } else if (now >= NextPollAt()) {
    SendPoll(duration(0), now);
  }
}

instant run_manager::NextPollAt() const {
  if (HasRunsAtTarget() && TargetResponsive(last_now_)) {
    return last_poll_at_ + settings_.poll_overdue_after;
  }
  return std::max(last_lease_sent_at_ + settings_.renew_after, last_poll_at_ + settings_.poll_interval);
}

void run_manager::SendPoll(duration wait, instant now) {
  poll_request request;
  request.context = RequestContext();
  request.acknowledged_sequence = last_finished_sequence_;
  request.wait = wait;
  // The lease of an unresponsive target is not renewed, so that its runs end.
  if (phase_ == phase::kServing && TargetResponsive(now)) {
    request.lease_end = LeaseEnd(now);
    last_lease_sent_at_ = request.lease_end ? now : last_lease_sent_at_;
  }
  if (wait == duration(0)) {
    RecordRequestSent(now);
  }
  last_poll_at_ = now;
  pending_polls_.emplace(++last_request_id_, pending_poll{now, token_, wait > duration(0), last_finished_sequence_});
  actions_.emplace_back(send_poll_request{last_request_id_, std::move(request)});
}

void run_manager::OnPollResponse(std::uint64_t request_id, const poll_response& response, instant now) {
  const std::map<std::uint64_t, pending_poll>::node_type pending = pending_polls_.extract(request_id);
  if (pending.empty()) {
    return;
  }
  SampleClock(response.clock, now);
  switch (response.status) {
    case request_status::kAccepted:
      break;
    case request_status::kFenced:
      HandleFenced(pending.mapped().token);
      return;
    case request_status::kOtherIncarnation:
      ReplaceTarget("a poll reached another incarnation", now);
      return;
    case request_status::kConnectionRefused:
      HandleTargetLoss("connection refused for a poll", pending.mapped().sent_at, now);
      return;
    default:
      poll_now_ = true;
      return;
  }
  RecordResponse(now);
  candidate_.reset();  // the present target answers
  if (response.start_id && target_incarnation_.start_id != 0 && *response.start_id != target_incarnation_.start_id) {
    // The new incarnation may still execute start requests with the token of this poll, so its list does not decide.
    target_incarnation restarted = target_incarnation_;
    restarted.start_id = *response.start_id;
    restarted.sequence = 0;
    HandleTargetRestart(restarted, now);
    SampleClock(response.clock, now);
    return;
  }
  incarnation_confirmed_at_ = pending.mapped().sent_at;
  if (phase_ == phase::kLost) {
    phase_ = phase::kReconciling;
  }
  acknowledged_sequence_ = std::max(acknowledged_sequence_, pending.mapped().acknowledged_sequence);
  EndRunsOfReplacedTargets(now);
  HandleFinishedRuns(response, now);
  ReconcileRunning(response, pending.mapped(), now);
  if (HasAllRuns(response.running)) {
    FenceEarlierStarts("its list shows no unknown run", now);
  }
  if (phase_ == phase::kReconciling && target_described_ && target_clock_ && HasAllRuns(response.running)) {
    phase_ = phase::kServing;
    LogEvent("target_usable", "", "target " + target_incarnation_.id);
    for (std::pair<const std::string, owner>& to : owners_) {
      to.second.target_update_pending = true;
    }
  }
}

bool run_manager::HasAllRuns(span<const run_key> listed) const {
  return std::all_of(listed.begin(), listed.end(), [this](const run_key& key) { return runs_.count(key) != 0; });
}

void run_manager::HandleFinishedRuns(const poll_response& response, instant now) {
  for (const finished_run& finished : response.finished) {
    if (finished.sequence <= last_finished_sequence_) {
      continue;
    }
    last_finished_sequence_ = finished.sequence;
    const run_map::iterator run = runs_.find(finished.key);
    if (run == runs_.end() || run->second.state == run_state::kWaiting) {
      continue;
    }
    switch (finished.outcome) {
      case target_outcome::kDone:
        EndRun(run, run_outcome::kDone, "done", now);
        break;
      case target_outcome::kFailed:
        EndRun(run, run_outcome::kFailed, "failed", now);
        break;
      case target_outcome::kStopped:
        EndRun(run, run_outcome::kStopped, "stopped at the target", now);
        break;
      case target_outcome::kInterrupted:
        EndRun(run, run_outcome::kLost, "interrupted at the target", now);
        break;
    }
  }
}

void run_manager::ReconcileRunning(const poll_response& response, const pending_poll& poll, instant now) {
  std::vector<run_key> listed = response.running;
  std::sort(listed.begin(), listed.end());
  for (const run_key& key : listed) {
    const run_map::iterator run = runs_.find(key);
    if (run == runs_.end()) {
      // The run belongs to an earlier agent process, or its start was executed after the run had ended here.
      LogEvent("stray_run_stopped", key.job_id,
               "task " + std::to_string(key.step) + "." + std::to_string(key.index) + " attempt " +
                   std::to_string(key.attempt));
      SendStop(key, now);
      continue;
    }
    MarkAccepted(run->second, now);
    managed_run& listed_run = run->second;
    listed_run.target_generation = target_generation_;
    if (listed_run.may_run_until) {
      listed_run.may_run_until = std::max(*listed_run.may_run_until, now + MaxLease());
    }
  }
  for (run_map::iterator run = runs_.begin(); run != runs_.end();) {
    const run_map::iterator known = run++;
    const bool at_target =
        known->second.state != run_state::kWaiting && known->second.target_generation == target_generation_;
    if (at_target && !std::binary_search(listed.begin(), listed.end(), known->first)) {
      HandleUnlistedRun(known, poll, now);
    }
  }
}

void run_manager::HandleUnlistedRun(run_map::iterator run, const pending_poll& poll, instant now) {
  managed_run& unlisted = run->second;
  const instant polled_at = poll.sent_at;
  // The target has seen a higher fencing token than those of all start requests of the run, so it never executes one.
  if (poll.token > unlisted.start_token) {
    // The fence holds for the present incarnation only; a target that has restarted may restart again.
    const bool restarted = unlisted.may_run_until.has_value();
    const run_outcome outcome = restarted && IsUnsettled(unlisted, now) ? run_outcome::kUnknown : run_outcome::kLost;
    EndRun(run, outcome, "fenced and not listed", now);
    return;
  }
  switch (unlisted.state) {
    case run_state::kUnconfirmed:
      if (polled_at >= unlisted.state_since) {
        RequestStop(unlisted, now);
      }
      return;
    case run_state::kRunning:
      if (polled_at >= unlisted.state_since + kListDelay) {
        EndRun(run, run_outcome::kLost, "no longer listed", now);
      }
      return;
    case run_state::kStopping:
      // After an accepted stop, the target does not start the run. If it was running, it ends within the delay and
      // keeps its capacity until then.
      if (unlisted.stop_accepted_at &&
          polled_at >= *unlisted.stop_accepted_at + (unlisted.accepted_at == instant{} ? duration(0) : kListDelay)) {
        EndRun(run, run_outcome::kStopped, "stop accepted and not listed", now);
      }
      return;
    default:
      return;
  }
}

std::optional<instant> run_manager::next_wakeup() const {
  instant next = last_now_ + std::chrono::seconds(1);
  if (const std::optional<instant> session = sessions_.next_wakeup({}); session) {
    next = std::min(next, *session);
  }
  if (phase_ == phase::kReconciling && pending_polls_.empty()) {
    next = std::min(next, next_reconcile_poll_);
  }
  if (awaits_record_since_) {
    next = std::min(next, *awaits_record_since_ + settings_.record_wait);
  }
  if (capacity_known_) {
    next = std::min(next, capacity_known_at_ + settings_.max_capacity_age);
  }
  if (NeedsFencePolls(last_now_)) {
    next = std::min(next, last_poll_at_ + settings_.fence_poll_interval);
  }
  for (const std::pair<const run_key, managed_run>& run : runs_) {
    if (run.second.state != run_state::kWaiting) {
      next = std::min(next, LeaseExpiryBound(run.second));
    }
  }
  if (phase_ == phase::kServing && (HasRunsAtTarget() || !TargetResponsive(last_now_))) {
    next = std::min(next, NextPollAt());
    next = std::min(next, last_now_ + settings_.stop_retry_interval);
  }
  const bool may_start = phase_ == phase::kServing && TargetResponsive(last_now_);
  for (const std::pair<const run_key, managed_run>& run : runs_) {
    if (may_start && MayRetryStart(run.second)) {
      next = std::min(next, run.second.last_start_request_at + settings_.start_retry_interval);
    }
  }
  for (const run_key& key : waiting_) {
    const run_map::const_iterator run = runs_.find(key);
    if (run != runs_.end()) {
      next = std::min(next, run->second.state_since + run->second.start.start_within);
    }
  }
  for (const std::pair<const std::string, entry_session>& item : sessions_.sessions()) {
    const std::map<std::string, owner>::const_iterator to = owners_.find(item.first);
    const bool open = item.second.state == session_state::kOpen && to != owners_.end();
    if (!open) {
      continue;
    }
    if (const std::optional<instant> due = LoadReportDue(item.first, to->second, last_now_); due) {
      next = std::min(next, *due);
    }
  }
  return std::max(next, last_now_ + kMinSleep);
}

}  // namespace bamboowing
