/// @file
/// Bounds the retries of idempotent requests to a fraction of the traffic.
#pragma once

#include <algorithm>

#include "bamboowing/dispatch/settings.h"

namespace bamboowing {

/// A token bucket that admitted requests fill and retries drain, so that retries cannot multiply the load during an
/// outage.
class retry_budget {
 public:
  explicit retry_budget(const retry_settings& settings) : settings_(settings) {}

  /// Changes how many retries each admitted request earns from now on.
  void SetShare(double share) { settings_.budget_share = share; }

  /// Records an admitted request that may be retried.
  void OnAdmitted() { available_ = std::min(available_ + settings_.budget_share, settings_.max_budget); }

  /// Takes one retry from the budget. Returns false if it is used up.
  bool TryTake() {
    if (available_ < 1) {
      return false;
    }
    available_ -= 1;
    return true;
  }

  /// Retries that may be made now.
  double available() const { return available_; }

 private:
  retry_settings settings_;
  double available_ = 1;  // so that the first request of an idle service may be retried
};

}  // namespace bamboowing
