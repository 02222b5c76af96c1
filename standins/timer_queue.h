/// @file
/// Calls functions at given times from one thread.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "bamboowing/base/types.h"

namespace bamboowing::standin {

/// The present time of the monotonic clock.
instant Now();

/// A queue of calls to make later. Safe for use from all threads. Calls that are not due at the destruction are
/// dropped.
class timer_queue {
 public:
  timer_queue();
  timer_queue(const timer_queue&) = delete;
  timer_queue& operator=(const timer_queue&) = delete;
  ~timer_queue();

  /// Calls @p action at @p time, or soon after when that has passed. The action must not block for long.
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
