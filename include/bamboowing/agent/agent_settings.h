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

/// What an agent knows from its settings file. The durations have the values of design section 6.
struct agent_settings {
  std::string id;                    ///< id of the agent, unique in the system
  incarnation_id life = 0;           ///< this life of the agent, not 0
  std::string failure_domain;        ///< failure domain of the agent and of the target beside it
  std::vector<std::string> entries;  ///< "ip:port" of the entries to connect to first

  duration authority_timeout = std::chrono::seconds(1);  ///< a start with an older echo of our clock is refused
  duration retention = std::chrono::minutes(10);         ///< how long an answer is kept for the home
  std::size_t retained_bytes_limit = 32U << 20U;         ///< bytes of all retained answers
  /// How long the record of a start outlives the answer. Longer than `retention`, since a resubmission that comes with
  /// the last answers of a job must still find it.
  duration record_retention = std::chrono::minutes(20);
  std::size_t record_limit = 200000;  ///< starts are refused while so many records are held

  duration heartbeat_interval = std::chrono::milliseconds(500);  ///< longest pause in sending to the home
  /// Longest pause in sending to other entries, unless they ask for another. Two of them bound the time in which a
  /// silent session with an entry that claims the shard is found, and so the time of that takeover.
  duration idle_heartbeat_interval = std::chrono::seconds(2);
  duration silence_limit = std::chrono::seconds(2);       ///< no session is replaced before this silence
  duration connect_timeout = std::chrono::seconds(2);     ///< an attempt to connect is given up after this time
  duration backoff_min = std::chrono::milliseconds(100);  ///< first pause between attempts to connect
  duration backoff_max = std::chrono::seconds(5);         ///< longest pause between attempts to connect
  /// A target that stops announcing itself has left. Targets announce themselves every second or two.
  duration target_timeout = std::chrono::seconds(5);
  duration drain_linger = std::chrono::seconds(5);  ///< wait for releases after the last answer
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

/// Close a session or abandon an attempt to connect. Not answered by OnSessionClosed.
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

/// Write @p what to the event log.
struct record_event {
  event what;
};

using agent_action = std::variant<send_batch, open_session, close_session, run_task, stop_task, record_event>;

}  // namespace bamboowing
