/// @file
/// Accounting of the resources committed to tasks on a worker.
#pragma once

#include <cstdint>
#include <map>

namespace bamboowing {

/// An amount of CPU cores and memory.
struct resource_size {
  double cores = 0;
  std::uint64_t memory_bytes = 0;
};

/// A worker's usage report. Reports lag behind the worker's state, so each one names the newest grant that it includes.
struct usage_report {
  std::uint64_t last_grant = 0;
  resource_size used;
};

/// Computes the resources committed on a worker: the usage in the last report plus all grants since, including those of
/// tasks that have ended. Counting ended tasks until the next report errs on the side of unused capacity. Not
/// thread-safe.
class worker_commitments {
 public:
  explicit worker_commitments(const resource_size& capacity) : capacity_(capacity) {}

  /// Whether @p size fits into the capacity that is not committed.
  bool Fits(const resource_size& size) const;

  /// Adds a start that the worker has not confirmed yet.
  void Reserve(const resource_size& size);

  /// Replaces a reservation by the worker's response: the grant number @p grant, or 0 if the start was refused.
  void Confirm(const resource_size& size, std::uint64_t grant);

  /// Applies a report. Reports older than the last one applied are ignored.
  void ApplyReport(const usage_report& report);

  /// The sum of the last reported usage, later grants and unconfirmed starts.
  resource_size Committed() const;

 private:
  const resource_size capacity_;
  usage_report last_report_;
  resource_size unconfirmed_;
  std::map<std::uint64_t, resource_size> unreported_grants_;  // grants that the last report does not include
};

}  // namespace bamboowing
