/// @file
/// The bounded queue that connects two threads of a daemon.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <vector>

namespace bamboowing {

/// A bounded FIFO queue for several producers and one consumer. Thread-safe.
template <typename T>
class bounded_ring {
 public:
  /// @param capacity the largest number of waiting elements; at least 1.
  explicit bounded_ring(std::size_t capacity) : slots_(capacity) {}

  /// Appends @p value unless the ring is full or closed. Returns whether it was appended.
  bool TryPush(T value);

  /// Waits for space, then appends @p value. Returns false if the ring was closed.
  bool Push(T value);

  /// Appends @p value unless the ring is full or closed, without waking the consumer: it removes the element after its
  /// timeout or the next push that wakes it. Returns whether it was appended.
  bool TryPushQuietly(T value);

  /// Removes the oldest element, waiting for at most @p timeout. Returns nullopt on timeout, or at once when the ring
  /// is closed and empty.
  std::optional<T> PopFor(std::chrono::microseconds timeout);

  /// Removes the oldest element; nullopt if the ring is empty. Never waits.
  std::optional<T> TryPop();

  /// Makes every later push fail and wakes all waiting threads. Elements already in the ring can still be removed.
  void Close();

  /// Whether Close() was called.
  bool closed() const;

 private:
  std::optional<T> TakeLocked();
  void AppendLocked(T value);

  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  std::vector<std::optional<T>> slots_;
  std::size_t head_ = 0;
  std::size_t count_ = 0;
  bool closed_ = false;
};

}  // namespace bamboowing

#include "bamboowing/base/ring-inl.h"
