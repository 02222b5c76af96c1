/// @file
/// Clocks and random source of the daemons. The core classes read none of them: they are passed to them.
#pragma once

#include <cstdint>

#include "bamboowing/base/clock.h"
#include "bamboowing/base/types.h"

namespace bamboowing {

/// Returns a non-zero random number, for incarnations and seeds.
std::uint64_t RandomNumber();

/// CPU time that the process has used, user and system.
duration ProcessCpuTime();

}  // namespace bamboowing
