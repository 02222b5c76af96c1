/// @file
/// Reads the text exposition format of metrics.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bamboowing::ctl {

/// One sample.
struct metric_sample {
  std::string name;
  std::map<std::string, std::string> labels;
  double value = 0;
};

/// Returns the samples of @p text in their order; comments and lines that cannot be read are left out.
std::vector<metric_sample> ParseMetrics(std::string_view text);

}  // namespace bamboowing::ctl
