/// @file
/// Jobs as callers submit them and as they are answered.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/base/error.h"
#include "bamboowing/base/types.h"

namespace bamboowing {

/// One task of a job.
struct task_spec {
  std::string payload;                        ///< passed to the target unchanged
  std::optional<duration> declared_run_time;  ///< run time that the caller expects; a hint, often wrong
  std::uint64_t input_size = 0;               ///< size of the input that the caller declares; a hint, 0 when not given
};

/// A job as submitted. A single request (`POST /v1/requests`) is a job of one task with `request` set.
struct job_spec {
  std::string job_id;  ///< unique for each job; a resubmission carries the same id
  std::string team;
  std::string service;
  duration deadline{0};                    ///< counted from the arrival at the entry
  std::optional<duration> first_sent_ago;  ///< how long ago the caller sent this job for the first time
  bool generated_id = false;               ///< whether the system made the id, so that no earlier copy can exist
  bool is_request = false;                 ///< whether this is a single request
  bool idempotent = false;                 ///< only for a request: whether it may be attempted again
  std::vector<task_spec> tasks;
};

/// How a started task ended.
enum class task_status : std::uint8_t {
  kSucceeded,
  kFailed,     ///< the target reported failure
  kTimeLimit,  ///< stopped because it ran longer than its limit
  kCancelled,  ///< stopped by a cancellation
  kLost,       ///< the connection to the target broke; whether the task ran to its end is unknown
};

/// What a caller or a peer asks of an entry.
enum class caller_verb : std::uint8_t { kSubmit, kStatus, kCancel };

/// A call of a caller, or of an entry that relays it.
struct caller_request {
  caller_verb verb = caller_verb::kSubmit;
  job_spec job;            ///< for kSubmit; for the others only `job_id` is set, and `service` if it is known
  duration wait_limit{0};  ///< how long the answer may wait for the end of the job; 0 answers at once
};

/// State of a job as callers see it.
enum class job_state : std::uint8_t { kQueued, kRunning, kComplete, kFailed };

/// The answer to a call: the state of a job, or a refusal.
struct caller_reply {
  std::string job_id;
  job_state state = job_state::kFailed;
  std::vector<std::string> results;  ///< for kComplete: one for each task, in task order; otherwise empty
  std::optional<failure> error;      ///< for kFailed and for refusals
  std::uint32_t tasks_done = 0;
  std::uint32_t tasks_total = 0;
  duration response_time{0};   ///< from arrival to the end of the job
  duration ideal_time{0};      ///< the longest run time of the job's tasks: the response on a free and equal fleet
  std::uint32_t messages = 0;  ///< messages between processes that this job caused
};

}  // namespace bamboowing
