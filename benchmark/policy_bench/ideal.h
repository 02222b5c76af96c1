/// @file
/// Two ideal schedulers: a central queue without message delays that knows every run time and every speed.
#pragma once

#include <vector>

#include "workload.h"

namespace bamboowing::bench {

enum class ideal_order : std::uint8_t {
  kShortest,  ///< least work not yet started first
  kArrival,   ///< first come, first served
};

/// Returns the response time of each job, in the order of the trace. Within a job the longest task starts first; a task
/// starts on the fastest target that has a free slot. Faults are not applied.
std::vector<duration> IdealResponses(const std::vector<bench_job>& trace, ideal_order order);

}  // namespace bamboowing::bench
