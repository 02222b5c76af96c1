/// @file
/// Metrics of the policy benchmark and their table and JSON forms.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "simulation.h"

namespace bamboowing::bench {

/// Metrics of one policy in one case. A ratio divides a metric of the policy's response times by the same metric of an
/// ideal scheduler's, both over the jobs that the policy completed, without the first twentieth of the trace.
struct policy_metrics {
  std::string case_name;
  std::string policy;
  double mean = 0;           ///< mean response time over that of the ideal order *shortest*
  double p50 = 0;            ///< median over that of *shortest*
  double p99 = 0;            ///< 99th percentile over that of the ideal order *arrival*
  double worst = 0;          ///< longest response over the longest of *arrival*
  double past_deadline = 0;  ///< share of accepted, not failed and not cancelled jobs that ended late or expired
  double refused = 0;        ///< share of all jobs
  double failed = 0;         ///< share of all jobs
  double in_time = 0;        ///< share of all jobs completed before their deadline
  double wasted = 0;         ///< messages beyond one start and one answer for each started task, over these
  double mean_ms = 0;        ///< mean response
  double p99_ms = 0;         ///< 99th percentile of the responses
  std::uint64_t jobs = 0;    ///< jobs counted as completed
};

/// Computes the metrics of a run; @p shortest and @p arrival are the response times of the ideal schedulers.
policy_metrics ComputeMetrics(const bench_case& scenario, const std::string& policy,
                              const std::vector<bench_job>& trace, const simulation_result& run,
                              const std::vector<duration>& shortest, const std::vector<duration>& arrival);

/// Averages runs of the same case and policy with different seeds.
policy_metrics Average(const std::vector<policy_metrics>& runs);

/// Header and row of the table of results, without the line break.
std::string TableHeader();
std::string TableRow(const policy_metrics& metrics);

nlohmann::json ToJson(const policy_metrics& metrics);

}  // namespace bamboowing::bench
