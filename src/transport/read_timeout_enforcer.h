/// @file
/// Cuts off connections whose callers take too long to send a request.
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

/// What the kernel says of one accepted connection.
struct connection_sample {
  int fd = -1;
  std::uint64_t cookie = 0;          ///< the kernel's id of the socket, never used again
  std::uint64_t bytes_received = 0;  ///< bytes from the caller
  std::uint64_t bytes_sent = 0;      ///< bytes to the caller
};

/// Decides which connections are too slow. A connection whose caller has sent bytes since the last answer is either
/// sending a request or waiting for its answer. It is certainly still sending when bytes arrived after the limit, or
/// when no request that is now open began while its bytes arrived.
class slow_connection_detector {
 public:
  /// Whether a complete request that is open now began at a time in [from, to].
  using open_request_query = std::function<bool(instant from, instant to)>;

  slow_connection_detector(duration timeout, open_request_query has_open_request)
      : timeout_(timeout), has_open_request_(std::move(has_open_request)) {}

  /// Takes all connections of one scan and returns those to cut off.
  std::vector<connection_sample> Update(const std::vector<connection_sample>& samples, instant now);

 private:
  // The two scans between which something happened.
  struct time_range {
    instant earliest;
    instant latest;
  };

  struct connection_state {
    connection_sample last;
    bool pending = false;   // bytes arrived since the last answer
    time_range first_byte;  // when the first of them arrived
    time_range last_byte;   // when the last of them arrived
  };

  void UpdateState(connection_state& connection, const connection_sample& sample, instant now) const;
  bool IsTooSlow(const connection_state& connection, instant now) const;

  const duration timeout_;
  const open_request_query has_open_request_;
  std::map<std::uint64_t, connection_state> connections_;
  instant last_scan_;
};

/// Scans the accepted connections of one listening port from a thread of its own. The HTTP library neither bounds the
/// time to send a request nor gives access to its sockets, so they are found through the process's descriptors.
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
