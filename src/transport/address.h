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

/// Splits and checks @p text. Names are refused: a process must not depend on a name service.
std::optional<ip_endpoint> ParseEndpoint(std::string_view text, failure& error);

/// Asks the system for a port of @p host that is free now; 0 if there is none.
int FindFreePort(const std::string& host);

/// Returns "http://HOST:PORT".
std::string HttpUrl(const ip_endpoint& endpoint);

}  // namespace bamboowing
