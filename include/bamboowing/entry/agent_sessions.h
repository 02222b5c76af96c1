/// @file
/// Sessions of the agents attached to this entry, each with its pending outgoing batch.
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

/// State of one agent's session.
struct agent_session {
  session_id id = 0;
  std::string agent;
  incarnation_id incarnation = 0;             ///< 0 until the first batch
  std::optional<target_announcement> target;  ///< newest announcement
  shard_id shard;            ///< shard of the target; its service is empty until the target is announced
  epoch highest_epoch = 0;   ///< highest epoch that the agent reported
  instant last_received_at;  ///< when the newest batch arrived
  instant last_sent_at;      ///< when the newest batch was sent
  instant busy_since;        ///< when a task was last started on the agent while it was idle
  instant peer_clock;        ///< agent's clock in the newest batch
  instant last_echo;         ///< newest time of this entry's clock that the agent echoed
  config_version config = 0;
  entry_batch pending;             ///< content of the next batch
  bool excluded = false;           ///< the operators drain the target or do not allow it to serve the service
  bool closing = false;            ///< the session was silent for too long and is being closed
  duration announced_interval{0};  ///< heartbeat interval last sent to the agent; 0 if none was
  bool dirty = false;              ///< whether `pending` must be sent at the end of this iteration
};

/// Start of the silence of an agent with tasks in flight. The time before the first of them does not count, because an
/// idle agent may be silent for longer.
inline instant SilentSince(const agent_session& session) {
  return std::max(session.last_received_at, session.busy_since);
}

/// Identity of an entry in its registration and in message headers.
struct entry_identity {
  std::string id;
  incarnation_id incarnation = 0;
  std::string peers_address;
  std::string failure_domain;
  bool wants_agents = false;  ///< too few agents are attached: agents that prefer other entries should attach as well
};

/// All agent sessions of an entry. An agent has at most one: a new session replaces the previous one.
class agent_sessions {
 public:
  explicit agent_sessions(entry_identity self) : self_(std::move(self)) {}

  /// Adds a session. Returns the id of the replaced session of the same agent, which the caller must close.
  std::optional<session_id> Open(session_id id, std::string agent, instant now);

  /// Removes a session; returns the agent's id, or nullopt if the session is unknown or was replaced.
  std::optional<std::string> Close(session_id id);

  /// Records header and announcement of a received batch. Returns nullptr for an unknown session.
  agent_session* OnBatch(session_id id, const agent_batch& batch, instant now);

  agent_session* Find(session_id id);
  agent_session* FindAgent(std::string_view agent);

  /// Schedules the session's pending batch for the next Flush() and returns it, so that the caller can add to it.
  entry_batch& OutgoingBatch(agent_session& session);

  /// Appends a send action for each scheduled batch. @p epochs holds the epoch of each shard for the header.
  /// @param idle_interval heartbeat interval of idle agents; sent to each agent when it changes.
  void Flush(instant now, config_version config, const std::map<shard_id, epoch>& epochs, duration idle_interval,
             std::vector<entry_action>& out);

  /// Schedules a heartbeat on each session on which nothing was sent for its interval.
  /// @param interval_of returns the heartbeat interval of a session.
  template <typename Function>
  void MarkHeartbeatsDue(instant now, const Function& interval_of) {
    for (std::pair<const session_id, agent_session>& item : sessions_) {
      item.second.dirty = item.second.dirty || now - item.second.last_sent_at >= interval_of(item.second);
    }
  }

  /// All sessions, by id.
  const std::map<session_id, agent_session>& all() const { return sessions_; }
  std::map<session_id, agent_session>& all() { return sessions_; }

  /// Batches without work, which only keep a session alive.
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
