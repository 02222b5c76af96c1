#include "workload.h"

#include <algorithm>
#include <cmath>

#include "bamboowing/base/random.h"

namespace bamboowing::bench {
namespace {

constexpr std::uint32_t kTargets = 10;
constexpr double kShortestTaskUs = 50e3;
constexpr double kLongestCommonTaskUs = 1e6;
constexpr double kShortestTailTaskUs = 2e6;
constexpr double kLongestTailTaskUs = 8e6;
constexpr double kTailShare = 0.02;
constexpr double kMaxTasks = 180;
constexpr double kShortestDeadlineUs = 20e6;
constexpr double kLongestDeadlineUs = 40e6;
// In the burst cases a quarter of the jobs arrive within 0.2 s at the start of every 20 s.
constexpr double kBurstPeriodUs = 20e6;
constexpr double kBurstLengthUs = 0.2e6;
constexpr double kBurstShare = 0.25;
constexpr double kFailingJobShare = 0.01;

double LogUniform(seeded_random& random, double low, double high) {
  return low * std::exp(random.Unit() * std::log(high / low));
}

duration Micros(double us) { return duration(static_cast<std::int64_t>(us)); }

double LogUniformMean(double low, double high) { return (high - low) / std::log(high / low); }

double MeanTaskUs() {
  return (1 - kTailShare) * LogUniformMean(kShortestTaskUs, kLongestCommonTaskUs) +
         kTailShare * LogUniformMean(kShortestTailTaskUs, kLongestTailTaskUs);
}

double TaskWorkUs(seeded_random& random) {
  if (random.Unit() < kTailShare) {
    return LogUniform(random, kShortestTailTaskUs, kLongestTailTaskUs);
  }
  return LogUniform(random, kShortestTaskUs, kLongestCommonTaskUs);
}

std::optional<duration> DeclaredRunTime(declared_quality quality, double work_us, seeded_random& random) {
  switch (quality) {
    case declared_quality::kWithinFactorThree:
      return Micros(work_us * LogUniform(random, 1.0 / 3, 3));
    case declared_quality::kOffByFactorTen:
      return Micros(random.Unit() < 0.5 ? work_us * 10 : work_us / 10);
    case declared_quality::kUnrelated:
      return Micros(TaskWorkUs(random));
    case declared_quality::kNone:
      break;
  }
  return std::nullopt;
}

bench_job MakeJob(const bench_case& scenario, seeded_random& random, seeded_random& declared_random) {
  bench_job job;
  job.deadline = Micros(kShortestDeadlineUs + random.Unit() * (kLongestDeadlineUs - kShortestDeadlineUs));
  job.team = static_cast<std::uint32_t>(random.Below(kTeams));
  job.fails_everywhere = random.Unit() < kFailingJobShare && scenario.fault == fault_kind::kJobFailsEverywhere;
  job.tasks.resize(static_cast<std::size_t>(LogUniform(random, 1, kMaxTasks + 1)));
  for (bench_task& task : job.tasks) {
    const double work_us = TaskWorkUs(random);
    task.work = Micros(work_us);
    task.declared = DeclaredRunTime(scenario.declared, work_us, declared_random);
  }
  return job;
}

// Moves a quarter of the arrivals to the start of their burst period.
double BurstTime(double at_us, seeded_random& random) {
  if (random.Unit() >= kBurstShare) {
    return at_us;
  }
  return std::floor(at_us / kBurstPeriodUs) * kBurstPeriodUs + random.Unit() * kBurstLengthUs;
}

void AddDeployments(bench_case scenario, std::vector<bench_case>& out) {
  const std::string name = scenario.name;
  scenario.name = name + "/derwent";
  scenario.target_delay = duration(1500);
  out.push_back(scenario);
  scenario.name = name + "/gulfbright";
  scenario.target_delay = duration(500);
  out.push_back(scenario);
}

}  // namespace

std::vector<double> TargetSpeeds() {
  std::vector<double> speeds;
  for (std::uint32_t i = 0; i < kTargets; ++i) {
    speeds.push_back((1.0 + 3.0 * i / (kTargets - 1)) / 2.5);
  }
  return speeds;
}

std::vector<bench_case> AllCases() {
  std::vector<bench_case> cases;
  for (const double load : {0.5, 0.8, 0.95, 1.2}) {
    for (const declared_quality quality : {declared_quality::kWithinFactorThree, declared_quality::kOffByFactorTen,
                                           declared_quality::kUnrelated, declared_quality::kNone}) {
      bench_case scenario;
      scenario.load = load;
      scenario.declared = quality;
      scenario.name = "load" + std::to_string(std::lround(load * 100)) + "/" + QualityName(quality);
      AddDeployments(scenario, cases);
    }
  }
  bench_case burst;
  burst.name = "bursts80/three";
  burst.bursts = true;
  AddDeployments(burst, cases);
  for (const fault_kind fault : {fault_kind::kTargetFailsAll, fault_kind::kTargetStraggles, fault_kind::kTargetLost,
                                 fault_kind::kCancellations, fault_kind::kJobFailsEverywhere}) {
    bench_case scenario;
    scenario.fault = fault;
    scenario.name = FaultName(fault) + "80/three";
    AddDeployments(scenario, cases);
  }
  return cases;
}

std::vector<bench_job> MakeTrace(const bench_case& scenario, std::uint64_t seed, std::uint32_t jobs) {
  seeded_random random(seed);
  // Declared times have a separate random source, so that all qualities share one trace.
  seeded_random declared_random(~seed);
  const double mean_job_us = MeanTaskUs() * (LogUniformMean(1, kMaxTasks + 1) - 0.5);
  const double capacity = static_cast<double>(kTargets) * kSlots;
  const double mean_gap_us = mean_job_us / (capacity * scenario.load);
  std::vector<bench_job> trace;
  double at_us = 0;
  for (std::uint32_t i = 0; i < jobs; ++i) {
    at_us += -std::log(1 - random.Unit()) * mean_gap_us;
    bench_job job = MakeJob(scenario, random, declared_random);
    job.sent = instant(Micros(scenario.bursts ? BurstTime(at_us, random) : at_us));
    trace.push_back(std::move(job));
  }
  std::stable_sort(trace.begin(), trace.end(), [](const bench_job& a, const bench_job& b) { return a.sent < b.sent; });
  return trace;
}

std::string QualityName(declared_quality quality) {
  switch (quality) {
    case declared_quality::kWithinFactorThree:
      return "three";
    case declared_quality::kOffByFactorTen:
      return "ten";
    case declared_quality::kUnrelated:
      return "unrelated";
    case declared_quality::kNone:
      break;
  }
  return "none";
}

std::string FaultName(fault_kind fault) {
  switch (fault) {
    case fault_kind::kTargetFailsAll:
      return "target_fails_all";
    case fault_kind::kTargetStraggles:
      return "target_straggles";
    case fault_kind::kTargetLost:
      return "target_lost";
    case fault_kind::kCancellations:
      return "cancellations";
    case fault_kind::kJobFailsEverywhere:
      return "job_fails_anywhere";
    case fault_kind::kNone:
      break;
  }
  return "none";
}

}  // namespace bamboowing::bench
