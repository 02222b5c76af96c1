#include "standins/timer_queue.h"

#include <chrono>

namespace bamboowing::standin {

instant Now() { return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now()); }

timer_queue::timer_queue() : thread_([this] { Run(); }) {}

timer_queue::~timer_queue() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void timer_queue::ScheduleAt(instant time, std::function<void()> action) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    actions_.emplace(time, std::move(action));
  }
  wake_.notify_one();
}

void timer_queue::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (actions_.empty()) {
      wake_.wait(lock);
    } else if (actions_.begin()->first > Now()) {
      const instant next = actions_.begin()->first;
      wake_.wait_until(lock, next);
    } else {
      const std::function<void()> action = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      lock.unlock();
      action();
      lock.lock();
    }
  }
}

}  // namespace bamboowing::standin
