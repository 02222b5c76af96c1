/// @file
/// Clocks of the daemons. Decision libraries read neither: the time is passed to them.
#pragma once

#include "bamboowing/base/types.h"

namespace bamboowing {

/// Current time since the machine started. Includes the time for which the machine was suspended: other machines and
/// targets go on meanwhile, so leases and time limits must not outlast a suspension.
instant Now();

/// Current time of the steady clock, which stops while the machine is suspended.
instant SteadyNow();

}  // namespace bamboowing
