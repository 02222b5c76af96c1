/// @file
/// Records which tasks ran at targets when these crashed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/message/best_effort.h"

namespace bamboowing {

/// Crashes of targets in the last `kRetention`, with the tasks that may have caused them. Each process keeps one ledger
/// and merges the records of others, so that the counts outlive the process that noticed a crash. The union of records
/// depends neither on their order nor on repetitions. Does no I/O and reads no clock.
class crash_ledger {
 public:
  /// Number of crashes during runs of a task after which it is not started again.
  static constexpr std::uint32_t kMaxCrashes = 3;
  /// The same if the task ran alone at one of the targets.
  static constexpr std::uint32_t kMaxCrashesAlone = 2;
  /// The same including crashes of targets that may not have started the task.
  static constexpr std::uint32_t kMaxPossibleCrashes = 4;
  /// After a task has been at a second target that crashed, single crashes count against their tasks for this long.
  static constexpr duration kSuspicionTime = std::chrono::seconds(10);
  /// Callers submit a job again within seconds; a record must outlive several submissions.
  static constexpr duration kRetention = std::chrono::seconds(60);
  /// The oldest record is dropped beyond this number.
  static constexpr std::size_t kMaxRecords = 256;
  /// Further tasks of one crash are ignored.
  static constexpr std::size_t kMaxTasks = 256;

  /// Adds a crash, or further tasks or evidence to a known one. Returns the tasks that are new or have more evidence. A
  /// crash without tasks is not recorded.
  std::vector<crashed_task> Add(const crash_record& crash, instant now);

  /// Removes the records older than `kRetention`.
  void Expire(instant now);

  /// Number of crashed targets at which the task ran.
  std::uint32_t CrashesOf(const task_name& task) const;

  /// Whether the task has reached one of the limits.
  bool IsCrashing(const task_name& task) const;

  /// Whether a task of the job has reached one of the limits.
  bool HasCrashingTask(std::string_view job_id) const;

  /// Whether, within `kSuspicionTime`, a task has run at a second target that crashed. Targets that crash for other
  /// reasons rarely hit a task twice.
  bool HasRecentRepetition(instant now) const { return repeated_at_ && now - *repeated_at_ < kSuspicionTime; }

  /// Increases with each change that Since() returns.
  std::uint64_t revision() const { return revision_; }

  /// Records added or extended after @p revision.
  std::vector<crash_record> Since(std::uint64_t revision, instant now) const;

  std::size_t size() const { return records_.size(); }

 private:
  /// Agent, target and start id.
  using record_id = std::tuple<std::string, std::string, std::uint64_t>;

  struct task_record {
    std::string queue;
    crash_evidence evidence = crash_evidence::kMayHaveRun;
  };
  struct record {
    instant noticed_at;
    std::uint64_t revision = 0;
    std::map<task_name, task_record> tasks;
  };
  /// Number of records that name a task, by evidence.
  struct crash_count {
    std::uint32_t possible = 0;  ///< with any evidence
    std::uint32_t ran = 0;       ///< with kRan or kRanAlone
    std::uint32_t alone = 0;
  };
  using record_map = std::map<record_id, record>;

  static bool ReachesLimit(const crash_count& count);
  static void Count(crash_count& count, crash_evidence evidence, std::uint32_t change);
  record_map::iterator Remove(record_map::iterator removed);
  void RemoveOldest();

  record_map records_;
  std::map<task_name, crash_count> counts_;
  std::optional<instant> repeated_at_;  ///< newest crash during a task that had run at another crashed target
  std::uint64_t revision_ = 0;
};

}  // namespace bamboowing
