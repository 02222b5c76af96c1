/// @file
/// Free ports and URLs of numeric addresses.
#pragma once

#include <string>

#include "bamboowing/base/address.h"

namespace bamboowing {

/// Returns a port of @p host that is free at the time of the call, or 0 on failure.
int FindFreePort(const std::string& host);

/// Returns "http://HOST:PORT".
std::string HttpUrl(const ip_endpoint& endpoint);

}  // namespace bamboowing
