/// @file
/// Finds pairs of events in different processes that are cause and effect.
#pragma once

#include <cstddef>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/observe/event_line.h"

namespace bamboowing {

/// Indices of two causally related events. The cause precedes the effect regardless of the processes' clocks.
struct causal_pair {
  std::size_t cause = 0;
  std::size_t effect = 0;
};

/// Finds the causal pairs in @p events. Events of one process and incarnation must be in recorded order. The pairs are:
///
/// - task_sent at an entry before task_started or task_refused at the agent;
/// - task_answered at the agent before task_answered at an entry, unless the entry records the target as lost;
/// - task_refused at an agent before task_refused at an entry;
/// - session_opened with the same `number` other than 0, at an agent and then at the entry whose `peer` is that agent;
/// - job_relayed before job_accepted, when the acceptance names the relaying entry as its peer, or the accepting entry
///   received no call for the job itself;
/// - job_completed at the shard leader before call_answered with results at another entry.
///
/// Ambiguous pairs are omitted, because a wrong pair would shift the clock of a whole process.
std::vector<causal_pair> FindCausalPairs(span<const recorded_event> events);

}  // namespace bamboowing
