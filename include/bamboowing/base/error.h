/// @file
/// The closed list of error kinds and the one table that gives the answer for each kind.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// Every error that the system reports to a caller, an operator or another process.
enum class error_kind : std::uint8_t {
  kInvalidJson,         ///< the body is not JSON
  kInvalidField,        ///< a field is unknown, missing or out of its range
  kTooLarge,            ///< a body or a number of tasks exceeds its limit
  kUnauthorized,        ///< an operators' call without a valid token
  kNotFound,            ///< no such job, path or service
  kConflict,            ///< the job id is used by a different job, or a configuration race was lost
  kQuotaExceeded,       ///< the team's share of the queue is full
  kOverloaded,          ///< the queue is full
  kDeadlineInfeasible,  ///< the work cannot end before the deadline
  kDeadlineExceeded,    ///< the deadline passed before the answer was complete
  kNoTarget,            ///< no target serves the service
  kNotReady,            ///< the process has no configuration or no home is known for the shard
  kDraining,            ///< the process is shutting down
  kStaleEpoch,          ///< a start came from an entry that is no longer home
  kStaleMessage,        ///< a start was delayed so long that it must not run
  kNoSlot,              ///< the target has no free slot
  kTargetFailed,        ///< the target ran the task and reported failure
  kTargetLost,          ///< the target or its agent died while the task was in flight
  kTimeLimit,           ///< the task ran longer than its limit
  kCancelled,           ///< cancelled by the caller
  kOutcomeUnknown,      ///< whether the work ran cannot be determined; it is not started again
  kStoreUnavailable,    ///< the key-value service does not answer
  kInternal,            ///< a defect of the system
};

/// Number of error kinds; the table in error.cc has one row for each.
inline constexpr int kErrorKindCount = static_cast<int>(error_kind::kInternal) + 1;

/// Whether the work named by an error ran. `kYes` is only used when it is certain that nothing was started.
enum class not_run_state : std::uint8_t { kYes, kNo, kUnknown };

/// One row of the error table.
struct error_row {
  error_kind kind;
  std::string_view name;     ///< the value of `kind` in an error body
  int http_status;           ///< status code of the HTTP answer
  not_run_state not_run;     ///< what holds unless the place that raises the error says otherwise
  bool retryable;            ///< whether the same submission may succeed later
  std::string_view meaning;  ///< one sentence for docs/errors.md
  std::string_view action;   ///< what the caller or the operator does next
};

/// Returns the row for @p kind. The reference is valid for the life of the program.
const error_row& ErrorRow(error_kind kind);

/// Returns the whole table, in the order of `error_kind`.
span<const error_row> ErrorTable();

/// Finds a kind by its name in an error body; nullopt for an unknown name.
std::optional<error_kind> ErrorKindFromName(std::string_view name);

/// Returns "yes", "no" or "unknown".
std::string_view NotRunName(not_run_state value);

/// The reason why a call gave no value. Functions that can fail return `std::optional` and fill one of these.
struct failure {
  failure() = default;
  /// A failure with the statement about execution that the table gives for @p error.
  failure(error_kind error, std::string text)
      : kind(error), not_run(ErrorRow(error).not_run), reason(std::move(text)) {}
  /// A failure at a place that can say more than the table.
  failure(error_kind error, not_run_state not_run, std::string text)
      : kind(error), not_run(not_run), reason(std::move(text)) {}

  error_kind kind = error_kind::kInternal;
  not_run_state not_run = not_run_state::kUnknown;
  std::string reason;                   ///< for a person: what was found and what was expected
  std::optional<duration> retry_after;  ///< when to try again, if that is known
};

}  // namespace bamboowing
