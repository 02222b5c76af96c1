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

/// Parses @p text; returns nullopt and sets @p error if it is malformed. Port 0 is accepted: a server that listens
/// there gets a free port. Host names are rejected, because a process must not depend on a name service.
std::optional<ip_endpoint> ParseEndpoint(std::string_view text, failure& error);

/// Parses the address of another process. As ParseEndpoint(), but rejects port 0, where no process can be reached.
std::optional<ip_endpoint> ParseRemoteEndpoint(std::string_view text, failure& error);

}  // namespace bamboowing
