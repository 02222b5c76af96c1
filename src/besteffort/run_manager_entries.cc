// The part of run_keeper that deals with the entries: sessions, their runs' owners, and reports.

#include <algorithm>
#include <set>
#include <utility>

#include "bamboowing/besteffort/run_manager.h"

namespace bamboowing {
namespace {

// Between two looks at which entries are reachable.
constexpr duration kSelectInterval = std::chrono::milliseconds(100);

}  // namespace

void run_keeper::OnEntries(span<const entry_place> entries, instant now) {
  // An entry may be cut off from the store alone, and then lose its registration while it serves.
  for (entry_place& place : listed_) {
    unlisted_[place.address] = std::move(place);
  }
  listed_.assign(entries.begin(), entries.end());
  for (const entry_place& place : listed_) {
    unlisted_.erase(place.address);
  }
  for (std::pair<const std::string, entry_place>& place : unlisted_) {
    // Without a session it is forgotten after a while, also if no attempt to connect was made.
    if (sessions_.Find(place.first) == nullptr) {
      down_since_.emplace(place.first, now);
    }
  }
  UpdateCandidates();
  SelectEntries(now);
}

void run_keeper::UpdateCandidates() {
  std::vector<entry_place> candidates = listed_;
  for (const std::pair<const std::string, entry_place>& place : unlisted_) {
    candidates.push_back(place.second);
  }
  selection_.SetEntries(candidates);
  for (std::map<std::string, instant>::iterator down = down_since_.begin(); down != down_since_.end();) {
    const bool known = std::any_of(candidates.begin(), candidates.end(),
                                   [down](const entry_place& entry) { return entry.address == down->first; });
    down = known ? std::next(down) : down_since_.erase(down);
  }
}

void run_keeper::ForgetUnlisted(instant now) {
  const std::size_t before = unlisted_.size();
  for (std::map<std::string, entry_place>::iterator place = unlisted_.begin(); place != unlisted_.end();) {
    const std::map<std::string, instant>::const_iterator down = down_since_.find(place->first);
    const bool gone = down != down_since_.end() && now - down->second >= settings_.forget_after;
    place = gone ? unlisted_.erase(place) : std::next(place);
  }
  if (unlisted_.size() != before) {
    UpdateCandidates();
  }
}

void run_keeper::SelectEntries(instant now) {
  selected_at_ = now;
  ForgetUnlisted(now);
  const std::vector<std::string> selected = selection_.Select([this, now](const std::string& address) {
    const std::map<std::string, instant>::const_iterator down = down_since_.find(address);
    return down == down_since_.end() || now - down->second < settings_.substitute_after;
  });
  sessions_.Learn(selected, now);
  for (const std::pair<const std::string, entry_session>& item : sessions_.all()) {
    owner& to = owners_[item.first];
    const bool needed = std::find(selected.begin(), selected.end(), item.first) != selected.end();
    if (needed == to.released_at.has_value()) {
      to.released_at = needed ? std::optional<instant>() : now;
      to.target_changed = true;
    }
  }
}

void run_keeper::CloseReleased(instant now) {
  std::vector<std::string> done;
  for (const std::pair<const std::string, entry_session>& item : sessions_.all()) {
    const owner& to = owners_[item.first];
    if (item.second.state == session_state::kOpen && to.released_at &&
        now - *to.released_at >= settings_.release_linger && to.ends.empty() && !HasRuns(item.first)) {
      done.push_back(item.first);
    }
  }
  for (const std::string& entry : done) {
    Note("session_released", "", "entry " + entry + ", others are attached to");
    sessions_.Closed(entry, now);
    actions_.emplace_back(close_session{entry});
  }
  if (!done.empty()) {
    SelectEntries(now);
  }
}

bool run_keeper::HasRuns(const std::string& entry) const {
  return std::any_of(runs_.begin(), runs_.end(),
                     [&entry](const std::pair<const run_key, kept_run>& item) { return item.second.owner == entry; });
}

void run_keeper::OnSessionOpened(const std::string& entry, instant now) {
  if (sessions_.Opened(entry, now) == nullptr) {
    return;
  }
  down_since_.erase(entry);
  owner& opened = owners_[entry];
  // The entry answered something that was sent when the attempt began; it may have been cut off since.
  opened.fresh = std::max(opened.fresh, attempts_[entry]);
  opened.starts_received = 0;
  opened.ends_sent = 0;
  opened.introduced = false;
}

void run_keeper::OnSessionClosed(const std::string& entry, const std::string& why, instant now) {
  if (sessions_.Closed(entry, now)) {
    Note("session_lost", "", "entry " + entry + ", " + why);
    down_since_.emplace(entry, now);
  }
}

void run_keeper::OnBatch(const std::string& entry, const entry_batch& batch, instant now) {
  entry_session* session = sessions_.Find(entry);
  if (session == nullptr || session->state != session_state::kOpen) {
    return;
  }
  owner& from = owners_[entry];
  if (from.life != batch.header.life) {
    if (from.life != 0) {
      DropOwner(entry, "the entry has started again", now);
      from.ends.clear();
    }
    from.life = batch.header.life;
  }
  sessions_.Received(*session, batch.header, now);
  if (batch.header.echo_life == settings_.agent.life) {
    from.fresh = std::max(from.fresh, batch.header.echo);
  }
  while (!from.ends.empty() && from.ends.front().number <= batch.runs.ends_received) {
    from.ends.pop_front();
  }
  from.starts_received = std::max(from.starts_received, batch.runs.starts_sent);
  for (const run_key& key : batch.runs.stops) {
    const run_map::iterator found = runs_.find(key);
    if (found == runs_.end()) {
      continue;
    }
    if (found->second.state == run_state::kWaiting) {
      EndRun(found, run_outcome::kStopped, now);
    } else {
      RequestStop(found->second, now);
    }
  }
  for (const run_start& start : batch.runs.starts) {
    Admit(entry, start, now);
  }
}

void run_keeper::DropOwner(const std::string& entry, const std::string& why, instant now) {
  std::size_t count = 0;
  for (run_map::iterator run = runs_.begin(); run != runs_.end();) {
    const run_map::iterator next = std::next(run);
    if (run->second.owner == entry) {
      ++count;
      if (run->second.state == run_state::kWaiting) {
        EndRun(run, run_outcome::kStopped, now);
      } else {
        RequestStop(run->second, now);
      }
    }
    run = next;
  }
  if (count > 0) {
    Note("owner_dropped", "", "entry " + entry + ", " + why + ", runs " + std::to_string(count));
  }
}

void run_keeper::ExpireOwners(instant now) {
  std::set<std::string> busy;
  for (const std::pair<const run_key, kept_run>& run : runs_) {
    if (run.second.state != run_state::kStopping) {
      busy.insert(run.second.owner);
    }
  }
  for (const std::string& entry : busy) {
    if (now - owners_[entry].fresh >= settings_.owner_timeout) {
      DropOwner(entry, "not heard in time", now);
    }
  }
}

void run_keeper::KeepSessions(instant now) {
  std::vector<agent_action> session_actions;
  sessions_.Tick(now, {}, session_actions);
  for (const agent_action& action : session_actions) {
    if (const open_session* open = std::get_if<open_session>(&action); open != nullptr) {
      attempts_[open->address] = now;
      down_since_.emplace(open->address, now);
      actions_.emplace_back(*open);
    } else if (const close_session* close = std::get_if<close_session>(&action); close != nullptr) {
      Note("session_silent", "", "entry " + close->address + ", nothing was received in time");
      down_since_.emplace(close->address, now);
      actions_.emplace_back(*close);
    }
  }
  if (now - selected_at_ >= kSelectInterval) {
    SelectEntries(now);
  }
  CloseReleased(now);
}

duration run_keeper::ReportInterval() const {
  const std::size_t groups = (sessions_.all().size() + settings_.report_entries - 1) / settings_.report_entries;
  return settings_.report_interval * static_cast<std::int64_t>(std::max<std::size_t>(1, groups));
}

bool run_keeper::ReportDue(const entry_session& session, const owner& to, instant now) const {
  if (!to.introduced || to.target_changed) {
    return true;
  }
  if (!to.ends.empty() && to.ends.back().number > to.ends_sent) {
    return true;
  }
  if (sessions_.HeartbeatDue(session, {}) <= now) {
    return true;
  }
  resource_amount committed = at_target_;
  AddTo(committed, waiting_amount_);
  return !(committed == to.reported) && now - to.reported_at >= ReportInterval();
}

void run_keeper::SendReports(instant now) {
  for (std::pair<const std::string, entry_session>& item : sessions_.all()) {
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

void run_keeper::SendReport(entry_session& session, owner& to, instant now) {
  agent_batch batch;
  batch.header.sender = settings_.agent.id;
  batch.header.life = settings_.agent.life;
  batch.header.sent_at = now;
  batch.header.echo = session.entry_clock;
  batch.header.echo_life = session.entry_life;
  run_report& report = batch.runs;
  report.committed = at_target_;
  AddTo(report.committed, waiting_amount_);
  report.starts_received = to.starts_received;
  if (!to.introduced || to.target_changed) {
    report.has_target = true;
    report.target = target_;
    report.target.draining = !accepting() || to.released_at;
  }
  if (!to.introduced) {
    report.has_inventory = true;
    for (const std::pair<const run_key, kept_run>& run : runs_) {
      if (run.second.owner == session.address) {
        report.held.push_back(run.first);
      }
    }
  }
  for (const run_end& end : to.ends) {
    if (end.number > to.ends_sent) {
      report.ends.push_back(end);
    }
  }
  to.introduced = true;
  to.target_changed = false;
  to.reported = report.committed;
  to.reported_at = now;
  to.ends_sent = to.last_end;
  session.last_sent = now;
  actions_.emplace_back(send_batch{session.address, std::move(batch)});
}

}  // namespace bamboowing
