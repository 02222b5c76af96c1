/// @file
/// Files that cmake/embed.cmake embeds into the library, as pairs of name and content.
#pragma once

#include <cstddef>
#include <string_view>
#include <utility>

namespace bamboowing::embedded {

using embedded_file = std::pair<std::string_view, std::string_view>;

extern const embedded_file kSchemaFiles[];
extern const std::size_t kSchemaFilesCount;
extern const embedded_file kConsoleFiles[];
extern const std::size_t kConsoleFilesCount;

}  // namespace bamboowing::embedded
