/// @file
/// The agent's records of the tasks that it started, and their retained answers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/message/batch.h"

namespace bamboowing {

/// Bounds of a task_ledger.
struct ledger_limits {
  duration retention{0};         ///< an answer is dropped this long after the task ended
  duration record_retention{0};  ///< the record of the start is dropped this long after the task ended
  std::size_t bytes = 0;         ///< bytes of retained answers; the oldest are dropped above it
  std::size_t records = 0;       ///< records of starts; full() is true at this limit
};

/// Record of one started task.
struct task_record {
  std::uint32_t task = 0;
  std::uint32_t started_attempt = 0;  ///< attempt under which it was started
  std::uint32_t latest_attempt = 0;   ///< newest attempt under which an entry sent the start
  held_state state = held_state::kRunning;
  bool released = false;  ///< the job was delivered; the answer of a running task is not retained
  std::optional<task_answer> answer;
};

/// Records which (job, task) pairs were started, regardless of the attempt, and retains their answers within bounds.
///
/// Memory: at most `records` records of about 150 bytes and the job id, `bytes` of answers, and one queue element of 24
/// bytes for each ended task in each of two queues.
class task_ledger {
 public:
  explicit task_ledger(const ledger_limits& limits);

  /// The record of a started task, or nullptr. Valid until the next call that is not const.
  const task_record* Find(const std::string& job_id, std::uint32_t task) const;

  /// Records a start. Must not be called for a task that has a record, nor while full().
  void RecordStart(const task_key& key);

  /// Records that an entry repeated the start of a task, with the attempt of @p key.
  void RecordRepeatedStart(const task_key& key);

  /// Ends a running task and retains its answer. Returns the answer with the latest attempt of the task, or nullopt if
  /// no such task runs.
  std::optional<task_answer> RecordAnswer(const task_answer& answer, instant now);

  /// Drops the answers of a delivered job; the records of its starts stay.
  void Release(const std::string& job_id);

  /// Drops answers and records whose retention has passed.
  void Expire(instant now);

  /// Time at which Expire() next drops something; nullopt if nothing is to expire.
  std::optional<instant> next_expiry() const;

  /// Lists all started tasks; those in state kReleased only if @p with_released.
  std::vector<held_task> Inventory(bool with_released) const;

  /// The records of one job; empty if none of its tasks was started here.
  std::vector<task_record> RecordsOf(const std::string& job_id) const;

  bool full() const { return records_ >= limits_.records; }
  std::size_t running() const { return running_; }
  std::size_t retained() const { return retained_; }
  std::size_t retained_bytes() const { return bytes_; }
  std::size_t records() const { return records_; }

 private:
  using job_map = std::unordered_map<std::string, std::vector<task_record>>;
  /// `job_id` points to a key of jobs_. A job stays in jobs_ while one of its tasks is in a queue.
  struct ended_task {
    instant at;
    const std::string* job_id;
    std::uint32_t task;
  };

  task_record* Lookup(const std::string& job_id, std::uint32_t task);
  void DropAnswer(task_record& record);
  void DropOldestAnswer();
  void DropRecord(const ended_task& ended);

  ledger_limits limits_;
  job_map jobs_;
  std::deque<ended_task> answers_;
  std::deque<ended_task> ended_;
  std::size_t running_ = 0;
  std::size_t retained_ = 0;
  std::size_t bytes_ = 0;
  std::size_t records_ = 0;
};

}  // namespace bamboowing
