/// @file
/// The events that every process records and that the time line merges.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// What happened. The names in event logs come from EventName().
enum class event_kind : std::uint8_t {
  kJobAccepted,
  kJobRefused,
  kJobCompleted,
  kJobFailed,
  kJobCancelled,
  kJobRelayed,
  kJobRecovered,
  kTaskSent,
  kTaskStarted,
  kTaskAnswered,
  kTaskRefused,
  kTargetAnnounced,
  kTargetEjected,
  kTargetRestored,
  kTargetDraining,
  kTargetLeft,
  kSessionOpened,
  kSessionClosed,
  kShardClaimed,
  kShardReleased,
  kEpochRaised,
  kLeaseRenewed,
  kLeaseLost,
  kConfigApplied,
  kProcessReady,
  kProcessDraining,
  kProcessStopped,
};

/// Number of event kinds.
inline constexpr int kEventKindCount = static_cast<int>(event_kind::kProcessStopped) + 1;

/// Returns the name of @p kind in event logs, for example "job_accepted".
std::string_view EventName(event_kind kind);

/// One event of one process. Empty fields are not written.
struct event {
  event_kind kind = event_kind::kProcessReady;
  instant at;                ///< the recording process's monotonic clock
  std::string job_id;        ///< job concerned
  std::int64_t task = -1;    ///< index of the task concerned, or -1
  std::string peer;          ///< other process or target concerned
  std::uint64_t number = 0;  ///< configuration version, epoch or count, as the kind says
  std::string detail;        ///< for a person
};

}  // namespace bamboowing
