/// @file
/// Numeric addresses of the form "127.0.0.1:8080".
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "bamboowing/base/error.h"

namespace bamboowing {

/// A numeric IPv4 address and a port.
struct ip_endpoint {
  std::string host;
  int port = 0;
};

/// Parses @p text; returns nullopt and sets @p error if it is malformed. Host names are rejected, because a process
/// must not depend on a name service.
std::optional<ip_endpoint> ParseEndpoint(std::string_view text, failure& error);

/// Returns a port of @p host that is free at the time of the call, or 0 on failure.
int FindFreePort(const std::string& host);

/// Returns "http://HOST:PORT".
std::string HttpUrl(const ip_endpoint& endpoint);

}  // namespace bamboowing
