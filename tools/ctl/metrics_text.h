/// @file
/// Parser for the text exposition format of metrics.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bamboowing::ctl {

/// The value of a metric for one set of labels.
struct metric_sample {
  std::string name;
  std::map<std::string, std::string> labels;
  double value = 0;
};

/// Returns the samples of @p text in order. Comments and malformed lines are skipped.
std::vector<metric_sample> ParseMetrics(std::string_view text);

}  // namespace bamboowing::ctl
