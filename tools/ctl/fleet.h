/// @file
/// Targets and instances as the operators' interface reports them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ctl/api.h"

namespace bamboowing::ctl {

/// One target.
struct target_row {
  std::string id;
  std::string service;
  std::string failure_domain;
  std::int64_t slots = 0;
  std::int64_t in_flight = 0;
  std::string state;
  std::optional<double> speed;  ///< absent when the server does not know it
};

/// One process.
struct instance_row {
  std::string id;
  std::string role;
  std::string address;
  std::string failure_domain;
  std::optional<std::int64_t> config_version;  ///< absent when the server does not know it
  std::vector<std::string> home_of;
  std::optional<bool> ready;  ///< absent when the server does not know it
};

/// Whether a target in this state receives work.
bool IsServing(std::string_view state);

/// The answer of the server, as received and as rows.
struct target_list {
  nlohmann::json body;
  std::vector<target_row> rows;
};
struct instance_list {
  nlohmann::json body;
  std::vector<instance_row> rows;
};

/// Fetches the targets. Returns nullopt and fills @p why when the call fails.
std::optional<target_list> FetchTargets(api_client& server, failure& error);

/// Fetches the instances. Returns nullopt and fills @p why when the call fails.
std::optional<instance_list> FetchInstances(api_client& server, failure& error);

/// The rows as tables.
table TargetTable(const std::vector<target_row>& rows);
table InstanceTable(const std::vector<instance_row>& rows);

}  // namespace bamboowing::ctl
