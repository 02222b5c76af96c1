/// @file
/// Monotonic clock and random source of the daemons. The core classes read neither: both are passed to them.
#pragma once

#include <cstdint>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// Current time of the monotonic clock.
instant Now();

/// Current time of the steady clock, which stops while the machine is suspended.
instant SteadyNow();

/// Current time since the machine started, including the time in which it was suspended.
instant BootNow();

/// Returns a non-zero random number, for incarnations and seeds.
std::uint64_t RandomNumber();

/// CPU time that the process has used, user and system.
duration ProcessCpuTime();

}  // namespace bamboowing
