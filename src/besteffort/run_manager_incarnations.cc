// Incarnations of the target: detection of restarts and replacements, and their effect on runs.

#include <algorithm>
#include <utility>

#include "bamboowing/besteffort/run_manager.h"

namespace bamboowing {
namespace {

std::string Describe(const target_incarnation& incarnation) {
  return "target " + incarnation.id + " started at " + std::to_string(incarnation.start_id);
}

}  // namespace

void run_manager::OnTargetAnnounced(const target_incarnation& announced, const target_description& target,
                                    std::optional<target_time> clock, instant now) {
  const bool other_incarnation = announced != target_incarnation_;
  const bool was_unknown = phase_ == phase::kUnknown || phase_ == phase::kLost;
  if (other_incarnation && announced.id == target_incarnation_.id) {
    HandleTargetRestart(announced, now);
  } else if (other_incarnation) {
    ReplaceTarget("another incarnation announced itself, " + Describe(announced), now);
    target_incarnation_ = announced;
  }
  target_described_ = true;
  const bool changed = other_incarnation || was_unknown || target.draining != target_.draining ||
                       !(target.capacity == target_.capacity) || target.labels != target_.labels ||
                       target.service != target_.service;
  target_ = target;
  SampleClock(clock, now);
  if (other_incarnation || was_unknown) {
    BeginReconciliation();
    LogEvent("target_known", "", Describe(announced) + ", service " + target.service);
  } else if (changed) {
    LogEvent("target_changed", "", "target " + announced.id + (target.draining ? ", draining" : ""));
  }
  if (changed) {
    for (std::pair<const std::string, owner>& to : owners_) {
      to.second.target_update_pending = true;
    }
  }
}

void run_manager::OnTargetLeft(const std::string& id, instant now) {
  if (id == target_incarnation_.id) {
    HandleTargetLoss("the target announced that it stopped", now, now);
  }
}

void run_manager::ReplaceTarget(const std::string& reason, instant now) {
  if (target_incarnation_.id.empty()) {
    return;
  }
  LogEvent("target_lost", "", Describe(target_incarnation_) + ", " + reason + ", runs " + std::to_string(runs_.size()));
  phase_ = phase::kUnknown;
  EndAllRuns(run_outcome::kLost, reason, now);
  target_incarnation_ = {};
  target_clock_.reset();
  pending_starts_.clear();
  SuspendAdmission(now);
}

void run_manager::HandleTargetLoss(const std::string& reason, instant refused_at, instant now) {
  if (phase_ == phase::kUnknown || phase_ == phase::kLost) {
    return;
  }
  LogEvent("target_lost", "", Describe(target_incarnation_) + ", " + reason + ", runs " + std::to_string(runs_.size()));
  SuspendAdmission(now);
  for (run_map::iterator run = runs_.begin(); run != runs_.end();) {
    const run_map::iterator ending = run++;
    const managed_run& lost = ending->second;
    const instant settled = std::max(lost.accepted_at, lost.start_unanswered_at);
    if (settled <= refused_at && lost.start_responses == lost.start_requests) {
      EndRun(ending, run_outcome::kLost, reason, now);
    }
  }
  MarkRunsSpanningIncarnations();
  BeginReconciliation();
  phase_ = phase::kLost;
  lost_at_ = now;
  next_reconcile_poll_ = now + settings_.lost_poll_interval;
}

void run_manager::HandleTargetRestart(const target_incarnation& restarted, instant now) {
  LogEvent(
      "target_restarted", "",
      Describe(restarted) + ", before " + Describe(target_incarnation_) + ", runs " + std::to_string(runs_.size()));
  target_incarnation_ = restarted;
  target_clock_.reset();
  target_described_ = false;
  SuspendAdmission(now);
  for (std::pair<const run_key, managed_run>& run : runs_) {
    // The new incarnation has no record of stop requests that the previous one accepted.
    run.second.stop_accepted_at.reset();
  }
  MarkRunsSpanningIncarnations();
  BeginReconciliation();
}

void run_manager::MarkRunsSpanningIncarnations() {
  for (std::pair<const run_key, managed_run>& run : runs_) {
    run.second.spans_incarnations = true;
  }
}

void run_manager::SuspendAdmission(instant now) {
  unanswered_since_.reset();
  pending_polls_.clear();
  pending_stops_.clear();
  for (const run_key& key : std::exchange(waiting_, {})) {
    const run_map::iterator run = runs_.find(key);
    if (run != runs_.end() && run->second.state == run_state::kWaiting) {
      EndRun(run, run_outcome::kUnavailable, "the target accepts no starts", now);
    }
  }
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
