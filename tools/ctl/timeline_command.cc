#include <cmath>
#include <limits>

#include "bamboowing/observe/invariants.h"
#include "bamboowing/observe/timeline.h"
#include "ctl/command.h"

namespace bamboowing::ctl {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr double kMicrosecondsPerMillisecond = 1000.0;

bool ReadLogs(invocation& call, event_collection& events, command_failure& error) {
  for (const std::string& name : call.List(kOperand)) {
    const std::optional<std::string> text = call.ReadFile(name, error);
    if (!text) {
      return false;
    }
    AppendEventLog(*text, name, events);
  }
  return true;
}

/// Adds the events that the entry still holds.
bool FetchEvents(invocation& call, event_collection& events, command_failure& error) {
  const std::unique_ptr<api_client> server = call.Operator(error);
  if (server == nullptr) {
    return false;
  }
  std::uint64_t after = 0;
  while (true) {
    failure why;
    const std::map<std::string, std::string> query = {{"after", std::to_string(after)}};
    const std::optional<http_response> response =
        server->Send(MakeRequest("GET", "/operator/v1/events", {}, query), why);
    if (!response || response->status != 200) {
      error = CallFailure(response ? api_client::FailureOf(*response) : why);
      return false;
    }
    const std::size_t before = events.events.size();
    AppendEventLog(response->body, "operator", events);
    // One answer is bounded, so the events come in several; the last event's number asks for the next ones.
    const std::uint64_t last = events.events.size() == before ? 0 : events.events.back().record.sequence;
    if (last <= after) {
      return true;
    }
    after = last;
  }
}

duration Milliseconds(const invocation& call, const std::string& name, duration otherwise) {
  if (!call.Has(name)) {
    return otherwise;
  }
  return duration(std::llround(call.options()[name].as<double>() * kMicrosecondsPerMillisecond));
}

timeline Selected(const invocation& call, const timeline& all) {
  timeline selected = call.Has("job") ? SelectJob(all, call.Text("job")) : all;
  if (call.Has("from") || call.Has("to")) {
    selected =
        SelectWindow(selected, Milliseconds(call, "from", duration::min()), Milliseconds(call, "to", duration::max()));
  }
  return selected;
}

bool WriteExports(invocation& call, const timeline& selected, command_failure& error) {
  const std::string title = call.Has("job") ? "Job " + call.Text("job") : "Time line";
  if (call.Has("chrome") && !call.WriteFile(call.Text("chrome"), FormatChromeTrace(selected), error)) {
    return false;
  }
  return !call.Has("html") || call.WriteFile(call.Text("html"), FormatTimelineHtml(selected, title), error);
}

ordered_json ProcessesToJson(const timeline& selected) {
  ordered_json list = ordered_json::array();
  for (const timeline_process& process : selected.processes) {
    ordered_json one;
    one["process"] = process.label;
    one["role"] = process.identity.role;
    one["failure_domain"] = process.identity.failure_domain;
    one["offset_us"] = process.offset.count();
    one["uncertainty_us"] = process.uncertainty ? ordered_json(process.uncertainty->count()) : ordered_json();
    list.push_back(one);
  }
  return list;
}

ordered_json EventsToJson(const timeline& selected) {
  ordered_json list = ordered_json::array();
  for (const timeline_entry& entry : selected.entries) {
    const process_identity& process = selected.processes[entry.process].identity;
    ordered_json one = ordered_json::parse(FormatEvent(entry.record, process));
    one["timeline_us"] = entry.at.count();
    list.push_back(one);
  }
  return list;
}

ordered_json ReportToJson(const invariant_report& report) {
  ordered_json violations = ordered_json::array();
  for (const violation& one : report.violations) {
    violations.push_back({{"rule", InvariantName(one.rule)}, {"text", one.text}});
  }
  return {{"violations", violations},
          {"checked",
           {{"starts", report.starts},
            {"answers", report.answers},
            {"refusals", report.refusals},
            {"configurations", report.configurations},
            {"leaving_targets", report.leaving_targets}}},
          {"missing_events", report.missing_events}};
}

void PrintReport(printer& print, const invariant_report& report) {
  for (const violation& one : report.violations) {
    print.Line("violation: " + std::string(InvariantName(one.rule)) + ": " + one.text);
  }
  print.Line("checked: " + std::to_string(report.starts) + " starts, " + std::to_string(report.answers) + " answers, " +
             std::to_string(report.refusals) + " refusals, " + std::to_string(report.configurations) +
             " configurations, " + std::to_string(report.leaving_targets) + " leaving targets; " +
             std::to_string(report.violations.size()) + " violations");
  if (report.missing_events > 0) {
    print.Line("missing: " + std::to_string(report.missing_events) +
               " events are not in the logs, so a violation may be hidden");
  }
}

void PrintTimeline(invocation& call, const timeline& selected, const std::optional<invariant_report>& report) {
  if (call.print().json()) {
    ordered_json body;
    body["processes"] = ProcessesToJson(selected);
    body["events"] = EventsToJson(selected);
    body["contradictions"] = selected.contradictions;
    if (report) {
      body["check"] = ReportToJson(*report);
    }
    call.print().Json(body);
    return;
  }
  if (!call.Has("chrome") && !call.Has("html") && !call.Has("quiet")) {
    call.env().out << FormatTimeline(selected);
  }
  if (report) {
    PrintReport(call.print(), *report);
  }
}

void NoteSkipped(printer& print, const event_collection& events) {
  constexpr std::size_t kShown = 5;
  for (std::size_t i = 0; i < events.skipped.size() && i < kShown; ++i) {
    const skipped_line& line = events.skipped[i];
    print.Note("skipped " + line.source + ":" + std::to_string(line.line) + ": " + line.reason);
  }
  if (events.skipped.size() > kShown) {
    print.Note("skipped " + std::to_string(events.skipped.size() - kShown) + " more lines");
  }
}

exit_code Finish(printer& print, const timeline& all, const std::optional<invariant_report>& report) {
  if (report && !report->violations.empty()) {
    return print.Fail(
        {exit_code::kViolation,
         failure(error_kind::kInternal, std::to_string(report->violations.size()) + " violations of the guarantees"),
         {}});
  }
  if (!all.contradictions.empty()) {
    return print.Fail(
        {exit_code::kViolation,
         failure(error_kind::kInternal, "the event logs contradict each other: " + all.contradictions.front()),
         "Give logs of one run only, or a shorter window of them."});
  }
  return exit_code::kOk;
}

}  // namespace

void DefineTimeline(cxxopts::Options& options) {
  options.add_options()("fetch", "Add the events that the entry at --operator still holds")(
      "job", "Only events of this job", cxxopts::value<std::string>(), "ID")(
      "from", "Only events from this time on, in ms of the time line", cxxopts::value<double>(), "MS")(
      "to", "Only events up to this time, in ms of the time line", cxxopts::value<double>(), "MS")(
      "chrome", "Write a Chrome trace-event file instead of text", cxxopts::value<std::string>(), "FILE")(
      "html", "Write a page with a drawing instead of text", cxxopts::value<std::string>(), "FILE")(
      "check", "Check the guarantees of the system over all events")("quiet", "Do not print the events");
}

exit_code RunTimeline(invocation& call) {
  command_failure error;
  event_collection events;
  if (call.List(kOperand).empty() && !call.Has("fetch")) {
    return call.print().Fail(UsageFailure("no event logs", "Give the files of the processes, or --fetch."));
  }
  if (!ReadLogs(call, events, error) || (call.Has("fetch") && !FetchEvents(call, events, error))) {
    return call.print().Fail(error);
  }
  NoteSkipped(call.print(), events);
  if (events.events.empty()) {
    return call.print().Fail({exit_code::kInvalidInput, failure(error_kind::kInvalidField, "the logs hold no events"),
                              "Check that 'events_file' is set for the processes."});
  }
  const timeline all = MergeTimeline(std::move(events.events));
  const timeline selected = Selected(call, all);
  if (selected.entries.empty()) {
    return call.print().Fail({exit_code::kNotFound, failure(error_kind::kNotFound, "no event matches the selection"),
                              "Check the job id and the times."});
  }
  if (!WriteExports(call, selected, error)) {
    return call.print().Fail(error);
  }
  std::optional<invariant_report> report;
  if (call.Has("check")) {
    report = CheckInvariants(all);
  }
  PrintTimeline(call, selected, report);
  return Finish(call.print(), all, report);
}

}  // namespace bamboowing::ctl
