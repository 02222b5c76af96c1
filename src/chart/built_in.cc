#include <cstdio>
#include <cstdlib>
#include <map>
#include <utility>

#include "bamboowing/chart/state_chart.h"

namespace bamboowing {
namespace embedded {
extern const std::pair<std::string_view, std::string_view> kChartFiles[];
extern const std::size_t kChartFilesCount;
}  // namespace embedded

namespace {

using chart_map = std::map<std::string, state_chart, std::less<>>;

[[noreturn]] void Abort(const std::string& reason) {
  std::fprintf(stderr, "%s\n", reason.c_str());
  std::abort();
}

chart_map LoadAll() {
  chart_map charts;
  for (std::size_t i = 0; i < embedded::kChartFilesCount; ++i) {
    failure error;
    std::optional<state_chart> chart =
        state_chart::Load(embedded::kChartFiles[i].second, embedded::kChartFiles[i].first, error);
    if (!chart) {
      Abort(error.reason);
    }
    std::string name = chart->name();
    charts.emplace(std::move(name), std::move(*chart));
  }
  return charts;
}

const chart_map& Charts() {
  static const chart_map kCharts = LoadAll();
  return kCharts;
}

}  // namespace

const state_chart& BuiltInChart(std::string_view name) {
  const chart_map::const_iterator found = Charts().find(name);
  if (found == Charts().end()) {
    Abort("no state chart '" + std::string(name) + "'");
  }
  return found->second;
}

std::vector<std::string> BuiltInChartNames() {
  std::vector<std::string> names;
  for (const std::pair<const std::string, state_chart>& chart : Charts()) {
    names.push_back(chart.first);
  }
  return names;
}

}  // namespace bamboowing
