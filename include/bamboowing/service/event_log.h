/// @file
/// The duty that keeps a process's events: a file of JSON lines and the newest events in memory.
#pragma once

#include <cstdint>
#include <deque>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>

#include "bamboowing/base/event.h"
#include "bamboowing/base/ring.h"
#include "bamboowing/observe/event_line.h"

namespace bamboowing {

/// Writes events on a thread of its own. Safe for use from all threads.
class event_log {
 public:
  /// @param file path of the event log; empty keeps events in memory only.
  event_log(process_identity process, const std::string& file);
  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;

  /// Appends an event. When the writer is behind by the capacity of its ring, the event is dropped and counted, so that
  /// a slow disk does not hold up the decisions.
  void Record(event recorded);

  /// JSON lines of the newest events with a number above @p after, at most @p limit bytes. Each process numbers its
  /// events from 1; @p last receives the number of the last line.
  std::string Lines(std::uint64_t after, std::size_t max_bytes, std::uint64_t& last_number) const;

  std::uint64_t dropped() const;

 private:
  static constexpr std::size_t kRingCapacity = 4096;
  static constexpr std::size_t kMaxLinesInMemory = 20000;

  void Run();

  process_identity process_;
  std::ofstream file_;
  bounded_ring<event> ring_;
  mutable std::mutex mutex_;
  std::deque<std::string> lines_;
  std::uint64_t last_number_ = 0;
  std::uint64_t dropped_ = 0;
  std::thread thread_;
};

}  // namespace bamboowing
