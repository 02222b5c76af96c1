#include "ctl/fleet.h"

#include <algorithm>
#include <cstdio>
#include <tuple>

namespace bamboowing::ctl {

bool IsServing(std::string_view state) { return state == "serving"; }

namespace {

using nlohmann::json;

template <typename T>
T FieldOr(const json& row, const char* key, T default_value) {
  const json::const_iterator found = row.find(key);
  if (found == row.end()) {
    return default_value;
  }
  try {
    return found->get<T>();
  } catch (const json::exception&) {
    return default_value;
  }
}

template <typename T>
std::optional<T> OptionalField(const json& row, const char* key) {
  return row.contains(key) ? std::optional<T>(FieldOr<T>(row, key, T())) : std::nullopt;
}

/// Fetches @p path into @p body and returns its array @p key. Returns nullopt and sets @p error on failure.
std::optional<json> FetchList(api_client& server, const char* path, const char* key, json& body, failure& error) {
  std::optional<json_response> response = server.Call(MakeRequest("GET", path), error);
  if (!response) {
    return std::nullopt;
  }
  body = std::move(response->body);
  const json list = body.is_object() ? body.value(key, json()) : json();
  if (!list.is_array()) {
    error = failure(error_kind::kInternal, "the server's answer has no list '" + std::string(key) + "'");
    return std::nullopt;
  }
  return list;
}

target_row ReadTarget(const json& row) {
  target_row result;
  result.id = FieldOr<std::string>(row, "id", "");
  result.service = FieldOr<std::string>(row, "service", "");
  result.failure_domain = FieldOr<std::string>(row, "failure_domain", "");
  result.slots = FieldOr<std::int64_t>(row, "slots", 0);
  result.in_flight = FieldOr<std::int64_t>(row, "in_flight", 0);
  result.state = FieldOr<std::string>(row, "state", "");
  result.speed = OptionalField<double>(row, "speed");
  return result;
}

instance_row ReadInstance(const json& row) {
  instance_row result;
  result.id = FieldOr<std::string>(row, "id", "");
  result.role = FieldOr<std::string>(row, "role", "");
  result.address = FieldOr<std::string>(row, "address", "");
  result.failure_domain = FieldOr<std::string>(row, "failure_domain", "");
  result.config_version = OptionalField<std::int64_t>(row, "config_version");
  result.home_of = FieldOr<std::vector<std::string>>(row, "home_of", {});
  result.ready = OptionalField<bool>(row, "ready");
  return result;
}

/// In any state other than serving, draining and joining, a target gets no work for a reason that needs attention.
cell_style StyleForState(const std::string& state) {
  if (IsServing(state)) {
    return cell_style::kGood;
  }
  return state == "draining" || state == "joining" ? cell_style::kWarning : cell_style::kBad;
}

std::string FormatTwoDecimals(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", value);
  return text;
}

cell ReadyCell(std::optional<bool> ready) {
  if (!ready) {
    return {"-"};
  }
  return {*ready ? "yes" : "no", *ready ? cell_style::kGood : cell_style::kBad};
}

std::string JoinOrDash(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += (text.empty() ? "" : ", ") + part;
  }
  return text.empty() ? "-" : text;
}

}  // namespace

std::optional<target_list> FetchTargets(api_client& server, failure& error) {
  target_list result;
  const std::optional<json> list = FetchList(server, "/operator/v1/targets", "targets", result.body, error);
  if (!list) {
    return std::nullopt;
  }
  for (const json& row : *list) {
    result.rows.push_back(ReadTarget(row));
  }
  std::sort(result.rows.begin(), result.rows.end(), [](const target_row& a, const target_row& b) {
    return std::tie(a.service, a.id) < std::tie(b.service, b.id);
  });
  return result;
}

std::optional<instance_list> FetchInstances(api_client& server, failure& error) {
  instance_list result;
  const std::optional<json> list = FetchList(server, "/operator/v1/instances", "instances", result.body, error);
  if (!list) {
    return std::nullopt;
  }
  for (const json& row : *list) {
    result.rows.push_back(ReadInstance(row));
  }
  std::sort(result.rows.begin(), result.rows.end(), [](const instance_row& a, const instance_row& b) {
    return std::tie(b.role, a.id) < std::tie(a.role, b.id);
  });
  return result;
}

table TargetTable(const std::vector<target_row>& rows) {
  table result{{"TARGET", "SERVICE", "FAILURE DOMAIN", "SLOTS", "IN FLIGHT", "SPEED", "STATE"}, {}};
  for (const target_row& row : rows) {
    result.rows.push_back({row.id, row.service, row.failure_domain, std::to_string(row.slots),
                           std::to_string(row.in_flight), row.speed ? FormatTwoDecimals(*row.speed) : "-",
                           cell(row.state, StyleForState(row.state))});
  }
  return result;
}

table InstanceTable(const std::vector<instance_row>& rows) {
  table result{{"INSTANCE", "ROLE", "ADDRESS", "FAILURE DOMAIN", "CONFIG", "HOME OF", "READY"}, {}};
  for (const instance_row& row : rows) {
    result.rows.push_back({row.id, row.role, row.address, row.failure_domain,
                           row.config_version ? std::to_string(*row.config_version) : "-", JoinOrDash(row.home_of),
                           ReadyCell(row.ready)});
  }
  return result;
}

}  // namespace bamboowing::ctl
