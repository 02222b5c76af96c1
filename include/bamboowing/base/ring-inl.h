/// @file
/// Template definitions of ring.h.
#pragma once

#include <utility>

#include "bamboowing/base/ring.h"

namespace bamboowing {

template <typename T>
bool bounded_ring<T>::TryPush(T value) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (closed_ || count_ == slots_.size()) {
      return false;
    }
    AppendLocked(std::move(value));
  }
  not_empty_.notify_one();
  return true;
}

template <typename T>
bool bounded_ring<T>::TryPushQuietly(T value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (closed_ || count_ == slots_.size()) {
    return false;
  }
  AppendLocked(std::move(value));
  return true;
}

template <typename T>
bool bounded_ring<T>::Push(T value) {
  {
    std::unique_lock<std::mutex> lock(mutex_);
    not_full_.wait(lock, [this] { return closed_ || count_ < slots_.size(); });
    if (closed_) {
      return false;
    }
    AppendLocked(std::move(value));
  }
  not_empty_.notify_one();
  return true;
}

template <typename T>
std::optional<T> bounded_ring<T>::PopFor(std::chrono::microseconds timeout) {
  std::unique_lock<std::mutex> lock(mutex_);
  not_empty_.wait_for(lock, timeout, [this] { return closed_ || count_ > 0; });
  return TakeLocked();
}

template <typename T>
std::optional<T> bounded_ring<T>::TryPop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return TakeLocked();
}

template <typename T>
void bounded_ring<T>::Close() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
  }
  not_empty_.notify_all();
  not_full_.notify_all();
}

template <typename T>
bool bounded_ring<T>::closed() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return closed_;
}

template <typename T>
std::optional<T> bounded_ring<T>::TakeLocked() {
  if (count_ == 0) {
    return std::nullopt;
  }
  std::optional<T> value = std::move(slots_[head_]);
  slots_[head_].reset();
  head_ = (head_ + 1) % slots_.size();
  --count_;
  not_full_.notify_one();
  return value;
}

template <typename T>
void bounded_ring<T>::AppendLocked(T value) {
  slots_[(head_ + count_) % slots_.size()] = std::move(value);
  ++count_;
}

}  // namespace bamboowing
