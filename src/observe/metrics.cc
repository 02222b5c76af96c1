#include "bamboowing/observe/metrics.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/rolling_window.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cmath>
#include <cstdio>
#include <limits>
#include <optional>

namespace bamboowing {
namespace {

namespace acc = boost::accumulators;

/// `rolling_window_plus1` keeps the newest observations, one more than its size, in a circular buffer, so quantiles
/// over them are exact. The library's own quantile estimators cover the whole lifetime of the process instead of a
/// recent window.
using summary =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::rolling_window_plus1>>;

constexpr std::string_view kOverflowLabel = "other";
constexpr double kQuantiles[] = {0.5, 0.99};

std::string FormatNumber(double value) {
  if (std::isnan(value)) {
    return "NaN";
  }
  if (std::isinf(value)) {
    return value > 0 ? "+Inf" : "-Inf";
  }
  char text[32];
  std::snprintf(text, sizeof text, "%.17g", value);
  char shorter[32];
  std::snprintf(shorter, sizeof shorter, "%.15g", value);
  return std::stod(shorter) == value ? shorter : text;
}

std::string Escaped(std::string_view text, bool quotes) {
  std::string out;
  for (const char c : text) {
    if (c == '\\') {
      out += "\\\\";
    } else if (c == '\n') {
      out += "\\n";
    } else if (c == '"' && quotes) {
      out += "\\\"";
    } else {
      out += c;
    }
  }
  return out;
}

std::string LabelPair(std::string_view name, std::string_view value) {
  return std::string(name) + "=\"" + Escaped(value, true) + "\"";
}

/// Returns the labels of one series in braces, or an empty text without labels.
std::string Labels(const metric_row& row, std::string_view value, std::string_view extra) {
  std::string inside;
  if (!row.label.empty()) {
    inside = LabelPair(row.label, value);
  }
  if (!extra.empty()) {
    inside += inside.empty() ? "" : ",";
    inside += extra;
  }
  return inside.empty() ? "" : "{" + inside + "}";
}

void AppendSample(std::string& out, const std::string& name, const std::string& labels, double value) {
  out += name + labels + " " + FormatNumber(value) + "\n";
}

void AppendHeader(std::string& out, const metric_row& row) {
  const std::string name(row.name);
  out += "# HELP " + name + " " + Escaped(row.help, false) + "\n";
  out += "# TYPE " + name + " " + std::string(MetricTypeName(row.type)) + "\n";
}

}  // namespace

struct metrics_registry::series {
  explicit series(metric_type type) {
    if (type == metric_type::kSummary) {
      observed.emplace(acc::rolling_window_size = kWindowObservations - 1);
    }
  }

  std::vector<double> SortedWindow() const {
    std::vector<double> values;
    if (observed && acc::count(*observed) > 0) {
      values.assign(acc::rolling_window_plus1(*observed).begin(), acc::rolling_window_plus1(*observed).end());
      std::sort(values.begin(), values.end());
    }
    return values;
  }

  double value = 0;
  std::optional<summary> observed;
};

namespace {

/// Returns the nearest-rank quantile of sorted values; NaN without values.
double QuantileOf(const std::vector<double>& sorted, double q) {
  if (sorted.empty()) {
    return std::numeric_limits<double>::quiet_NaN();
  }
  const double count = static_cast<double>(sorted.size());
  const double rank = std::ceil(std::clamp(q, 0.0, 1.0) * count);
  return sorted.at(static_cast<std::size_t>(std::max(rank, 1.0)) - 1);
}

}  // namespace

metrics_registry::metrics_registry() : metrics_(kMetricCount) {}

metrics_registry::~metrics_registry() = default;

metrics_registry::series& metrics_registry::FindOrCreate(metric id, std::string_view label) {
  series_map& all = metrics_.at(static_cast<std::size_t>(id));
  const std::string_view wanted = MetricRow(id).label.empty() ? std::string_view() : label;
  const series_map::iterator found = all.find(wanted);
  if (found != all.end()) {
    return *found->second;
  }
  const std::string_view name = all.size() < kSeriesLimit - 1 ? wanted : kOverflowLabel;
  std::unique_ptr<series>& slot = all[std::string(name)];
  if (slot == nullptr) {
    slot = std::make_unique<series>(MetricRow(id).type);
  }
  return *slot;
}

const metrics_registry::series* metrics_registry::FindExisting(metric id, std::string_view label) const {
  const series_map& all = metrics_.at(static_cast<std::size_t>(id));
  const series_map::const_iterator found = all.find(label);
  return found == all.end() ? nullptr : found->second.get();
}

void metrics_registry::Add(metric id, std::string_view label, double amount) {
  FindOrCreate(id, label).value += amount;
}

void metrics_registry::Set(metric id, std::string_view label, double value) {
  series& target = FindOrCreate(id, label);
  const bool counter = MetricRow(id).type == metric_type::kCounter;
  target.value = counter ? std::max(target.value, value) : value;
}

void metrics_registry::Observe(metric id, std::string_view label, double value) {
  series& target = FindOrCreate(id, label);
  if (target.observed) {
    (*target.observed)(value);
  }
}

void metrics_registry::Remove(metric id, std::string_view label) {
  series_map& all = metrics_.at(static_cast<std::size_t>(id));
  const series_map::iterator found = all.find(label);
  if (found != all.end()) {
    all.erase(found);
  }
}

double metrics_registry::Value(metric id, std::string_view label) const {
  const series* found = FindExisting(id, label);
  if (found == nullptr) {
    return 0;
  }
  return found->observed ? static_cast<double>(acc::count(*found->observed)) : found->value;
}

double metrics_registry::Quantile(metric id, std::string_view label, double q) const {
  const series* found = FindExisting(id, label);
  return QuantileOf(found == nullptr ? std::vector<double>() : found->SortedWindow(), q);
}

std::string metrics_registry::ToText() const {
  std::string out;
  for (const metric_row& row : MetricTable()) {
    AppendHeader(out, row);
    const std::string name(row.name);
    for (const series_map::value_type& entry : metrics_.at(static_cast<std::size_t>(row.id))) {
      const series& one = *entry.second;
      if (!one.observed) {
        AppendSample(out, name, Labels(row, entry.first, {}), one.value);
        continue;
      }
      const std::vector<double> sorted = one.SortedWindow();
      for (const double q : kQuantiles) {
        AppendSample(out, name, Labels(row, entry.first, LabelPair("quantile", FormatNumber(q))),
                     QuantileOf(sorted, q));
      }
      AppendSample(out, name + "_sum", Labels(row, entry.first, {}), acc::sum(*one.observed));
      AppendSample(out, name + "_count", Labels(row, entry.first, {}), static_cast<double>(acc::count(*one.observed)));
    }
  }
  return out;
}

}  // namespace bamboowing
