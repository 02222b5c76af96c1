/// @file
/// Records which tasks ran at targets when these crashed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
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
  /// Number of crashes after which a task is not started again.
  static constexpr std::uint32_t kMaxCrashes = 2;
  /// Callers submit a job again within seconds; a record must outlive several submissions.
  static constexpr duration kRetention = std::chrono::seconds(60);
  /// The oldest record is dropped beyond this number.
  static constexpr std::size_t kMaxRecords = 256;
  /// Further tasks of one crash are ignored.
  static constexpr std::size_t kMaxTasks = 256;

  /// Adds a crash, or further tasks to a known one. Returns the tasks that the record did not name before. A crash
  /// without tasks is not recorded.
  std::vector<crashed_task> Add(const crash_record& crash, instant now);

  /// Removes the records older than `kRetention`.
  void Expire(instant now);

  /// Number of crashed targets at which the task ran or may have run.
  std::uint32_t CrashesOf(const task_name& task) const;

  /// Whether a task of the job has reached `kMaxCrashes`.
  bool HasCrashingTask(std::string_view job_id) const;

  /// Increases with each change that Since() returns.
  std::uint64_t revision() const { return revision_; }

  /// Records added or extended after @p revision.
  std::vector<crash_record> Since(std::uint64_t revision, instant now) const;

  std::size_t size() const { return records_.size(); }

 private:
  /// Agent, target and start id.
  using record_id = std::tuple<std::string, std::string, std::uint64_t>;

  struct record {
    instant noticed_at;
    std::uint64_t revision = 0;
    std::map<task_name, std::string> queues;  ///< the tasks with their queues
  };
  using record_map = std::map<record_id, record>;

  record_map::iterator Remove(record_map::iterator removed);
  void RemoveOldest();

  record_map records_;
  std::map<task_name, std::uint32_t> counts_;
  std::uint64_t revision_ = 0;
};

}  // namespace bamboowing
