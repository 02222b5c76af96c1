/// @file
/// Parses YAML or JSON text into a JSON value and records the line of each value.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/intent/document.h"

namespace bamboowing::intent_detail {

/// The parsed text. `lines` gives the line, from 1, of each value by its path.
struct parsed_text {
  nlohmann::json value;
  std::map<std::string, int> lines;
};

/// Parses @p text. Aliases are rejected, because a few of them can expand to an arbitrarily large value; duplicate keys
/// are rejected, because one of the two values would be lost silently.
parsed_text ParseText(std::string_view text, std::vector<intent_error>& errors);

/// Returns the line of @p path or of its nearest enclosing value; 0 when there is none.
int LineOf(const std::map<std::string, int>& lines, std::string path);

/// Returns the path of the property @p key of the value at @p path.
std::string MemberPath(std::string_view path, std::string_view key);

/// Returns the path of the element @p index of the list at @p path.
std::string ElementPath(std::string_view path, std::size_t index);

/// Returns @p value as JSON, shortened to one short line for an error message.
std::string Shorten(const nlohmann::json& value);

}  // namespace bamboowing::intent_detail
