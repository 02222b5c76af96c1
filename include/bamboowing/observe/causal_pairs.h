/// @file
/// Finds pairs of events of different processes of which one caused the other.
#pragma once

#include <cstddef>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/observe/event_line.h"

namespace bamboowing {

/// Indices of two events; the cause happened before the effect whatever the clocks say.
struct causal_pair {
  std::size_t cause = 0;
  std::size_t effect = 0;
};

/// Finds the pairs in @p events, in which events of one process and incarnation stand in their recorded order:
///
/// - task_sent at an entry before task_started or task_refused at the agent;
/// - task_answered at the agent before task_answered at an entry, unless the entry records the target as lost;
/// - task_refused at an agent before task_refused at an entry;
/// - session_opened with the same `number` other than 0, at an agent and then at the entry whose `peer` is that agent;
/// - job_relayed before job_accepted, when the acceptance names the relaying entry as its peer, or the accepting entry
///   received no call for the job itself;
/// - job_completed at the home before call_answered with results at another entry.
///
/// A pair is left out when the events allow more than one reading, because a wrong pair would shift a whole process.
std::vector<causal_pair> FindCausalPairs(span<const recorded_event> events);

}  // namespace bamboowing
