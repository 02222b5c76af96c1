/// @file
/// Settings of the dispatcher that are given on the command line, to measure the effect of single parameters.
#pragma once

#include <string>

#include "bamboowing/dispatch/settings.h"

namespace bamboowing::bench {

/// Applies "name=value" to @p settings, where the name is that of a number or duration (in microseconds) in
/// dispatch_settings. Throws std::invalid_argument for an unknown name or a value that is not a number.
void ApplyOverride(const std::string& text, dispatch_settings& settings);

}  // namespace bamboowing::bench
