/// @file
/// Interface between the simulation and a dispatching policy.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/dispatch/settings.h"
#include "bamboowing/message/job.h"
#include "workload.h"

namespace bamboowing::bench {

/// Identifies one attempt of one task of the trace.
struct task_ref {
  std::uint32_t job = 0;
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;
};

/// Messages that a policy sends.
struct policy_actions {
  struct start {
    task_ref task;
    std::uint32_t target = 0;
  };
  std::vector<start> starts;
  std::vector<start> cancels;
  std::vector<std::uint32_t> expired_jobs;
};

/// A dispatching policy under test. Targets are numbered from 0.
class dispatch_policy {
 public:
  dispatch_policy() = default;
  dispatch_policy(const dispatch_policy&) = delete;
  dispatch_policy& operator=(const dispatch_policy&) = delete;
  virtual ~dispatch_policy() = default;

  /// Offers a job. Returns whether it was accepted.
  virtual bool OnJob(instant now, std::uint32_t job, const bench_job& spec, policy_actions& out) = 0;
  /// Reports the result of an attempt.
  virtual void OnAnswer(instant now, task_ref task, std::uint32_t target, task_status status, duration run_time,
                        policy_actions& out) = 0;
  /// Reports that a target had no free slot. Only for policies that do not queue at targets.
  virtual void OnRefused(instant now, task_ref task, policy_actions& out) = 0;
  /// Reports that a target is lost. Appends the tasks that were queued or running there to @p lost.
  virtual void OnTargetLost(instant now, std::uint32_t target, std::vector<task_ref>& lost, policy_actions& out) = 0;
  /// Removes a job that failed, expired or was cancelled, and sends cancels for its tasks in progress.
  virtual void OnCancel(instant now, std::uint32_t job, policy_actions& out) = 0;
  /// Called at the time that next_wakeup() returned.
  virtual void OnWakeup(instant now, policy_actions& out) = 0;
  /// Earliest time at which the policy must act without another event.
  virtual std::optional<instant> next_wakeup() const = 0;
  /// Whether targets keep a queue of their own for this policy.
  virtual bool queues_at_target() const = 0;
};

/// Names of all policies; the first is bamboowing's own.
std::vector<std::string> PolicyNames();

/// Makes the policy @p name for @p targets targets of kSlots slots. An unknown name gives bamboowing's own policy.
/// @param settings settings of bamboowing's dispatcher; the baselines ignore them.
std::unique_ptr<dispatch_policy> MakePolicy(const std::string& name, const dispatch_settings& settings,
                                            std::uint32_t targets, std::uint64_t seed);

/// Makes the policy that wraps bamboowing's dispatcher.
std::unique_ptr<dispatch_policy> MakeBamboowingPolicy(const dispatch_settings& settings, std::uint32_t targets,
                                                      std::uint64_t seed);

}  // namespace bamboowing::bench
