/// @file
/// Runs one policy over one trace in virtual time.
#pragma once

#include <optional>
#include <vector>

#include "policy.h"
#include "workload.h"

namespace bamboowing::bench {

/// Outcome of a job of the trace.
enum class job_outcome : std::uint8_t { kUnfinished, kCompleted, kRefused, kFailed, kCancelled, kExpired };

/// Results of one simulated run.
struct simulation_result {
  std::vector<job_outcome> outcomes;  ///< in the order of the trace
  std::vector<duration> responses;    ///< from sending by the client to receipt by the client; only for completed jobs
  std::uint64_t messages = 0;         ///< starts, answers, refusals and cancels between dispatcher and targets
  std::uint64_t tasks_started = 0;    ///< distinct tasks for which a start was sent
  std::uint64_t refusals = 0;         ///< starts refused because no slot was free
};

/// Runs @p policy over @p trace with the delays and the fault of @p scenario.
simulation_result RunPolicy(const bench_case& scenario, const std::vector<bench_job>& trace, dispatch_policy& policy,
                            std::uint64_t seed);

}  // namespace bamboowing::bench
