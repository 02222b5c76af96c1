/// @file
/// Settings of a daemon: a YAML file that is read once at startup.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/overload/overload_order.h"
#include "bamboowing/transport/connection_server.h"
#include "bamboowing/transport/worker_commitments.h"

namespace bamboowing {

/// Role of a daemon.
enum class daemon_role : std::uint8_t { kEntry, kAgent };

/// Settings of a daemon that runs best-effort jobs on leased targets.
struct best_effort_settings {
  bool enabled = false;
  std::string callers_address;                       ///< entry: listens for callers
  std::string readiness_address;                     ///< entry: readiness checks of the load balancer
  std::string metrics_address;                       ///< entry: GET /metrics; empty disables it
  std::string announce_address;                      ///< agent: listens for announcements of the target
  duration announcement_interval{1'500'000};         ///< interval between announcements of the target
  duration lease{1'000'000};                         ///< upper bound of the lease of runs on a target
  duration grace{6'000'000};                         ///< time limit from SIGTERM to process exit
  bool evacuation = false;                           ///< whether operators may evacuate failure domains
  overload_order order = overload_order::kDeadline;  ///< entry: order of waiting jobs while capacity is short
  connection_limits callers_limits;                  ///< entry: of callers_address
};

/// Settings of one daemon. Addresses are "IP:PORT".
struct daemon_settings {
  daemon_role role = daemon_role::kEntry;
  std::string id;              ///< unique among all instances
  std::string failure_domain;  ///< in which the instance runs

  // Both roles.
  std::string log_file;  ///< JSON lines; empty writes to standard output
  std::string log_level = "info";
  std::string events_file;                          ///< events for the timeline; empty keeps them in memory only
  duration drain_limit = std::chrono::minutes(11);  ///< time limit for running work after SIGTERM

  // Entry.
  std::string callers_address;
  std::string operators_address;
  std::string operators_token_file;  ///< required when operators_address is set
  std::string peers_address;         ///< listens for agents and other entries
  std::string store_address;
  std::uint64_t max_body_bytes = 1'000'000;
  std::uint32_t max_open_calls = 4096;

  best_effort_settings best_effort;

  // Agent.
  std::vector<std::string> entries;  ///< peers_address of the entries to contact first
  std::string target_kind = "minion";
  std::string target_address;                       ///< the target's HTTP address
  resource_size worker_capacity{30, 64ULL << 30U};  ///< of a worker: cores, memory in bytes
  resource_size worker_task_size{1, 1ULL << 30U};   ///< requested for each task on a worker
  std::string announce_address;                     ///< listens for announcements of the target
};

/// One error in a settings file.
struct settings_error {
  std::string path;        ///< for example "entry.callers.address"
  std::uint32_t line = 0;  ///< from 1; 0 if not known
  std::string found;       ///< the value found, or "missing"
  std::string allowed;     ///< description of the valid values
};

/// Parses settings from YAML text. On failure returns nullopt and appends every error found to @p errors.
std::optional<daemon_settings> ParseSettings(std::string_view yaml, std::vector<settings_error>& errors);

/// Formats an error as one line for operators: line, path, value found and valid values.
std::string Describe(const settings_error& error);

}  // namespace bamboowing
