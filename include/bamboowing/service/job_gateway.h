/// @file
/// Interface between a front end, which serves callers, and the entry that dispatches their best-effort jobs.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "bamboowing/besteffort/dispatch_core.h"
#include "bamboowing/besteffort/job.h"

namespace bamboowing {

/// Requests of a front end to the entry. All functions are thread-safe and return promptly. Each call is answered once
/// through job_listener, unless CallerDisconnected() precedes the answer.
class job_gateway {
 public:
  virtual ~job_gateway() = default;

  /// The queues of the current configuration; nullptr until a configuration has been received.
  virtual std::shared_ptr<const queue_table> Queues() const = 0;

  /// Submits a job; answered with OnJobResult().
  virtual void Submit(call_id call, best_effort_job job, queue_rule queue) = 0;
  /// The caller of a submission is gone: its job is stopped and not answered.
  virtual void CallerDisconnected(call_id call) = 0;
  /// Cancels a job; answered with OnCancelled(), and its submission with OnJobResult().
  virtual void Cancel(call_id call, std::string job_id) = 0;
  /// Answered with OnPhase().
  virtual void QueryPhase(call_id call, std::string job_id) = 0;
  /// Answered with OnPending().
  virtual void QueryPendingJobs(call_id call, std::string queue) = 0;

  /// Whether the entry can accept jobs: it has a configuration and a usable target, and is not shutting down.
  virtual bool Ready() const = 0;
};

/// Receives the entry's answers. All functions are called on the entry's core thread and must not block.
class job_listener {
 public:
  virtual ~job_listener() = default;

  virtual void OnJobResult(const answer_job& answer) = 0;
  virtual void OnCancelled(call_id call, cancel_outcome outcome) = 0;
  /// @p phase is nullopt if this entry has no such job.
  virtual void OnPhase(call_id call, std::optional<job_phase> phase) = 0;
  /// @p jobs is the number of jobs in the queue of which no task has started.
  virtual void OnPending(call_id call, std::uint32_t jobs) = 0;
};

}  // namespace bamboowing
