#include "report.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <numeric>

namespace bamboowing::bench {
namespace {

// Learned figures start empty, so the first jobs are not counted. The same holds for every policy.
constexpr std::size_t kWarmUpPart = 20;

double MeanMs(const std::vector<duration>& sorted) {
  const duration sum = std::accumulate(sorted.begin(), sorted.end(), duration(0));
  return sorted.empty() ? 0 : static_cast<double>(sum.count()) / 1e3 / static_cast<double>(sorted.size());
}

double QuantileMs(const std::vector<duration>& sorted, double quantile) {
  if (sorted.empty()) {
    return 0;
  }
  const std::size_t index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
  return static_cast<double>(sorted[std::min(index, sorted.size() - 1)].count()) / 1e3;
}

double Ratio(double value, double base) { return base == 0 ? 0 : value / base; }

struct job_tally {
  double all = 0;
  double refused = 0;
  double failed = 0;
  double owed = 0;  // accepted, not failed, not cancelled
  double late = 0;
  double in_time = 0;
};

job_tally Tally(const std::vector<bench_job>& trace, const run_result& run) {
  job_tally tally;
  for (std::size_t i = trace.size() / kWarmUpPart; i < trace.size(); ++i) {
    const job_end end = run.ends[i];
    const bool completed = end == job_end::kCompleted;
    const bool late = completed && run.responses[i] > trace[i].deadline;
    const bool expired = end == job_end::kExpired || end == job_end::kUnfinished;
    tally.all += 1;
    tally.refused += end == job_end::kRefused ? 1 : 0;
    tally.failed += end == job_end::kFailed ? 1 : 0;
    tally.owed += completed || expired ? 1 : 0;
    tally.late += late || expired ? 1 : 0;
    tally.in_time += completed && !late ? 1 : 0;
  }
  return tally;
}

std::vector<duration> SortedOfCompleted(const std::vector<duration>& responses, const run_result& run) {
  std::vector<duration> result;
  for (std::size_t i = responses.size() / kWarmUpPart; i < responses.size(); ++i) {
    if (run.ends[i] == job_end::kCompleted) {
      result.push_back(responses[i]);
    }
  }
  std::sort(result.begin(), result.end());
  return result;
}

}  // namespace

policy_figures MakeFigures(const bench_case& which, const std::string& policy, const std::vector<bench_job>& trace,
                           const run_result& run, const std::vector<duration>& shortest,
                           const std::vector<duration>& arrival) {
  const std::vector<duration> own = SortedOfCompleted(run.responses, run);
  const std::vector<duration> best_mean = SortedOfCompleted(shortest, run);
  const std::vector<duration> best_tail = SortedOfCompleted(arrival, run);
  const job_tally tally = Tally(trace, run);
  policy_figures figures;
  figures.which = which.name;
  figures.policy = policy;
  figures.jobs = own.size();
  figures.mean_ms = MeanMs(own);
  figures.p99_ms = QuantileMs(own, 0.99);
  figures.mean = Ratio(figures.mean_ms, MeanMs(best_mean));
  figures.p50 = Ratio(QuantileMs(own, 0.5), QuantileMs(best_mean, 0.5));
  figures.p99 = Ratio(figures.p99_ms, QuantileMs(best_tail, 0.99));
  figures.worst = Ratio(QuantileMs(own, 1), QuantileMs(best_tail, 1));
  figures.past_deadline = Ratio(tally.late, tally.owed);
  figures.refused = Ratio(tally.refused, tally.all);
  figures.failed = Ratio(tally.failed, tally.all);
  figures.in_time = Ratio(tally.in_time, tally.all);
  const double necessary = 2.0 * static_cast<double>(run.tasks_started);
  figures.wasted = std::max(0.0, Ratio(static_cast<double>(run.messages) - necessary, necessary));
  return figures;
}

policy_figures Average(const std::vector<policy_figures>& runs) {
  policy_figures sum = runs.front();
  const auto add = [&](double policy_figures::*field) {
    sum.*field = 0;
    for (const policy_figures& run : runs) {
      sum.*field += run.*field / static_cast<double>(runs.size());
    }
  };
  for (double policy_figures::*field :
       {&policy_figures::mean, &policy_figures::p50, &policy_figures::p99, &policy_figures::worst,
        &policy_figures::past_deadline, &policy_figures::refused, &policy_figures::failed, &policy_figures::in_time,
        &policy_figures::wasted, &policy_figures::mean_ms, &policy_figures::p99_ms}) {
    add(field);
  }
  sum.jobs = 0;
  for (const policy_figures& run : runs) {
    sum.jobs += run.jobs;
  }
  return sum;
}

std::string TableHead() {
  return "case                              policy                     mean    p50    p99  worst  late%  refused% "
         "failed% in_time% wasted%  mean_ms   p99_ms";
}

std::string TableLine(const policy_figures& f) {
  std::array<char, 256> line{};
  std::snprintf(line.data(), line.size(),
                "%-33s %-24s %6.3f %6.3f %6.3f %6.3f %6.2f %9.2f %7.2f %8.2f %7.2f %8.0f %8.0f", f.which.c_str(),
                f.policy.c_str(), f.mean, f.p50, f.p99, f.worst, 100 * f.past_deadline, 100 * f.refused, 100 * f.failed,
                100 * f.in_time, 100 * f.wasted, f.mean_ms, f.p99_ms);
  return line.data();
}

nlohmann::json ToJson(const policy_figures& f) {
  return {{"case", f.which},
          {"policy", f.policy},
          {"mean", f.mean},
          {"p50", f.p50},
          {"p99", f.p99},
          {"worst", f.worst},
          {"past_deadline", f.past_deadline},
          {"refused", f.refused},
          {"failed", f.failed},
          {"in_time", f.in_time},
          {"wasted", f.wasted},
          {"mean_ms", f.mean_ms},
          {"p99_ms", f.p99_ms},
          {"jobs", f.jobs}};
}

}  // namespace bamboowing::bench
