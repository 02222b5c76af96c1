/// @file
/// Decides whether an entry needs more attached agents.
#pragma once

#include <cstddef>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// Tracks whether an entry should request more agents. Agents select their entries without knowing the total number of
/// agents; if there are few, an entry could otherwise reach only a small part of the targets.
class agent_demand {
 public:
  /// An entry with fewer attached agents than this requests more.
  static constexpr std::size_t kMinAgents = 12;
  /// How long the number must stay that low, so that short disconnects and restarts cause no request.
  static constexpr duration kRequestDelay = std::chrono::seconds(5);
  /// The request is withdrawn when the number has stayed at least this high for `kWithdrawDelay`.
  static constexpr std::size_t kSufficientAgents = 3 * kMinAgents;
  static constexpr duration kWithdrawDelay = std::chrono::seconds(10);

  explicit agent_demand(instant now) : unchanged_since_(now) {}

  /// Updates the number of agents with an open session. Returns whether wanted() has changed.
  bool Update(std::size_t agents, instant now) {
    const bool threshold_crossed = wanted_ ? agents >= kSufficientAgents : agents < kMinAgents;
    if (!threshold_crossed) {
      unchanged_since_ = now;
    } else if (now - unchanged_since_ >= (wanted_ ? kWithdrawDelay : kRequestDelay)) {
      wanted_ = !wanted_;
      unchanged_since_ = now;
      return true;
    }
    return false;
  }

  bool wanted() const { return wanted_; }

 private:
  bool wanted_ = false;
  instant unchanged_since_;
};

}  // namespace bamboowing
