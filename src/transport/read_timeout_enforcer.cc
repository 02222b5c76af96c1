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

namespace bamboowing {
namespace {

// Eight scans within the limit keep the cut within an eighth of it.
constexpr int kScansPerLimit = 8;
constexpr duration kShortestPeriod = std::chrono::milliseconds(10);

// Upper bound for the time from the arrival of a request's last byte to the start of its handler on a busy machine.
constexpr duration kHandlerDelay = std::chrono::seconds(5);

instant Now() { return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now()); }

bool IsAcceptedOn(int fd, int port) {
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

std::optional<connection_sample> Sample(int fd, int port) {
  connection_sample sample;
  tcp_info info{};
  socklen_t info_size = sizeof(info);
  socklen_t cookie_size = sizeof(sample.cookie);
  if (!IsAcceptedOn(fd, port) || getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &info_size) != 0 ||
      getsockopt(fd, SOL_SOCKET, SO_COOKIE, &sample.cookie, &cookie_size) != 0) {
    return std::nullopt;
  }
  sample.fd = fd;
  sample.received = info.tcpi_bytes_received;
  sample.sent = info.tcpi_bytes_sent;
  return sample;
}

std::vector<connection_sample> SampleAll(int port) {
  std::vector<connection_sample> samples;
  const std::unique_ptr<DIR, int (*)(DIR*)> directory(opendir("/proc/self/fd"), closedir);
  while (const dirent* entry = directory ? readdir(directory.get()) : nullptr) {
    if (entry->d_name[0] == '.') {
      continue;
    }
    const std::optional<connection_sample> sample = Sample(std::atoi(entry->d_name), port);
    if (sample) {
      samples.push_back(*sample);
    }
  }
  return samples;
}

// The copy of the descriptor keeps the socket from being replaced by another one between the check and the shutdown. A
// connection that was answered since its scan is left alone.
void CutOff(const connection_sample& sample, int port) {
  const int copy = dup(sample.fd);
  if (copy < 0) {
    return;
  }
  const std::optional<connection_sample> present = Sample(copy, port);
  const bool unchanged = present && present->cookie == sample.cookie && present->sent == sample.sent;
  if (unchanged) {
    shutdown(copy, SHUT_RDWR);
  }
  close(copy);
}

}  // namespace

std::vector<connection_sample> slow_connections::Update(const std::vector<connection_sample>& samples, instant now) {
  std::map<std::uint64_t, tracked> kept;
  std::vector<connection_sample> slow;
  for (const connection_sample& sample : samples) {
    tracked& connection = kept[sample.cookie];
    const std::map<std::uint64_t, tracked>::const_iterator known = connections_.find(sample.cookie);
    if (known != connections_.end()) {
      connection = known->second;
    }
    Track(connection, sample, now);
    if (IsTooSlow(connection, now)) {
      slow.push_back(sample);
    }
  }
  connections_ = std::move(kept);
  last_scan_ = now;
  return slow;
}

void slow_connections::Track(tracked& connection, const connection_sample& sample, instant now) const {
  if (sample.sent != connection.last.sent) {
    // Bytes that arrived in the same scan as an answer count as answered: taking them for a new request would cut off
    // idle connections. A caller that goes on sending is noticed with its next bytes.
    connection.pending = false;
  } else if (sample.received != connection.last.received) {
    if (!connection.pending) {
      connection.pending = true;
      connection.first_byte = {last_scan_, now};
    }
    connection.last_byte = {last_scan_, now};
  }
  connection.last = sample;
}

bool slow_connections::IsTooSlow(const tracked& connection, instant now) const {
  if (!connection.pending || now - connection.first_byte.latest <= limit_) {
    return false;
  }
  const bool bytes_after_limit = connection.last_byte.earliest - connection.first_byte.latest > limit_;
  return bytes_after_limit || !open_(connection.first_byte.earliest, connection.last_byte.latest + kHandlerDelay);
}

connection_guard::connection_guard(int port, duration limit, slow_connections::open_between open)
    : port_(port),
      period_(std::max(kShortestPeriod, limit / kScansPerLimit)),
      slow_(limit, std::move(open)),
      thread_([this] { Run(); }) {}

connection_guard::~connection_guard() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void connection_guard::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!wake_.wait_for(lock, period_, [this] { return stopping_; })) {
    for (const connection_sample& sample : slow_.Update(SampleAll(port_), Now())) {
      CutOff(sample, port_);
    }
  }
}

}  // namespace bamboowing
