/// @file
/// Targets and instances as reported by the operator API.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ctl/api.h"

namespace bamboowing::ctl {

/// An element of `GET /operator/v1/targets`.
struct target_row {
  std::string id;
  std::string service;
  std::string failure_domain;
  std::int64_t slots = 0;
  std::int64_t in_flight = 0;
  std::string state;
  std::optional<double> speed;  ///< absent if the server did not report it
};

/// An element of `GET /operator/v1/instances`: an entry or an agent.
struct instance_row {
  std::string id;
  std::string role;
  std::string address;
  std::string failure_domain;
  std::optional<std::int64_t> config_version;  ///< absent if the server did not report it
  std::vector<std::string> home_of;
  std::optional<bool> ready;  ///< absent if the server did not report it
};

/// Whether a target in this state receives work.
bool IsServing(std::string_view state);

/// The body of the server's response and the rows parsed from it.
struct target_list {
  nlohmann::json body;
  std::vector<target_row> rows;
};
struct instance_list {
  nlohmann::json body;
  std::vector<instance_row> rows;
};

/// Fetches the targets, sorted by service and id. Returns nullopt and sets @p error on failure.
std::optional<target_list> FetchTargets(api_client& server, failure& error);

/// Fetches the instances, entries before agents and sorted by id. Returns nullopt and sets @p error on failure.
std::optional<instance_list> FetchInstances(api_client& server, failure& error);

table TargetTable(const std::vector<target_row>& rows);
table InstanceTable(const std::vector<instance_row>& rows);

}  // namespace bamboowing::ctl
