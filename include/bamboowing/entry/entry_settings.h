/// @file
/// Settings of entry_core.
#pragma once

#include <chrono>
#include <cstdint>

#include "bamboowing/dispatch/settings.h"
#include "bamboowing/entry/agent_sessions.h"
#include "bamboowing/entry/job_table.h"

namespace bamboowing {

/// The default durations are those of design section 6.
struct entry_settings {
  entry_identity self;
  dispatch_settings dispatch;
  job_table_limits jobs;

  duration task_time_limit = std::chrono::minutes(1);  ///< longest run of one task
  /// Longest pause between batches to an agent with tasks in flight.
  duration busy_heartbeat_interval = std::chrono::milliseconds(500);
  duration idle_heartbeat_min = std::chrono::milliseconds(500);  ///< shortest interval without tasks in flight
  duration idle_heartbeat_max = std::chrono::seconds(60);
  /// Bytes of a heartbeat in each direction: 1,020 of RPC, the rest of TCP/IP.
  std::uint32_t heartbeat_bytes = 1400;
  std::uint32_t heartbeat_bytes_per_second = 4500;  ///< of all idle sessions together; the limit for a node is 5 KB/s
  /// Silence with tasks in flight after which the agent's status is queried.
  duration status_query_timeout = std::chrono::seconds(1);
  duration session_timeout = std::chrono::seconds(2);     ///< silence after which a session is closed
  duration agent_loss_timeout = std::chrono::seconds(5);  ///< a detached agent's tasks count as lost after this time
  duration leader_wait_limit = std::chrono::seconds(20);  ///< longest wait of a call for the leader of its shard
  duration routing_retry_interval = std::chrono::milliseconds(50);  ///< pause between attempts to route a waiting call
  std::string watch_prefix;                                         ///< of the keys that are watched
  duration watch_wait = std::chrono::seconds(30);                   ///< longest wait of one watch call
  duration watch_retry_delay = std::chrono::milliseconds(500);      ///< pause after an unanswered watch
  duration lease_time = std::chrono::seconds(3);                    ///< lease of the entry's registration
  duration renew_interval = std::chrono::seconds(1);
};

}  // namespace bamboowing
