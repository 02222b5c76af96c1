/// @file
/// Detection of pauses of a daemon: by a signal, by a lack of processor time, or by a suspension of the machine.
#pragma once

#include <optional>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// A time in which the process did not run.
struct process_pause {
  duration paused{0};     ///< on the clock that includes suspensions of the machine
  duration suspended{0};  ///< part of it that the steady clock did not count
};

/// Compares the time between two rounds of an event loop with the time for which the loop may wait. Reads no clock.
class pause_detector {
 public:
  /// @p steady and @p boot are the times at the end of a wait of at most @p max_wait. Returns the pause that has ended,
  /// if the round took much longer.
  std::optional<process_pause> OnRound(instant steady, instant boot, duration max_wait);

 private:
  std::optional<instant> last_steady_;
  instant last_boot_;
};

/// Logs the pauses of the event loop that calls it once a round.
class pause_log {
 public:
  void OnRound(duration max_wait);

 private:
  pause_detector detector_;
};

}  // namespace bamboowing
