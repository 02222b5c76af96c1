/// @file
/// Plain TCP sockets for tests that violate the HTTP protocol.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <string_view>

namespace bamboowing {

/// A TCP connection or listener on 127.0.0.1, closed by its destructor. Blocking calls time out after kTimeoutMs.
class raw_socket {
 public:
  static constexpr int kTimeoutMs = 10000;

  explicit raw_socket(int fd) : fd_(fd) {}
  raw_socket(raw_socket&& other) noexcept : fd_(other.fd_) { other.fd_ = -1; }
  raw_socket(const raw_socket&) = delete;
  raw_socket& operator=(const raw_socket&) = delete;
  ~raw_socket() { Close(); }

  static raw_socket Connect(int port) {
    raw_socket result(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address = Loopback(port);
    if (connect(result.fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      result.Close();
    }
    return result;
  }

  static raw_socket Listen() {
    raw_socket result(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address = Loopback(0);
    if (bind(result.fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(result.fd_, 64) != 0) {
      result.Close();
    }
    return result;
  }

  raw_socket Accept() const { return raw_socket(WaitReadable() ? accept(fd_, nullptr, nullptr) : -1); }

  int port() const {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
  }

  bool valid() const { return fd_ >= 0; }

  /// Sends all of @p text. Returns false if the peer closed the connection.
  bool Send(std::string_view text) const {
    while (!text.empty()) {
      const ssize_t sent = send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      text.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  /// Reads until the data contains @p end, the peer closes the connection or the wait times out. Returns all data read.
  std::string ReadUntil(std::string_view end) const {
    std::string text;
    char buffer[4096];
    while (text.find(end) == std::string::npos && WaitReadable()) {
      const ssize_t count = recv(fd_, buffer, sizeof(buffer), 0);
      if (count <= 0) {
        break;
      }
      text.append(buffer, static_cast<std::size_t>(count));
    }
    return text;
  }

  /// Whether the peer closes the connection before the timeout. Discards received data.
  bool WaitClosed() const {
    char buffer[4096];
    while (WaitReadable()) {
      if (recv(fd_, buffer, sizeof(buffer), 0) <= 0) {
        return true;
      }
    }
    return false;
  }

  /// Whether data or the end of the stream can be read without blocking.
  bool IsReadable() const { return Poll(0); }

  /// Shuts the connection down in both directions and unblocks a thread that reads from it.
  void Shutdown() const { shutdown(fd_, SHUT_RDWR); }

  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }

 private:
  static sockaddr_in Loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  bool WaitReadable() const { return Poll(kTimeoutMs); }

  bool Poll(int wait_ms) const {
    pollfd entry{fd_, POLLIN, 0};
    return fd_ >= 0 && poll(&entry, 1, wait_ms) > 0;
  }

  int fd_;
};

}  // namespace bamboowing
