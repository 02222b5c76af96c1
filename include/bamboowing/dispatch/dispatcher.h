/// @file
/// The queue of one shard: which waiting task starts next, and on which target.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/error.h"
#include "bamboowing/base/types.h"
#include "bamboowing/dispatch/admission.h"
#include "bamboowing/dispatch/job_queue.h"
#include "bamboowing/dispatch/placement.h"
#include "bamboowing/dispatch/retry_budget.h"
#include "bamboowing/dispatch/run_time_estimator.h"
#include "bamboowing/dispatch/settings.h"
#include "bamboowing/dispatch/target_health.h"
#include "bamboowing/dispatch/target_table.h"
#include "bamboowing/message/batch.h"
#include "bamboowing/message/job.h"

namespace bamboowing {

/// A task that must be started on a target now.
struct assignment {
  task_key key;
  std::string target;
};

/// Whether a task ended with the answer or loss that was reported.
enum class task_outcome : std::uint8_t {
  kFinal,    ///< the answer counts for the job
  kRetried,  ///< an idempotent request was queued again with the next attempt; the answer does not count
  kUnknown,  ///< the dispatcher does not know this attempt; nothing changed
};

/// A change of a target's health, for the event log.
struct health_change {
  std::string target;
  bool ejected = false;  ///< true: receives no work; false: receives work again, at first on a part of its slots
  std::string reason;    ///< for a person
};

/// Depth of one team's queue.
struct team_depth {
  std::string team;
  std::uint32_t waiting = 0;    ///< tasks not yet started
  std::uint32_t in_flight = 0;  ///< tasks started and not yet answered
};

/// Counters of a dispatcher.
struct dispatch_counts {
  std::uint32_t jobs = 0;
  std::uint32_t waiting = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t targets = 0;
  std::uint32_t ejected_targets = 0;
  double retry_budget = 0;  ///< retries that may be made now
};

/// Decides the order of waiting tasks and the target of each. It does no I/O and reads no clock; all calls come from
/// one thread and carry a time that never decreases.
///
/// A job leaves the dispatcher when each of its tasks was dropped or reported by OnAnswered() or OnTaskLost(). Its id
/// may be admitted again after that.
class dispatcher {
 public:
  /// @param seed makes every choice that is left to chance repeatable.
  explicit dispatcher(const dispatch_settings& settings, std::uint64_t seed);

  /// Replaces the shares of all teams. A team that is not named has weight 1, priority 0 and the whole queue.
  void SetTeams(span<const team_share> teams);

  /// Changes limits for what is admitted or retried from now on.
  void SetLimits(const dispatch_limits& limits);

  /// Adds a target with @p slots free slots. A target that is known already gets this number of slots.
  void AddTarget(std::string_view target, std::uint32_t slots, instant now);

  /// Changes how many tasks may run on @p target at the same time. Tasks in flight above the number run to their end.
  void SetUsableSlots(std::string_view target, std::uint32_t slots, instant now);

  /// A draining target receives no new work. Its tasks in flight run to their end.
  void SetTargetDraining(std::string_view target, bool draining, instant now);

  /// Forgets @p target and appends the keys of its tasks in flight to @p in_flight. The caller reports each of them
  /// with OnTaskLost(), OnAnswered() or OnRefused() when its fate is known.
  void RemoveTarget(std::string_view target, instant now, std::vector<task_key>& in_flight);

  /// Queues all tasks of @p job. A refused job leaves no trace and was certainly not run.
  std::optional<failure> Admit(const job_spec& job, instant now);

  /// Queues only the tasks with the indices @p tasks_to_start; the others are not the dispatcher's concern. For
  /// recovery: a job that was accepted by an earlier home is refused only when a bound would be exceeded.
  std::optional<failure> AdmitPartial(const job_spec& job, span<const std::uint32_t> tasks_to_start, instant now);

  /// Drops the waiting tasks of a job and appends the keys of those in flight to @p in_flight. Tasks in flight keep
  /// their slots until they are reported. The cost is proportional to the number of dropped tasks. Has no effect on an
  /// unknown job and may be repeated.
  void CancelJob(std::string_view job_id, instant now, std::vector<task_key>& in_flight);

  /// Drops the waiting tasks of all jobs whose deadline has passed and appends their ids, each once. CancelJob() gives
  /// the tasks in flight of such a job.
  void ExpireJobs(instant now, std::vector<std::string>& job_ids);

  /// Appends the starts that are possible now and counts them as in flight.
  void NextStarts(instant now, std::vector<assignment>& out);

  /// Reports the answer to a start. Frees the slot of @p target.
  task_outcome OnAnswered(const task_answer& answer, std::string_view target, instant now);

  /// Reports that a start was refused and the task certainly not started. The task waits again at its former place with
  /// the next attempt. Has no effect for an unknown attempt.
  void OnRefused(const task_key& key, instant now);

  /// Reports that it is unknown whether the task ran, and that no answer will come.
  task_outcome OnTaskLost(const task_key& key, instant now);

  /// Time of the next call to NextStarts() or ExpireJobs() that has an effect without any other event; nullopt if there
  /// is none.
  std::optional<instant> next_wakeup() const;

  /// Appends the changes of health since the last call, oldest first.
  void DrainHealthChanges(std::vector<health_change>& out);

  /// Current counters.
  dispatch_counts counts() const;

  /// Depth of the queue of each team that has tasks, in the order of names.
  std::vector<team_depth> TeamDepths() const;

 private:
  struct located_task {
    job_index job = 0;
    std::uint32_t task = 0;
  };

  std::optional<located_task> FindInFlight(const task_key& key) const;
  std::optional<failure> AddJob(const job_spec& job, span<const std::uint32_t> tasks_to_start, bool recovered,
                                instant now);
  queued_job MakeJob(const job_spec& job, span<const std::uint32_t> tasks_to_start, instant now);
  void FillTargets(instant now, std::vector<assignment>& out);
  bool FillTarget(const free_slot& slot, instant now, std::vector<assignment>& out);
  void Start(const placement& chosen, const free_slot& slot, instant now, std::vector<assignment>& out);
  bool HoldLimitReached(instant now) const;
  void ReleaseSlot(const located_task& which, instant now);
  void RecordRunTime(const located_task& which, const task_answer& answer, target_index target, instant now);
  void RecordHealth(const located_task& which, task_status status, target_index target, instant now);
  void ApplyHealth(target_index target, health_effect effect, std::string reason);
  bool TryRetry(const located_task& which, target_index failed_on, instant now);
  task_outcome EndTask(const located_task& which);
  void RestoreTargets(instant now);
  task_key KeyOf(job_index job, std::uint32_t task) const;

  dispatch_settings settings_;
  job_queue queue_;
  target_table targets_;
  target_health health_;
  run_time_estimator estimator_;
  admission_control admission_;
  placement_policy placement_;
  retry_budget retries_;
  std::vector<health_change> changes_;
  int blocked_class_ = -1;  // targets of this class of speed and slower ones found no task
  instant blocked_until_;
  std::optional<instant> held_since_;  // set while tasks wait for faster targets although a slot is free
};

}  // namespace bamboowing
