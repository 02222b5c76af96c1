/// @file
/// The two ideals: a central queue without delay that knows every run time and every speed.
#pragma once

#include <vector>

#include "workload.h"

namespace bamboowing::bench {

enum class ideal_order : std::uint8_t {
  kShortest,  ///< the job with the least work not yet started first
  kArrival,   ///< first come, first served
};

/// Response time of each job, in the order of the trace. Inside a job the longest task starts first; a task starts only
/// on a free slot, on the fastest target that has one. Faults are not applied.
std::vector<duration> IdealResponses(const std::vector<bench_job>& trace, ideal_order order);

}  // namespace bamboowing::bench
