/// @file
/// One process's knowledge of the evacuated failure domains.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "bamboowing/message/evacuation.h"

namespace bamboowing {

/// What merging a state has changed.
enum class evacuation_change : std::uint8_t {
  kNone,      ///< the state was not newer, or shows the same set
  kLearned,   ///< the set is known for the first time; it may be empty
  kReplaced,  ///< the set differs from the one that was known
};

/// Merges the states that a process receives, from the store and from other processes, in any order. Each is the
/// complete set at a revision of the store, so the highest revision wins and a late message changes nothing.
class evacuation_view {
 public:
  /// Adopts @p state if its revision is higher than the present one. A state with revision 0 is ignored.
  evacuation_change Merge(const evacuation_state& state);

  /// Whether the sender of @p received must be told the present state: it holds another, older one.
  bool IsOutdated(const evacuation_state& received) const {
    return received.revision != 0 && received.revision < state_.revision &&
           received.failure_domains != state_.failure_domains;
  }

  /// Whether any state was received.
  bool known() const { return state_.revision != 0; }
  bool Contains(std::string_view failure_domain) const;

  /// The state as it is sent to other processes.
  const evacuation_state& state() const { return state_; }
  /// Increases with each change of the set. Processes that were sent this version know the present set; 0 if it is
  /// unknown.
  std::uint64_t set_version() const { return set_version_; }

  /// The set for log lines, for example "hobart, burnie".
  std::string Describe() const;

 private:
  evacuation_state state_;
  std::uint64_t set_version_ = 0;
};

}  // namespace bamboowing
