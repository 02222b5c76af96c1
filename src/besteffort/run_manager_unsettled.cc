// Start requests of run_manager without a response, which a later incarnation of the target may execute.

#include "bamboowing/besteffort/run_manager.h"

namespace bamboowing {

bool run_manager::IsUnsettled(const managed_run& run, instant now) const {
  return run.start_responses < run.start_requests && now < run.last_start_request_at + settings_.max_request_delay;
}

std::vector<run_key> run_manager::UnsettledRunsOf(const std::string& entry, instant now) const {
  std::vector<run_key> unsettled;
  for (const std::pair<const run_key, managed_run>& item : runs_) {
    const bool may_be_started = item.second.state == run_state::kWaiting || IsUnsettled(item.second, now);
    if (item.second.owner == entry && may_be_started) {
      unsettled.push_back(item.first);
    }
  }
  return unsettled;
}

void run_manager::RecordUnansweredStart(const pending_request& start, instant now) {
  unsettled_starts_.RemoveExpired(now);
  unsettled_starts_.Add(start.key, start.sent_at);
  unanswered_jobs_.Add(start.key.job_id, start.sent_at + settings_.max_request_delay);
  // The target has ended while the request was on its way.
  if (start.sent_at <= target_ended_at_ && runs_.count(start.key) == 0) {
    ReportReleasedStarts(target_ended_at_);
  }
}

void run_manager::EndUnsettledRunsOfLostTargets(instant now) {
  for (run_map::iterator run = runs_.begin(); run != runs_.end();) {
    const run_map::iterator ending = run++;
    const managed_run& unsettled = ending->second;
    const bool replaced = unsettled.target_generation != target_generation_;
    // The list of a restarted target that responds shows whether it has executed the start.
    const bool lost = phase_ == phase::kLost || replaced || (unsettled.may_run_until && !TargetResponsive(now));
    if (unsettled.state != run_state::kWaiting && lost && IsUnsettled(unsettled, now) &&
        !HasPendingStart(ending->first)) {
      EndRun(ending, run_outcome::kUnknown, "its target is lost and may return", now);
    }
  }
}

void run_manager::ReportReleasedStarts(instant now) {
  target_ended_at_ = now;
  for (const run_key& key : unsettled_starts_.Keys(now)) {
    if (runs_.count(key) == 0) {
      LogEvent("released_run_unknown", key.job_id,
               "task " + std::to_string(key.step) + "." + std::to_string(key.index) + " attempt " +
                   std::to_string(key.attempt) + ", the target was lost or restarted");
      ReportUnknown(key, now);
    }
  }
}

void run_manager::ReportUnknown(const run_key& key, instant now) {
  unsettled_starts_.Remove(key);
  unrepeatable_.Add(key.job_id, now + settings_.max_request_delay);
  for (std::pair<const std::string, owner>& to : owners_) {
    const entry_session* session = sessions_.Find(to.first);
    const std::map<run_key, managed_run>::const_iterator run = runs_.find(key);
    const bool owns = run != runs_.end() && run->second.owner == to.first;
    if (owns || (session != nullptr && session->state == session_state::kOpen)) {
      AddResult(to.first, {0, key, run_outcome::kUnknown, duration(0)});
    }
  }
}

}  // namespace bamboowing
