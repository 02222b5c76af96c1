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

bool ReadLogs(command_context& context, event_collection& events, command_failure& error) {
  for (const std::string& name : context.ListOption(kOperand)) {
    const std::optional<std::string> text = context.ReadFile(name, error);
    if (!text) {
      return false;
    }
    AppendEventLog(*text, name, events);
  }
  return true;
}

/// Adds the events that the entry still holds, from the operator API.
bool FetchEvents(command_context& context, event_collection& events, command_failure& error) {
  const std::unique_ptr<api_client> server = context.MakeOperatorClient(error);
  if (server == nullptr) {
    return false;
  }
  std::uint64_t after = 0;
  while (true) {
    failure call_error;
    const std::map<std::string, std::string> query = {{"after", std::to_string(after)}};
    const std::optional<http_response> response =
        server->Send(MakeRequest("GET", "/operator/v1/events", {}, query), call_error);
    if (!response || response->status != 200) {
      error = CallFailure(response ? api_client::FailureFromResponse(*response) : call_error);
      return false;
    }
    const std::size_t previous_count = events.events.size();
    AppendEventLog(response->body, "operator", events);
    // The size of a response is limited, so the events are fetched page by page, each after the last sequence number.
    const std::uint64_t last_sequence =
        events.events.size() == previous_count ? 0 : events.events.back().record.sequence;
    if (last_sequence <= after) {
      return true;
    }
    after = last_sequence;
  }
}

duration MillisecondsOption(const command_context& context, const std::string& name, duration default_value) {
  if (!context.HasOption(name)) {
    return default_value;
  }
  return duration(std::llround(context.options()[name].as<double>() * kMicrosecondsPerMillisecond));
}

timeline SelectEvents(const command_context& context, const timeline& all) {
  timeline selected = context.HasOption("job") ? SelectJob(all, context.TextOption("job")) : all;
  if (context.HasOption("from") || context.HasOption("to")) {
    selected = SelectWindow(selected, MillisecondsOption(context, "from", duration::min()),
                            MillisecondsOption(context, "to", duration::max()));
  }
  return selected;
}

bool WriteExports(command_context& context, const timeline& selected, command_failure& error) {
  const std::string title = context.HasOption("job") ? "Job " + context.TextOption("job") : "Time line";
  if (context.HasOption("chrome") &&
      !context.WriteFile(context.TextOption("chrome"), FormatChromeTrace(selected), error)) {
    return false;
  }
  return !context.HasOption("html") ||
         context.WriteFile(context.TextOption("html"), FormatTimelineHtml(selected, title), error);
}

ordered_json ProcessesToJson(const timeline& selected) {
  ordered_json list = ordered_json::array();
  for (const timeline_process& process : selected.processes) {
    ordered_json item;
    item["process"] = process.label;
    item["role"] = process.identity.role;
    item["failure_domain"] = process.identity.failure_domain;
    item["offset_us"] = process.offset.count();
    item["uncertainty_us"] = process.uncertainty ? ordered_json(process.uncertainty->count()) : ordered_json();
    list.push_back(item);
  }
  return list;
}

ordered_json EventsToJson(const timeline& selected) {
  ordered_json list = ordered_json::array();
  for (const timeline_entry& entry : selected.entries) {
    const process_identity& process = selected.processes[entry.process].identity;
    ordered_json item = ordered_json::parse(FormatEvent(entry.record, process));
    item["timeline_us"] = entry.at.count();
    list.push_back(item);
  }
  return list;
}

ordered_json ReportToJson(const invariant_report& report) {
  ordered_json violations = ordered_json::array();
  for (const violation& item : report.violations) {
    violations.push_back({{"rule", InvariantName(item.rule)}, {"text", item.text}});
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
  for (const violation& item : report.violations) {
    print.Line("violation: " + std::string(InvariantName(item.rule)) + ": " + item.text);
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

void PrintTimeline(command_context& context, const timeline& selected, const std::optional<invariant_report>& report) {
  if (context.print().json()) {
    ordered_json body;
    body["processes"] = ProcessesToJson(selected);
    body["events"] = EventsToJson(selected);
    body["contradictions"] = selected.contradictions;
    if (report) {
      body["check"] = ReportToJson(*report);
    }
    context.print().Json(body);
    return;
  }
  if (!context.HasOption("chrome") && !context.HasOption("html") && !context.HasOption("quiet")) {
    context.env().out << FormatTimeline(selected);
  }
  if (report) {
    PrintReport(context.print(), *report);
  }
}

void PrintSkippedLines(printer& print, const event_collection& events) {
  constexpr std::size_t kMaxShownLines = 5;
  for (std::size_t i = 0; i < events.skipped.size() && i < kMaxShownLines; ++i) {
    const skipped_line& line = events.skipped[i];
    print.Notice("skipped " + line.source + ":" + std::to_string(line.line) + ": " + line.reason);
  }
  if (events.skipped.size() > kMaxShownLines) {
    print.Notice("skipped " + std::to_string(events.skipped.size() - kMaxShownLines) + " more lines");
  }
}

exit_code ReportOutcome(printer& print, const timeline& all, const std::optional<invariant_report>& report) {
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

exit_code RunTimeline(command_context& context) {
  command_failure error;
  event_collection events;
  if (context.ListOption(kOperand).empty() && !context.HasOption("fetch")) {
    return context.print().Fail(UsageFailure("no event logs", "Give the files of the processes, or --fetch."));
  }
  if (!ReadLogs(context, events, error) || (context.HasOption("fetch") && !FetchEvents(context, events, error))) {
    return context.print().Fail(error);
  }
  PrintSkippedLines(context.print(), events);
  if (events.events.empty()) {
    return context.print().Fail({exit_code::kInvalidInput,
                                 failure(error_kind::kInvalidField, "the logs hold no events"),
                                 "Check that 'events_file' is set for the processes."});
  }
  const timeline all = MergeTimeline(std::move(events.events));
  const timeline selected = SelectEvents(context, all);
  if (selected.entries.empty()) {
    return context.print().Fail({exit_code::kNotFound, failure(error_kind::kNotFound, "no event matches the selection"),
                                 "Check the job id and the times."});
  }
  if (!WriteExports(context, selected, error)) {
    return context.print().Fail(error);
  }
  std::optional<invariant_report> report;
  if (context.HasOption("check")) {
    report = CheckInvariants(all);
  }
  PrintTimeline(context, selected, report);
  return ReportOutcome(context.print(), all, report);
}

}  // namespace bamboowing::ctl
