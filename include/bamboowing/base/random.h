/// @file
/// A small pseudo-random generator that is fully determined by its seed, so that a run can be reproduced.
#pragma once

#include <cstdint>

namespace bamboowing {

/// Generates pseudo-random numbers from a seed. Not thread-safe and not cryptographically secure.
class seeded_random {
 public:
  explicit seeded_random(std::uint64_t seed) : state_(seed) {}

  /// Returns the next 64 random bits.
  std::uint64_t Next();

  /// Returns a number in [0, limit); 0 when @p limit is 0.
  std::uint64_t Below(std::uint64_t limit);

  /// Returns a number in [0, 1).
  double Unit();

 private:
  std::uint64_t state_;
};

}  // namespace bamboowing
