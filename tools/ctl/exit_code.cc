#include "ctl/exit_code.h"

#include <array>

namespace bamboowing::ctl {
namespace {

constexpr std::array<exit_code_row, 13> kTable = {{
    {exit_code::kOk, "ok", "The command did what was asked.", ""},
    {exit_code::kInternal, "internal", "A defect of the system or of the tool.",
     "Report it with the command line and the message."},
    {exit_code::kUsage, "usage", "The command line is wrong; nothing was sent.", "See the command's --help."},
    {exit_code::kInvalidInput, "invalid_input", "A file or a value is wrong; nothing was changed.",
     "Correct what the message names."},
    {exit_code::kUnavailable, "unavailable", "The server cannot be reached or is not ready; nothing was done.",
     "Check the address and that the entry runs, then repeat the command."},
    {exit_code::kRefused, "refused", "The system refused the work; it was not run.",
     "Repeat the command later, or remove the cause that the message names."},
    {exit_code::kJobFailed, "job_failed", "The job ended and failed; it has no results.",
     "Read the reason; check what ran before submitting the work again."},
    {exit_code::kOutcomeUnknown, "outcome_unknown", "Whether the command took effect cannot be determined.",
     "Look at the present state before repeating the command."},
    {exit_code::kUnauthorized, "unauthorized", "The operators' token is missing or not valid.",
     "Pass the file with the token: --token-file FILE."},
    {exit_code::kNotFound, "not_found", "The job, target or path is not known.", "Check the name."},
    {exit_code::kConflict, "conflict", "Another operator changed the configuration first, or a job id is in use.",
     "Repeat the change on the present version, or use a new job id."},
    {exit_code::kViolation, "violation", "The time line contradicts a guarantee of the system, or itself.",
     "Keep the event logs and report the violation."},
    {exit_code::kTimeout, "timeout", "The wait ended before the work did; the work continues.",
     "Ask again for the state, with a longer --timeout if needed."},
}};

/// Exit code for an error that guarantees that the work did not run.
exit_code ExitCodeIfNotRun(error_kind kind) {
  switch (kind) {
    case error_kind::kInvalidJson:
    case error_kind::kInvalidField:
    case error_kind::kTooLarge:
      return exit_code::kInvalidInput;
    case error_kind::kTargetLost:
    case error_kind::kNotReady:
    case error_kind::kDraining:
    case error_kind::kStoreUnavailable:
      return exit_code::kUnavailable;
    default:
      return exit_code::kRefused;
  }
}

}  // namespace

span<const exit_code_row> ExitCodeTable() { return kTable; }

const exit_code_row& ExitCodeRow(exit_code code) { return kTable.at(static_cast<std::size_t>(code)); }

exit_code ExitCodeForError(const failure& error) {
  switch (error.kind) {
    case error_kind::kUnauthorized:
      return exit_code::kUnauthorized;
    case error_kind::kNotFound:
      return exit_code::kNotFound;
    case error_kind::kConflict:
      return exit_code::kConflict;
    case error_kind::kInternal:
      return exit_code::kInternal;
    default:
      break;
  }
  if (error.not_run == not_run_state::kYes) {
    return ExitCodeIfNotRun(error.kind);
  }
  return error.not_run == not_run_state::kNo ? exit_code::kJobFailed : exit_code::kOutcomeUnknown;
}

}  // namespace bamboowing::ctl
