/// @file
/// What an agent has promised a worker's tasks.
#pragma once

#include <cstdint>
#include <map>

namespace bamboowing {

/// Cores and memory.
struct resource_size {
  double cores = 0;
  std::uint64_t memory_bytes = 0;
};

/// A worker's usage report. It lags behind, so it names the newest grant that it includes.
struct usage_report {
  std::uint64_t last_grant = 0;
  resource_size used;
};

/// Computes what is committed on a worker: the usage of the last report plus everything granted since, whether it ended
/// or not. A task that ended after the report is counted until the next report, which errs on the side of free room
/// that is not used. Not safe for use from several threads.
class worker_commitments {
 public:
  explicit worker_commitments(const resource_size& capacity) : capacity_(capacity) {}

  /// Whether @p size fits beside what is committed and what was asked for.
  bool Fits(const resource_size& size) const;

  /// Counts a start that the worker has not confirmed yet.
  void Reserve(const resource_size& size);

  /// The start was confirmed as the grant @p grant, or refused for 0.
  void Confirm(const resource_size& size, std::uint64_t grant);

  /// Takes a report; ignores one that is older than the newest.
  void ApplyReport(const usage_report& report);

  /// Usage of the last report, grants since, and starts that are not confirmed.
  resource_size Committed() const;

 private:
  const resource_size capacity_;
  usage_report last_report_;
  resource_size unconfirmed_;
  std::map<std::uint64_t, resource_size> unreported_grants_;  // those after the last report
};

}  // namespace bamboowing
