/// @file
/// Settings of an entry's decisions.
#pragma once

#include <chrono>
#include <cstdint>

#include "bamboowing/dispatch/settings.h"
#include "bamboowing/entry/agent_sessions.h"
#include "bamboowing/entry/job_table.h"

namespace bamboowing {

/// The durations have the values of design section 6.
struct entry_settings {
  entry_identity self;
  dispatch_settings dispatch;
  job_table_limits jobs;

  duration task_time_limit = std::chrono::minutes(1);        ///< bound of one task's run
  duration home_heartbeat = std::chrono::milliseconds(500);  ///< longest pause in sending to agents of an own shard
  duration idle_heartbeat = std::chrono::seconds(5);         ///< longest pause in sending to other agents
  std::uint32_t heartbeat_bytes = 250;              ///< of one heartbeat and its answer, with the headers of TCP/IP
  std::uint32_t heartbeat_bytes_per_second = 3000;  ///< for all heartbeats together; the intervals grow to keep it
  duration heartbeat_interval_max = std::chrono::seconds(15);
  duration query_after = std::chrono::seconds(1);         ///< silence with tasks in flight that leads to a status query
  duration close_after = std::chrono::seconds(2);         ///< silence after which a session is replaced
  duration idle_close_after = std::chrono::seconds(16);   ///< the same for sessions with agents of other shards
  duration agent_loss_timeout = std::chrono::seconds(5);  ///< a detached agent's tasks count as lost after this time
  duration home_wait_limit = std::chrono::seconds(20);    ///< longest wait of a call for a home of its shard
  duration call_retry = std::chrono::milliseconds(50);    ///< pause between attempts to pass on a waiting call
  duration watch_wait = std::chrono::seconds(30);         ///< longest wait of one watch call
  duration watch_retry = std::chrono::milliseconds(500);  ///< pause after a watch that was not answered
  duration lease_time = std::chrono::seconds(3);          ///< lease of the entry's registration
  duration renew_interval = std::chrono::seconds(1);
};

}  // namespace bamboowing
