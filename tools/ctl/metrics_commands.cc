#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

#include "bamboowing/observe/metrics.h"
#include "ctl/command.h"
#include "ctl/fleet.h"
#include "ctl/metrics_text.h"

namespace bamboowing::ctl {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

std::string FormatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6g", value);
  return text;
}

std::string FormatLabels(const metric_sample& sample) {
  std::string text;
  for (const std::pair<const std::string, std::string>& label : sample.labels) {
    text += (text.empty() ? "" : ", ") + label.first + " " + label.second;
  }
  return text.empty() ? "-" : text;
}

std::optional<std::vector<metric_sample>> FetchMetrics(api_client& server, failure& error) {
  const std::optional<http_response> response = server.Send(MakeRequest("GET", "/metrics"), error);
  if (!response) {
    return std::nullopt;
  }
  if (response->status != 200) {
    error = api_client::FailureFromResponse(*response);
    return std::nullopt;
  }
  return ParseMetrics(response->body);
}

exit_code ExplainMetrics(printer& print, const std::string& name_part) {
  table result{{"METRIC", "TYPE", "UNIT", "LABEL"}, {}};
  ordered_json list = ordered_json::array();
  for (const metric_row& row : MetricTable()) {
    if (row.name.find(name_part) == std::string_view::npos) {
      continue;
    }
    list.push_back({{"name", row.name},
                    {"type", MetricTypeName(row.type)},
                    {"unit", row.unit},
                    {"label", row.label},
                    {"help", row.help},
                    {"action", row.action}});
    if (!print.json()) {
      print.Line(std::string(row.name) + " (" + std::string(MetricTypeName(row.type)) + ", " + std::string(row.unit) +
                 ")");
      print.Line("  " + std::string(row.help));
      print.Line("  Action: " + std::string(row.action));
    }
  }
  if (list.empty()) {
    return print.Fail({exit_code::kNotFound,
                       failure(error_kind::kNotFound, "no metric has '" + name_part + "' in its name"),
                       "See all: bamboowingctl metrics --explain bamboowing."});
  }
  if (print.json()) {
    print.Json(list);
  }
  return exit_code::kOk;
}

/// Sum of the samples of metric @p name over all labels.
double SumSamples(const std::vector<metric_sample>& samples, std::string_view name) {
  double sum = 0;
  for (const metric_sample& sample : samples) {
    sum += sample.name == name ? sample.value : 0;
  }
  return sum;
}

/// Totals over the targets of a service.
struct service_load {
  std::int64_t targets = 0;
  std::int64_t slots = 0;
  std::int64_t in_flight = 0;
  std::int64_t out_of_use = 0;
};

std::map<std::string, service_load> LoadByService(const std::vector<target_row>& targets) {
  std::map<std::string, service_load> services;
  for (const target_row& row : targets) {
    service_load& load = services[row.service];
    ++load.targets;
    load.slots += row.slots;
    load.in_flight += row.in_flight;
    load.out_of_use += IsServing(row.state) ? 0 : 1;
  }
  return services;
}

table LoadTable(const std::map<std::string, service_load>& services) {
  table result{{"SERVICE", "TARGETS", "OUT OF USE", "SLOTS", "IN FLIGHT", "USED"}, {}};
  for (const std::pair<const std::string, service_load>& service : services) {
    const service_load& load = service.second;
    const std::int64_t used = load.slots == 0 ? 0 : 100 * load.in_flight / load.slots;
    result.rows.push_back(
        {service.first, std::to_string(load.targets),
         cell(std::to_string(load.out_of_use), load.out_of_use > 0 ? cell_style::kWarning : cell_style::kPlain),
         std::to_string(load.slots), std::to_string(load.in_flight), std::to_string(used) + "%"});
  }
  return result;
}

/// Rates of this entry, per second, since the previous snapshot.
std::string FormatRates(const std::vector<metric_sample>& current, const std::vector<metric_sample>& previous,
                        duration elapsed) {
  const double seconds = static_cast<double>(elapsed.count()) / 1e6;
  const auto rate = [&](std::string_view name) {
    return (SumSamples(current, name) - SumSamples(previous, name)) / seconds;
  };
  const double necessary = rate("bamboowing_messages_necessary_total");
  const double wasted = rate("bamboowing_messages_wasted_total");
  return "jobs/s " + FormatNumber(rate("bamboowing_jobs_total")) + ", refusals/s " +
         FormatNumber(rate("bamboowing_refusals_total")) + ", messages/s " + FormatNumber(necessary + wasted) +
         ", wasted " + FormatNumber(necessary > 0 ? 100 * wasted / necessary : 0) + "%";
}

/// One snapshot of the data that `bamboowingctl top` shows.
struct top_snapshot {
  target_list targets;
  instance_list instances;
  std::vector<metric_sample> metrics;
  instant at;
};

std::optional<top_snapshot> FetchSnapshot(command_context& context, api_client& server, failure& error) {
  top_snapshot snapshot;
  std::optional<target_list> targets = FetchTargets(server, error);
  std::optional<instance_list> instances = targets ? FetchInstances(server, error) : std::nullopt;
  std::optional<std::vector<metric_sample>> metrics = instances ? FetchMetrics(server, error) : std::nullopt;
  if (!metrics) {
    return std::nullopt;
  }
  return top_snapshot{std::move(*targets), std::move(*instances), std::move(*metrics), context.env().now()};
}

void PrintSnapshot(command_context& context, const top_snapshot& snapshot,
                   const std::optional<top_snapshot>& previous) {
  printer& print = context.print();
  if (print.json()) {
    ordered_json samples = ordered_json::object();
    for (const metric_sample& sample : snapshot.metrics) {
      if (sample.labels.empty()) {
        samples[sample.name] = sample.value;
      }
    }
    print.Json({{"targets", snapshot.targets.body.at("targets")},
                {"instances", snapshot.instances.body.at("instances")},
                {"metrics", samples}});
    return;
  }
  if (context.env().out_is_terminal) {
    context.env().out << "\x1b[H\x1b[2J";
  }
  print.Line("queue " + FormatNumber(SumSamples(snapshot.metrics, "bamboowing_queue_depth_tasks")) +
             " tasks, in flight " + FormatNumber(SumSamples(snapshot.metrics, "bamboowing_tasks_in_flight")) +
             ", configuration " + FormatNumber(SumSamples(snapshot.metrics, "bamboowing_config_version")));
  if (previous && snapshot.at > previous->at) {
    print.Line(FormatRates(snapshot.metrics, previous->metrics, snapshot.at - previous->at));
  }
  print.Line("");
  print.Table(LoadTable(LoadByService(snapshot.targets.rows)));
  print.Line("");
  print.Table(InstanceTable(snapshot.instances.rows));
}

}  // namespace

void DefineMetrics(cxxopts::Options& options) {
  options.add_options()("name", "Only metrics with this text in their name", cxxopts::value<std::string>(), "TEXT")(
      "raw", "Print the text exposition format as received")(
      "explain", "Print unit, meaning and action of metrics by name; needs no server", cxxopts::value<std::string>(),
      "TEXT");
}

exit_code RunMetrics(command_context& context) {
  if (context.HasOption("explain")) {
    return ExplainMetrics(context.print(), context.TextOption("explain"));
  }
  command_failure error;
  failure call_error;
  const std::unique_ptr<api_client> server = context.MakeOperatorClient(error);
  if (server == nullptr) {
    return context.print().Fail(error);
  }
  if (context.HasOption("raw")) {
    const std::optional<http_response> response = server->Send(MakeRequest("GET", "/metrics"), call_error);
    if (!response || response->status != 200) {
      return context.print().Fail(CallFailure(response ? api_client::FailureFromResponse(*response) : call_error));
    }
    context.env().out << response->body;
    return exit_code::kOk;
  }
  const std::optional<std::vector<metric_sample>> samples = FetchMetrics(*server, call_error);
  if (!samples) {
    return context.print().Fail(CallFailure(call_error));
  }
  table result{{"METRIC", "LABELS", "VALUE"}, {}};
  ordered_json list = ordered_json::array();
  for (const metric_sample& sample : *samples) {
    if (sample.name.find(context.TextOption("name")) == std::string::npos) {
      continue;
    }
    result.rows.push_back({sample.name, FormatLabels(sample), FormatNumber(sample.value)});
    const json value = std::isfinite(sample.value) ? json(sample.value) : json();
    list.push_back({{"name", sample.name}, {"labels", sample.labels}, {"value", value}});
  }
  if (context.print().json()) {
    context.print().Json(list);
  } else {
    context.print().Table(result);
  }
  return exit_code::kOk;
}

void DefineTop(cxxopts::Options& options) {
  options.add_options()("interval", "Time between two looks, in seconds", cxxopts::value<double>()->default_value("2"),
                        "S")("count", "Number of looks; default: without end on a terminal, otherwise one",
                             cxxopts::value<std::uint64_t>(), "N");
}

exit_code RunTop(command_context& context) {
  command_failure error;
  const std::optional<duration> interval = context.DurationOption("interval", error);
  const std::unique_ptr<api_client> server = interval ? context.MakeOperatorClient(error) : nullptr;
  if (server == nullptr) {
    return context.print().Fail(error);
  }
  const bool endless = context.env().out_is_terminal && !context.print().json() && !context.HasOption("count");
  const std::uint64_t count = context.HasOption("count") ? context.options()["count"].as<std::uint64_t>() : 1;
  std::optional<top_snapshot> previous;
  for (std::uint64_t i = 0; endless || i < count; ++i) {
    if (i > 0) {
      context.env().sleep(*interval);
    }
    failure call_error;
    std::optional<top_snapshot> snapshot = FetchSnapshot(context, *server, call_error);
    if (!snapshot) {
      return context.print().Fail(CallFailure(call_error));
    }
    PrintSnapshot(context, *snapshot, previous);
    previous = std::move(snapshot);
  }
  return exit_code::kOk;
}

}  // namespace bamboowing::ctl
