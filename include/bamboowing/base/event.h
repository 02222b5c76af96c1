/// @file
/// The events that every process records and that the time line merges.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "bamboowing/base/error.h"
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
  kCallReceived,   ///< a caller's submission arrived; `number` is the call, `count` the number of tasks
  kCallAnswered,   ///< its answer was sent; `count` is the number of results, `error` is set unless it is complete
  kTargetResumed,  ///< a draining target receives work again
};

/// Number of event kinds.
inline constexpr int kEventKindCount = static_cast<int>(event_kind::kTargetResumed) + 1;

/// Returns the name of @p kind in event logs, for example "job_accepted".
std::string_view EventName(event_kind kind);

/// Finds a kind by its name in an event log; nullopt for an unknown name.
std::optional<event_kind> EventKindFromName(std::string_view name);

/// One event of one process. Empty fields are not written.
struct event {
  event_kind kind = event_kind::kProcessReady;
  instant at;                ///< the recording process's monotonic clock
  std::string job_id;        ///< job concerned
  std::int64_t task = -1;    ///< index of the task concerned, or -1
  std::string peer;          ///< other process or target concerned
  std::uint64_t number = 0;  ///< configuration version, epoch or call, as the kind says
  std::string detail;        ///< for a person

  std::int64_t attempt = -1;        ///< attempt of the task concerned, or -1
  std::int64_t count = -1;          ///< tasks of an accepted job or call, results of a completed or answered one, or -1
  std::optional<error_kind> error;  ///< why the job, task or call was refused or failed
  std::optional<not_run_state> not_run;  ///< what the refusal or failure says about execution
  std::uint64_t sequence = 0;            ///< position in the process's event log, from 1; 0 when the log has no numbers
  bool idempotent = false;               ///< the work may start more than once: an idempotent request
};

}  // namespace bamboowing
