/// @file
/// Monotonic clock and random source of the daemons. The core classes read neither: both are passed to them.
#pragma once

#include <cstdint>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// Current time of the monotonic clock.
instant Now();

/// Returns a non-zero random number, for incarnations and seeds.
std::uint64_t RandomNumber();

/// CPU time that the process has used, user and system.
duration ProcessCpuTime();

}  // namespace bamboowing
