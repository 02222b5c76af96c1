/// @file
/// Selects the entries that an agent attaches to.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// Address and failure domain of an entry.
struct entry_endpoint {
  std::string address;         ///< "ip:port" that agents connect to
  std::string failure_domain;  ///< empty if unknown
  bool wants_agents = false;   ///< the entry asks all agents to attach
};

/// Bounds of the number of selected entries.
struct entry_selection_settings {
  std::size_t min_entries = 4;  ///< lower bound when there are more than max_entries entries
  std::size_t max_entries = 6;  ///< upper bound; up to this number of entries, all are selected
};

/// Selects a subset of the entries for one agent, so that the number of sessions grows with the number of agents rather
/// than with agents times entries. Each failure domain is represented, since callers mostly use entries of their own
/// domain: the entries of any one domain together reach all agents. The subset is chosen by rendezvous hashing of agent
/// and address, so it changes little when entries are added or removed.
class entry_selection {
 public:
  explicit entry_selection(std::string agent, const entry_selection_settings& settings = {})
      : agent_(std::move(agent)), settings_(settings) {}

  /// Replaces the list of entries. A duplicate address counts once, with its last non-empty failure domain.
  void SetEntries(span<const entry_endpoint> entries);

  /// Returns the addresses to attach to in order of preference. An entry for which @p reachable returns false does not
  /// count towards the number; it stays in the result so that the agent keeps reconnecting, and the next entry of its
  /// failure domain is added. Entries that want agents are always included.
  std::vector<std::string> Select(const std::function<bool(const std::string& address)>& reachable) const;

  /// Whether there are more entries than the agent attaches to.
  bool is_subset() const { return entries_ > settings_.max_entries; }

 private:
  std::string agent_;
  entry_selection_settings settings_;
  std::vector<std::vector<std::string>> domains_;  ///< addresses in order of preference, by failure domain
  std::vector<std::string> agent_seeking_;         ///< entries that want more agents
  std::size_t entries_ = 0;
};

}  // namespace bamboowing
