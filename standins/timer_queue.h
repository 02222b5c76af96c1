/// @file
/// Timers that run on one thread.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "bamboowing/base/types.h"

namespace bamboowing::standin {

/// The current time of the monotonic clock.
instant Now();

/// A queue of timers. Thread-safe. Actions that are not due at destruction are dropped.
class timer_queue {
 public:
  timer_queue();
  timer_queue(const timer_queue&) = delete;
  timer_queue& operator=(const timer_queue&) = delete;
  ~timer_queue();

  /// Calls @p action at @p time, or at once if that has passed. Actions share one thread, so they must not block.
  void ScheduleAt(instant time, std::function<void()> action);

 private:
  void Run();

  std::mutex mutex_;
  std::condition_variable wake_;
  std::multimap<instant, std::function<void()>> actions_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace bamboowing::standin
