/// @file
/// The only place where daemons read clocks and the system's random source.
#pragma once

#include <cstdint>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// The process's monotonic clock.
instant Now();

/// A random number other than 0, for incarnations and seeds.
std::uint64_t RandomNumber();

/// Processor time that the process has used, user and system.
duration ProcessCpuTime();

}  // namespace bamboowing
