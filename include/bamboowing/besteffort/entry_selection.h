/// @file
/// Which entries an agent attaches to when there are many.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// Where an entry is.
struct entry_endpoint {
  std::string address;         ///< "ip:port" for agents
  std::string failure_domain;  ///< empty if it is not known
  bool wants_agents = false;   ///< all agents should attach
};

/// Bounds of a selection.
struct entry_selection_settings {
  std::size_t min_entries = 4;  ///< entries to attach to, if there are as many
  std::size_t max_entries = 6;  ///< up to this number of entries all are selected
};

/// Selects a part of the entries for one agent, so that the number of sessions grows with the agents and not with the
/// product of both. Each failure domain is represented, since callers mostly use entries of their own: the entries of
/// any one domain reach all agents together. The choice is a rendezvous hash of agent and address, so it changes little
/// when entries come and go.
class entry_selection {
 public:
  explicit entry_selection(std::string agent, const entry_selection_settings& settings = {})
      : agent_(std::move(agent)), settings_(settings) {}

  /// Replaces the entries. Addresses that occur twice count once, with the last failure domain that is not empty.
  void SetEntries(span<const entry_endpoint> entries);

  /// Addresses to attach to, the preferred ones first. An entry for which @p reachable returns false does not count; it
  /// is kept, so that its return is noticed, and the next one of its failure domain is added. Entries that want agents
  /// are added to the others.
  std::vector<std::string> Select(const std::function<bool(const std::string& address)>& reachable) const;

 private:
  std::string agent_;
  entry_selection_settings settings_;
  std::vector<std::vector<std::string>> domains_;  ///< addresses by preference, for each failure domain
  std::vector<std::string> agent_seeking_;         ///< entries that want agents
  std::size_t entries_ = 0;
};

}  // namespace bamboowing
