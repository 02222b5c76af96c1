/// @file
/// Passes commands from any thread to a thread that runs a kj event loop.
#pragma once

#include <kj/async.h>

#include <mutex>
#include <optional>
#include <utility>

#include "bamboowing/base/ring.h"

namespace bamboowing::detail {

/// A bounded queue whose consumer waits inside a kj event loop, so that network events are handled during the wait.
template <typename T>
class kj_mailbox {
 public:
  explicit kj_mailbox(std::size_t capacity) : ring_(capacity) {}

  /// Appends a command and wakes the loop. Returns false if the mailbox is full or closed. Thread-safe.
  bool Post(T command) {
    if (!ring_.TryPush(std::move(command))) {
      return false;
    }
    Wake();
    return true;
  }

  /// Closes the mailbox and wakes the loop. Thread-safe.
  void Close() {
    ring_.Close();
    Wake();
  }

  /// Runs the event loop until a command is available and returns it. Returns nullopt once the mailbox is closed and
  /// empty. Loop thread only.
  std::optional<T> Next(kj::WaitScope& scope) {
    while (true) {
      std::optional<T> command = ring_.TryPop();
      if (command || ring_.closed()) {
        return command;
      }
      kj::PromiseCrossThreadFulfillerPair<void> pair = kj::newPromiseAndCrossThreadFulfiller<void>();
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!wakeup_pending_) {
          waker_ = kj::mv(pair.fulfiller);
        }
      }
      if (!ConsumeWakeup()) {
        pair.promise.wait(scope);
        ConsumeWakeup();
      }
    }
  }

 private:
  void Wake() {
    const std::lock_guard<std::mutex> lock(mutex_);
    wakeup_pending_ = true;
    if (waker_.get() != nullptr) {
      waker_->fulfill();
      waker_ = nullptr;
    }
  }

  bool ConsumeWakeup() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(wakeup_pending_, false);
  }

  bounded_ring<T> ring_;
  std::mutex mutex_;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> waker_;
  bool wakeup_pending_ = false;
};

}  // namespace bamboowing::detail
