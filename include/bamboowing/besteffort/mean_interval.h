/// @file
/// Mean time between events.
#pragma once

#include <algorithm>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// Exponential moving average of the time between events.
class mean_interval {
 public:
  /// The first event only sets the time.
  void OnEvent(instant now) {
    if (last_event_at_ != instant{}) {
      mean_ += (std::min(now - last_event_at_, kMaxInterval) - mean_) / kWeight;
    }
    last_event_at_ = now;
  }

  duration mean() const { return mean_; }

 private:
  static constexpr std::int64_t kWeight = 8;  ///< number of intervals that an average extends over
  /// Longer intervals are pauses without load.
  static constexpr duration kMaxInterval = std::chrono::milliseconds(200);

  duration mean_ = std::chrono::milliseconds(20);
  instant last_event_at_;
};

}  // namespace bamboowing
