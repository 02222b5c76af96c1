#include <cstdio>

#include "bamboowing/observe/timeline.h"

namespace bamboowing {
namespace {

constexpr double kMicrosecondsPerMillisecond = 1000.0;

std::string Padded(std::string text, std::size_t width) {
  if (text.size() < width) {
    text.append(width - text.size(), ' ');
  }
  return text;
}

std::size_t LabelWidth(const timeline& selected) {
  std::size_t width = 0;
  for (const timeline_entry& entry : selected.entries) {
    width = std::max(width, selected.processes.at(entry.process).label.size());
  }
  return width;
}

std::string Milliseconds(duration at) {
  char text[32];
  std::snprintf(text, sizeof text, "%12.3f ms", static_cast<double>(at.count()) / kMicrosecondsPerMillisecond);
  return text;
}

}  // namespace

std::string DescribeEvent(const event& record) {
  std::string text(EventName(record.kind));
  const auto add = [&text](std::string_view name, const std::string& value) {
    text += " " + std::string(name) + " " + value;
  };
  if (!record.job_id.empty()) {
    add("job", record.job_id);
  }
  if (record.task >= 0) {
    add("task", std::to_string(record.task));
  }
  if (record.attempt >= 0) {
    add("attempt", std::to_string(record.attempt));
  }
  if (!record.peer.empty()) {
    add("peer", record.peer);
  }
  if (record.number != 0) {
    add("number", std::to_string(record.number));
  }
  if (record.count >= 0) {
    add("count", std::to_string(record.count));
  }
  if (record.error) {
    add("error", std::string(ErrorRow(*record.error).name));
  }
  if (record.not_run) {
    add("not_run", std::string(NotRunName(*record.not_run)));
  }
  if (!record.detail.empty()) {
    text += " (" + record.detail + ")";
  }
  return text;
}

std::string FormatTimeline(const timeline& selected) {
  const std::size_t width = LabelWidth(selected);
  std::string out;
  for (const timeline_entry& entry : selected.entries) {
    out += Milliseconds(entry.at) + "  " + Padded(selected.processes.at(entry.process).label, width) + "  " +
           DescribeEvent(entry.record) + "\n";
  }
  for (const std::string& contradiction : selected.contradictions) {
    out += "contradiction: " + contradiction + "\n";
  }
  return out;
}

}  // namespace bamboowing
