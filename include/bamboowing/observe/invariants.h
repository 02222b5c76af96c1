/// @file
/// Checks a merged timeline against the guarantees of the system.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/observe/timeline.h"

namespace bamboowing {

/// A guarantee that a timeline can violate.
enum class invariant : std::uint8_t {
  kStartedTwice,    ///< a task started more than once, and it is not an idempotent request
  kPartialAnswer,   ///< an answer has fewer or more results than the job has tasks, or a failed answer has results
  kAnsweredTwice,   ///< a caller's call was answered more than once
  kForeignAnswer,   ///< a call was answered with the answer of another job
  kNotAnswered,     ///< a process shut down gracefully without answering a call
  kFalseRefusal,    ///< work that was reported as not run did run
  kConfigReverted,  ///< a process applied a lower configuration version than before
  kLateStart,       ///< a task started on a target that had been leaving for longer than the bound
};

/// Returns the name in reports, for example "started_twice".
std::string_view InvariantName(invariant rule);

/// One violation of a guarantee.
struct violation {
  invariant rule = invariant::kStartedTwice;
  std::vector<std::size_t> entries;  ///< the events that show it, as indices in timeline::entries
  std::string text;                  ///< human-readable: what happened, where and when
};

/// Violations, and the numbers of events checked. The absence of violations means little if these numbers are small.
struct invariant_report {
  std::vector<violation> violations;
  std::size_t starts = 0;
  std::size_t answers = 0;
  std::size_t refusals = 0;         ///< events that report work as not run
  std::size_t configurations = 0;   ///< applied versions
  std::size_t leaving_targets = 0;  ///< targets that left or were drained
  std::size_t missing_events = 0;   ///< number of events missing from the logs, by gaps in the sequence numbers
};

/// Bounds of the checks.
struct invariant_settings {
  /// How long a leaving target may still receive work. The documented guarantee is "a few seconds".
  duration leaving_bound = std::chrono::seconds(5);
};

/// Checks @p all, which must contain all events of the run: a selection of one job hides violations of others.
invariant_report CheckInvariants(const timeline& all, const invariant_settings& settings = {});

}  // namespace bamboowing
