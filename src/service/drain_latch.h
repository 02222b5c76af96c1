/// @file
/// Lets one thread wait for another to finish its shutdown.
#pragma once

#include <condition_variable>
#include <mutex>

#include "bamboowing/base/types.h"

namespace bamboowing::detail {

/// Opens once.
class drain_latch {
 public:
  void Open() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      open_ = true;
    }
    changed_.notify_all();
  }

  /// Waits at most @p limit; returns whether the latch is open.
  bool WaitFor(duration limit) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, limit, [this] { return open_; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool open_ = false;
};

}  // namespace bamboowing::detail
