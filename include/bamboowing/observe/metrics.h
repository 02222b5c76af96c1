/// @file
/// The metrics of a process: one table that declares them and a registry that holds their values.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// Every metric that a process exports.
enum class metric : std::uint8_t {
  kResponseOverIdeal,
  kMessagesNecessary,
  kMessagesWasted,
  kQueueDepth,
  kTasksInFlight,
  kJobs,
  kRefusals,
  kEjections,
  kRetryBudgetLeft,
  kConfigVersion,
  kConfigAge,
  kControlCpu,
  kControlBytes,
  kSessions,
  kShardEpoch,
  kShardHome,
  kReady,
  kEventsDropped,
  kResponseTime,
  kRunEnds,
  kClaims,
  kEvacuatedDomains,
  kOverloadDecisions,
};

/// Number of metrics; the table in metrics_table.cc has one row for each.
inline constexpr int kMetricCount = static_cast<int>(metric::kOverloadDecisions) + 1;

/// How a metric behaves over time.
enum class metric_type : std::uint8_t {
  kCounter,  ///< never decreases during the lifetime of the process
  kGauge,    ///< the current value
  kSummary,  ///< p50 and p99 of the most recent observations, with sum and count over the lifetime of the process
};

/// One row of the metrics table.
struct metric_row {
  metric id;
  std::string_view name;  ///< name in the exposition format
  metric_type type;
  std::string_view unit;
  std::string_view label;   ///< name of the one label; empty when the metric has none
  std::string_view help;    ///< one sentence
  std::string_view action;  ///< what the on-call engineer does when the value is abnormal
};

/// Returns the whole table, in the order of `metric`.
span<const metric_row> MetricTable();

/// Returns the row for @p id. The reference is valid for the lifetime of the program.
const metric_row& MetricRow(metric id);

/// Returns "counter", "gauge" or "summary".
std::string_view MetricTypeName(metric_type type);

/// Holds the values of all metrics of one process. Not thread-safe: the owner locks it or uses it from one thread only.
/// Reads no clock and owns no thread.
class metrics_registry {
 public:
  /// Number of recent observations that the quantiles of one series cover; about 20 of them are above p99.
  static constexpr std::size_t kWindowObservations = 2048;
  /// Maximum number of series of one metric. Further label values are counted under "other", which bounds memory when
  /// label values come from callers.
  static constexpr std::size_t kSeriesLimit = 256;

  metrics_registry();
  ~metrics_registry();
  metrics_registry(const metrics_registry&) = delete;
  metrics_registry& operator=(const metrics_registry&) = delete;

  /// Adds @p amount, at least 0, to a counter. @p label is the value of the row's label, empty when it has none.
  void Add(metric id, std::string_view label = {}, double amount = 1);

  /// Sets a gauge, or a counter whose total is kept elsewhere, such as CPU time. A counter never decreases.
  void Set(metric id, std::string_view label, double value);

  /// Sets a metric without a label.
  void Set(metric id, double value) { Set(id, {}, value); }

  /// Adds one observation to a summary.
  void Observe(metric id, std::string_view label, double value);

  /// Removes one series, for example that of a shard which this process no longer leads.
  void Remove(metric id, std::string_view label);

  /// Returns the current value of a counter or gauge, or the number of observations of a summary; 0 for an unknown
  /// series.
  double Value(metric id, std::string_view label = {}) const;

  /// Returns the quantile @p q, from 0 to 1, over the recent window of a summary; NaN when it has no observations.
  double Quantile(metric id, std::string_view label, double q) const;

  /// Returns all metrics in the text exposition format. A metric without any series has its # HELP and # TYPE lines
  /// only.
  std::string ToText() const;

 private:
  struct series;
  using series_map = std::map<std::string, std::unique_ptr<series>, std::less<>>;

  series& FindOrCreate(metric id, std::string_view label);
  const series* FindExisting(metric id, std::string_view label) const;

  std::vector<series_map> metrics_;
};

}  // namespace bamboowing
