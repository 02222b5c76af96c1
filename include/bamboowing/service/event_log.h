/// @file
/// Event log of a process: a file of JSON lines, with the newest events also in memory.
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

/// Writes events on its own thread. Thread-safe.
class event_log {
 public:
  /// @param file path of the event log; empty keeps events in memory only.
  event_log(process_identity process, const std::string& file);
  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;

  /// Appends an event. If the queue to the writer is full, the event is dropped and counted, so that a slow disk does
  /// not block the core thread.
  void Record(event recorded);

  /// Returns the retained events with a sequence number above @p after as JSON lines, oldest first, up to @p max_bytes
  /// in total. Events are numbered from 1 in each process. @p last_number is set to the number of the last line
  /// returned, or to @p after if there is none.
  std::string Lines(std::uint64_t after, std::size_t max_bytes, std::uint64_t& last_number) const;

  /// Number of events that Record() dropped.
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
