#include "bamboowing/besteffort/target_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bamboowing {

std::optional<session_id> target_fleet::OpenSession(session_id session, const std::string& agent, instant now) {
  fleet_target& target = by_agent_[agent];
  if (target.index == kNoTarget) {
    target.agent = agent;
    // A new target starts with the mean speed.
    const std::size_t others = by_agent_.size() - 1;
    target.speed = speed_estimate(others > 0 ? log_speeds_ / static_cast<double>(others) : 0);
    log_speeds_ += target.speed.log_speed();
    const std::vector<std::string>::iterator unused = std::find(by_index_.begin(), by_index_.end(), std::string());
    target.index = static_cast<target_index>(unused - by_index_.begin());
    if (unused == by_index_.end()) {
      by_index_.push_back(agent);
    } else {
      *unused = agent;
    }
    health_.Add(target.index);
  }
  std::optional<session_id> replaced;
  if (target.session != 0) {
    replaced = target.session;
    sessions_.erase(target.session);
  }
  target.session = session;
  target.described = false;
  target.unreported_starts.clear();
  target.unreported_sum = {};
  target.starts_sent = 0;
  for (std::pair<run_key, std::uint64_t>& start : target.unsettled_starts) {
    start.second = 0;
  }
  target.crash_revision_sent = 0;
  target.unrepeatable_revision_sent = 0;
  target.evacuation_version_sent = 0;
  target.exclusive = false;
  target.last_report_at = now;
  target.last_sent_at = instant{};
  target.pending_requests = {};
  sessions_[session] = agent;
  return replaced;
}

fleet_target* target_fleet::CloseSession(session_id session) {
  fleet_target* target = Find(session);
  if (target != nullptr) {
    target->session = 0;
    target->described = false;
    sessions_.erase(session);
  }
  return target;
}

fleet_target* target_fleet::Find(session_id session) {
  const std::map<session_id, std::string>::const_iterator found = sessions_.find(session);
  return found == sessions_.end() ? nullptr : FindAgent(found->second);
}

fleet_target* target_fleet::FindAgent(const std::string& agent) {
  const std::map<std::string, fleet_target>::iterator found = by_agent_.find(agent);
  return found == by_agent_.end() ? nullptr : &found->second;
}

fleet_target* target_fleet::FindByIndex(target_index index) {
  return index < by_index_.size() && !by_index_[index].empty() ? FindAgent(by_index_[index]) : nullptr;
}

bool target_fleet::OnReport(fleet_target& target, const agent_batch& batch, instant now) {
  const bool restarted = target.agent_incarnation != 0 && target.agent_incarnation != batch.header.incarnation;
  if (target.agent_incarnation != batch.header.incarnation) {
    target.agent_incarnation = batch.header.incarnation;
    target.earlier_report_at = target.last_report_at;
    target.results_received = 0;
    target.agent_clock = instant{};
  }
  target.last_report_at = now;
  target.agent_clock = std::max(target.agent_clock, batch.header.sent_at);
  const run_report& report = batch.runs;
  if (report.has_target) {
    target.description = report.target;
    target.described = true;
    RecordAnnouncedEnd(target, batch, now);
  }
  target.reported_amount = report.committed;
  target.exclusive = report.exclusive;
  target.replies_are_contact = report.replies_are_contact;
  while (!target.unreported_starts.empty() && target.unreported_starts.front().first <= report.starts_received) {
    SubtractFrom(target.unreported_sum, target.unreported_starts.front().second);
    target.unreported_starts.pop_front();
  }
  return restarted;
}

void target_fleet::RecordAnnouncedEnd(fleet_target& target, const agent_batch& batch, instant now) {
  const target_description& reported = batch.runs.target;
  if (reported.leaving) {
    target.end = {reported.id, reported.start_id, batch.header.incarnation, now + kMaxAnnouncementDelay};
    return;
  }
  // The same agent process knows that the target goes on; another one may know only an announcement from before its
  // end.
  const bool other_target =
      !reported.id.empty() && (target.end.target != reported.id || target.end.start_id != reported.start_id);
  if (other_target || target.end.reporter == batch.header.incarnation) {
    target.end = {};
  }
}

void target_fleet::CountStart(fleet_target& target, const resource_amount& need) {
  target.unreported_starts.emplace_back(++target.starts_sent, need);
  AddTo(target.unreported_sum, need);
}

bool target_fleet::AcceptsRuns(const fleet_target& target, instant now) const {
  return target.session != 0 && target.described && !target.description.draining && target.end.until <= now &&
         now - target.last_report_at < kSuspectAfter && target.backoff_until <= now &&
         health_.AllowedSlots(target.index) > target.own_runs;
}

bool target_fleet::HasOtherTarget(const fleet_target& target) const {
  return std::any_of(by_agent_.begin(), by_agent_.end(),
                     [this, &target](const std::pair<const std::string, fleet_target>& item) {
                       return item.second.index != target.index && !IsEvacuated(item.second);
                     });
}

double target_fleet::RelativeSpeed(const fleet_target& target) const {
  const double mean = by_agent_.empty() ? 0 : log_speeds_ / static_cast<double>(by_agent_.size());
  return std::exp(target.speed.log_speed() - mean);
}

void target_fleet::ObserveSpeed(fleet_target& target, double log_ratio) {
  log_speeds_ -= target.speed.log_speed();
  target.speed.Observe(log_ratio);
  log_speeds_ += target.speed.log_speed();
}

void target_fleet::EvictSilent(instant before) {
  for (std::map<std::string, fleet_target>::iterator item = by_agent_.begin(); item != by_agent_.end();) {
    const fleet_target& target = item->second;
    const bool evict = target.session == 0 && target.own_runs == 0 && target.last_report_at < before;
    if (evict) {
      log_speeds_ -= target.speed.log_speed();
      health_.Remove(target.index);
      by_index_[target.index].clear();
    }
    item = evict ? by_agent_.erase(item) : std::next(item);
  }
}

}  // namespace bamboowing
