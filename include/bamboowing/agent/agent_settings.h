/// @file
/// Settings of an agent and the actions that it asks of its process.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bamboowing/base/event.h"
#include "bamboowing/base/types.h"
#include "bamboowing/message/batch.h"

namespace bamboowing {

/// Settings of an agent. The default durations are the values of design section 6.
struct agent_settings {
  std::string id;                    ///< id of the agent, unique in the system
  incarnation_id incarnation = 0;    ///< incarnation of this agent process, not 0
  std::string failure_domain;        ///< failure domain of the agent and of the target beside it
  std::vector<std::string> entries;  ///< "ip:port" of the entries to connect to first

  duration authority_timeout = std::chrono::seconds(1);  ///< a start with an older echo of the agent's clock is refused
  duration retention = std::chrono::minutes(10);         ///< how long an answer is retained for the leader
  std::size_t retained_bytes_limit = 32U << 20U;         ///< bound of all retained answers, in bytes
  /// How long the record of a start is retained after the task ended. Longer than `retention`, because a resubmission
  /// that arrives together with the last answers of a job must still find the record.
  duration record_retention = std::chrono::minutes(20);
  std::size_t record_limit = 200000;  ///< starts are refused while this many records are retained

  duration heartbeat_interval = std::chrono::milliseconds(500);  ///< longest interval between batches to the leader
  /// Longest interval between batches to other entries, unless they request another. Twice this interval bounds the
  /// time in which a dead session with an entry that claims the shard is detected, and so the time of that takeover.
  duration idle_heartbeat_interval = std::chrono::seconds(2);
  duration silence_limit = std::chrono::seconds(2);  ///< a session is never replaced before it was silent for this time
  duration connect_timeout = std::chrono::seconds(2);     ///< a connection attempt is abandoned after this time
  duration backoff_min = std::chrono::milliseconds(100);  ///< first delay between connection attempts
  duration backoff_max = std::chrono::seconds(5);         ///< longest delay between connection attempts
  /// A target that did not announce itself for this time is considered gone. Targets announce themselves every one to
  /// two seconds.
  duration target_timeout = std::chrono::seconds(5);
  duration drain_grace_period = std::chrono::seconds(5);  ///< how long a drain waits for releases after the last change
};

/// Send @p batch on the session with @p peer.
struct send_batch {
  std::string peer;  ///< address of the entry
  agent_batch batch;
};

/// Connect to an entry. Answered by OnSessionOpened or, on failure, OnSessionClosed.
struct open_session {
  std::string address;
};

/// Close a session or abandon a connection attempt. Not answered by OnSessionClosed.
struct close_session {
  std::string address;
};

/// Run a task on the target. Answered exactly once by OnTaskEnded.
struct run_task {
  task_key key;
  std::string payload;
  duration time_limit{0};
  bool idempotent = false;
};

/// Stop a running task. OnTaskEnded follows as for every task.
struct stop_task {
  task_key key;
};

/// Write @p record to the event log.
struct record_event {
  event record;
};

using agent_action = std::variant<send_batch, open_session, close_session, run_task, stop_task, record_event>;

}  // namespace bamboowing
