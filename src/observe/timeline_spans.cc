#include "bamboowing/observe/timeline_spans.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace bamboowing {
namespace {

/// Identifies a span: kind, process, job, and the number of the task or call.
using span_key = std::tuple<span_kind, std::size_t, std::string, std::int64_t>;

std::optional<span_kind> OpenedBy(const event& record) {
  switch (record.kind) {
    case event_kind::kCallReceived:
      return span_kind::kCall;
    case event_kind::kJobAccepted:
      return span_kind::kJob;
    case event_kind::kTaskSent:
      return span_kind::kInFlight;
    case event_kind::kTaskStarted:
      return span_kind::kRun;
    default:
      return std::nullopt;
  }
}

std::vector<span_kind> ClosedBy(const event& record) {
  switch (record.kind) {
    case event_kind::kCallAnswered:
      return {span_kind::kCall};
    case event_kind::kJobCompleted:
    case event_kind::kJobFailed:
    case event_kind::kJobCancelled:
      return {span_kind::kJob};
    case event_kind::kTaskAnswered:
      return {span_kind::kInFlight, span_kind::kRun};
    case event_kind::kTaskRefused:
      return {span_kind::kInFlight};
    default:
      return {};
  }
}

span_key KeyOf(span_kind kind, const timeline_entry& entry) {
  const event& record = entry.record;
  const std::int64_t work_number = kind == span_kind::kCall  ? static_cast<std::int64_t>(record.number)
                                   : kind == span_kind::kJob ? -1
                                                             : record.task;
  return {kind, entry.process, record.job_id, work_number};
}

/// Assigns each span the first row of its process that is free when the span begins.
void AssignRows(const timeline& selected, std::vector<timeline_span>& spans) {
  std::map<std::size_t, std::vector<duration>> busy_until;
  for (timeline_span& one : spans) {
    const timeline_entry& begin = selected.entries[one.begin];
    std::vector<duration>& rows = busy_until[begin.process];
    const std::vector<duration>::iterator free_row =
        std::find_if(rows.begin(), rows.end(), [&begin](duration end) { return end <= begin.at; });
    one.row = static_cast<std::size_t>(free_row - rows.begin());
    if (free_row == rows.end()) {
      rows.emplace_back();
    }
    rows[one.row] = std::max(selected.entries[one.end].at, begin.at + duration(1));
  }
}

}  // namespace

std::string_view SpanName(span_kind kind) {
  switch (kind) {
    case span_kind::kCall:
      return "call";
    case span_kind::kJob:
      return "job";
    case span_kind::kInFlight:
      return "in flight";
    case span_kind::kRun:
      break;
  }
  return "run";
}

std::vector<timeline_span> FindSpans(const timeline& selected) {
  std::map<span_key, std::size_t> open;
  std::vector<timeline_span> spans;
  for (std::size_t i = 0; i < selected.entries.size(); ++i) {
    const timeline_entry& entry = selected.entries[i];
    for (const span_kind kind : ClosedBy(entry.record)) {
      const std::map<span_key, std::size_t>::iterator begin = open.find(KeyOf(kind, entry));
      if (begin != open.end()) {
        spans.push_back({kind, begin->second, i, 0});
        open.erase(begin);
      }
    }
    const std::optional<span_kind> opened = OpenedBy(entry.record);
    if (opened) {
      open[KeyOf(*opened, entry)] = i;
    }
  }
  std::sort(spans.begin(), spans.end(),
            [](const timeline_span& a, const timeline_span& b) { return a.begin < b.begin; });
  AssignRows(selected, spans);
  return spans;
}

}  // namespace bamboowing
