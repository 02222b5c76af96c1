/// @file
/// Tells targets that fail what they are given from jobs that fail wherever they run.
#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "bamboowing/base/random.h"
#include "bamboowing/base/types.h"
#include "bamboowing/dispatch/settings.h"
#include "bamboowing/dispatch/target_table.h"

namespace bamboowing {

/// What an outcome changes for a target.
enum class health_effect : std::uint8_t {
  kNone,
  kEjected,         ///< the target must receive nothing until Restore() lists it
  kSlotsIncreased,  ///< a returning target may use more slots
  kRestored,        ///< a returning target may use all its slots
};

/// Health of the targets of one shard, by cumulative sum tests (Page 1954): for each target, the logarithm of the
/// likelihood of its outcomes if it is broken over that if it is as sound as the other targets, never below 0.
///
/// Only the first failure of a job counts, and it is withdrawn when the job fails on another target too. When many
/// targets fail, a failure says little about one of them, so a wave of bad jobs ejects none.
class target_health {
 public:
  target_health(const health_settings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

  void Add(target_index target);
  void Remove(target_index target);

  /// Records a task that succeeded on @p target.
  health_effect OnSuccess(target_index target, std::uint32_t slots);

  /// Records the first failure of a job. @p targets is the number of targets in the shard.
  health_effect OnFailure(target_index target, std::uint32_t targets, instant now);

  /// Withdraws the last failure counted against @p target because the job failed on another target too.
  void WithdrawFailure(target_index target);

  /// Appends the ejected targets whose time is over; each may use one slot.
  void Restore(instant now, std::vector<target_index>& restored);

  /// Slots that health allows; all are allowed if the number is not smaller than the target's slots.
  std::uint32_t Allowed(target_index target) const { return states_[target].allowed; }

  std::uint32_t ejected() const { return static_cast<std::uint32_t>(ejections_.size()); }
  /// End of the earliest ejection; nullopt if there is none.
  std::optional<instant> next_ejection_end() const;

 private:
  static constexpr std::uint32_t kAllSlots = 0xFFFFFFFF;

  struct state {
    bool known = false;
    double log_likelihood_ratio = 0;  // logarithm of the likelihood ratio
    double last_increment = 0;        // what the last failure added
    double failures = 0;              // recent outcomes, fading
    double outcomes = 0;
    double counted_rate = 0;  // its part of rate_sum_
    std::uint32_t allowed = kAllSlots;
    std::uint32_t ejections = 0;  // in a row
    std::uint32_t successes = 0;  // since the return
    instant until;
  };

  bool is_recovering(const state& target) const { return target.allowed != kAllSlots && target.allowed > 0; }
  double FailureRateOfOthers(const state& target) const;
  void RecordOutcome(state& target, bool failed);
  void SetRateCounted(state& target, bool counted);
  health_effect Eject(target_index index, std::uint32_t targets, instant now);

  health_settings settings_;
  seeded_random random_;
  std::vector<state> states_;
  std::set<std::pair<instant, target_index>> ejections_;
  double rate_sum_ = 0;
  std::uint32_t counted_ = 0;
};

}  // namespace bamboowing
