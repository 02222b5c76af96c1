/// @file
/// The sessions of agents with this entry, and the batch that is being filled for each.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/message/batch.h"

namespace bamboowing {

/// One agent's session.
struct agent_session {
  session_id id = 0;
  std::string agent;
  incarnation life = 0;                       ///< 0 until the first batch
  std::optional<target_announcement> target;  ///< newest announcement
  shard_id shard;                             ///< shard of the target; empty service until it is announced
  epoch highest_epoch = 0;                    ///< highest epoch that the agent reported
  instant heard;                              ///< when the newest batch arrived
  instant sent;                               ///< when the newest batch was sent
  instant busy_since;                         ///< when this entry last started a task on the idle agent
  instant peer_clock;                         ///< agent's clock in the newest batch
  instant confirmed;                          ///< our clock that the agent echoed last
  config_version config = 0;
  entry_batch pending;        ///< what the next batch will carry
  bool excluded = false;      ///< the operators drain the target or forbid it to serve the service
  bool closing = false;       ///< the session was silent for too long and is being closed
  duration told_interval{0};  ///< interval of heartbeats that the agent was told
  bool dirty = false;         ///< whether `pending` must be sent at the end of this iteration
};

/// Since when an agent that has tasks in flight has been silent: before the first of them it had no reason to send.
inline instant SilentSince(const agent_session& session) { return std::max(session.heard, session.busy_since); }

/// Identity that an entry registers and puts into headers.
struct entry_identity {
  std::string id;
  incarnation life = 0;
  std::string peers_address;
  std::string failure_domain;
  bool wants_agents = false;  ///< few agents are attached: those that prefer other entries should attach too
};

/// Holds all sessions. An agent has at most one; a newer session of the same agent replaces the older.
class agent_sessions {
 public:
  explicit agent_sessions(entry_identity self) : self_(std::move(self)) {}

  /// Adds a session. Returns the id of the older session of the same agent, which the caller closes.
  std::optional<session_id> Open(session_id id, std::string agent, instant now);

  /// Removes a session; returns the agent's id, or nullopt if the session is not the agent's present one.
  std::optional<std::string> Close(session_id id);

  /// Takes over header and announcement of a batch. Returns nullptr for an unknown session.
  agent_session* OnBatch(session_id id, const agent_batch& batch, instant now);

  agent_session* Find(session_id id);
  agent_session* FindAgent(std::string_view agent);

  /// Marks the session's pending batch as to be sent and returns it.
  entry_batch& Outgoing(agent_session& session);

  /// Appends a send action for each marked batch. @p epoch_of gives the epoch of a shard for the header.
  /// @param idle_interval how long an idle agent may be silent; told to each agent when it changes.
  void Flush(instant now, config_version config, const std::map<shard_id, epoch>& epochs, duration idle_interval,
             std::vector<entry_action>& out);

  /// Marks every session that has sent nothing for its interval, so that Flush() sends a heartbeat.
  /// @param interval_of gives the longest pause for a session.
  template <typename Function>
  void MarkIdle(instant now, const Function& interval_of) {
    for (std::pair<const session_id, agent_session>& item : sessions_) {
      item.second.dirty = item.second.dirty || now - item.second.sent >= interval_of(item.second);
    }
  }

  /// All sessions, by id.
  const std::map<session_id, agent_session>& all() const { return sessions_; }
  std::map<session_id, agent_session>& all() { return sessions_; }

  /// Batches that carried no work, in each direction.
  std::uint64_t heartbeats_sent() const { return heartbeats_sent_; }
  std::uint64_t heartbeats_received() const { return heartbeats_received_; }

  const entry_identity& self() const { return self_; }

 private:
  entry_identity self_;
  std::map<session_id, agent_session> sessions_;
  std::map<std::string, session_id, std::less<>> by_agent_;
  std::uint64_t heartbeats_sent_ = 0;
  std::uint64_t heartbeats_received_ = 0;
};

}  // namespace bamboowing
