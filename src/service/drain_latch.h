/// @file
/// Latch on which a thread waits for another thread to finish its shutdown.
#pragma once

#include <condition_variable>
#include <mutex>

#include "bamboowing/base/types.h"

namespace bamboowing::detail {

/// Stays open after the first Open(). Thread-safe.
class drain_latch {
 public:
  void Open() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      open_ = true;
    }
    changed_.notify_all();
  }

  /// Waits up to @p limit. Returns whether the latch is open.
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
