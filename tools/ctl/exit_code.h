/// @file
/// Exit codes of bamboowingctl. Scripts depend on the numbers; they never change.
#pragma once

#include <string_view>

#include "bamboowing/base/error.h"

namespace bamboowing::ctl {

enum class exit_code : int {
  kOk = 0,
  kInternal = 1,
  kUsage = 2,
  kInvalidInput = 3,
  kUnavailable = 4,
  kRefused = 5,
  kJobFailed = 6,
  kOutcomeUnknown = 7,
  kUnauthorized = 8,
  kNotFound = 9,
  kConflict = 10,
  kViolation = 11,
  kTimeout = 12,
};

/// One row of the table of exit codes in docs/cli.md.
struct exit_code_row {
  exit_code code;
  std::string_view name;     ///< value of `exit` in an error printed as JSON
  std::string_view meaning;  ///< one sentence
  std::string_view next;     ///< what to do, for failures without advice of their own
};

/// Returns the whole table, in the order of the codes.
span<const exit_code_row> ExitCodeTable();

/// Returns the row for @p code. The reference is valid for the life of the program.
const exit_code_row& ExitCodeRow(exit_code code);

/// Returns the exit code for a request that the server rejected or that got no response.
exit_code ExitCodeForError(const failure& error);

}  // namespace bamboowing::ctl
