// Entries of run_manager: sessions, ownership of runs, and reports.

#include <algorithm>
#include <set>
#include <utility>

#include "bamboowing/besteffort/run_manager.h"

namespace bamboowing {
namespace {

// Interval between reevaluations of the selected entries.
constexpr duration kSelectInterval = std::chrono::milliseconds(100);

}  // namespace

void run_manager::OnEntries(span<const entry_endpoint> entries, instant now) {
  // An entry that is disconnected from the store only loses its registration but still serves its agents and callers.
  for (entry_endpoint& endpoint : listed_entries_) {
    unlisted_entries_[endpoint.address] = std::move(endpoint);
  }
  listed_entries_.assign(entries.begin(), entries.end());
  for (const entry_endpoint& endpoint : listed_entries_) {
    unlisted_entries_.erase(endpoint.address);
  }
  for (std::pair<const std::string, entry_endpoint>& endpoint : unlisted_entries_) {
    // An entry without a session is evicted eventually, even if no connection attempt was made.
    if (sessions_.Find(endpoint.first) == nullptr) {
      disconnected_since_.emplace(endpoint.first, now);
    }
  }
  UpdateCandidates();
  SelectEntries(now);
}

void run_manager::UpdateCandidates() {
  std::vector<entry_endpoint> candidates = listed_entries_;
  for (const std::pair<const std::string, entry_endpoint>& endpoint : unlisted_entries_) {
    candidates.push_back(endpoint.second);
  }
  selection_.SetEntries(candidates);
  for (std::map<std::string, instant>::iterator disconnected = disconnected_since_.begin();
       disconnected != disconnected_since_.end();) {
    const bool known = std::any_of(candidates.begin(), candidates.end(), [disconnected](const entry_endpoint& entry) {
      return entry.address == disconnected->first;
    });
    disconnected = known ? std::next(disconnected) : disconnected_since_.erase(disconnected);
  }
}

void run_manager::EvictUnlistedEntries(instant now) {
  const std::size_t before = unlisted_entries_.size();
  for (std::map<std::string, entry_endpoint>::iterator endpoint = unlisted_entries_.begin();
       endpoint != unlisted_entries_.end();) {
    const std::map<std::string, instant>::const_iterator disconnected = disconnected_since_.find(endpoint->first);
    const bool expired =
        disconnected != disconnected_since_.end() && now - disconnected->second >= settings_.evict_entry_after;
    endpoint = expired ? unlisted_entries_.erase(endpoint) : std::next(endpoint);
  }
  if (unlisted_entries_.size() != before) {
    UpdateCandidates();
  }
}

void run_manager::SelectEntries(instant now) {
  selected_at_ = now;
  EvictUnlistedEntries(now);
  const std::vector<std::string> selected = selection_.Select([this, now](const std::string& address) {
    const std::map<std::string, instant>::const_iterator disconnected = disconnected_since_.find(address);
    return disconnected == disconnected_since_.end() || now - disconnected->second < settings_.replace_entry_after;
  });
  sessions_.UpdateEntries(selected, now);
  for (const std::pair<const std::string, entry_session>& item : sessions_.sessions()) {
    owner& to = owners_[item.first];
    const bool needed = std::find(selected.begin(), selected.end(), item.first) != selected.end();
    if (needed == to.released_at.has_value()) {
      to.released_at = needed ? std::optional<instant>() : now;
      to.target_update_pending = true;
    }
  }
}

void run_manager::CloseReleasedSessions(instant now) {
  std::vector<std::string> done;
  for (const std::pair<const std::string, entry_session>& item : sessions_.sessions()) {
    const owner& to = owners_[item.first];
    if (item.second.state == session_state::kOpen && to.released_at &&
        now - *to.released_at >= settings_.release_delay && to.unacknowledged_results.empty() && !HasRuns(item.first)) {
      done.push_back(item.first);
    }
  }
  for (const std::string& entry : done) {
    LogEvent("session_released", "", "entry " + entry + ", replaced by other entries");
    sessions_.OnClosed(entry, now);
    actions_.emplace_back(close_session{entry});
  }
  if (!done.empty()) {
    SelectEntries(now);
  }
}

bool run_manager::HasRuns(const std::string& entry) const {
  return std::any_of(runs_.begin(), runs_.end(), [&entry](const std::pair<const run_key, managed_run>& item) {
    return item.second.owner == entry;
  });
}

void run_manager::OnSessionOpened(const std::string& entry, instant now) {
  if (sessions_.OnOpened(entry, now) == nullptr) {
    return;
  }
  disconnected_since_.erase(entry);
  owner& opened = owners_[entry];
  opened.starts_received = 0;
  opened.last_result_sent = 0;
  opened.initial_report_sent = false;
  opened.crash_revision_sent = 0;
  opened.unrepeatable_revision_sent = 0;
  opened.unanswered_revision_sent = 0;
  opened.evacuation_version_sent = 0;
}

void run_manager::OnSessionClosed(const std::string& entry, const std::string& reason, instant now) {
  if (sessions_.OnClosed(entry, now)) {
    LogEvent("session_lost", "", "entry " + entry + ", " + reason);
    disconnected_since_.emplace(entry, now);
  }
}

void run_manager::OnBatch(const std::string& entry, const entry_batch& batch, instant now) {
  entry_session* session = sessions_.Find(entry);
  if (session == nullptr || session->state != session_state::kOpen) {
    return;
  }
  owner& from = owners_[entry];
  if (from.entry_incarnation != batch.header.incarnation) {
    if (from.entry_incarnation != 0) {
      StopRunsOfOwner(entry, "the entry restarted", now);
      from.unacknowledged_results.clear();
    }
    from.entry_incarnation = batch.header.incarnation;
  }
  sessions_.OnBatchReceived(*session, batch.header, now);
  const bool echoes_this_process = batch.header.echo_incarnation == settings_.agent.incarnation;
  const instant view_at = echoes_this_process ? batch.header.echo : instant{};
  from.last_contact_at = std::max(from.last_contact_at, view_at);
  while (!from.unacknowledged_results.empty() &&
         from.unacknowledged_results.front().sequence <= batch.runs.results_received) {
    from.unacknowledged_results.pop_front();
  }
  from.starts_received = std::max(from.starts_received, batch.runs.starts_sent);
  for (const crash_record& crash : batch.runs.crashes) {
    crashes_.Add(crash, now);
  }
  unrepeatable_.Merge(batch.runs.unrepeatable, settings_.max_request_delay, now);
  // Before the starts of the same batch: they may be the first that the agent receives.
  if (evacuation_.IsOutdated(batch.runs.evacuation)) {
    from.evacuation_version_sent = 0;
  }
  MergeEvacuation(batch.runs.evacuation, "entry " + entry, now);
  for (const run_key& key : batch.runs.stops) {
    const run_map::iterator found = runs_.find(key);
    if (found == runs_.end()) {
      continue;
    }
    if (found->second.state == run_state::kWaiting) {
      EndRun(found, run_outcome::kStopped, "stopped by the entry", now);
    } else {
      RequestStop(found->second, now);
    }
  }
  for (const run_start& start : batch.runs.starts) {
    Admit(entry, start, view_at, now);
  }
}

void run_manager::OnReportAcknowledged(const std::string& entry, instant sent_at, instant now) {
  entry_session* session = sessions_.Find(entry);
  if (session == nullptr || session->state != session_state::kOpen) {
    return;
  }
  owner& from = owners_[entry];
  // Before its first batch, the entry's process may be another one than that which owns the runs.
  if (session->entry_incarnation == 0 || session->entry_incarnation != from.entry_incarnation) {
    return;
  }
  session_table::OnContact(*session, now);
  from.last_contact_at = std::max(from.last_contact_at, sent_at);
}

void run_manager::StopRunsOfOwner(const std::string& entry, const std::string& reason, instant now) {
  std::size_t count = 0;
  for (run_map::iterator run = runs_.begin(); run != runs_.end();) {
    const run_map::iterator next = std::next(run);
    if (run->second.owner == entry) {
      ++count;
      if (run->second.state == run_state::kWaiting) {
        EndRun(run, run_outcome::kStopped, reason, now);
      } else {
        RequestStop(run->second, now);
      }
    }
    run = next;
  }
  if (count > 0) {
    LogEvent("owner_dropped", "", "entry " + entry + ", " + reason + ", runs " + std::to_string(count));
  }
}

void run_manager::ExpireOwners(instant now) {
  std::set<std::string> busy;
  for (const std::pair<const run_key, managed_run>& run : runs_) {
    if (run.second.state != run_state::kStopping) {
      busy.insert(run.second.owner);
    }
  }
  for (const std::string& entry : busy) {
    if (now - owners_[entry].last_contact_at >= settings_.owner_timeout) {
      StopRunsOfOwner(entry, "no contact within the owner timeout", now);
    }
  }
}

void run_manager::MaintainSessions(instant now) {
  std::vector<agent_action> session_actions;
  sessions_.Tick(now, {}, session_actions);
  for (const agent_action& action : session_actions) {
    if (const open_session* open = std::get_if<open_session>(&action); open != nullptr) {
      disconnected_since_.emplace(open->address, now);
      actions_.emplace_back(*open);
    } else if (const close_session* close = std::get_if<close_session>(&action); close != nullptr) {
      LogEvent("session_silent", "", "entry " + close->address + ", no message within the silence limit");
      disconnected_since_.emplace(close->address, now);
      actions_.emplace_back(*close);
    }
  }
  if (now - selected_at_ >= kSelectInterval) {
    SelectEntries(now);
    crashes_.Expire(now);
    unrepeatable_.Expire(now);
    unanswered_jobs_.Expire(now);
  }
  CloseReleasedSessions(now);
}

duration run_manager::ReportInterval() const {
  const std::size_t groups = (sessions_.sessions().size() + settings_.report_entries - 1) / settings_.report_entries;
  return settings_.report_interval * static_cast<std::int64_t>(std::max<std::size_t>(1, groups));
}

bool run_manager::ReportDue(const entry_session& session, const owner& to, instant now) const {
  const bool records_pending = to.crash_revision_sent < crashes_.revision() ||
                               to.unrepeatable_revision_sent < unrepeatable_.revision() ||
                               to.evacuation_version_sent < evacuation_.set_version();
  if (!to.initial_report_sent || to.target_update_pending || records_pending) {
    return true;
  }
  if (!to.unacknowledged_results.empty() && to.unacknowledged_results.back().sequence > to.last_result_sent) {
    return true;
  }
  if (sessions_.HeartbeatDue(session, {}) <= now) {
    return true;
  }
  const std::optional<instant> due = LoadReportDue(session.address, to, now);
  return due && *due <= now;
}

bool run_manager::IsSignificant(const resource_amount& load, const resource_amount& reported) const {
  if (!selection_.is_subset()) {
    return !(load == reported);
  }
  const auto differs = [this](std::uint32_t a, std::uint32_t b, std::uint32_t capacity) {
    const double change = a > b ? a - b : b - a;
    return change > 0 && change >= settings_.significant_load_share * capacity;
  };
  return differs(load.cpu_millicores, reported.cpu_millicores, target_.capacity.cpu_millicores) ||
         differs(load.memory_mb, reported.memory_mb, target_.capacity.memory_mb) ||
         differs(load.accelerators, reported.accelerators, target_.capacity.accelerators);
}

std::optional<instant> run_manager::LoadReportDue(const std::string& entry, const owner& to, instant now) const {
  const resource_amount load = ReportedAmount();
  if (IsSignificant(load, to.reported_amount)) {
    return to.reported_at + ReportInterval();
  }
  // Runs that become unsettled change the load, too.
  const bool settled = to.reported_unsettled > 0 && UnsettledRunsOf(entry, now).size() < to.reported_unsettled;
  const bool unanswered = to.unanswered_revision_sent < unanswered_jobs_.revision();
  // The start of a run without needs leaves the load as it was.
  const bool started = to.reported_starts < to.starts_received;
  if (!settled && !unanswered && !started && load == to.reported_amount) {
    return std::nullopt;
  }
  return to.reported_at + ReportInterval() * (selection_.is_subset() ? settings_.minor_report_factor : 1);
}

void run_manager::SendReports(instant now) {
  for (std::pair<const std::string, entry_session>& item : sessions_.sessions()) {
    entry_session& session = item.second;
    if (session.state != session_state::kOpen) {
      continue;
    }
    owner& to = owners_[item.first];
    if (ReportDue(session, to, now)) {
      SendReport(session, to, now);
    }
  }
}

void run_manager::SendReport(entry_session& session, owner& to, instant now) {
  agent_batch batch;
  batch.header.sender = settings_.agent.id;
  batch.header.incarnation = settings_.agent.incarnation;
  batch.header.sent_at = now;
  batch.header.echo = session.entry_clock;
  batch.header.echo_incarnation = session.entry_incarnation;
  run_report& report = batch.runs;
  report.committed = ReportedAmount();
  report.exclusive = HasExclusiveRun();
  report.replies_are_contact = true;
  report.earlier_starts_fenced = earlier_starts_fenced_;
  report.starts_received = to.starts_received;
  if (!to.initial_report_sent || to.target_update_pending) {
    report.has_target = true;
    report.target = target_;
    if (report.target.failure_domain.empty()) {
      report.target.failure_domain = settings_.agent.failure_domain;
    }
    report.target.draining = !accepting() || to.released_at;
    report.target.id = target_incarnation_.id;
    report.target.start_id = target_incarnation_.start_id;
    report.target.leaving = target_.draining;
  }
  if (!to.initial_report_sent) {
    report.has_inventory = true;
    for (const std::pair<const run_key, managed_run>& run : runs_) {
      if (run.second.owner == session.address || run.second.later_owners.count(session.address) != 0) {
        report.active_runs.push_back(run.first);
      }
    }
  }
  report.unsettled_runs = UnsettledRunsOf(session.address, now);
  for (const run_result& end : to.unacknowledged_results) {
    if (end.sequence > to.last_result_sent) {
      report.results.push_back(end);
    }
  }
  report.crashes = crashes_.Since(to.crash_revision_sent, now);
  to.crash_revision_sent = crashes_.revision();
  report.unrepeatable = unrepeatable_.Since(to.unrepeatable_revision_sent, now);
  to.unrepeatable_revision_sent = unrepeatable_.revision();
  report.unanswered = unanswered_jobs_.Since(to.unanswered_revision_sent, now);
  to.unanswered_revision_sent = unanswered_jobs_.revision();
  if (to.evacuation_version_sent < evacuation_.set_version()) {
    report.evacuation = evacuation_.state();
    to.evacuation_version_sent = evacuation_.set_version();
  }
  to.initial_report_sent = true;
  to.target_update_pending = false;
  to.reported_amount = report.committed;
  to.reported_starts = report.starts_received;
  to.reported_unsettled = report.unsettled_runs.size();
  to.reported_at = now;
  to.last_result_sent = to.last_result_number;
  session.last_sent = now;
  actions_.emplace_back(send_batch{session.address, std::move(batch)});
}

}  // namespace bamboowing
