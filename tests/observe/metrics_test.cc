#include "bamboowing/observe/metrics.h"

#include <gtest/gtest.h>

#include <cmath>
#include <set>

namespace bamboowing {
namespace {

// Guards against a row at the wrong index, and against a metric without a unit, help or action.
TEST(MetricTable, HasACompleteRowForEachMetric) {
  std::set<std::string_view> names;
  int index = 0;
  for (const metric_row& row : MetricTable()) {
    EXPECT_EQ(static_cast<int>(row.id), index++);
    EXPECT_TRUE(names.insert(row.name).second) << row.name;
    EXPECT_EQ(row.name.substr(0, 11), "bamboowing_");
    EXPECT_FALSE(row.unit.empty() || row.help.empty() || row.action.empty()) << row.name;
    const bool total = row.name.size() > 6 && row.name.substr(row.name.size() - 6) == "_total";
    EXPECT_EQ(total, row.type == metric_type::kCounter) << row.name;
  }
}

// Guards against quantiles over the whole lifetime of the process, which hide a change for hours.
TEST(MetricsRegistry, QuantilesCoverTheRecentWindowOnly) {
  metrics_registry registry;
  for (std::size_t i = 0; i < metrics_registry::kWindowObservations; ++i) {
    registry.Observe(metric::kResponseOverIdeal, "seal", 1000.0);
  }
  for (std::size_t i = 1; i <= metrics_registry::kWindowObservations; ++i) {
    registry.Observe(metric::kResponseOverIdeal, "seal", static_cast<double>(i));
  }
  EXPECT_EQ(registry.Quantile(metric::kResponseOverIdeal, "seal", 0.5), 1024);
  EXPECT_EQ(registry.Quantile(metric::kResponseOverIdeal, "seal", 0.99), 2028);
  EXPECT_EQ(registry.Value(metric::kResponseOverIdeal, "seal"), 4096);
  EXPECT_TRUE(std::isnan(registry.Quantile(metric::kResponseOverIdeal, "none", 0.5)));
}

// Guards against text that a scraper rejects: missing headers, labels that are not escaped, a lost series.
TEST(MetricsRegistry, WritesTheTextFormat) {
  metrics_registry registry;
  registry.Add(metric::kJobs, "complete");
  registry.Add(metric::kJobs, "complete", 2);
  registry.Set(metric::kQueueDepth, "a\"b\\c\n/0", 7);
  registry.Set(metric::kConfigVersion, 12345678901.0);
  registry.Observe(metric::kResponseOverIdeal, "seal", 1.25);
  const std::string text = registry.ToText();
  const char* expected[] = {
      "# HELP bamboowing_jobs_total Jobs that ended",
      "# TYPE bamboowing_jobs_total counter\nbamboowing_jobs_total{outcome=\"complete\"} 3\n",
      "# TYPE bamboowing_queue_depth_tasks gauge\nbamboowing_queue_depth_tasks{shard=\"a\\\"b\\\\c\\n/0\"} 7\n",
      "\nbamboowing_config_version 12345678901\n",
      "\nbamboowing_response_over_ideal_ratio{service=\"seal\",quantile=\"0.5\"} 1.25\n",
      "\nbamboowing_response_over_ideal_ratio{service=\"seal\",quantile=\"0.99\"} 1.25\n",
      "\nbamboowing_response_over_ideal_ratio_sum{service=\"seal\"} 1.25\n",
      "\nbamboowing_response_over_ideal_ratio_count{service=\"seal\"} 1\n",
      "# TYPE bamboowing_sessions gauge\n"};
  for (const char* part : expected) {
    EXPECT_NE(text.find(part), std::string::npos) << part << "\nin\n" << text;
  }
}

// Guards against a counter that decreases, and against a series that remains after its shard is gone.
TEST(MetricsRegistry, CountersNeverDecreaseAndSeriesCanBeRemoved) {
  metrics_registry registry;
  registry.Set(metric::kControlCpu, 5);
  registry.Set(metric::kControlCpu, 4);
  EXPECT_EQ(registry.Value(metric::kControlCpu), 5);
  registry.Set(metric::kShardHome, "seal/0", 1);
  registry.Remove(metric::kShardHome, "seal/0");
  EXPECT_EQ(registry.ToText().find("seal/0"), std::string::npos);
}

// Guards against unbounded memory when label values come from callers.
TEST(MetricsRegistry, BoundsTheSeriesOfAMetric) {
  metrics_registry registry;
  for (std::size_t i = 0; i < 2 * metrics_registry::kSeriesLimit; ++i) {
    registry.Add(metric::kRefusals, std::to_string(i));
  }
  EXPECT_EQ(registry.Value(metric::kRefusals, "0"), 1);
  EXPECT_EQ(registry.Value(metric::kRefusals, "other"), metrics_registry::kSeriesLimit + 1);
}

}  // namespace
}  // namespace bamboowing
