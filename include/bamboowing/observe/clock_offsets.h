/// @file
/// Estimates the offsets between clocks from bounds on their differences.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// offset[first] - offset[second] <= limit. A cause that `first` recorded at a and an effect that `second` recorded at
/// b give the limit b - a.
struct offset_bound {
  std::size_t first = 0;
  std::size_t second = 0;
  duration limit{0};
};

/// Bounds that no constant offsets satisfy together.
struct offset_conflict {
  std::vector<std::size_t> clocks;  ///< the cycle of clocks whose bounds contradict each other
  duration excess{0};               ///< how much the bounds of the cycle must be widened in total
};

/// Offsets to be added to each clock.
struct offset_solution {
  std::vector<duration> offsets;  ///< one for each clock; 0 for the reference
  /// Half of the range that the bounds to other clocks allow; nullopt for a clock that is not bounded from both sides.
  std::vector<std::optional<duration>> uncertainty;
  std::vector<offset_conflict> conflicts;  ///< empty when the offsets satisfy every bound
  std::size_t reference = 0;               ///< the clock with the most bounds
};

/// Solves @p bounds as a system of difference constraints and moves each clock to the middle of the range that the
/// bounds to other clocks allow. Contradictory bounds are widened by the smallest common amount and reported. Clocks
/// without bounds keep their own time.
offset_solution SolveOffsets(std::size_t clocks, span<const offset_bound> bounds);

}  // namespace bamboowing
