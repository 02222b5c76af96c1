/// @file
/// The agent's sessions with the entries: their state, the backoff of reconnects, and the replacement of silent
/// sessions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/agent/agent_settings.h"
#include "bamboowing/base/random.h"
#include "bamboowing/base/types.h"

namespace bamboowing {

enum class session_state : std::uint8_t {
  kBackoff,     ///< not connected; the next attempt is at `due`
  kConnecting,  ///< a connection attempt is in progress; it is abandoned at `due`
  kOpen,
};

/// The state of the leader on which the heartbeat interval and the time-out of its session depend.
struct leader_view {
  std::string_view address;  ///< empty if there is none
  bool busy = false;         ///< tasks run, so that a dead session must be detected soon
};

/// The session with one entry.
struct entry_session {
  std::string address;
  session_state state = session_state::kBackoff;
  instant due;
  duration backoff{0};
  duration heartbeat_interval{0};  ///< longest interval between batches that the entry requested; 0: as in the settings
  instant last_sent;
  instant last_received;
  incarnation_id entry_incarnation = 0;  ///< incarnation of the entry in this session; 0 until a batch arrived
  instant entry_clock;                   ///< entry's clock in its newest batch of this session
  instant acknowledged_clock;            ///< newest clock of the agent that the entry echoed in this session
  instant fence;                         ///< starts with an older echo of the agent's clock are refused
  bool is_seed = false;                  ///< listed in the settings, never removed
};

/// Holds one entry_session for each known entry, at most kMaxSessions. Connection attempts use exponential backoff with
/// seeded jitter, which is reset when the entry sends a batch, so that a restarted entry is not flooded with
/// connections.
class session_table {
 public:
  static constexpr std::size_t kMaxSessions = 64;

  session_table(const agent_settings& settings, std::uint64_t seed, instant now);

  /// The session with @p address, or nullptr.
  entry_session* Find(std::string_view address);

  /// Adds new addresses, and removes unconnected ones that are neither in the settings nor in @p addresses.
  void UpdateEntries(span<const std::string> addresses, instant now);

  /// Marks a session open, with nothing received in it yet. Returns nullptr unless a connection attempt is in progress.
  entry_session* OnOpened(std::string_view address, instant now);

  /// Marks a session closed and schedules the next connection attempt. Returns whether it had been open.
  bool OnClosed(std::string_view address, instant now);

  /// Records that a batch arrived from the entry. Only this resets the backoff, so that an entry that accepts
  /// connections but never sends is not flooded with them.
  void OnBatchReceived(entry_session& session, const batch_header& header, instant now);

  /// The entry's process has received a message of this agent in the session.
  static void OnContact(entry_session& session, instant now);

  /// Starts the connection attempts that are due, abandons those that exceed `connect_timeout`, and replaces silent
  /// sessions. Appends the actions to @p out.
  void Tick(instant now, const leader_view& leader, std::vector<agent_action>& out);

  /// Time at which Tick() next has an effect or a heartbeat is due; nullopt if there is no session.
  std::optional<instant> next_wakeup(const leader_view& leader) const;

  /// Time by which the agent must send a batch on an open session.
  instant HeartbeatDue(const entry_session& session, const leader_view& leader) const;

  std::map<std::string, entry_session, std::less<>>& sessions() { return sessions_; }
  const std::map<std::string, entry_session, std::less<>>& sessions() const { return sessions_; }

 private:
  instant SilenceDeadline(const entry_session& session, const leader_view& leader) const;
  duration HeartbeatInterval(const entry_session& session, const leader_view& leader) const;
  void Add(const std::string& address, bool is_seed, instant now);
  void ScheduleReconnect(entry_session& session, instant now);

  agent_settings settings_;
  seeded_random random_;
  std::map<std::string, entry_session, std::less<>> sessions_;
};

}  // namespace bamboowing
