/// @file
/// A small random source whose whole state is its seed, so that a run can be repeated.
#pragma once

#include <cstdint>

namespace bamboowing {

/// Pseudo-random numbers from a seed. Not safe for use from several threads and not suited for secrets.
class seeded_random {
 public:
  explicit seeded_random(std::uint64_t seed) : state_(seed) {}

  /// The next 64 random bits.
  std::uint64_t Next();

  /// A number in [0, limit); 0 when @p limit is 0.
  std::uint64_t Below(std::uint64_t limit);

  /// A number in [0, 1).
  double Unit();

 private:
  std::uint64_t state_;
};

}  // namespace bamboowing
