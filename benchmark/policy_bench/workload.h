/// @file
/// Job traces and cases of the policy benchmark. A trace depends only on the case and the seed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/base/types.h"

namespace bamboowing::bench {

/// Accuracy of the run times that callers declare.
enum class declared_quality : std::uint8_t {
  kWithinFactorThree,  ///< off by a factor that is log-uniform in [1/3, 3]
  kOffByFactorTen,     ///< ten times too long or ten times too short, with equal chance
  kUnrelated,          ///< a value drawn from the same range, unrelated to the truth
  kNone,               ///< not declared
};

/// Fault of a case; each case has at most one.
enum class fault_kind : std::uint8_t {
  kNone,
  kTargetFailsAll,      ///< a target fails every task at once
  kTargetStraggles,     ///< a target becomes ten times slower
  kTargetLost,          ///< a target and its tasks are lost
  kCancellations,       ///< half of the unfinished jobs are cancelled at once, ten times in the run
  kJobFailsEverywhere,  ///< one job in a hundred fails on every target
};

struct bench_task {
  duration work{0};  ///< run time on a target of speed 1
  std::optional<duration> declared;
};

struct bench_job {
  instant sent;  ///< time at which the client sends the job
  duration deadline{0};
  std::uint32_t team = 0;
  bool fails_everywhere = false;
  std::vector<bench_task> tasks;
};

/// One row of the benchmark.
struct bench_case {
  std::string name;
  double load = 0.8;  ///< offered work as a share of the fleet's capacity
  declared_quality declared = declared_quality::kWithinFactorThree;
  fault_kind fault = fault_kind::kNone;
  bool bursts = false;
  duration target_delay{1500};  ///< one way between dispatcher and target
  duration client_delay{1000};  ///< one way between client and dispatcher
};

/// Slots of each target; both example deployments have about ten minions of eight slots.
inline constexpr std::uint32_t kSlots = 8;
inline constexpr std::uint32_t kTeams = 4;

/// Speeds of the ten targets, from 1x to 4x, scaled so that their mean is 1.
std::vector<double> TargetSpeeds();

/// All cases, in the order of the report.
std::vector<bench_case> AllCases();

/// Jobs of @p scenario in the order of sending.
std::vector<bench_job> MakeTrace(const bench_case& scenario, std::uint64_t seed, std::uint32_t jobs);

std::string QualityName(declared_quality quality);
std::string FaultName(fault_kind fault);

}  // namespace bamboowing::bench
