/// @file
/// Between a front that speaks to callers and the entry that dispatches their best-effort jobs.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "bamboowing/besteffort/dispatch_core.h"
#include "bamboowing/besteffort/job.h"

namespace bamboowing {

/// What a front asks of the entry. All functions are safe for use from all threads and return at once; each call is
/// answered once through job_answers, unless CallerGone() comes first.
class job_gateway {
 public:
  virtual ~job_gateway() = default;

  /// The queues of the configuration in force; nullptr until one is known.
  virtual std::shared_ptr<const queue_table> Queues() const = 0;

  virtual void Submit(call_id call, best_effort_job job, queue_rule queue) = 0;
  virtual void CallerDisconnected(call_id call) = 0;
  virtual void Cancel(call_id call, std::string job_id) = 0;
  virtual void QueryPhase(call_id call, std::string job_id) = 0;
  virtual void QueryPendingJobs(call_id call, std::string queue) = 0;

  /// Whether the entry can accept jobs: it knows a configuration and a usable target, and is not shutting down.
  virtual bool Ready() const = 0;
};

/// Receives the entry's answers, on its decision thread. Must not block.
class job_listener {
 public:
  virtual ~job_listener() = default;

  virtual void OnJobResult(const answer_job& answer) = 0;
  /// @p known is false if this entry has no such job.
  virtual void OnCancelled(call_id call, bool found) = 0;
  /// nullopt if this entry has no such job.
  virtual void OnPhase(call_id call, std::optional<job_phase> phase) = 0;
  virtual void OnPending(call_id call, std::uint32_t jobs) = 0;
};

}  // namespace bamboowing
