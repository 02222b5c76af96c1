/// @file
/// Settings of the dispatcher. The defaults suit both deployments; benchmark/policy_bench measures them.
#pragma once

#include <cstdint>
#include <string>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// The share of a shard that the operators give to one team.
struct team_share {
  std::string name;
  std::uint32_t weight = 1;    ///< share of the slots relative to the other teams that have waiting work; at least 1
  std::uint32_t priority = 0;  ///< a higher number is admitted into its quota ahead of lower ones
  double queue_share = 1.0;    ///< largest part of `max_waiting_tasks` that the team may hold, in (0, 1]
};

/// Limits and parameters of a dispatcher.
struct dispatch_settings {
  std::uint32_t max_waiting_tasks = 1'000'000;  ///< bound of the queue, in tasks
  std::uint32_t max_jobs = 200'000;             ///< bound of the jobs known at the same time
  std::uint32_t max_targets = 4'096;            ///< bound of the targets known at the same time
  std::uint32_t max_tasks_per_job = 180;        ///< a larger job is refused
  std::uint32_t max_slots_per_target = 1'024;   ///< a larger announcement is cut to this number
};

}  // namespace bamboowing
