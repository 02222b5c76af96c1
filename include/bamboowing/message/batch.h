/// @file
/// Messages between entries and agents. A batch collects what one iteration of a decision loop has for one peer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/base/error.h"
#include "bamboowing/base/types.h"
#include "bamboowing/message/best_effort.h"
#include "bamboowing/message/job.h"

namespace bamboowing {

/// Sent first in every batch.
struct batch_header {
  std::string sender;              ///< id of the sending process
  incarnation_id incarnation = 0;  ///< incarnation of the sending process
  instant sent_at;                 ///< sender's clock
  instant echo;                    ///< receiver's clock in the newest batch that the sender had received; zero if none
  incarnation_id echo_incarnation = 0;  ///< incarnation of the receiver whose clock `echo` is; 0 if none
  config_version config = 0;            ///< newest configuration version that the sender has applied
  epoch shard_epoch = 0;                ///< highest epoch of the shard that the sender knows
};

/// Asks an agent to start one task.
struct start_task {
  task_key key;
  std::string payload;
  duration time_limit{0};   ///< the target's run is abandoned after this time
  bool idempotent = false;  ///< passed on to the target
};

/// The result of a started task.
struct task_answer {
  task_key key;
  task_status status = task_status::kSucceeded;
  std::string result;    ///< the target's answer, or the reason of the failure
  duration run_time{0};  ///< from start to end at the target
};

/// Says that a task was certainly not started.
struct task_refusal {
  task_key key;
  error_kind kind = error_kind::kStaleEpoch;
};

/// What an agent holds of a task that it started.
enum class held_state : std::uint8_t {
  kRunning,
  kAnswered,  ///< the answer is retained and can be fetched
  kReleased,  ///< the job was delivered; only the record of the start is left
};

/// One task in an agent's inventory.
struct held_task {
  task_key key;
  held_state state = held_state::kRunning;
};

/// From an entry to an agent.
struct entry_batch {
  batch_header header;
  shard_id shard;
  std::vector<start_task> starts;
  std::vector<task_key> cancels;
  std::vector<std::string> released_jobs;  ///< jobs that were delivered; retained answers may be dropped
  std::vector<std::string> fetch_jobs;     ///< jobs whose retained answers the entry wants
  bool claim = false;                ///< the sender claims the shard with header.shard_epoch and asks for the inventory
  bool status_query = false;         ///< the entry asks for what the agent holds of this entry's tasks
  bool draining = false;             ///< the operators drain this target: the agent reports it as leaving
  std::vector<std::string> entries;  ///< addresses of all known entries; empty when unchanged
  duration heartbeat_interval{0};    ///< how long an idle agent may send nothing on this session; 0 when unchanged
  run_requests runs;                 ///< about best-effort jobs
};

/// Describes the target beside an agent.
struct target_announcement {
  std::string service;
  std::string failure_domain;
  std::uint32_t slots = 0;  ///< tasks that the target runs at the same time
  bool draining = false;    ///< the target or its agent is leaving
};

/// From an agent to an entry.
struct agent_batch {
  batch_header header;
  shard_id shard;  ///< the shard whose highest epoch the header gives; the service is empty when no entry claimed one
  std::optional<target_announcement> target;  ///< present in the first batch of a session and when it changes
  std::uint32_t busy_slots = 0;               ///< slots in use, whoever started the tasks
  std::vector<task_answer> answers;
  std::vector<task_refusal> refusals;
  std::vector<held_task> inventory;  ///< valid when inventory_of is not 0
  epoch inventory_of = 0;            ///< acknowledges the claim with this epoch
  bool status_reply = false;         ///< the inventory answers a status query
  run_report runs;                   ///< about best-effort jobs
};

/// From an entry to another entry, on behalf of a caller or to spread state.
struct relay_request {
  std::string sender;  ///< id of the sending entry
  incarnation_id incarnation = 0;
  config_version config = 0;  ///< newest version that the sender has applied
  caller_request call;
  bool fetch_config = false;  ///< asks for the document; `call` is ignored
};

/// Answer to a relay_request.
struct relay_reply {
  config_version config = 0;
  std::string document;  ///< the configuration document as JSON text when it was asked for
  caller_reply reply;
  bool not_leader = false;  ///< the receiver is not home of the shard; nothing was accepted
};

}  // namespace bamboowing
