#include "ctl/metrics_text.h"

#include <cstdlib>
#include <optional>

namespace bamboowing::ctl {
namespace {

/// Reads `name="value"` pairs up to the closing brace and removes them from @p text. Returns false when malformed.
bool ConsumeLabels(std::string_view& text, std::map<std::string, std::string>& labels) {
  while (!text.empty() && text.front() != '}') {
    const std::size_t equals = text.find("=\"");
    if (equals == std::string_view::npos) {
      return false;
    }
    std::string& value = labels[std::string(text.substr(0, equals))];
    text.remove_prefix(equals + 2);
    while (!text.empty() && text.front() != '"') {
      if (text.front() == '\\' && text.size() > 1) {
        text.remove_prefix(1);
        value += text.front() == 'n' ? '\n' : text.front();
      } else {
        value += text.front();
      }
      text.remove_prefix(1);
    }
    text.remove_prefix(text.empty() ? 0 : 1);
    if (!text.empty() && text.front() == ',') {
      text.remove_prefix(1);
    }
  }
  if (text.empty()) {
    return false;
  }
  text.remove_prefix(1);
  return true;
}

std::optional<metric_sample> ParseLine(std::string_view line) {
  metric_sample sample;
  const std::size_t name_end = line.find_first_of("{ ");
  if (line.empty() || line.front() == '#' || name_end == std::string_view::npos) {
    return std::nullopt;
  }
  sample.name = std::string(line.substr(0, name_end));
  line.remove_prefix(name_end);
  if (line.front() == '{') {
    line.remove_prefix(1);
    if (!ConsumeLabels(line, sample.labels)) {
      return std::nullopt;
    }
  }
  const std::string number(line);
  char* end = nullptr;
  sample.value = std::strtod(number.c_str(), &end);
  return end == number.c_str() ? std::nullopt : std::optional<metric_sample>(sample);
}

}  // namespace

std::vector<metric_sample> ParseMetrics(std::string_view text) {
  std::vector<metric_sample> samples;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::optional<metric_sample> sample = ParseLine(text.substr(0, end));
    if (sample) {
      samples.push_back(*sample);
    }
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return samples;
}

}  // namespace bamboowing::ctl
