/// @file
/// Generates the sections of the pages under docs/ that are derived from tables in the code.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bamboowing::ctl {

/// Returns the generated section of a page: "cli", "errors" or "metrics"; nullopt for another name.
std::optional<std::string> ReferenceText(std::string_view page);

/// Replaces the text between the markers `<!-- begin PAGE -->` and `<!-- end PAGE -->` of @p text. Returns nullopt if
/// the markers are missing.
std::optional<std::string> WithReference(std::string_view text, std::string_view page);

}  // namespace bamboowing::ctl
