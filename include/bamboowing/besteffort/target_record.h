/// @file
/// Record of an agent's target in the key-value service, for the next process of the agent.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "bamboowing/besteffort/run_manager.h"

namespace bamboowing {

/// JSON text of the record. The number of the announcement is left out.
std::string FormatTargetRecord(const target_incarnation& target);

/// Reads a record; nullopt if the text is not one.
std::optional<target_incarnation> ParseTargetRecord(std::string_view text);

}  // namespace bamboowing
