#include "codec.h"

namespace bamboowing::intent_detail {
namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

duration Milliseconds(const json& value) { return milliseconds(value.get<std::int64_t>()); }

std::int64_t InMilliseconds(duration value) { return duration_cast<milliseconds>(value).count(); }

/// Writes a whole number as an integer, as an operator would.
json Number(double value) {
  const std::int64_t whole = static_cast<std::int64_t>(value);
  return static_cast<double>(whole) == value ? json(whole) : json(value);
}

template <typename T>
std::optional<T> Optional(const json& map, const char* key) {
  return map.contains(key) ? std::optional<T>(map[key].get<T>()) : std::nullopt;
}

service_intent DecodeService(const json& value) {
  service_intent service;
  service.name = value.at("name");
  service.shards = value.at("shards");
  service.targets.failure_domains = value.at("targets").at("failure_domains").get<std::vector<std::string>>();
  service.targets.ids = value.at("targets").at("ids").get<std::vector<std::string>>();
  service.teams = value.at("teams").get<std::vector<std::string>>();
  service.task_time_limit = Milliseconds(value.at("task_time_limit_ms"));
  service.deadline_min = Milliseconds(value.at("deadline_min_ms"));
  service.deadline_max = Milliseconds(value.at("deadline_max_ms"));
  service.idempotent_default = value.at("idempotent_default");
  return service;
}

json EncodeService(const service_intent& service) {
  return {{"name", service.name},
          {"shards", service.shards},
          {"targets", {{"failure_domains", service.targets.failure_domains}, {"ids", service.targets.ids}}},
          {"teams", service.teams},
          {"task_time_limit_ms", InMilliseconds(service.task_time_limit)},
          {"deadline_min_ms", InMilliseconds(service.deadline_min)},
          {"deadline_max_ms", InMilliseconds(service.deadline_max)},
          {"idempotent_default", service.idempotent_default}};
}

team_intent DecodeTeam(const json& value) {
  team_intent team;
  team.name = value.at("name");
  team.priority = value.at("priority");
  team.weight = value.at("weight");
  team.quota_percent = Optional<double>(value, "quota_percent");
  team.quota_waiting_tasks = Optional<std::uint64_t>(value, "quota_waiting_tasks");
  return team;
}

json EncodeTeam(const team_intent& team) {
  json value = {{"name", team.name}, {"priority", team.priority}, {"weight", team.weight}};
  if (team.quota_percent) {
    value["quota_percent"] = Number(*team.quota_percent);
  }
  if (team.quota_waiting_tasks) {
    value["quota_waiting_tasks"] = *team.quota_waiting_tasks;
  }
  return value;
}

limits_intent DecodeLimits(const json& value) {
  limits_intent limits;
  limits.waiting_tasks = value.at("waiting_tasks");
  limits.tasks_per_job = value.at("tasks_per_job");
  limits.body_bytes = value.at("body_bytes");
  limits.request_send = Milliseconds(value.at("request_send_ms"));
  limits.answer_retention = Milliseconds(value.at("answer_retention_ms"));
  limits.recovery_window = Milliseconds(value.at("recovery_window_ms"));
  return limits;
}

json EncodeLimits(const limits_intent& limits) {
  return {{"waiting_tasks", limits.waiting_tasks},
          {"tasks_per_job", limits.tasks_per_job},
          {"body_bytes", limits.body_bytes},
          {"request_send_ms", InMilliseconds(limits.request_send)},
          {"answer_retention_ms", InMilliseconds(limits.answer_retention)},
          {"recovery_window_ms", InMilliseconds(limits.recovery_window)}};
}

drains_intent DecodeDrains(const json& value) {
  drains_intent drains;
  drains.targets = value.at("targets").get<std::vector<std::string>>();
  drains.agents = value.at("agents").get<std::vector<std::string>>();
  drains.failure_domains = value.at("failure_domains").get<std::vector<std::string>>();
  return drains;
}

json EncodeDrains(const drains_intent& drains) {
  return {{"targets", drains.targets}, {"agents", drains.agents}, {"failure_domains", drains.failure_domains}};
}

}  // namespace

intent_document Decode(const json& value) {
  intent_document document;
  document.write_id = value.at("write_id");
  document.failure_domains = value.at("failure_domains").get<std::vector<std::string>>();
  for (const json& service : value.at("services")) {
    document.services.push_back(DecodeService(service));
  }
  for (const json& team : value.at("teams")) {
    document.teams.push_back(DecodeTeam(team));
  }
  document.retry_budget.share_percent = value.at("retry_budget").at("share_percent");
  document.retry_budget.attempts_max = value.at("retry_budget").at("attempts_max");
  document.limits = DecodeLimits(value.at("limits"));
  document.drains = DecodeDrains(value.at("drains"));
  return document;
}

json Encode(const intent_document& document) {
  json services = json::array();
  for (const service_intent& service : document.services) {
    services.push_back(EncodeService(service));
  }
  json teams = json::array();
  for (const team_intent& team : document.teams) {
    teams.push_back(EncodeTeam(team));
  }
  const json retry_budget = {{"share_percent", Number(document.retry_budget.share_percent)},
                             {"attempts_max", document.retry_budget.attempts_max}};
  return {{"write_id", document.write_id},
          {"failure_domains", document.failure_domains},
          {"services", services},
          {"teams", teams},
          {"retry_budget", retry_budget},
          {"limits", EncodeLimits(document.limits)},
          {"drains", EncodeDrains(document.drains)}};
}

}  // namespace bamboowing::intent_detail
