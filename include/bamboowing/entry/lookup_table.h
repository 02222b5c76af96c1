/// @file
/// Status calls and cancellations of jobs whose home is not known.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/entry/job_table.h"

namespace bamboowing {

/// A call that names only a job id. The entries that are home of a shard are asked one after the other.
struct pending_lookup {
  caller_request request;
  reply_route route;
  std::vector<std::string> to_ask;  ///< addresses, last first
  bool unanswered = false;          ///< an entry did not answer, so that "not found" is not certain
};

/// Lookups under way, by the relay that asks.
class lookup_table {
 public:
  void Add(relay_id relay, pending_lookup lookup) { lookups_[relay] = std::move(lookup); }

  /// Takes out the lookup of a relay; nullopt if the relay is not one.
  std::optional<pending_lookup> Take(relay_id relay) {
    const std::map<relay_id, pending_lookup>::iterator found = lookups_.find(relay);
    if (found == lookups_.end()) {
      return std::nullopt;
    }
    pending_lookup lookup = std::move(found->second);
    lookups_.erase(found);
    return lookup;
  }

 private:
  std::map<relay_id, pending_lookup> lookups_;
};

}  // namespace bamboowing
