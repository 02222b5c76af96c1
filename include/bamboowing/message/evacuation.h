/// @file
/// Evacuation of failure domains, as processes exchange it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bamboowing {

/// The failure domains in which no task is started, at one revision of the store.
struct evacuation_state {
  std::uint64_t revision = 0;                ///< store revision at which the set was read; 0 if it is unknown
  std::vector<std::string> failure_domains;  ///< sorted, without duplicates
};

}  // namespace bamboowing
