#include <algorithm>

#include "ctl/command.h"
#include "ctl/fleet.h"

namespace bamboowing::ctl {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr int kDrainAttempts = 5;
constexpr duration kDrainPollInterval = std::chrono::milliseconds(500);

bool MatchesFilter(const command_context& context, const target_row& row) {
  const std::string service = context.TextOption("service");
  const std::string state = context.TextOption("state");
  return (service.empty() || row.service == service) && (state.empty() || row.state == state);
}

/// Tasks in flight at @p target; nullopt if the server no longer lists it.
std::optional<std::int64_t> TasksInFlight(const target_list& targets, const std::string& target) {
  for (const target_row& row : targets.rows) {
    if (row.id == target) {
      return row.in_flight;
    }
  }
  return std::nullopt;
}

exit_code WaitForDrain(command_context& context, api_client& server, const std::string& target, duration limit) {
  const instant started_at = context.env().now();
  while (true) {
    failure call_error;
    const std::optional<target_list> targets = FetchTargets(server, call_error);
    if (!targets) {
      return context.print().Fail(
          CallFailure(call_error, "The drain was accepted. Check with: bamboowingctl target list."));
    }
    const std::optional<std::int64_t> running = TasksInFlight(*targets, target);
    if (running.value_or(0) == 0) {
      context.print().EndProgress();
      return exit_code::kOk;
    }
    const duration waited = context.env().now() - started_at;
    if (waited >= limit) {
      return context.print().Fail(
          {exit_code::kTimeout,
           failure(error_kind::kDeadlineExceeded,
                   target + " still runs " + std::to_string(*running) + " tasks after " + FormatDuration(waited)),
           "The drain continues. Check with: bamboowingctl target list."});
    }
    context.print().Progress(target + ": " + std::to_string(*running) + " tasks in flight, " + FormatDuration(waited));
    context.env().sleep(kDrainPollInterval);
  }
}

}  // namespace

void DefineTargetList(cxxopts::Options& options) {
  options.add_options()("service", "Only targets of this service", cxxopts::value<std::string>(), "SERVICE")(
      "state", "Only targets in this state", cxxopts::value<std::string>(), "STATE");
}

exit_code RunTargetList(command_context& context) {
  command_failure error;
  const std::unique_ptr<api_client> server = context.MakeOperatorClient(error);
  if (server == nullptr) {
    return context.print().Fail(error);
  }
  failure call_error;
  std::optional<target_list> targets = FetchTargets(*server, call_error);
  if (!targets) {
    return context.print().Fail(CallFailure(call_error));
  }
  if (context.print().json()) {
    ordered_json list = ordered_json::array();
    for (const json& row : targets->body.at("targets")) {
      target_row key;
      key.service = row.value("service", "");
      key.state = row.value("state", "");
      if (MatchesFilter(context, key)) {
        list.push_back(ordered_json(row));
      }
    }
    context.print().Json({{"targets", list}});
    return exit_code::kOk;
  }
  std::vector<target_row>& rows = targets->rows;
  rows.erase(std::remove_if(rows.begin(), rows.end(),
                            [&context](const target_row& row) { return !MatchesFilter(context, row); }),
             rows.end());
  context.print().Table(TargetTable(rows));
  return exit_code::kOk;
}

void DefineTargetDrain(cxxopts::Options& options) {
  options.add_options()("wait", "Wait until the target runs nothing")(
      "wait-limit", "Longest wait, in seconds", cxxopts::value<double>()->default_value("660"), "S");
}

exit_code RunTargetDrain(command_context& context) {
  command_failure error;
  const std::string target = context.ListOption(kOperand).front();
  const std::optional<duration> limit = context.DurationOption("wait-limit", error);
  const std::unique_ptr<api_client> server = limit ? context.MakeOperatorClient(error) : nullptr;
  if (server == nullptr) {
    return context.print().Fail(error);
  }
  failure call_error;
  const json body = {{"target", target}};
  std::optional<json_response> response;
  // A drain is a change of the configuration and conflicts with a concurrent one. It remains valid on the new version,
  // so it is retried.
  for (int attempt = 0; attempt < kDrainAttempts && !response; ++attempt) {
    response = server->Call(MakeRequest("POST", "/operator/v1/drain", body.dump()), call_error);
    if (!response && call_error.kind != error_kind::kConflict) {
      break;
    }
  }
  if (!response) {
    const bool unknown = call_error.kind == error_kind::kTargetLost || call_error.kind == error_kind::kStoreUnavailable;
    return context.print().Fail(CallFailure(call_error, unknown ? "A drain may be repeated safely." : ""));
  }
  if (context.HasOption("wait")) {
    const exit_code code = WaitForDrain(context, *server, target, *limit);
    if (code != exit_code::kOk) {
      return code;
    }
  }
  if (context.print().json()) {
    context.print().Json(ordered_json(response->body));
  } else {
    context.print().Line(target + (context.HasOption("wait") ? ": drained" : ": draining"));
  }
  return exit_code::kOk;
}

exit_code RunInstanceList(command_context& context) {
  command_failure error;
  const std::unique_ptr<api_client> server = context.MakeOperatorClient(error);
  if (server == nullptr) {
    return context.print().Fail(error);
  }
  failure call_error;
  const std::optional<instance_list> instances = FetchInstances(*server, call_error);
  if (!instances) {
    return context.print().Fail(CallFailure(call_error));
  }
  if (context.print().json()) {
    context.print().Json(ordered_json(instances->body));
  } else {
    context.print().Table(InstanceTable(instances->rows));
  }
  return exit_code::kOk;
}

}  // namespace bamboowing::ctl
