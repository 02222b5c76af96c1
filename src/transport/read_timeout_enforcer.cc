#include "read_timeout_enforcer.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <optional>

#include "bamboowing/base/clock.h"

namespace bamboowing {
namespace {

// With eight scans per timeout, a slow connection is closed at most an eighth of the timeout late.
constexpr int kScansPerTimeout = 8;
constexpr duration kMinScanInterval = std::chrono::milliseconds(10);

// Upper bound of the time from the arrival of a request's last byte to the start of its handler on a busy machine.
constexpr duration kMaxHandlerDelay = std::chrono::seconds(5);

bool IsAcceptedConnection(int fd, int port) {
  sockaddr_in local{};
  socklen_t size = sizeof(local);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&local), &size) != 0 || local.sin_family != AF_INET ||
      ntohs(local.sin_port) != port) {
    return false;
  }
  int listening = 0;
  size = sizeof(listening);
  return getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) == 0 && listening == 0;
}

std::optional<connection_sample> SampleConnection(int fd, int port) {
  connection_sample sample;
  tcp_info info{};
  socklen_t info_size = sizeof(info);
  socklen_t cookie_size = sizeof(sample.cookie);
  if (!IsAcceptedConnection(fd, port) || getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &info_size) != 0 ||
      getsockopt(fd, SOL_SOCKET, SO_COOKIE, &sample.cookie, &cookie_size) != 0) {
    return std::nullopt;
  }
  sample.fd = fd;
  sample.bytes_received = info.tcpi_bytes_received;
  sample.bytes_sent = info.tcpi_bytes_sent;
  return sample;
}

std::vector<connection_sample> SampleConnections(int port) {
  std::vector<connection_sample> samples;
  const std::unique_ptr<DIR, int (*)(DIR*)> directory(opendir("/proc/self/fd"), closedir);
  while (const dirent* entry = directory ? readdir(directory.get()) : nullptr) {
    if (entry->d_name[0] == '.') {
      continue;
    }
    const std::optional<connection_sample> sample = SampleConnection(std::atoi(entry->d_name), port);
    if (sample) {
      samples.push_back(*sample);
    }
  }
  return samples;
}

// The duplicated descriptor keeps the socket from being replaced by another one between the check and the shutdown. A
// connection that has sent a response since its scan stays open.
void ShutDownIfUnchanged(const connection_sample& sample, int port) {
  const int copy = dup(sample.fd);
  if (copy < 0) {
    return;
  }
  const std::optional<connection_sample> current = SampleConnection(copy, port);
  const bool unchanged = current && current->cookie == sample.cookie && current->bytes_sent == sample.bytes_sent;
  if (unchanged) {
    shutdown(copy, SHUT_RDWR);
  }
  close(copy);
}

}  // namespace

std::vector<connection_sample> slow_connection_detector::Update(const std::vector<connection_sample>& samples,
                                                                instant now) {
  std::map<std::uint64_t, connection_state> current;
  std::vector<connection_sample> slow;
  for (const connection_sample& sample : samples) {
    connection_state& connection = current[sample.cookie];
    const std::map<std::uint64_t, connection_state>::const_iterator previous = connections_.find(sample.cookie);
    if (previous != connections_.end()) {
      connection = previous->second;
    }
    UpdateState(connection, sample, now);
    if (IsTooSlow(connection, now)) {
      slow.push_back(sample);
    }
  }
  connections_ = std::move(current);
  last_scan_ = now;
  return slow;
}

void slow_connection_detector::UpdateState(connection_state& connection, const connection_sample& sample,
                                           instant now) const {
  if (sample.bytes_sent != connection.last.bytes_sent) {
    // Bytes that arrive in the same scan interval as a response count as answered; counting them as a new request would
    // close idle connections. A caller that continues to send is detected by its next bytes.
    connection.pending = false;
  } else if (sample.bytes_received != connection.last.bytes_received) {
    if (!connection.pending) {
      connection.pending = true;
      connection.first_byte = {last_scan_, now};
    }
    connection.last_byte = {last_scan_, now};
  }
  connection.last = sample;
}

bool slow_connection_detector::IsTooSlow(const connection_state& connection, instant now) const {
  if (!connection.pending || now - connection.first_byte.latest <= timeout_) {
    return false;
  }
  const bool bytes_after_timeout = connection.last_byte.earliest - connection.first_byte.latest > timeout_;
  return bytes_after_timeout ||
         !has_open_request_(connection.first_byte.earliest, connection.last_byte.latest + kMaxHandlerDelay);
}

read_timeout_enforcer::read_timeout_enforcer(int port, duration timeout,
                                             slow_connection_detector::open_request_query has_open_request)
    : port_(port),
      scan_interval_(std::max(kMinScanInterval, timeout / kScansPerTimeout)),
      detector_(timeout, std::move(has_open_request)),
      thread_([this] { Run(); }) {}

read_timeout_enforcer::~read_timeout_enforcer() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void read_timeout_enforcer::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!wake_.wait_for(lock, scan_interval_, [this] { return stopping_; })) {
    for (const connection_sample& sample : detector_.Update(SampleConnections(port_), Now())) {
      ShutDownIfUnchanged(sample, port_);
    }
  }
}

}  // namespace bamboowing
