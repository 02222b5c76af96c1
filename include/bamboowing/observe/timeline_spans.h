/// @file
/// Spans of a timeline: intervals between two events of one process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "bamboowing/observe/timeline.h"

namespace bamboowing {

/// What a span shows.
enum class span_kind : std::uint8_t {
  kCall,      ///< call_received to call_answered
  kJob,       ///< job_accepted to the end of the job at the shard leader
  kInFlight,  ///< task_sent to its answer or refusal at the shard leader
  kRun,       ///< task_started to task_answered at the agent
};

/// Returns "call", "job", "in flight" or "run".
std::string_view SpanName(span_kind kind);

/// A span between two events of one process, as indices in timeline::entries.
struct timeline_span {
  span_kind kind = span_kind::kRun;
  std::size_t begin = 0;
  std::size_t end = 0;
  std::size_t row = 0;  ///< spans of one process that overlap have different rows, from 0
};

/// Finds the spans whose two events are both in @p selected, ordered by their begin.
std::vector<timeline_span> FindSpans(const timeline& selected);

}  // namespace bamboowing
