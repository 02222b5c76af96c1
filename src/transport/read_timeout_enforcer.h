/// @file
/// Closes connections whose callers take too long to send a request.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// The kernel's statistics of one accepted connection.
struct connection_sample {
  int fd = -1;
  std::uint64_t cookie = 0;          ///< the kernel's socket id, never reused
  std::uint64_t bytes_received = 0;  ///< bytes from the caller
  std::uint64_t bytes_sent = 0;      ///< bytes to the caller
};

/// Detects connections that exceed the read timeout. A connection that has received bytes since its last response is
/// either still receiving a request or waiting for a response. It is certainly still receiving if bytes arrived after
/// the timeout, or if no request that is open now was completely received while its bytes arrived.
class slow_connection_detector {
 public:
  /// Whether a request that is open now was received completely at a time in [from, to].
  using open_request_query = std::function<bool(instant from, instant to)>;

  slow_connection_detector(duration timeout, open_request_query has_open_request)
      : timeout_(timeout), has_open_request_(std::move(has_open_request)) {}

  /// Applies one scan of all connections and returns those to close.
  std::vector<connection_sample> Update(const std::vector<connection_sample>& samples, instant now);

 private:
  // The times of the two scans between which an event happened.
  struct time_range {
    instant earliest;
    instant latest;
  };

  struct connection_state {
    connection_sample last;
    bool pending = false;   // bytes arrived since the last response
    time_range first_byte;  // arrival of the first of these bytes
    time_range last_byte;   // arrival of the last of these bytes
  };

  void UpdateState(connection_state& connection, const connection_sample& sample, instant now) const;
  bool IsTooSlow(const connection_state& connection, instant now) const;

  const duration timeout_;
  const open_request_query has_open_request_;
  std::map<std::uint64_t, connection_state> connections_;
  instant last_scan_;
};

/// Scans the accepted connections of one listening port in a dedicated thread and closes those that exceed the read
/// timeout. The HTTP library has no read timeout and gives no access to its sockets, so they are found through the
/// process's file descriptors.
class read_timeout_enforcer {
 public:
  read_timeout_enforcer(int port, duration timeout, slow_connection_detector::open_request_query has_open_request);
  read_timeout_enforcer(const read_timeout_enforcer&) = delete;
  read_timeout_enforcer& operator=(const read_timeout_enforcer&) = delete;
  ~read_timeout_enforcer();

 private:
  void Run();

  const int port_;
  const duration scan_interval_;
  slow_connection_detector detector_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace bamboowing
