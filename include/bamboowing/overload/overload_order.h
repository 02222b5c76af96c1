/// @file
/// Order in which an entry serves waiting jobs while capacity is short.
#pragma once

#include <cstdint>

namespace bamboowing {

enum class overload_order : std::uint8_t {
  kDeadline,  ///< by latest start; arriving jobs are refused while the expected wait is long
  kCost,      ///< by latest start, but the jobs that cost their callers least are deferred or refused
};

}  // namespace bamboowing
