// Incarnations of the target: detection of restarts and replacements, and their effect on runs.

#include <algorithm>
#include <utility>

#include "bamboowing/besteffort/run_manager.h"

namespace bamboowing {
namespace {

// Upper bound of the delay of an announcement by a partition. A lower sequence number after this time shows that the
// higher one was not the target's.
constexpr duration kMaxAnnouncementDelay = std::chrono::seconds(15);

std::string Describe(const target_incarnation& incarnation) {
  return "target " + incarnation.id + " started at " + std::to_string(incarnation.start_id) + ", address " +
         incarnation.address;
}

}  // namespace

void run_manager::OnTargetAnnounced(const target_incarnation& announced, const target_description& target,
                                    std::optional<target_time> clock, instant now) {
  if (phase_ == phase::kUnknown) {
    AdoptTarget(announced, target, clock, now);
  } else if (announced.id != target_incarnation_.id || IsMoved(announced)) {
    ConsiderTarget(announced, target, clock, now);
  } else if (IsOutdated(announced, now)) {
    // Draining is final for an incarnation, so it holds whatever the order of the announcements.
    const bool drains = announced == target_incarnation_ && target.draining && !target_.draining;
    target_.draining = target_.draining || drains;
    for (std::pair<const std::string, owner>& to : owners_) {
      to.second.target_update_pending = to.second.target_update_pending || drains;
    }
    LogEvent("announcement_ignored", "", Describe(announced) + ", present " + Describe(target_incarnation_));
  } else {
    UpdateDescription(announced, target, clock, now);
  }
}

bool run_manager::IsMoved(const target_incarnation& announced) const {
  return announced == target_incarnation_ && announced.address != target_incarnation_.address;
}

bool run_manager::IsOutdated(const target_incarnation& announced, instant now) const {
  const target_incarnation& present = target_incarnation_;
  if (announced.start_id != present.start_id) {
    return announced.start_id < present.start_id;
  }
  return announced.sequence != 0 && announced.sequence < present.sequence &&
         now - described_at_ < kMaxAnnouncementDelay;
}

void run_manager::UpdateDescription(const target_incarnation& announced, const target_description& target,
                                    std::optional<target_time> clock, instant now) {
  const bool restarted = announced != target_incarnation_;
  const bool was_lost = phase_ == phase::kLost;
  const bool moved = announced.address != target_incarnation_.address;
  if (restarted) {
    HandleTargetRestart(announced, now);
  }
  if (moved) {
    actions_.emplace_back(use_target{announced.address});
  }
  target_incarnation_ = announced;
  if (restarted || moved) {
    RecordTarget();
  }
  if (!target_described_) {
    next_reconcile_poll_ = instant{};  // it may be usable from now on
  }
  RecordDescription(clock, now);
  const bool changed = restarted || was_lost || target.draining != target_.draining ||
                       !(target.capacity == target_.capacity) || target.labels != target_.labels ||
                       target.service != target_.service;
  target_ = target;
  SampleClock(clock, now);
  if (was_lost) {
    BeginReconciliation();
  }
  if (changed) {
    LogEvent("target_changed", "", Describe(announced) + (target.draining ? ", draining" : ""));
    for (std::pair<const std::string, owner>& to : owners_) {
      to.second.target_update_pending = true;
    }
  }
}

void run_manager::RecordDescription(const std::optional<target_time>& clock, instant now) {
  target_described_ = true;
  described_at_ = now;
  described_clock_ = clock;
  capacity_known_at_ = now;
  if (target_clock_) {
    LimitCapacityTime(*target_clock_ + std::chrono::duration_cast<target_time>(now - clock_sampled_at_), now);
  }
}

void run_manager::ConsiderTarget(const target_incarnation& announced, const target_description& target,
                                 std::optional<target_time> clock, instant now) {
  const bool first =
      !candidate_ || candidate_->incarnation != announced || candidate_->incarnation.address != announced.address;
  const instant since = first ? now : candidate_->announced_at;
  candidate_ = target_candidate{announced, target, clock, since};
  if (first) {
    LogEvent("target_announced", "", Describe(announced) + ", present " + Describe(target_incarnation_));
  }
  if (phase_ == phase::kLost) {
    AdoptCandidate(now);
  } else {
    SendPoll(duration(0), now);
  }
}

void run_manager::AdoptCandidate(instant now) {
  if (!candidate_) {
    return;
  }
  const bool gone = phase_ == phase::kUnknown || phase_ == phase::kLost;
  // Checked once all inputs are handled: after a pause of the agent, a response may wait behind the announcement.
  const bool silent = now - std::max(candidate_->announced_at, last_response_at_) >= settings_.replace_target_after;
  if (gone || silent) {
    const target_candidate adopted = *std::exchange(candidate_, std::nullopt);
    AdoptTarget(adopted.incarnation, adopted.target, adopted.clock, now);
  }
}

void run_manager::AdoptTarget(const target_incarnation& announced, const target_description& target,
                              std::optional<target_time> clock, instant now) {
  if (!target_incarnation_.id.empty()) {
    replaced_targets_[target_generation_] = target_incarnation_.address;
    SuspendAdmission(now);
    ExtendRunsOverLoss(now);
    ReportReleasedStarts(now);
    RecordCrash(now);
  }
  ++target_generation_;
  target_incarnation_ = announced;
  target_ = target;
  target_clock_.reset();
  RecordDescription(clock, now);
  SampleClock(clock, now);
  actions_.emplace_back(use_target{announced.address});
  if (settings_.record_target) {
    awaits_record_since_ = now;
  }
  RecordTarget();
  BeginReconciliation();
  LogEvent("target_known", "", Describe(announced) + ", service " + target.service);
  for (std::pair<const std::string, owner>& to : owners_) {
    to.second.target_update_pending = true;
  }
}

void run_manager::EndRunsOfReplacedTargets(instant now) {
  if (replaced_targets_.empty()) {
    return;
  }
  for (run_map::iterator run = runs_.begin(); run != runs_.end();) {
    const run_map::iterator ending = run++;
    const std::map<std::uint64_t, std::string>::const_iterator replaced =
        replaced_targets_.find(ending->second.target_generation);
    if (replaced != replaced_targets_.end() && replaced->second == target_incarnation_.address) {
      EndRun(ending, run_outcome::kLost, "another target answers at its address", now);
    }
  }
  replaced_targets_.clear();
}

void run_manager::OnTargetLeft(const std::string& id, instant now) {
  if (id != target_incarnation_.id || phase_ == phase::kUnknown || phase_ == phase::kLost) {
    return;
  }
  LogEvent("target_leaves", "", Describe(target_incarnation_) + ", runs " + std::to_string(runs_.size()));
  target_.draining = true;
  SuspendAdmission(now);
  ExtendRunsOverLoss(now);
  BeginReconciliation();
}

void run_manager::ReplaceTarget(const std::string& reason, instant now) {
  if (phase_ == phase::kUnknown) {
    return;
  }
  LogEvent("target_lost", "", Describe(target_incarnation_) + ", " + reason + ", runs " + std::to_string(runs_.size()));
  RecordCrash(now);
  phase_ = phase::kUnknown;
  // The record was outdated: the earlier process may have used the target that has answered.
  recorded_target_.reset();
  EndRunsOfTarget(run_outcome::kLost, reason, now);
  target_incarnation_ = {};
  target_clock_.reset();
  pending_starts_.clear();
  unsettled_starts_.Clear();  // another id refuses the requests
  unanswered_jobs_.Clear();
  SuspendAdmission(now);
  AdoptCandidate(now);
}

void run_manager::HandleTargetLoss(const std::string& reason, instant refused_at, instant now) {
  if (phase_ == phase::kUnknown || phase_ == phase::kLost) {
    return;
  }
  LogEvent("target_lost", "", Describe(target_incarnation_) + ", " + reason + ", runs " + std::to_string(runs_.size()));
  RecordCrash(now);
  SuspendAdmission(now);
  FenceEarlierStarts(reason, now);
  for (run_map::iterator run = runs_.begin(); run != runs_.end();) {
    const run_map::iterator ending = run++;
    const managed_run& lost = ending->second;
    const instant settled = std::max(lost.accepted_at, lost.start_unanswered_at);
    const bool at_target = lost.target_generation == target_generation_;
    if (at_target && settled <= refused_at && lost.start_responses == lost.start_requests) {
      EndRun(ending, run_outcome::kLost, reason, now);
    }
  }
  ExtendRunsOverLoss(now);
  ReportReleasedStarts(now);
  BeginReconciliation();
  phase_ = phase::kLost;
  AdoptCandidate(now);
}

void run_manager::HandleTargetRestart(const target_incarnation& restarted, instant now) {
  LogEvent(
      "target_restarted", "",
      Describe(restarted) + ", before " + Describe(target_incarnation_) + ", runs " + std::to_string(runs_.size()));
  RecordCrash(now);
  if (now - started_at_ < settings_.max_request_delay) {
    earlier_starts_fenced_ = false;  // the new incarnation has not seen the fencing token
  }
  target_incarnation_ = restarted;
  target_clock_.reset();
  target_described_ = false;
  SuspendAdmission(now);
  for (std::pair<const run_key, managed_run>& run : runs_) {
    // The new incarnation has no record of stop requests that the previous one accepted.
    run.second.stop_accepted_at.reset();
  }
  ExtendRunsOverLoss(now);
  ReportReleasedStarts(now);
  BeginReconciliation();
}

void run_manager::ExtendRunsOverLoss(instant now) {
  for (std::pair<const run_key, managed_run>& item : runs_) {
    managed_run& run = item.second;
    if (run.target_generation != target_generation_ || run.state == run_state::kWaiting) {
      continue;
    }
    instant until = std::max(now, LeaseExpiryBound(run));
    if (run.start_responses < run.start_requests) {
      // A later incarnation may execute the request, with a lease on another clock.
      until = std::max(until, run.last_start_request_at + settings_.max_request_delay + MaxLease());
    }
    run.may_run_until = until;
  }
}

void run_manager::SuspendAdmission(instant now) {
  unanswered_since_.reset();
  pending_polls_.clear();
  pending_stops_.clear();
  EndWaitingRuns("the target accepts no starts", now);
  for (std::pair<const std::string, owner>& to : owners_) {
    to.second.target_update_pending = true;
  }
}

void run_manager::BeginReconciliation() {
  phase_ = phase::kReconciling;
  if (newest_start_token_ == token_) {
    ++token_;
  }
  next_reconcile_poll_ = instant{};
  last_finished_sequence_ = 0;
  acknowledged_sequence_ = 0;
}

}  // namespace bamboowing
