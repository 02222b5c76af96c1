/// @file
/// A target that runs tasks under a lease and fences by token.
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

/// What the target made of an order.
enum class request_status : std::uint8_t {
  kAccepted,           ///< carried out, or carried out before
  kFenced,             ///< a higher token was seen; nothing was done
  kStaleAttempt,       ///< this attempt or a higher one has ended or was stopped there; nothing was done
  kLeaseExpired,       ///< the lease of the order had passed; nothing was done
  kNoRoom,             ///< the task doesn't fit; nothing was done
  kUnavailable,        ///< the target is unhealthy; nothing was done
  kRejected,           ///< the target can't read the order; nothing was done
  kOtherIncarnation,   ///< another life of the target is there; nothing was done
  kConnectionRefused,  ///< nothing listens at the address; nothing was done
  kNoResponse,         ///< may have been carried out, or may be carried out later
};

/// Answer to a start or a stop.
struct request_response {
  request_status status = request_status::kNoResponse;
  std::optional<target_time> clock;  ///< the target's clock when it answered
};

/// How the target says that a run ended.
enum class target_outcome : std::uint8_t {
  kDone,
  kFailed,       ///< through its own fault or the target's
  kStopped,      ///< by an order
  kInterrupted,  ///< the lease ran out, or another member of its group ended
};

/// An end that the target lists until it is acknowledged.
struct finished_run {
  std::uint64_t sequence = 0;  ///< from 1 in each life of the target
  run_key key;
  target_outcome outcome = target_outcome::kInterrupted;
};

/// Answer to a hold.
struct poll_response {
  request_status status = request_status::kNoResponse;
  std::optional<target_time> clock;
  std::optional<std::uint64_t> start_id;  ///< start of this life of the target; tells lives with the same id apart
  std::vector<run_key> running;
  std::vector<finished_run> finished;  ///< in the order of their numbers
};

/// Common to all orders.
struct request_context {
  std::string target_id;    ///< the life for which the order is meant
  std::uint64_t token = 0;  ///< fencing token: the target does nothing for a lower one than it has seen
};

/// Starts a run.
struct start_request {
  request_context context;
  run_key key;
  std::string payload;
  target_time lease_end{0};  ///< the lease of everything that runs at the target is extended to this time
};

/// Stops a run, or forbids it if it is not there yet.
struct stop_request {
  request_context context;
  run_key key;
};

/// Renews the lease, acknowledges ends and lists runs.
struct poll_request {
  request_context context;
  std::uint64_t acknowledged_sequence = 0;  ///< ends up to this number may be forgotten
  std::optional<target_time> lease_end;     ///< renews the lease of everything that runs at the target
  duration wait{0};                         ///< the answer waits up to this time for an end
};

/// Access to one target. All functions are safe for use from several threads and return at once; each callback comes
/// once from a thread of the implementation and must not block.
class leased_target {
 public:
  leased_target() = default;
  leased_target(const leased_target&) = delete;
  leased_target& operator=(const leased_target&) = delete;
  virtual ~leased_target() = default;

  virtual void Start(const start_request& order, duration timeout, std::function<void(request_response)> done) = 0;
  virtual void Stop(const stop_request& order, duration timeout, std::function<void(request_response)> done) = 0;
  /// @p timeout counts beyond the wait of the order.
  virtual void Poll(const poll_request& order, duration timeout, std::function<void(poll_response)> done) = 0;
};

}  // namespace bamboowing
