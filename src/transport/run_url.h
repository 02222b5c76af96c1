/// @file
/// URLs at which targets accept tasks.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "bamboowing/base/error.h"

namespace bamboowing {

/// Address and path of a URL like "http://127.0.0.1:9000/run".
struct run_url {
  std::string address;
  std::string path;
};

/// Parses @p text; returns nullopt and sets @p error if it is malformed.
std::optional<run_url> ParseRunUrl(std::string_view text, failure& error);

}  // namespace bamboowing
