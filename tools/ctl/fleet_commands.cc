#include <algorithm>

#include "ctl/command.h"
#include "ctl/fleet.h"

namespace bamboowing::ctl {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr int kDrainAttempts = 5;
constexpr duration kDrainPause = std::chrono::milliseconds(500);  // between looks at a target that drains

bool Wanted(const invocation& call, const target_row& row) {
  const std::string service = call.Text("service");
  const std::string state = call.Text("state");
  return (service.empty() || row.service == service) && (state.empty() || row.state == state);
}

/// Tasks in flight at @p target; nullopt when the server does not list it any more.
std::optional<std::int64_t> InFlight(const target_answer& targets, const std::string& target) {
  for (const target_row& row : targets.rows) {
    if (row.id == target) {
      return row.in_flight;
    }
  }
  return std::nullopt;
}

exit_code WaitForDrain(invocation& call, api_client& server, const std::string& target, duration limit) {
  const instant begin = call.env().now();
  while (true) {
    failure why;
    const std::optional<target_answer> targets = FetchTargets(server, why);
    if (!targets) {
      return call.print().Fail(CallFailure(why, "The drain is ordered. Look with: bamboowingctl target list."));
    }
    const std::optional<std::int64_t> running = InFlight(*targets, target);
    if (running.value_or(0) == 0) {
      call.print().EndProgress();
      return exit_code::kOk;
    }
    const duration waited = call.env().now() - begin;
    if (waited >= limit) {
      return call.print().Fail(
          {exit_code::kTimeout,
           failure(error_kind::kDeadlineExceeded,
                   target + " still runs " + std::to_string(*running) + " tasks after " + FormatDuration(waited)),
           "The drain continues. Look with: bamboowingctl target list."});
    }
    call.print().Progress(target + ": " + std::to_string(*running) + " tasks in flight, " + FormatDuration(waited));
    call.env().sleep(kDrainPause);
  }
}

}  // namespace

void DefineTargetList(cxxopts::Options& options) {
  options.add_options()("service", "Only targets of this service", cxxopts::value<std::string>(), "SERVICE")(
      "state", "Only targets in this state", cxxopts::value<std::string>(), "STATE");
}

exit_code RunTargetList(invocation& call) {
  command_failure error;
  const std::unique_ptr<api_client> server = call.Operator(error);
  if (server == nullptr) {
    return call.print().Fail(error);
  }
  failure why;
  std::optional<target_answer> targets = FetchTargets(*server, why);
  if (!targets) {
    return call.print().Fail(CallFailure(why));
  }
  if (call.print().json()) {
    ordered_json list = ordered_json::array();
    for (const json& row : targets->body.at("targets")) {
      target_row key;
      key.service = row.value("service", "");
      key.state = row.value("state", "");
      if (Wanted(call, key)) {
        list.push_back(ordered_json(row));
      }
    }
    call.print().Json({{"targets", list}});
    return exit_code::kOk;
  }
  std::vector<target_row>& rows = targets->rows;
  rows.erase(std::remove_if(rows.begin(), rows.end(), [&call](const target_row& row) { return !Wanted(call, row); }),
             rows.end());
  call.print().Table(TargetTable(rows));
  return exit_code::kOk;
}

void DefineTargetDrain(cxxopts::Options& options) {
  options.add_options()("wait", "Wait until the target runs nothing")(
      "wait-limit", "Longest wait, in seconds", cxxopts::value<double>()->default_value("660"), "S");
}

exit_code RunTargetDrain(invocation& call) {
  command_failure error;
  const std::string target = call.List(kOperand).front();
  const std::optional<duration> limit = call.Seconds("wait-limit", error);
  const std::unique_ptr<api_client> server = limit ? call.Operator(error) : nullptr;
  if (server == nullptr) {
    return call.print().Fail(error);
  }
  failure why;
  const json body = {{"target", target}};
  std::optional<json_answer> answer;
  // A drain changes the configuration and may lose a race against another change, which does not make it wrong.
  for (int attempt = 0; attempt < kDrainAttempts && !answer; ++attempt) {
    answer = server->Call(MakeRequest("POST", "/operator/v1/drain", body.dump()), why);
    if (!answer && why.kind != error_kind::kConflict) {
      break;
    }
  }
  if (!answer) {
    const bool unknown = why.kind == error_kind::kTargetLost || why.kind == error_kind::kStoreUnavailable;
    return call.print().Fail(CallFailure(why, unknown ? "A drain may be repeated safely." : ""));
  }
  if (call.Has("wait")) {
    const exit_code code = WaitForDrain(call, *server, target, *limit);
    if (code != exit_code::kOk) {
      return code;
    }
  }
  if (call.print().json()) {
    call.print().Json(ordered_json(answer->body));
  } else {
    call.print().Line(target + (call.Has("wait") ? ": drained" : ": draining"));
  }
  return exit_code::kOk;
}

exit_code RunInstanceList(invocation& call) {
  command_failure error;
  const std::unique_ptr<api_client> server = call.Operator(error);
  if (server == nullptr) {
    return call.print().Fail(error);
  }
  failure why;
  const std::optional<instance_answer> instances = FetchInstances(*server, why);
  if (!instances) {
    return call.print().Fail(CallFailure(why));
  }
  if (call.print().json()) {
    call.print().Json(ordered_json(instances->body));
  } else {
    call.print().Table(InstanceTable(instances->rows));
  }
  return exit_code::kOk;
}

}  // namespace bamboowing::ctl
