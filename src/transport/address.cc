#include "address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>

namespace bamboowing {
namespace {

std::optional<sockaddr_in> ToSocketAddress(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

int BindAndGetPort(int socket_fd, sockaddr_in address) {
  socklen_t size = sizeof(address);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(socket_fd, generic, size) != 0 || getsockname(socket_fd, generic, &size) != 0) {
    return 0;
  }
  return ntohs(address.sin_port);
}

}  // namespace

int FindFreePort(const std::string& host) {
  const std::optional<sockaddr_in> address = ToSocketAddress(host, 0);
  const int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!address || socket_fd < 0) {
    return 0;
  }
  const int port = BindAndGetPort(socket_fd, *address);
  close(socket_fd);
  return port;
}

std::string HttpUrl(const ip_endpoint& endpoint) {
  return "http://" + endpoint.host + ":" + std::to_string(endpoint.port);
}

}  // namespace bamboowing
