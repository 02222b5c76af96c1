#include <nlohmann/json.hpp>

#include "bamboowing/observe/timeline.h"
#include "bamboowing/observe/timeline_spans.h"

namespace bamboowing {
namespace {

using nlohmann::ordered_json;

ordered_json Item(const char* phase, std::string_view name, const timeline_entry& entry) {
  ordered_json item;
  item["ph"] = phase;
  item["name"] = name;
  item["ts"] = entry.at.count();
  item["pid"] = entry.process;
  item["tid"] = 0;
  return item;
}

ordered_json Arguments(const event& record) {
  ordered_json arguments;
  arguments["event"] = DescribeEvent(record);
  arguments["recorded_at_us"] = record.at.time_since_epoch().count();
  return arguments;
}

std::string SpanLabel(const timeline_span& one, const event& record) {
  std::string label(SpanName(one.kind));
  label += " " + record.job_id;
  return record.task < 0 ? label : label + "/" + std::to_string(record.task);
}

void AddProcesses(const timeline& selected, ordered_json& items) {
  for (std::size_t i = 0; i < selected.processes.size(); ++i) {
    const timeline_process& process = selected.processes[i];
    ordered_json item;
    item["ph"] = "M";
    item["name"] = "process_name";
    item["pid"] = i;
    item["args"]["name"] = process.label + " (" + process.identity.role + ", " + process.identity.failure_domain + ")";
    items.push_back(item);
  }
}

/// Spans are written as asynchronous events, because spans of one process overlap and duration events of one track must
/// nest.
void AddSpans(const timeline& selected, ordered_json& items) {
  std::size_t id = 0;
  for (const timeline_span& one : FindSpans(selected)) {
    const timeline_entry& begin = selected.entries[one.begin];
    const std::string label = SpanLabel(one, begin.record);
    ++id;
    for (const bool opens : {true, false}) {
      const timeline_entry& entry = opens ? begin : selected.entries[one.end];
      ordered_json item = Item(opens ? "b" : "e", label, entry);
      item["cat"] = SpanName(one.kind);
      item["id"] = id;
      item["args"] = Arguments(entry.record);
      items.push_back(item);
    }
  }
}

void AddInstants(const timeline& selected, ordered_json& items) {
  for (const timeline_entry& entry : selected.entries) {
    ordered_json item = Item("i", EventName(entry.record.kind), entry);
    item["s"] = "t";
    item["args"] = Arguments(entry.record);
    items.push_back(item);
  }
}

void AddLinks(const timeline& selected, ordered_json& items) {
  std::size_t id = 0;
  for (const timeline_link& link : selected.links) {
    ++id;
    for (const bool starts : {true, false}) {
      ordered_json item = Item(starts ? "s" : "f", "causes", selected.entries[starts ? link.cause : link.effect]);
      item["cat"] = "link";
      item["id"] = id;
      if (!starts) {
        item["bp"] = "e";
      }
      items.push_back(item);
    }
  }
}

}  // namespace

std::string FormatChromeTrace(const timeline& selected) {
  ordered_json file;
  ordered_json& items = file["traceEvents"] = ordered_json::array();
  AddProcesses(selected, items);
  AddSpans(selected, items);
  AddInstants(selected, items);
  AddLinks(selected, items);
  file["displayTimeUnit"] = "ms";
  file["otherData"]["contradictions"] = selected.contradictions;
  return file.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

}  // namespace bamboowing
