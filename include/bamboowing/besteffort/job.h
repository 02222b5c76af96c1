/// @file
/// Best-effort jobs and the configuration of their queues.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/error.h"
#include "bamboowing/base/types.h"
#include "bamboowing/message/best_effort.h"

namespace bamboowing {

/// Configuration of one queue.
struct queue_rule {
  std::string name;
  std::string host;    ///< value of the callers' Host header
  std::string prefix;  ///< path prefix of the queue's jobs; starts and ends with '/'
  std::string service;
  std::uint32_t priority = 0;      ///< 0 is the highest
  std::uint32_t max_attempts = 1;  ///< a task with this many failures fails its job
  double slack_factor = 1;         ///< response objective as a multiple of the job's critical path
  duration target_latency{0};      ///< added to the objective
};

/// Queues of one version of the configuration.
class queue_table {
 public:
  queue_table() = default;
  queue_table(config_version version, std::vector<queue_rule> rules) : version_(version), rules_(std::move(rules)) {}

  /// Returns the queue with the longest matching path prefix at @p host, or nullptr. The pointer is valid as long as
  /// the table.
  const queue_rule* Find(std::string_view host, std::string_view path) const;

  config_version version() const { return version_; }
  const std::vector<queue_rule>& rules() const { return rules_; }

 private:
  config_version version_ = 0;
  std::vector<queue_rule> rules_;
};

/// A set of tasks of a job with the same requirements.
struct job_step {
  std::uint32_t count = 1;
  resource_amount need;
  duration estimate{0};              ///< caller's estimate of the run time of one task; a hint, 0 if absent
  std::vector<std::uint32_t> after;  ///< indexes of earlier steps that must be complete before this one starts
  std::string requirement;           ///< label that the target must have; empty for none
  std::string affinity;              ///< label of targets close to the data; empty for none
  std::uint32_t per_target = 0;      ///< maximum number of concurrent tasks of the step on one target; 0 for no limit
};

/// A job as its caller submitted it.
struct best_effort_job {
  std::string id;
  std::string payload;  ///< passed unchanged to each task
  std::vector<job_step> steps;
  duration deadline{0};  ///< how long the caller waits for the answer; 0 if absent
};

/// Final state of a job as answered to its caller.
enum class job_verdict : std::uint8_t {
  kCompleted,  ///< all tasks are done
  kFailed,     ///< a task has failed max_attempts times
  kCancelled,
  kRefused,  ///< no task has run or will run
  kUnknown,  ///< abandoned; tasks may have run
  /// Abandoned; a task may still be started by an earlier request, so this entry does not start the job again.
  kNotRepeatable,
};

/// Name of an outcome in logs and metrics.
std::string_view RunOutcomeName(run_outcome outcome);

}  // namespace bamboowing
