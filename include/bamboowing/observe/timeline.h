/// @file
/// The timeline: events of several processes in one order that is consistent with cause and effect.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/observe/event_line.h"

namespace bamboowing {

/// A line of an event log that could not be read.
struct skipped_line {
  std::string source;    ///< name of the log
  std::size_t line = 0;  ///< from 1
  std::string reason;
};

/// Events read from any number of logs, not yet merged.
struct event_collection {
  std::vector<recorded_event> events;
  std::vector<skipped_line> skipped;
};

/// Reads the lines of one event log and appends them to @p out. A line that is not an event, such as the last line of a
/// crashed process, is skipped and reported.
void AppendEventLog(std::string_view text, std::string_view source, event_collection& out);

/// One process and incarnation of a timeline.
struct timeline_process {
  process_identity identity;
  std::string label;                    ///< the id, with the number of the incarnation if there are several
  duration offset{0};                   ///< added to its clock
  std::optional<duration> uncertainty;  ///< of the offset; nullopt when no pairs of events bound it from both sides
};

/// One event of a timeline.
struct timeline_entry {
  std::size_t process = 0;  ///< index in timeline::processes
  duration at{0};           ///< since the first event
  event record;             ///< as recorded, with the process's own time
};

/// A cause and its effect at another process, as indices in timeline::entries.
struct timeline_link {
  std::size_t cause = 0;
  std::size_t effect = 0;
};

/// Merged events. Events of the same process and incarnation keep their order.
struct timeline {
  std::vector<timeline_process> processes;
  std::vector<timeline_entry> entries;
  std::vector<timeline_link> links;
  /// Human-readable descriptions of events that contradict each other under constant offsets. When empty, no effect
  /// precedes its cause.
  std::vector<std::string> contradictions;
};

/// Merges @p events. Events that occur twice (same process, incarnation and sequence) are merged into one.
timeline MergeTimeline(std::vector<recorded_event> events);

/// Returns the events of one job and the links between them.
timeline SelectJob(const timeline& all, std::string_view job_id);

/// Returns the events with a time from @p from to @p to and the links between them.
timeline SelectWindow(const timeline& all, duration from, duration to);

/// Formats one line for each event, for a terminal, followed by the contradictions.
std::string FormatTimeline(const timeline& selected);

/// Describes an event without its time and process, for example "task_started job a task 3 attempt 0".
std::string DescribeEvent(const event& record);

/// Formats a Chrome trace-event file (JSON), one track for each process.
std::string FormatChromeTrace(const timeline& selected);

/// Formats a self-contained HTML page: an SVG with one lane for each process, and the events as a table.
std::string FormatTimelineHtml(const timeline& selected, std::string_view title);

}  // namespace bamboowing
