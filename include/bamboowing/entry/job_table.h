/// @file
/// The jobs of one shard at its leader: results, waiting calls and retention of answers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "bamboowing/chart/state_chart.h"
#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/message/job.h"

namespace bamboowing {

/// Where the answer to a call goes: to a caller's connection or to the entry that relayed the call.
struct reply_route {
  bool relayed = false;
  std::uint64_t id = 0;  ///< call_id or relay_id
};

/// A reply that is ready to be sent.
struct routed_reply {
  reply_route route;
  caller_reply reply;
};

/// A call that waits for the end of a job, at most until `until`.
struct reply_waiter {
  reply_route route;
  instant until;
};

/// An unfinished job that must be routed again because this entry no longer leads its shard.
struct displaced_job {
  job_spec job;
  std::vector<reply_waiter> waiters;
  instant accepted_at;
};

/// Bounds of a job_table.
struct job_table_limits {
  duration retention = std::chrono::minutes(10);  ///< how long a finished job's answer is kept
  std::size_t retained_bytes = 64U << 20U;  ///< bytes of results kept for finished jobs; the oldest are dropped first
  std::size_t retained_records = 200'000;   ///< finished jobs whose record is kept, with or without results
};

/// Result of looking up a submitted job.
enum class submission_result : std::uint8_t {
  kNew,       ///< no job with this id is known
  kJoined,    ///< the same job is known; the route waits for it or was answered
  kConflict,  ///< a different job has this id; the route was answered
};

/// Keeps the jobs that one shard leader accepted. A job's answer is either complete or failed, never partial: results
/// are only returned when every task succeeded.
class job_table {
 public:
  explicit job_table(const job_table_limits& limits) : limits_(limits) {}

  /// Changes how long answers are kept, including those of jobs that have already finished.
  void SetRetention(duration retention) { limits_.retention = retention; }

  /// Looks up the submitted job and joins it if it exists. For kNew the caller decides on admission and calls Add().
  submission_result JoinExisting(const job_spec& job, reply_route route, duration wait_limit, instant now);

  /// Adds an accepted job, with the route that waits for it. @p recovered says that an earlier leader started some of
  /// its tasks.
  void Add(const job_spec& job, reply_route route, duration wait_limit, instant now, bool recovered = false);

  /// Answers @p route with a refusal; the job is not added.
  void Refuse(const std::string& job_id, reply_route route, failure error);

  /// Answers a status call when the job ends, at the latest after @p wait_limit. Returns false if the job is unknown.
  bool AnswerStatus(std::string_view job_id, reply_route route, duration wait_limit, instant now);

  /// Stores the result of a task. Late and repeated results are ignored. Returns whether this result completed the job.
  bool SetResult(std::string_view job_id, std::uint32_t task, std::string result, duration run_time, instant now);

  /// Ends an unfinished job as failed. Returns false if the job is unknown or has ended.
  bool Fail(std::string_view job_id, failure error, instant now);

  /// Records that a task of the job was sent to an agent.
  void MarkStarted(std::string_view job_id);

  /// The execution status to report if the job fails now: kYes only if no task was ever sent to an agent.
  not_run_state ExecutionStatus(std::string_view job_id) const;

  /// Removes all jobs that have not ended, with their routes, and appends them to @p out. Nothing is answered.
  void TakeOpenJobs(std::vector<displaced_job>& out);

  /// Adds to the number of messages that the job caused.
  void CountMessages(std::string_view job_id, std::uint32_t messages);

  /// Whether the job is known and not ended.
  bool IsOpen(std::string_view job_id) const;

  /// The accepted job; nullptr if it is unknown or ended. Valid until the next call that is not const.
  const job_spec* OpenJob(std::string_view job_id) const;

  /// Appends the ids of all jobs that have not ended.
  void OpenJobs(std::vector<std::string>& out) const;

  /// Removes a route whose caller has disconnected. The job continues.
  void RemoveRoute(reply_route route);

  /// Answers calls whose wait limit has passed and drops results whose retention has ended.
  void OnTick(instant now);

  /// When OnTick() has something to do; nullopt if never.
  std::optional<instant> next_wakeup() const;

  /// Moves the replies that became ready to @p out.
  void TakeReplies(std::vector<routed_reply>& out);

  /// Moves to @p out the ids of jobs whose final answer was given to a route since the last call. Agents may drop their
  /// retained answers of these jobs.
  void TakeDelivered(std::vector<std::string>& out);

  std::size_t open_jobs() const { return open_jobs_; }
  std::size_t retained_bytes() const { return retained_bytes_; }

 private:
  struct job_record {
    job_spec spec;
    std::uint64_t fingerprint = 0;
    instant accepted_at;
    instant ended_at;
    state_id state{};  ///< in charts/job.yaml
    std::vector<std::optional<std::string>> results;
    std::uint32_t tasks_done = 0;
    std::optional<failure> error;
    duration ideal_time{0};
    std::uint32_t messages = 0;
    bool started = false;
    std::vector<reply_waiter> waiters;
    bool results_dropped = false;
    bool delivered = false;
  };
  using route_key = std::pair<bool, std::uint64_t>;
  using record_map = std::unordered_map<std::string, job_record>;

  caller_reply MakeReply(const job_record& job, instant now) const;
  void WaitOrReply(job_record& job, reply_route route, duration wait_limit, instant now);
  void End(job_record& job, instant now);
  void QueueReply(job_record& job, reply_route route, instant now);
  void DropResults(job_record& job);
  void EvictOldest();
  job_record* FindRecord(std::string_view job_id);
  const job_record* FindRecord(std::string_view job_id) const;

  job_table_limits limits_;
  record_map jobs_;
  std::map<route_key, std::string> routes_;             ///< job for which a route waits
  std::multimap<instant, std::string> wait_deadlines_;  ///< end of a wait, job id
  std::multimap<instant, std::string> finished_;        ///< end of a job, job id; oldest first
  std::multimap<instant, std::string> retained_;        ///< like finished_, only jobs whose results are kept
  std::vector<routed_reply> replies_;
  std::vector<std::string> delivered_;
  std::size_t open_jobs_ = 0;
  std::size_t retained_bytes_ = 0;
};

/// Hash of a job's content, which tells whether two jobs with the same id are the same job. Deadline,
/// `first_sent_ago` and `generated_id` are left out, since a resubmission may change them.
std::uint64_t Fingerprint(const job_spec& job);

}  // namespace bamboowing
