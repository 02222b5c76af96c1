/// @file
/// The agent's connections to the entries: which are open, when to connect again, when a silent one is replaced.
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
  kWaiting,     ///< not connected; the next attempt is at `due`
  kConnecting,  ///< an attempt is under way; it is given up at `due`
  kOpen,
};

/// What the sessions need to know of the home.
struct home_view {
  std::string_view address;  ///< empty if there is none
  bool busy = false;         ///< tasks run, so that silence must be found soon
};

/// One entry that the agent knows.
struct entry_session {
  std::string address;
  session_state state = session_state::kWaiting;
  instant due;
  duration backoff{0};
  duration heartbeat{0};  ///< longest pause in sending that the entry asked for; 0: the settings decide
  instant last_sent;
  instant last_received;
  incarnation_id entry_life = 0;  ///< incarnation of the entry in this session; 0 until a batch arrived
  instant entry_clock;            ///< entry's clock in its newest batch of this session
  instant acknowledged;           ///< newest clock of ours that the entry echoed in this session
  instant fence;                  ///< starts with an older echo of our clock are refused
  bool seed = false;              ///< named in the settings, never forgotten
};

/// Holds one entry_session for each known entry, at most kMaxSessions. Every attempt to connect is preceded by a pause
/// with seeded jitter, which grows until the entry sends something, so that a restarted entry is not flooded.
class session_table {
 public:
  static constexpr std::size_t kMaxSessions = 64;

  session_table(const agent_settings& settings, std::uint64_t seed, instant now);

  /// The session with @p address, or nullptr.
  entry_session* Find(std::string_view address);

  /// Adds unknown addresses, and forgets unconnected ones that are neither seeds nor in @p addresses.
  void Learn(span<const std::string> addresses, instant now);

  /// Marks a session open with nothing received in it yet. Returns nullptr unless an attempt to connect is under way.
  entry_session* Opened(std::string_view address, instant now);

  /// Marks a session closed and plans the next attempt. Returns whether it had been open.
  bool Closed(std::string_view address, instant now);

  /// Notes that a batch arrived from the entry; only this resets the pause between attempts, so that an entry that
  /// accepts connections but stays silent is not flooded.
  void Received(entry_session& session, const batch_header& header, instant now);

  /// Connects where an attempt is due, gives up attempts that take too long, and replaces silent sessions. Appends the
  /// actions to @p out.
  void Tick(instant now, const home_view& home, std::vector<agent_action>& out);

  /// When Tick() has something to do or a heartbeat is due.
  std::optional<instant> next_wakeup(const home_view& home) const;

  /// When the agent must send something on an open session.
  instant HeartbeatDue(const entry_session& session, const home_view& home) const;

  std::map<std::string, entry_session, std::less<>>& all() { return sessions_; }
  const std::map<std::string, entry_session, std::less<>>& all() const { return sessions_; }

 private:
  instant SilenceEnds(const entry_session& session, const home_view& home) const;
  duration IntervalOf(const entry_session& session, const home_view& home) const;
  void Add(const std::string& address, bool seed, instant now);
  void PlanAttempt(entry_session& session, instant now);

  agent_settings settings_;
  seeded_random random_;
  std::map<std::string, entry_session, std::less<>> sessions_;
};

}  // namespace bamboowing
