/// @file
/// Messages about runs of best-effort jobs, which only the entry that accepted them stores.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/message/evacuation.h"

namespace bamboowing {

/// Resources that a target offers or a task needs.
struct resource_amount {
  std::uint32_t cpu_millicores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;

  friend bool operator==(const resource_amount& a, const resource_amount& b) {
    return a.cpu_millicores == b.cpu_millicores && a.memory_mb == b.memory_mb && a.accelerators == b.accelerators;
  }
};

/// Whether @p need fits into @p capacity in addition to @p used.
inline bool FitsWithin(const resource_amount& need, const resource_amount& used, const resource_amount& capacity) {
  return std::uint64_t{need.cpu_millicores} + used.cpu_millicores <= capacity.cpu_millicores &&
         std::uint64_t{need.memory_mb} + used.memory_mb <= capacity.memory_mb &&
         std::uint64_t{need.accelerators} + used.accelerators <= capacity.accelerators;
}

inline void AddTo(resource_amount& sum, const resource_amount& amount) {
  sum.cpu_millicores += amount.cpu_millicores;
  sum.memory_mb += amount.memory_mb;
  sum.accelerators += amount.accelerators;
}

/// @p sum must include @p amount.
inline void SubtractFrom(resource_amount& sum, const resource_amount& amount) {
  sum.cpu_millicores -= amount.cpu_millicores;
  sum.memory_mb -= amount.memory_mb;
  sum.accelerators -= amount.accelerators;
}

/// Identifies one run: one attempt to execute one task of a job.
struct run_key {
  std::string job_id;
  std::uint32_t step = 0;
  std::uint32_t index = 0;    ///< index of the task in its step
  std::uint32_t attempt = 0;  ///< from 1; grows with each start of the task

  friend bool operator==(const run_key& a, const run_key& b) {
    return a.step == b.step && a.index == b.index && a.attempt == b.attempt && a.job_id == b.job_id;
  }
  friend bool operator<(const run_key& a, const run_key& b) {
    return std::tie(a.job_id, a.step, a.index, a.attempt) < std::tie(b.job_id, b.step, b.index, b.attempt);
  }
};

/// Identifies a task of a job, whatever its attempts.
struct task_name {
  std::string job_id;
  std::uint32_t step = 0;
  std::uint32_t index = 0;  ///< index of the task in its step

  friend bool operator==(const task_name& a, const task_name& b) {
    return a.step == b.step && a.index == b.index && a.job_id == b.job_id;
  }
  friend bool operator<(const task_name& a, const task_name& b) {
    return std::tie(a.job_id, a.step, a.index) < std::tie(b.job_id, b.step, b.index);
  }
};

/// What is known of a task's run at a target that crashed, in increasing order of certainty.
enum class crash_evidence : std::uint8_t {
  kMayHaveRun,  ///< the start had no response
  kRan,         ///< the target had accepted the run
  kRanAlone,    ///< the same, and nothing else ran at the target
};

/// A task that ran, or may have run, at a target when it crashed.
struct crashed_task {
  task_name task;
  std::string queue;  ///< name of the queue of its job
  crash_evidence evidence = crash_evidence::kMayHaveRun;
};

/// The crash of one incarnation of a target. Identified by `agent`, `target` and `start_id`; several processes may
/// report the same crash with different tasks.
struct crash_record {
  std::string agent;           ///< id of the target's agent
  std::string target;          ///< id of the target
  std::uint64_t start_id = 0;  ///< when the incarnation started, on the target's clock; 0 if unknown
  duration age{0};             ///< time since the crash was noticed
  std::vector<crashed_task> tasks;
};

/// A job that is known for a limited time.
struct job_expiry {
  std::string job_id;
  duration remaining{0};  ///< time left when the message is sent
};

/// Position of a run among those that wait for capacity at an agent.
struct run_order {
  std::uint32_t priority = 0;  ///< of the queue of the job; 0 is the highest
  duration start_slack{0};     ///< time until the latest start; negative if the run is late
};

/// Request to an agent to start one run.
struct run_start {
  run_key key;
  std::string payload;
  resource_amount need;
  duration start_within{0};        ///< how long the run may wait for free capacity; then it ends with kNoRoom
  std::string queue;               ///< name of the queue of the job
  bool exclusive = false;          ///< nothing else may run at the target during this run
  std::optional<run_order> order;  ///< absent for the order of arrival
};

/// Requests from an entry to an agent.
struct run_requests {
  std::vector<run_start> starts;
  std::vector<run_key> stops;
  std::uint64_t starts_sent = 0;       ///< number of starts that the entry has sent in this session, including these
  std::uint64_t results_received = 0;  ///< sequence number of the newest result that the entry has received
  std::vector<crash_record> crashes;   ///< crashes that the entry has not sent in this session
  /// Jobs that must not be started again, since a start request of theirs without a response may still be executed:
  /// those that the entry has not sent in this session.
  std::vector<job_expiry> unrepeatable;
  /// Revision 0 unless the set has changed since the entry last sent it in this session.
  evacuation_state evacuation;
};

/// How a run ended.
enum class run_outcome : std::uint8_t {
  kDone,          ///< the task completed
  kFailed,        ///< the run failed, whether because of the task or the target
  kStopped,       ///< stopped by a request
  kLost,          ///< it is certainly not running and did not finish
  kNoRoom,        ///< never started: no free capacity in time
  kUnavailable,   ///< never started: the target is leaving, unhealthy or unknown
  kStaleAttempt,  ///< never started: the target has seen this attempt or a higher one
  /// The target was lost while a start request had no response, so that a later incarnation may still execute it: the
  /// task must not be started again. May also be reported for a run that has ended before.
  kUnknown,
};

/// The result of a run.
struct run_result {
  std::uint64_t sequence = 0;  ///< increases with each result that the agent reports to the same entry
  run_key key;
  run_outcome outcome = run_outcome::kLost;
  duration run_time{0};  ///< time from start to end at the target; 0 for a run that never started
  /// Whether a start request of the run had no response: a later incarnation of the target may still execute it.
  bool start_unanswered = false;
};

/// Properties of a target that an entry needs for placement.
struct target_description {
  std::string service;
  std::string failure_domain;
  std::vector<std::string> labels;
  resource_amount capacity;
  bool draining = false;       ///< accepts no new runs
  std::string id;              ///< id of the target; empty if it is unknown
  std::uint64_t start_id = 0;  ///< when its incarnation started, on the target's clock; 0 if unknown
  bool leaving = false;        ///< the target has announced its end
};

/// Report from an agent to an entry.
struct run_report {
  bool has_target = false;  ///< whether `target` is set: in the first report of a session and after a change
  target_description target;
  resource_amount committed;  ///< resources of all runs at the target and of those that wait for capacity
  /// Number of starts received in this session; `committed` includes those that have not ended.
  std::uint64_t starts_received = 0;
  std::vector<run_result> results;
  bool has_inventory = false;        ///< whether `held` is set: in the first report of a session
  std::vector<run_key> active_runs;  ///< runs of this entry that have not ended
  /// Runs of this entry whose starts are not all answered; other runs are not started again by an earlier request.
  std::vector<run_key> unsettled_runs;
  std::vector<crash_record> crashes;  ///< crashes that the agent has not sent in this session
  /// Whether an exclusive run is active or waits; `committed` is then the whole capacity.
  bool exclusive = false;
  std::vector<job_expiry> unrepeatable;  ///< as in run_requests
  /// Jobs of any entry with a start request that the target left without a response, as far as the agent has not sent
  /// them in this session. They are repeatable as long as the agent and its target stay in contact.
  std::vector<job_expiry> unanswered;
  /// Whether the agent takes the reply to a report as contact with the entry, which then sends fewer heartbeats.
  bool replies_are_contact = false;
  evacuation_state evacuation;  ///< as in run_requests
  /// Whether the target executes no more start requests of earlier processes of the agent, and runs none of their runs.
  bool earlier_starts_fenced = false;
};

}  // namespace bamboowing
