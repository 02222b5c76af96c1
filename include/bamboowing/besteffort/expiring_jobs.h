/// @file
/// Jobs that are known for a limited time, exchanged between processes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/message/best_effort.h"

namespace bamboowing {

/// Set of job ids, each until a time. Processes merge the sets of others: the union depends neither on the order of the
/// additions nor on repetitions. Does no I/O and reads no clock.
class expiring_jobs {
 public:
  /// Beyond this number, the job that expires first is dropped.
  static constexpr std::size_t kMaxJobs = 4096;
  /// A known job whose time is extended by less than this is unchanged. It exceeds the transmission delay, by which
  /// each process that receives a job extends its time.
  static constexpr duration kMinExtension = std::chrono::seconds(1);

  /// Adds a job or extends its time. Returns whether the set has changed.
  bool Add(const std::string& job_id, instant until);

  /// Adds jobs of another process. A time longer than @p max_remaining is shortened to it.
  void Merge(const std::vector<job_expiry>& jobs, duration max_remaining, instant now);

  /// Removes all jobs. The revision does not go back.
  void Clear() { jobs_.clear(); }

  /// Removes the jobs whose time has passed.
  void Expire(instant now);

  bool Contains(const std::string& job_id, instant now) const { return Remaining(job_id, now) > duration(0); }

  /// Time for which the job is still known; 0 if it is not known.
  duration Remaining(const std::string& job_id, instant now) const;

  /// Increases with each change that Since() returns.
  std::uint64_t revision() const { return revision_; }

  /// Jobs added or extended after @p revision that have not expired.
  std::vector<job_expiry> Since(std::uint64_t revision, instant now) const;

  std::size_t size() const { return jobs_.size(); }

 private:
  struct known_job {
    instant until;
    std::uint64_t revision = 0;
  };

  std::map<std::string, known_job> jobs_;
  std::uint64_t revision_ = 0;
};

}  // namespace bamboowing
