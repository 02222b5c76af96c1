/// @file
/// Checks the guarantees of the system over a merged time line.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/observe/timeline.h"

namespace bamboowing {

/// A guarantee that a time line can contradict.
enum class invariant : std::uint8_t {
  kStartedTwice,    ///< a task started more than once, and it is not an idempotent request
  kPartialAnswer,   ///< an answer has fewer or more results than the job has tasks, or a failed answer has results
  kAnsweredTwice,   ///< a caller's call was answered more than once
  kForeignAnswer,   ///< a call was answered with the answer of another job
  kNotAnswered,     ///< a process stopped in good order and left a call without an answer
  kFalseRefusal,    ///< something reported as not run did run
  kConfigReverted,  ///< a process applied a lower configuration version than before
  kLateStart,       ///< work started on a target after it was leaving for longer than the bound
};

/// Returns the name in reports, for example "started_twice".
std::string_view InvariantName(invariant rule);

/// One contradiction.
struct violation {
  invariant rule = invariant::kStartedTwice;
  std::vector<std::size_t> entries;  ///< the events that show it, as indices in timeline::entries
  std::string text;                  ///< for a person: what happened, where and when
};

/// What was checked. A report without violations says little when these numbers are small.
struct invariant_report {
  std::vector<violation> violations;
  std::size_t starts = 0;
  std::size_t answers = 0;
  std::size_t refusals = 0;         ///< statements that work was not run
  std::size_t configurations = 0;   ///< applied versions
  std::size_t leaving_targets = 0;  ///< targets that left or were drained
  std::size_t missing_events = 0;   ///< gaps in the numbers of the event logs
};

/// Bounds of the checks.
struct invariant_settings {
  /// How long a leaving target may still receive work; the product promises "a few seconds".
  duration leaving_bound = std::chrono::seconds(5);
};

/// Checks @p all, which must hold all events of the run: a selection of one job hides violations of others.
invariant_report CheckInvariants(const timeline& all, const invariant_settings& settings = {});

}  // namespace bamboowing
