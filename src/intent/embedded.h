/// @file
/// The texts that cmake/embed.cmake links into the library: pairs of name and text.
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
