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

std::string Number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6g", value);
  return text;
}

std::string Labels(const metric_sample& sample) {
  std::string text;
  for (const std::pair<const std::string, std::string>& one : sample.labels) {
    text += (text.empty() ? "" : ", ") + one.first + " " + one.second;
  }
  return text.empty() ? "-" : text;
}

std::optional<std::vector<metric_sample>> FetchMetrics(api_client& server, failure& why) {
  const std::optional<http_response> response = server.Send(MakeRequest("GET", "/metrics"), why);
  if (!response) {
    return std::nullopt;
  }
  if (response->status != 200) {
    why = api_client::FailureOf(*response);
    return std::nullopt;
  }
  return ParseMetrics(response->body);
}

exit_code Explain(printer& print, const std::string& part) {
  table rows{{"METRIC", "TYPE", "UNIT", "LABEL"}, {}};
  ordered_json list = ordered_json::array();
  for (const metric_row& row : MetricTable()) {
    if (row.name.find(part) == std::string_view::npos) {
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
    return print.Fail({exit_code::kNotFound, failure(error_kind::kNotFound, "no metric has '" + part + "' in its name"),
                       "See all: bamboowingctl metrics --explain bamboowing."});
  }
  if (print.json()) {
    print.Json(list);
  }
  return exit_code::kOk;
}

/// Sum of the samples called @p name.
double Sum(const std::vector<metric_sample>& samples, std::string_view name) {
  double sum = 0;
  for (const metric_sample& sample : samples) {
    sum += sample.name == name ? sample.value : 0;
  }
  return sum;
}

/// Sums of one service's targets.
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
  table rows{{"SERVICE", "TARGETS", "OUT OF USE", "SLOTS", "IN FLIGHT", "USED"}, {}};
  for (const std::pair<const std::string, service_load>& one : services) {
    const service_load& load = one.second;
    const std::int64_t used = load.slots == 0 ? 0 : 100 * load.in_flight / load.slots;
    rows.rows.push_back({one.first, std::to_string(load.targets),
                         cell(std::to_string(load.out_of_use), load.out_of_use > 0 ? tone::kWarning : tone::kPlain),
                         std::to_string(load.slots), std::to_string(load.in_flight), std::to_string(used) + "%"});
  }
  return rows;
}

/// Rates of this entry since the previous look.
std::string Rates(const std::vector<metric_sample>& now, const std::vector<metric_sample>& before, duration passed) {
  const double seconds = static_cast<double>(passed.count()) / 1e6;
  const auto rate = [&](std::string_view name) { return (Sum(now, name) - Sum(before, name)) / seconds; };
  const double necessary = rate("bamboowing_messages_necessary_total");
  const double wasted = rate("bamboowing_messages_wasted_total");
  return "jobs/s " + Number(rate("bamboowing_jobs_total")) + ", refusals/s " +
         Number(rate("bamboowing_refusals_total")) + ", messages/s " + Number(necessary + wasted) + ", wasted " +
         Number(necessary > 0 ? 100 * wasted / necessary : 0) + "%";
}

/// One look at the system.
struct top_view {
  target_answer targets;
  instance_answer instances;
  std::vector<metric_sample> metrics;
  instant at;
};

std::optional<top_view> Look(invocation& call, api_client& server, failure& why) {
  top_view view;
  std::optional<target_answer> targets = FetchTargets(server, why);
  std::optional<instance_answer> instances = targets ? FetchInstances(server, why) : std::nullopt;
  std::optional<std::vector<metric_sample>> metrics = instances ? FetchMetrics(server, why) : std::nullopt;
  if (!metrics) {
    return std::nullopt;
  }
  return top_view{std::move(*targets), std::move(*instances), std::move(*metrics), call.env().now()};
}

void PrintView(invocation& call, const top_view& view, const std::optional<top_view>& before) {
  printer& print = call.print();
  if (print.json()) {
    ordered_json samples = ordered_json::object();
    for (const metric_sample& sample : view.metrics) {
      if (sample.labels.empty()) {
        samples[sample.name] = sample.value;
      }
    }
    print.Json({{"targets", view.targets.body.at("targets")},
                {"instances", view.instances.body.at("instances")},
                {"metrics", samples}});
    return;
  }
  if (call.env().out_is_terminal) {
    call.env().out << "\x1b[H\x1b[2J";
  }
  print.Line("queue " + Number(Sum(view.metrics, "bamboowing_queue_depth_tasks")) + " tasks, in flight " +
             Number(Sum(view.metrics, "bamboowing_tasks_in_flight")) + ", configuration " +
             Number(Sum(view.metrics, "bamboowing_config_version")));
  if (before && view.at > before->at) {
    print.Line(Rates(view.metrics, before->metrics, view.at - before->at));
  }
  print.Line("");
  print.Table(LoadTable(LoadByService(view.targets.rows)));
  print.Line("");
  print.Table(InstanceTable(view.instances.rows));
}

}  // namespace

void DefineMetrics(cxxopts::Options& options) {
  options.add_options()("name", "Only metrics with this text in their name", cxxopts::value<std::string>(), "TEXT")(
      "raw", "Print the text exposition format as received")(
      "explain", "Print unit, meaning and action of metrics by name; needs no server", cxxopts::value<std::string>(),
      "TEXT");
}

exit_code RunMetrics(invocation& call) {
  if (call.Has("explain")) {
    return Explain(call.print(), call.Text("explain"));
  }
  command_failure error;
  failure why;
  const std::unique_ptr<api_client> server = call.Operator(error);
  if (server == nullptr) {
    return call.print().Fail(error);
  }
  if (call.Has("raw")) {
    const std::optional<http_response> response = server->Send(MakeRequest("GET", "/metrics"), why);
    if (!response || response->status != 200) {
      return call.print().Fail(CallFailure(response ? api_client::FailureOf(*response) : why));
    }
    call.env().out << response->body;
    return exit_code::kOk;
  }
  const std::optional<std::vector<metric_sample>> samples = FetchMetrics(*server, why);
  if (!samples) {
    return call.print().Fail(CallFailure(why));
  }
  table rows{{"METRIC", "LABELS", "VALUE"}, {}};
  ordered_json list = ordered_json::array();
  for (const metric_sample& sample : *samples) {
    if (sample.name.find(call.Text("name")) == std::string::npos) {
      continue;
    }
    rows.rows.push_back({sample.name, Labels(sample), Number(sample.value)});
    const json value = std::isfinite(sample.value) ? json(sample.value) : json();
    list.push_back({{"name", sample.name}, {"labels", sample.labels}, {"value", value}});
  }
  if (call.print().json()) {
    call.print().Json(list);
  } else {
    call.print().Table(rows);
  }
  return exit_code::kOk;
}

void DefineTop(cxxopts::Options& options) {
  options.add_options()("interval", "Time between two looks, in seconds", cxxopts::value<double>()->default_value("2"),
                        "S")("count", "Number of looks; default: without end on a terminal, otherwise one",
                             cxxopts::value<std::uint64_t>(), "N");
}

exit_code RunTop(invocation& call) {
  command_failure error;
  const std::optional<duration> interval = call.Seconds("interval", error);
  const std::unique_ptr<api_client> server = interval ? call.Operator(error) : nullptr;
  if (server == nullptr) {
    return call.print().Fail(error);
  }
  const bool endless = call.env().out_is_terminal && !call.print().json() && !call.Has("count");
  const std::uint64_t count = call.Has("count") ? call.options()["count"].as<std::uint64_t>() : 1;
  std::optional<top_view> before;
  for (std::uint64_t i = 0; endless || i < count; ++i) {
    if (i > 0) {
      call.env().sleep(*interval);
    }
    failure why;
    std::optional<top_view> view = Look(call, *server, why);
    if (!view) {
      return call.print().Fail(CallFailure(why));
    }
    PrintView(call, *view, before);
    before = std::move(view);
  }
  return exit_code::kOk;
}

}  // namespace bamboowing::ctl
