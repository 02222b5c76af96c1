/// @file
/// The least of the values seen lately.
#pragma once

#include <algorithm>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// Keeps the least duration of the present and the previous window, so that a value counts for one to two windows.
class recent_minimum {
 public:
  explicit recent_minimum(duration window) : window_(window) {}

  void Observe(duration value, instant now) {
    Turn(now);
    current_ = std::min(current_, value);
  }

  /// duration::max() if there was none.
  duration Get(instant now) {
    Turn(now);
    return std::min(current_, previous_);
  }

 private:
  void Turn(instant now) {
    if (now - window_start_ < window_) {
      return;
    }
    previous_ = now - window_start_ < 2 * window_ ? current_ : duration::max();
    current_ = duration::max();
    window_start_ = now;
  }

  duration window_;
  instant window_start_;
  duration current_ = duration::max();
  duration previous_ = duration::max();
};

}  // namespace bamboowing
