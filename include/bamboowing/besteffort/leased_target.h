/// @file
/// Interface of a target that runs tasks under a lease and rejects requests with a lower fencing token.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/message/best_effort.h"

namespace bamboowing {

/// A time on the target's own steady clock.
using target_time = std::chrono::milliseconds;

/// Outcome of a request to the target.
enum class request_status : std::uint8_t {
  kAccepted,           ///< executed now or by an earlier request
  kFenced,             ///< the target has seen a higher fencing token; not executed
  kStaleAttempt,       ///< this attempt or a higher one has ended or was stopped at the target; not executed
  kLeaseExpired,       ///< the lease of the request had already expired; not executed
  kNoRoom,             ///< the free capacity does not suffice; not executed
  kUnavailable,        ///< the target is unhealthy; not executed
  kRejected,           ///< the target or the client could not parse the message; a malformed request is not executed
  kOtherIncarnation,   ///< another incarnation of the target answered; not executed
  kConnectionRefused,  ///< nothing listens at the address; not executed
  kNoResponse,         ///< may have been executed, or may be executed later, also by a later incarnation of the target
};

/// Response to a start or stop request.
struct request_response {
  request_status status = request_status::kNoResponse;
  std::optional<target_time> clock;  ///< the target's clock at the time of the response
};

/// Outcome of a run as the target reports it.
enum class target_outcome : std::uint8_t {
  kDone,
  kFailed,       ///< by a fault of the task or of the target
  kStopped,      ///< by a stop request
  kInterrupted,  ///< the lease expired, or another member of its group ended
};

/// A finished run, which the target lists until it is acknowledged.
struct finished_run {
  std::uint64_t sequence = 0;  ///< starts at 1 in each incarnation of the target
  run_key key;
  target_outcome outcome = target_outcome::kInterrupted;
};

/// Response to a poll.
struct poll_response {
  request_status status = request_status::kNoResponse;
  std::optional<target_time> clock;
  std::optional<std::uint64_t> start_id;  ///< distinguishes incarnations of the target with the same id
  std::vector<run_key> running;
  std::vector<finished_run> finished;  ///< in the order of their sequence numbers
};

/// Fields common to all requests.
struct request_context {
  std::string target_id;    ///< id of the target that the request is addressed to
  std::uint64_t token = 0;  ///< fencing token; the target rejects requests with a lower token than it has seen
};

/// Starts a run and renews the lease of the target.
struct start_request {
  request_context context;
  run_key key;
  std::string payload;
  target_time lease_end{0};  ///< new end of the lease, which covers all runs at the target
};

/// Stops a run. If the run has not been started yet, a later start of this attempt is rejected.
struct stop_request {
  request_context context;
  run_key key;
};

/// Renews the lease, acknowledges finished runs and lists the target's runs.
struct poll_request {
  request_context context;
  std::uint64_t acknowledged_sequence = 0;  ///< finished runs up to this number are removed from the list
  std::optional<target_time> lease_end;     ///< new end of the lease of all runs; not renewed if absent
  duration wait{0};                         ///< long poll: the response waits up to this time for a run to finish
};

/// Asynchronous client of one target. All functions are thread-safe and return immediately; each callback is called
/// exactly once, on a thread of the implementation, and must not block.
class leased_target {
 public:
  leased_target() = default;
  leased_target(const leased_target&) = delete;
  leased_target& operator=(const leased_target&) = delete;
  virtual ~leased_target() = default;

  virtual void Start(const start_request& request, duration timeout, std::function<void(request_response)> done) = 0;
  virtual void Stop(const stop_request& request, duration timeout, std::function<void(request_response)> done) = 0;
  /// @p timeout is added to the wait of the request.
  virtual void Poll(const poll_request& request, duration timeout, std::function<void(poll_response)> done) = 0;
};

}  // namespace bamboowing
