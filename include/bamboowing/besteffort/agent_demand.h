/// @file
/// Whether an entry has enough agents.
#pragma once

#include <cstddef>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// Decides when an entry asks more agents to attach. Agents choose their entries without knowing how many agents there
/// are; where these are few, an entry could be left with too small a part of the targets.
class agent_demand {
 public:
  /// An entry with fewer agents than this asks for more.
  static constexpr std::size_t kMinAgents = 12;
  /// How long the number must be that low: cuts and restarts pass.
  static constexpr duration kRequestDelay = std::chrono::seconds(5);
  /// The entry stops asking when it has had this number of agents for `kWithdrawDelay`.
  static constexpr std::size_t kSufficientAgents = 3 * kMinAgents;
  static constexpr duration kWithdrawDelay = std::chrono::seconds(10);

  explicit agent_demand(instant now) : unchanged_since_(now) {}

  /// Takes the number of agents with a session. Returns whether wanted() has changed.
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
