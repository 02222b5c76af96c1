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
  std::uint64_t cookie = 0;    ///< the kernel's id of the socket, never used again
  std::uint64_t received = 0;  ///< bytes from the caller
  std::uint64_t sent = 0;      ///< bytes to the caller
};

/// Decides which connections are too slow. A connection whose caller has sent bytes since the last answer is either
/// sending a request or waiting for its answer. It is certainly still sending when bytes arrived after the limit, or
/// when no request that is now open began while its bytes arrived.
class slow_connections {
 public:
  /// Whether a complete request that is open now began at a time in [from, to].
  using open_between = std::function<bool(instant from, instant to)>;

  slow_connections(duration limit, open_between open) : limit_(limit), open_(std::move(open)) {}

  /// Takes all connections of one scan and returns those to cut off.
  std::vector<connection_sample> Update(const std::vector<connection_sample>& samples, instant now);

 private:
  // The two scans between which something happened.
  struct bounds {
    instant earliest;
    instant latest;
  };

  struct tracked {
    connection_sample last;
    bool pending = false;  // bytes arrived since the last answer
    bounds first_byte;     // when the first of them arrived
    bounds last_byte;      // when the last of them arrived
  };

  void Track(tracked& connection, const connection_sample& sample, instant now) const;
  bool IsTooSlow(const tracked& connection, instant now) const;

  const duration limit_;
  const open_between open_;
  std::map<std::uint64_t, tracked> connections_;
  instant last_scan_;
};

/// Scans the accepted connections of one listening port from a thread of its own. The HTTP library neither bounds the
/// time to send a request nor gives access to its sockets, so they are found through the process's descriptors.
class connection_guard {
 public:
  connection_guard(int port, duration limit, slow_connections::open_between open);
  connection_guard(const connection_guard&) = delete;
  connection_guard& operator=(const connection_guard&) = delete;
  ~connection_guard();

 private:
  void Run();

  const int port_;
  const duration period_;
  slow_connections slow_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace bamboowing
