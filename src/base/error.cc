#include "bamboowing/base/error.h"

#include <array>

namespace bamboowing {
namespace {

constexpr std::array<error_row, kErrorKindCount> kTable = {{
    {error_kind::kInvalidJson, "invalid_json", 400, not_run_state::kYes, false, "The body is not valid JSON.",
     "Correct the body."},
    {error_kind::kInvalidField, "invalid_field", 400, not_run_state::kYes, false,
     "A field is unknown, missing or out of its range.", "Correct the field that the reason names."},
    {error_kind::kTooLarge, "too_large", 413, not_run_state::kYes, false,
     "A body or a number of tasks exceeds its limit.", "Split the job."},
    {error_kind::kUnauthorized, "unauthorized", 401, not_run_state::kYes, false,
     "An operators' call came without a valid token.", "Pass the operators' token."},
    {error_kind::kNotFound, "not_found", 404, not_run_state::kUnknown, false, "No such job, path or service is known.",
     "Check the name; a job is forgotten some time after its answer."},
    {error_kind::kConflict, "conflict", 409, not_run_state::kYes, false,
     "The job id belongs to a different job, or another operator changed the configuration first.",
     "Use a new job id, or repeat the change on the present version."},
    {error_kind::kQuotaExceeded, "quota_exceeded", 429, not_run_state::kYes, true,
     "The team's share of the queue is full.", "Submit again after retry_after_ms, or raise the team's quota."},
    {error_kind::kOverloaded, "overloaded", 503, not_run_state::kYes, true, "The queue is full.",
     "Submit again after retry_after_ms."},
    {error_kind::kDeadlineInfeasible, "deadline_infeasible", 503, not_run_state::kYes, true,
     "The work cannot end before its deadline.", "Submit again later or with a longer deadline."},
    {error_kind::kDeadlineExceeded, "deadline_exceeded", 504, not_run_state::kUnknown, false,
     "The deadline passed before the answer was complete.", "Check what ran before submitting the work again."},
    {error_kind::kNoTarget, "no_target", 503, not_run_state::kYes, true, "No target serves the service.",
     "Check the service's targets with bamboowingctl target list."},
    {error_kind::kNotReady, "not_ready", 503, not_run_state::kYes, true,
     "The process has no configuration, or the leader of the shard is not known.",
     "Submit again after retry_after_ms."},
    {error_kind::kDraining, "draining", 503, not_run_state::kYes, true, "The process is shutting down.",
     "Submit again; the balancer picks another entry."},
    {error_kind::kStaleEpoch, "stale_epoch", 503, not_run_state::kYes, true,
     "A start came from an entry that is no longer leader of the shard.", "None; the system handles it."},
    {error_kind::kStaleMessage, "stale_message", 503, not_run_state::kYes, true,
     "A start was delayed so long that it must not run.", "None; the system handles it."},
    {error_kind::kNoSlot, "no_slot", 503, not_run_state::kYes, true, "The target has no free slot.",
     "None; the system handles it."},
    {error_kind::kTargetFailed, "target_failed", 502, not_run_state::kNo, false,
     "The target ran the task and reported failure.", "Read the reason; correct the task."},
    {error_kind::kTargetLost, "target_lost", 502, not_run_state::kUnknown, false,
     "The target or its agent was lost while the task was in flight.",
     "Check what ran before submitting the work again."},
    {error_kind::kTimeLimit, "time_limit", 504, not_run_state::kNo, false, "The task ran longer than its limit.",
     "Raise the limit or make the task shorter."},
    {error_kind::kCancelled, "cancelled", 409, not_run_state::kUnknown, false, "The job was cancelled by its caller.",
     "None."},
    {error_kind::kOutcomeUnknown, "outcome_unknown", 502, not_run_state::kUnknown, false,
     "Whether the work ran cannot be determined; it is not started again.",
     "Check what ran before submitting the work under a new id."},
    {error_kind::kStoreUnavailable, "store_unavailable", 503, not_run_state::kUnknown, true,
     "The key-value service does not answer.", "Try again; check the platform's service."},
    {error_kind::kInternal, "internal", 500, not_run_state::kUnknown, false, "A defect of the system.",
     "Report it with the log lines of the job."},
}};

}  // namespace

const error_row& ErrorRow(error_kind kind) { return kTable.at(static_cast<std::size_t>(kind)); }

span<const error_row> ErrorTable() { return kTable; }

std::optional<error_kind> ErrorKindFromName(std::string_view name) {
  for (const error_row& row : kTable) {
    if (row.name == name) {
      return row.kind;
    }
  }
  return std::nullopt;
}

std::string_view NotRunName(not_run_state value) {
  switch (value) {
    case not_run_state::kYes:
      return "yes";
    case not_run_state::kNo:
      return "no";
    case not_run_state::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace bamboowing
