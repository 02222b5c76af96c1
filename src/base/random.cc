#include "bamboowing/base/random.h"

namespace bamboowing {

std::uint64_t seeded_random::Next() {
  // SplitMix64 (Steele, Lea and Flood 2014): full period, and every seed is valid.
  state_ += 0x9E3779B97F4A7C15ULL;
  std::uint64_t z = state_;
  z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31U);
}

std::uint64_t seeded_random::Below(std::uint64_t limit) { return limit == 0 ? 0 : Next() % limit; }

double seeded_random::Unit() {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(Next() >> 11U) * kScale;
}

}  // namespace bamboowing
