#include "bamboowing/agent/session_table.h"

#include <algorithm>

namespace bamboowing {
namespace {

// A session times out when this many heartbeats of the entry were missed, and not before `silence_limit`.
constexpr int kMissedHeartbeats = 2;

}  // namespace

session_table::session_table(const agent_settings& settings, std::uint64_t seed, instant now)
    : settings_(settings), random_(seed) {
  for (const std::string& address : settings.entries) {
    Add(address, true, now);
  }
}

entry_session* session_table::Find(std::string_view address) {
  const std::map<std::string, entry_session, std::less<>>::iterator found = sessions_.find(address);
  return found == sessions_.end() ? nullptr : &found->second;
}

void session_table::Add(const std::string& address, bool is_seed, instant now) {
  if (sessions_.size() >= kMaxSessions || sessions_.count(address) != 0) {
    return;
  }
  entry_session session;
  session.address = address;
  session.is_seed = is_seed;
  session.backoff = settings_.backoff_min;
  // The jitter spreads the first connections of agents that start together.
  session.due = now + duration(random_.Below(static_cast<std::uint64_t>(settings_.backoff_min.count())));
  sessions_.emplace(address, session);
}

void session_table::UpdateEntries(span<const std::string> addresses, instant now) {
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    const bool listed = std::find(addresses.begin(), addresses.end(), it->first) != addresses.end();
    const bool keep = listed || it->second.is_seed || it->second.state != session_state::kBackoff;
    it = keep ? std::next(it) : sessions_.erase(it);
  }
  for (const std::string& address : addresses) {
    Add(address, false, now);
  }
}

void session_table::ScheduleReconnect(entry_session& session, instant now) {
  const std::uint64_t half = static_cast<std::uint64_t>(session.backoff.count()) / 2;
  session.state = session_state::kBackoff;
  session.due = now + duration(half + random_.Below(half + 1));
  session.backoff = std::min(session.backoff * 2, settings_.backoff_max);
}

entry_session* session_table::OnOpened(std::string_view address, instant now) {
  entry_session* session = Find(address);
  if (session == nullptr || session->state != session_state::kConnecting) {
    return nullptr;
  }
  session->state = session_state::kOpen;
  session->last_sent = now;
  session->last_received = now;
  session->entry_incarnation = 0;
  session->entry_clock = instant{};
  session->acknowledged_clock = instant{};
  return session;
}

bool session_table::OnClosed(std::string_view address, instant now) {
  entry_session* session = Find(address);
  if (session == nullptr || session->state == session_state::kBackoff) {
    return false;
  }
  const bool was_open = session->state == session_state::kOpen;
  ScheduleReconnect(*session, now);
  return was_open;
}

void session_table::OnBatchReceived(entry_session& session, const batch_header& header, instant now) {
  if (session.entry_incarnation != header.incarnation) {
    session.entry_incarnation = header.incarnation;
    session.entry_clock = instant{};
  }
  session.entry_clock = std::max(session.entry_clock, header.sent_at);
  session.backoff = settings_.backoff_min;
  OnContact(session, now);
}

void session_table::OnContact(entry_session& session, instant now) { session.last_received = now; }

duration session_table::HeartbeatInterval(const entry_session& session, const leader_view& leader) const {
  const bool is_leader = session.address == leader.address;
  if (is_leader && leader.busy) {
    return settings_.heartbeat_interval;
  }
  if (session.heartbeat_interval > duration(0)) {
    return session.heartbeat_interval;
  }
  return is_leader ? settings_.heartbeat_interval : settings_.idle_heartbeat_interval;
}

instant session_table::HeartbeatDue(const entry_session& session, const leader_view& leader) const {
  return session.last_sent + HeartbeatInterval(session, leader);
}

instant session_table::SilenceDeadline(const entry_session& session, const leader_view& leader) const {
  const duration missed = HeartbeatInterval(session, leader) * kMissedHeartbeats;
  return session.last_received + std::max(settings_.silence_limit, missed);
}

void session_table::Tick(instant now, const leader_view& leader, std::vector<agent_action>& out) {
  for (auto& [address, session] : sessions_) {
    if (session.state == session_state::kBackoff && session.due <= now) {
      session.state = session_state::kConnecting;
      session.due = now + settings_.connect_timeout;
      out.emplace_back(open_session{address});
      continue;
    }
    const bool too_slow = session.state == session_state::kConnecting && session.due <= now;
    const bool timed_out = session.state == session_state::kOpen && SilenceDeadline(session, leader) <= now;
    if (too_slow || timed_out) {
      out.emplace_back(close_session{address});
      ScheduleReconnect(session, now);
    }
  }
}

std::optional<instant> session_table::next_wakeup(const leader_view& leader) const {
  std::optional<instant> next;
  for (const auto& [address, session] : sessions_) {
    instant due = session.due;
    if (session.state == session_state::kOpen) {
      due = std::min(HeartbeatDue(session, leader), SilenceDeadline(session, leader));
    }
    next = next.has_value() ? std::min(*next, due) : due;
  }
  return next;
}

}  // namespace bamboowing
