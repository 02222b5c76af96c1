/// @file
/// The jobs of one shard at its home: their results, who waits for them, and how long answers are kept.
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

/// Where the answer to a call goes: to a caller's connection or to the entry that relays the call.
struct reply_route {
  bool relayed = false;
  std::uint64_t id = 0;  ///< call_id or relay_id
};

/// A reply that is ready to be sent.
struct routed_reply {
  reply_route route;
  caller_reply reply;
};

/// A route that waits for the end of a job, and until when.
struct routed_wait {
  reply_route route;
  instant until;
};

/// A job that must be passed on because this entry is no longer home of its shard.
struct displaced_job {
  job_spec job;
  std::vector<routed_wait> waits;
  instant accepted;
};

/// Bounds of a job_table.
struct job_table_limits {
  duration retention = std::chrono::minutes(10);  ///< how long a finished job's answer is kept
  std::size_t retained_bytes = 64U << 20U;        ///< results kept for finished jobs; the oldest go first
  std::size_t remembered_jobs = 200'000;          ///< records of finished jobs without their results
};

/// What a submission met.
enum class submission : std::uint8_t {
  kNew,       ///< no job with this id is known
  kJoined,    ///< the same job is known; the route waits for it or was answered
  kConflict,  ///< a different job has this id; the route was answered
};

/// Keeps the jobs that one home accepted. A job's answer is either complete or failed, never partial: results are only
/// given out when every task succeeded.
class job_table {
 public:
  explicit job_table(const job_table_limits& limits) : limits_(limits) {}

  /// Changes how long answers are kept, also those kept already.
  void SetRetention(duration retention) { limits_.retention = retention; }

  /// Looks for the submitted job. For kNew the caller decides on admission and calls Add().
  submission Find(const job_spec& job, reply_route route, duration wait_limit, instant now);

  /// Adds an accepted job, with the route that waits for it. @p recovered says that an earlier home started some of its
  /// tasks.
  void Add(const job_spec& job, reply_route route, duration wait_limit, instant now, bool recovered = false);

  /// Answers @p route with a refusal; the job is not added.
  void Refuse(const std::string& job_id, reply_route route, failure why);

  /// Waits for or reports a job on behalf of a status call. Returns false if the job is unknown.
  bool Watch(std::string_view job_id, reply_route route, duration wait_limit, instant now);

  /// Stores the result of a task. Late and repeated results change nothing. Returns whether the job ended by it.
  bool SetResult(std::string_view job_id, std::uint32_t task, std::string result, duration run_time, instant now);

  /// Ends an unfinished job as failed. Returns false if the job is unknown or has ended.
  bool Fail(std::string_view job_id, failure why, instant now);

  /// Notes that a task of the job was sent to an agent.
  void MarkStarted(std::string_view job_id);

  /// What can be said about execution when the job fails now: kYes only if no task was ever sent to an agent.
  not_run ExecutionStatement(std::string_view job_id) const;

  /// Removes all jobs that have not ended, with their routes, and appends them to @p out. Nothing is answered.
  void TakeOpen(std::vector<displaced_job>& out);

  /// Adds to the number of messages that the job caused.
  void CountMessages(std::string_view job_id, std::uint32_t messages);

  /// Whether the job is known and not ended.
  bool IsOpen(std::string_view job_id) const;

  /// The accepted job; nullptr if it is unknown or ended. Valid until the next call that is not const.
  const job_spec* OpenJob(std::string_view job_id) const;

  /// Appends the ids of all jobs that have not ended.
  void OpenJobs(std::vector<std::string>& out) const;

  /// Removes a route whose caller has gone. The job goes on.
  void Forget(reply_route route);

  /// Ends waits that reached their limit and drops what was kept long enough.
  void OnTick(instant now);

  /// When OnTick() has something to do; nullopt if never.
  std::optional<instant> next_wakeup() const;

  /// Moves the replies that became ready to @p out.
  void TakeReplies(std::vector<routed_reply>& out);

  /// Moves the ids of jobs whose final answer was handed to a route since the last call to @p out. Agents may drop
  /// their retained answers of these jobs.
  void TakeDelivered(std::vector<std::string>& out);

  std::size_t open_jobs() const { return open_jobs_; }
  std::size_t retained_bytes() const { return retained_bytes_; }

 private:
  struct job_record {
    job_spec spec;
    std::uint64_t fingerprint = 0;
    instant accepted;
    instant ended;
    state_id state{};  ///< in charts/job.yaml
    std::vector<std::optional<std::string>> results;
    std::uint32_t done = 0;
    std::optional<failure> error;
    duration ideal{0};
    std::uint32_t messages = 0;
    bool started = false;
    std::vector<routed_wait> waiters;
    bool results_dropped = false;
    bool delivered = false;
  };
  using route_key = std::pair<bool, std::uint64_t>;
  using record_map = std::unordered_map<std::string, job_record>;

  caller_reply MakeReply(const job_record& job, instant now) const;
  void WaitOrReply(job_record& job, reply_route route, duration wait_limit, instant now);
  void End(job_record& job, instant now);
  void Queue(job_record& job, reply_route route, instant now);
  void DropResults(job_record& job);
  void ForgetOldest();
  job_record* FindRecord(std::string_view job_id);
  const job_record* FindRecord(std::string_view job_id) const;

  job_table_limits limits_;
  record_map jobs_;
  std::map<route_key, std::string> routes_;       ///< job for which a route waits
  std::multimap<instant, std::string> waits_;     ///< end of a wait, job id
  std::multimap<instant, std::string> finished_;  ///< end of a job, job id; oldest first
  std::multimap<instant, std::string> retained_;  ///< like finished_, only jobs whose results are kept
  std::vector<routed_reply> replies_;
  std::vector<std::string> delivered_;
  std::size_t open_jobs_ = 0;
  std::size_t retained_bytes_ = 0;
};

/// A number that differs, with near certainty, between jobs of different content. The deadline, the time of the first
/// sending and the origin of the id do not count, since a resubmission may change them.
std::uint64_t Fingerprint(const job_spec& job);

}  // namespace bamboowing
