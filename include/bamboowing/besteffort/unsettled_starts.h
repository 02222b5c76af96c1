/// @file
/// Start requests without a response, which outlive their runs.
#pragma once

#include <algorithm>
#include <iterator>
#include <map>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/message/best_effort.h"

namespace bamboowing {

/// Runs with a start request that got no response. A later incarnation of the target may execute such a request for
/// `max_request_delay` after it was sent, also after the run has ended.
class unsettled_starts {
 public:
  explicit unsettled_starts(duration max_request_delay) : max_request_delay_(max_request_delay) {}

  /// A start request for @p key that was sent at @p sent_at has timed out.
  void Add(const run_key& key, instant sent_at) {
    const instant until = sent_at + max_request_delay_;
    instant& known = executable_until_[key];
    known = std::max(known, until);
  }

  /// Runs of which a start request may still be executed.
  std::vector<run_key> Keys(instant now) {
    RemoveExpired(now);
    std::vector<run_key> keys;
    for (const std::pair<const run_key, instant>& item : executable_until_) {
      keys.push_back(item.first);
    }
    return keys;
  }

  void Remove(const run_key& key) { executable_until_.erase(key); }
  void Clear() { executable_until_.clear(); }

  void RemoveExpired(instant now) {
    for (std::map<run_key, instant>::iterator item = executable_until_.begin(); item != executable_until_.end();) {
      item = item->second <= now ? executable_until_.erase(item) : std::next(item);
    }
  }

 private:
  duration max_request_delay_;
  std::map<run_key, instant> executable_until_;
};

}  // namespace bamboowing
