#include "bamboowing/dispatch/target_health.h"

#include <algorithm>
#include <cmath>

namespace bamboowing {
namespace {

// Older outcomes decay: both counts are halved at this number, so that a rate describes about the last hundred tasks.
constexpr double kDecayCount = 128;
// Upper bound of the failure rate assumed for a healthy target, as a fraction of the broken rate. Beyond it a failure
// is no evidence that a target is broken.
constexpr double kMaxHealthyFraction = 0.9;
// The ejection time varies by this fraction, so that targets ejected together do not return together.
constexpr double kJitter = 0.1;
constexpr std::uint32_t kMaxDoublings = 16;
// After this many successes a target counts as recovered, and its next ejection is short again.
constexpr std::uint32_t kSuccessesToRecover = 1000;

}  // namespace

void target_health::Add(target_index target) {
  if (states_.size() <= target) {
    states_.resize(target + 1);
  }
  states_[target] = state();
  states_[target].registered = true;
  SetRateCounted(states_[target], true);
}

void target_health::Remove(target_index target) {
  state& removed = states_[target];
  ejections_.erase({removed.ejected_until, target});
  if (removed.allowed_slots > 0) {
    SetRateCounted(removed, false);
  }
  removed = state();
}

health_effect target_health::OnSuccess(target_index target, std::uint32_t slots) {
  state& succeeded = states_[target];
  if (succeeded.allowed_slots == 0) {
    return health_effect::kNone;
  }
  const double others_rate = FailureRateOfOthers(succeeded);
  succeeded.log_likelihood_ratio =
      std::max(0.0, succeeded.log_likelihood_ratio + std::log((1 - settings_.broken_failure_rate) / (1 - others_rate)));
  RecordOutcome(succeeded, false);
  if (succeeded.ejections > 0 && ++succeeded.successes >= kSuccessesToRecover) {
    succeeded.ejections = 0;
  }
  if (!is_recovering(succeeded)) {
    return health_effect::kNone;
  }
  succeeded.allowed_slots *= 2;
  if (succeeded.allowed_slots < slots) {
    return health_effect::kSlotsIncreased;
  }
  succeeded.allowed_slots = kAllSlots;
  return health_effect::kRestored;
}

health_effect target_health::OnFailure(target_index target, std::uint32_t targets, instant now) {
  state& failed = states_[target];
  if (failed.allowed_slots == 0) {
    return health_effect::kNone;
  }
  const double others_rate = FailureRateOfOthers(failed);
  failed.last_increment = std::log(settings_.broken_failure_rate / others_rate);
  failed.log_likelihood_ratio += failed.last_increment;
  RecordOutcome(failed, true);
  // One failure is enough to eject a recovering target again, unless failures are common on other targets too.
  const bool relapsed = is_recovering(failed) && failed.last_increment > 1;
  if (relapsed || failed.log_likelihood_ratio > std::log(settings_.evidence)) {
    return Eject(target, targets, now);
  }
  return health_effect::kNone;
}

void target_health::WithdrawFailure(target_index target) {
  state& cleared = states_[target];
  cleared.log_likelihood_ratio = std::max(0.0, cleared.log_likelihood_ratio - cleared.last_increment);
  cleared.last_increment = 0;
}

void target_health::Restore(instant now, std::vector<target_index>& restored) {
  while (!ejections_.empty() && ejections_.begin()->first <= now) {
    const target_index index = ejections_.begin()->second;
    ejections_.erase(ejections_.begin());
    state& restored_state = states_[index];
    restored_state.allowed_slots = 1;
    restored_state.log_likelihood_ratio = 0;
    restored_state.failures = 0;
    restored_state.outcomes = 0;
    restored_state.successes = 0;
    SetRateCounted(restored_state, true);
    restored.push_back(index);
  }
}

std::optional<instant> target_health::next_ejection_end() const {
  if (ejections_.empty()) {
    return std::nullopt;
  }
  return ejections_.begin()->first;
}

double target_health::FailureRateOfOthers(const state& target) const {
  const bool counts_itself = target.registered && target.allowed_slots > 0;
  const double others = counted_ - (counts_itself ? 1.0 : 0.0);
  const double sum = rate_sum_ - (counts_itself ? target.counted_rate : 0.0);
  const double rate = others > 0 ? sum / others : 0;
  return std::clamp(rate, settings_.healthy_failure_rate, settings_.broken_failure_rate * kMaxHealthyFraction);
}

void target_health::RecordOutcome(state& target, bool failed) {
  if (target.outcomes >= kDecayCount) {
    target.outcomes /= 2;
    target.failures /= 2;
  }
  target.outcomes += 1;
  target.failures += failed ? 1 : 0;
  rate_sum_ -= target.counted_rate;
  target.counted_rate = target.failures / target.outcomes;
  rate_sum_ += target.counted_rate;
}

void target_health::SetRateCounted(state& target, bool counted) {
  // An ejected or removed target is excluded from the mean rate that others are compared with.
  rate_sum_ -= target.counted_rate;
  target.counted_rate = 0;
  counted_ = counted ? counted_ + 1 : counted_ - 1;
}

health_effect target_health::Eject(target_index index, std::uint32_t targets, instant now) {
  // At least one of three targets may be ejected; a fleet of one or two is never reduced.
  const std::uint32_t bound = static_cast<std::uint32_t>(settings_.ejected_share * targets + 1e-9);
  if (ejected() >= bound) {
    return health_effect::kNone;
  }
  state& broken = states_[index];
  const std::uint32_t doublings = std::min(broken.ejections, kMaxDoublings);
  const duration base_time =
      std::min(settings_.first_ejection * (std::int64_t{1} << doublings), settings_.max_ejection);
  const double jitter = 1 + kJitter * (2 * random_.Unit() - 1);
  broken.ejected_until = now + duration(static_cast<std::int64_t>(static_cast<double>(base_time.count()) * jitter));
  broken.allowed_slots = 0;
  ++broken.ejections;
  SetRateCounted(broken, false);
  ejections_.emplace(broken.ejected_until, index);
  return health_effect::kEjected;
}

}  // namespace bamboowing
