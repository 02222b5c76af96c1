/// @file
/// What a shard_owner asks of its process, its settings, and the results of store calls.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/ownership/shard_record.h"

namespace bamboowing {

/// Names one call of the store, so that its result can be matched; unique within one shard_owner.
using store_call_id = std::uint64_t;

/// Names a lease at the store; 0 means none.
using lease_id = std::uint64_t;

/// Version of a key at the store; 0 means that the key does not exist.
using store_version = std::uint64_t;

/// Reads a key.
struct store_read {
  store_call_id call = 0;
  std::string key;
};

/// Writes a key if its version is @p expected.
struct store_swap {
  store_call_id call = 0;
  std::string key;
  store_version expected = 0;  ///< 0: the key must not exist
  std::string value;
  lease_id lease = 0;  ///< not 0: the key vanishes when this lease ends
};

/// Asks for a lease.
struct lease_grant {
  store_call_id call = 0;
  duration time_to_live{0};
};

/// Renews a lease.
struct lease_renew {
  store_call_id call = 0;
  lease_id lease = 0;
};

/// Ends a lease and so removes the keys attached to it.
struct lease_revoke {
  store_call_id call = 0;
  lease_id lease = 0;
};

/// Send the agent a batch with `claim` set and this epoch.
struct claim_agent {
  std::string agent;
  epoch shard_epoch = 0;
};

/// Send the agent a batch soon, even an empty one, so that its answer confirms the home.
struct probe_agent {
  std::string agent;
};

/// The claim took effect in the store; the inventories that agents send from now on belong to @p shard_epoch.
struct claimed_shard {
  epoch shard_epoch = 0;
  std::vector<recorded_agent> to_account;  ///< agents that may hold tasks of earlier epochs
};

/// This entry is home from now on; it must still ask has_authority() before each acceptance and each start.
struct became_home {
  epoch shard_epoch = 0;
};

/// This entry is no longer home, or no longer a claimant, of @p shard_epoch.
struct lost_home {
  epoch shard_epoch = 0;
};

/// The agent is in the record and has acknowledged the epoch: the home may start tasks on it.
struct agent_usable {
  recorded_agent agent;
};

using owner_action = std::variant<store_read, store_swap, lease_grant, lease_renew, lease_revoke, claim_agent,
                                  probe_agent, claimed_shard, became_home, lost_home, agent_usable>;

/// How a store call ended.
enum class store_outcome : std::uint8_t {
  kOk,           ///< for a read also when the key does not exist
  kConflict,     ///< a swap found another version; nothing was written
  kLeaseGone,    ///< the lease does not exist any more
  kUnavailable,  ///< no answer; whether the call took effect is unknown
};

/// Result of a store call.
struct store_result {
  store_call_id call = 0;
  store_outcome outcome = store_outcome::kUnavailable;
  std::optional<std::string> value;  ///< of a read; nullopt when the key does not exist
  store_version version = 0;         ///< of the key that was read or written
  lease_id lease = 0;                ///< of a grant
};

/// Settings of a shard_owner. The durations have the values of design section 6.2.
struct owner_settings {
  shard_id shard;
  std::string entry_id;
  incarnation_id life = 0;
  std::vector<std::string> addresses;

  duration lease_time = std::chrono::seconds(3);
  duration renew_interval = std::chrono::seconds(1);
  duration authority_timeout = std::chrono::seconds(1);
  /// Covers the drift between clocks: 5 % of the longest time that is compared across machines, with some reserve.
  duration clock_margin = std::chrono::milliseconds(200);
  duration poll_interval = std::chrono::seconds(1);  ///< reads of the holder by entries that are not home
  duration store_timeout = std::chrono::seconds(1);  ///< a call without answer counts as unavailable
  /// The time-out grows up to this while calls time out, so that a slow store is still usable. A store slower than this
  /// cannot keep a lease of `lease_time`; a longer time-out only delays the first call after an outage.
  duration store_timeout_max = std::chrono::milliseconds(2500);
  duration store_backoff_min = std::chrono::milliseconds(100);
  duration store_backoff_max = std::chrono::seconds(1);
  duration claim_interval = std::chrono::milliseconds(500);   ///< a claim without acknowledgement is repeated
  duration record_interval = std::chrono::milliseconds(100);  ///< shortest time between changes of the agents' list
  duration recovery_window = std::chrono::seconds(120);       ///< how long a missing agent keeps its place
};

}  // namespace bamboowing
