/// @file
/// Job traces and cases of the policy benchmark. All of it is a function of the case and the seed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/base/types.h"

namespace bamboowing::bench {

/// How well callers know the run times that they declare.
enum class declared_quality : std::uint8_t {
  kWithinFactorThree,  ///< off by a factor that is log-uniform in [1/3, 3]
  kOffByFactorTen,     ///< ten times too long or ten times too short, with equal chance
  kUnrelated,          ///< a value drawn from the same range, unrelated to the truth
  kNone,               ///< not declared
};

/// The fault of a case; at most one in each case.
enum class fault_kind : std::uint8_t {
  kNone,
  kTargetFailsAll,      ///< a target answers every task at once with a failure
  kTargetStraggles,     ///< a target becomes ten times slower
  kTargetLost,          ///< a target disappears with its tasks
  kCancellations,       ///< half of the unfinished jobs are cancelled at one moment, ten times in the run
  kJobFailsEverywhere,  ///< one job in a hundred fails on every target
};

struct bench_task {
  duration work{0};  ///< run time on a target of speed 1
  std::optional<duration> declared;
};

struct bench_job {
  instant sent;  ///< when the client sends it
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

/// Slots of each target; both deployments have about ten minions of eight slots.
inline constexpr std::uint32_t kSlots = 8;
inline constexpr std::uint32_t kTeams = 4;

/// Speeds of the ten targets, from 1x to 4x, scaled so that their mean is 1.
std::vector<double> TargetSpeeds();

/// All cases of the ordinary run.
std::vector<bench_case> AllCases();

/// Jobs of @p which in the order of sending.
std::vector<bench_job> MakeTrace(const bench_case& scenario, std::uint64_t seed, std::uint32_t jobs);

std::string QualityName(declared_quality quality);
std::string FaultName(fault_kind fault);

}  // namespace bamboowing::bench
