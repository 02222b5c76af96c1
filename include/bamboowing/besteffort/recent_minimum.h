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
    present_ = std::min(present_, value);
  }

  /// duration::max() if there was none.
  duration Get(instant now) {
    Turn(now);
    return std::min(present_, previous_);
  }

 private:
  void Turn(instant now) {
    if (now - began_ < window_) {
      return;
    }
    previous_ = now - began_ < 2 * window_ ? present_ : duration::max();
    present_ = duration::max();
    began_ = now;
  }

  duration window_;
  instant began_;
  duration present_ = duration::max();
  duration previous_ = duration::max();
};

}  // namespace bamboowing
