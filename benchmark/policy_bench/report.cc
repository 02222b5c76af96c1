#include "report.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <numeric>

namespace bamboowing::bench {
namespace {

// The first 1/kWarmUpDivisor of the jobs is not counted for any policy, because estimates of speeds and run times start
// empty.
constexpr std::size_t kWarmUpDivisor = 20;

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

struct job_counts {
  double all = 0;
  double refused = 0;
  double failed = 0;
  double due = 0;  // accepted, neither failed nor cancelled
  double late = 0;
  double in_time = 0;
};

job_counts CountJobs(const std::vector<bench_job>& trace, const simulation_result& run) {
  job_counts counts;
  for (std::size_t i = trace.size() / kWarmUpDivisor; i < trace.size(); ++i) {
    const job_outcome outcome = run.outcomes[i];
    const bool completed = outcome == job_outcome::kCompleted;
    const bool late = completed && run.responses[i] > trace[i].deadline;
    const bool expired = outcome == job_outcome::kExpired || outcome == job_outcome::kUnfinished;
    counts.all += 1;
    counts.refused += outcome == job_outcome::kRefused ? 1 : 0;
    counts.failed += outcome == job_outcome::kFailed ? 1 : 0;
    counts.due += completed || expired ? 1 : 0;
    counts.late += late || expired ? 1 : 0;
    counts.in_time += completed && !late ? 1 : 0;
  }
  return counts;
}

std::vector<duration> SortedCompletedResponses(const std::vector<duration>& responses, const simulation_result& run) {
  std::vector<duration> result;
  for (std::size_t i = responses.size() / kWarmUpDivisor; i < responses.size(); ++i) {
    if (run.outcomes[i] == job_outcome::kCompleted) {
      result.push_back(responses[i]);
    }
  }
  std::sort(result.begin(), result.end());
  return result;
}

}  // namespace

policy_metrics ComputeMetrics(const bench_case& scenario, const std::string& policy,
                              const std::vector<bench_job>& trace, const simulation_result& run,
                              const std::vector<duration>& shortest, const std::vector<duration>& arrival) {
  const std::vector<duration> own = SortedCompletedResponses(run.responses, run);
  const std::vector<duration> best_mean = SortedCompletedResponses(shortest, run);
  const std::vector<duration> best_tail = SortedCompletedResponses(arrival, run);
  const job_counts counts = CountJobs(trace, run);
  policy_metrics metrics;
  metrics.case_name = scenario.name;
  metrics.policy = policy;
  metrics.jobs = own.size();
  metrics.mean_ms = MeanMs(own);
  metrics.p99_ms = QuantileMs(own, 0.99);
  metrics.mean = Ratio(metrics.mean_ms, MeanMs(best_mean));
  metrics.p50 = Ratio(QuantileMs(own, 0.5), QuantileMs(best_mean, 0.5));
  metrics.p99 = Ratio(metrics.p99_ms, QuantileMs(best_tail, 0.99));
  metrics.worst = Ratio(QuantileMs(own, 1), QuantileMs(best_tail, 1));
  metrics.past_deadline = Ratio(counts.late, counts.due);
  metrics.refused = Ratio(counts.refused, counts.all);
  metrics.failed = Ratio(counts.failed, counts.all);
  metrics.in_time = Ratio(counts.in_time, counts.all);
  const double necessary = 2.0 * static_cast<double>(run.tasks_started);
  metrics.wasted = std::max(0.0, Ratio(static_cast<double>(run.messages) - necessary, necessary));
  return metrics;
}

policy_metrics Average(const std::vector<policy_metrics>& runs) {
  policy_metrics sum = runs.front();
  const auto add = [&](double policy_metrics::*field) {
    sum.*field = 0;
    for (const policy_metrics& run : runs) {
      sum.*field += run.*field / static_cast<double>(runs.size());
    }
  };
  for (double policy_metrics::*field :
       {&policy_metrics::mean, &policy_metrics::p50, &policy_metrics::p99, &policy_metrics::worst,
        &policy_metrics::past_deadline, &policy_metrics::refused, &policy_metrics::failed, &policy_metrics::in_time,
        &policy_metrics::wasted, &policy_metrics::mean_ms, &policy_metrics::p99_ms}) {
    add(field);
  }
  sum.jobs = 0;
  for (const policy_metrics& run : runs) {
    sum.jobs += run.jobs;
  }
  return sum;
}

std::string TableHeader() {
  return "case                              policy                     mean    p50    p99  worst  late%  refused% "
         "failed% in_time% wasted%  mean_ms   p99_ms";
}

std::string TableRow(const policy_metrics& f) {
  std::array<char, 256> line{};
  std::snprintf(line.data(), line.size(),
                "%-33s %-24s %6.3f %6.3f %6.3f %6.3f %6.2f %9.2f %7.2f %8.2f %7.2f %8.0f %8.0f", f.case_name.c_str(),
                f.policy.c_str(), f.mean, f.p50, f.p99, f.worst, 100 * f.past_deadline, 100 * f.refused, 100 * f.failed,
                100 * f.in_time, 100 * f.wasted, f.mean_ms, f.p99_ms);
  return line.data();
}

nlohmann::json ToJson(const policy_metrics& f) {
  return {{"case", f.case_name},
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
