/// @file
/// Actions that a shard_owner requests from its process, its settings, and the results of store calls.
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

/// Identifies one call to the store, so that its result can be matched; unique within one shard_owner.
using store_call_id = std::uint64_t;

/// Identifies a lease in the store; 0 means none.
using lease_id = std::uint64_t;

/// Version of a key in the store; 0 means that the key does not exist.
using store_version = std::uint64_t;

/// Reads a key.
struct store_read {
  store_call_id call = 0;
  std::string key;
};

/// Compare-and-swap: writes a key if its version is @p expected.
struct store_swap {
  store_call_id call = 0;
  std::string key;
  store_version expected = 0;  ///< 0: the key must not exist
  std::string value;
  lease_id lease = 0;  ///< not 0: the store deletes the key when this lease ends
};

/// Requests a lease.
struct lease_grant {
  store_call_id call = 0;
  duration time_to_live{0};
};

/// Renews a lease.
struct lease_renew {
  store_call_id call = 0;
  lease_id lease = 0;
};

/// Revokes a lease, which deletes the keys attached to it.
struct lease_revoke {
  store_call_id call = 0;
  lease_id lease = 0;
};

/// Requests a batch to the agent with `claim` set and this epoch.
struct claim_agent {
  std::string agent;
  epoch shard_epoch = 0;
};

/// Requests a batch to the agent soon, even an empty one, so that its reply confirms the leader.
struct probe_agent {
  std::string agent;
};

/// The claim took effect in the store; inventories that agents send after this belong to @p shard_epoch.
struct claimed_shard {
  epoch shard_epoch = 0;
  std::vector<recorded_agent> awaited_agents;  ///< agents that may hold tasks of earlier epochs
};

/// This entry became leader; it must still check has_authority() before each acceptance and each start.
struct became_leader {
  epoch shard_epoch = 0;
};

/// This entry is no longer leader, or no longer a claimant, for @p shard_epoch.
struct lost_leadership {
  epoch shard_epoch = 0;
};

/// The agent is in the record and has acknowledged the epoch: the leader may start tasks on it.
struct agent_usable {
  recorded_agent agent;
};

using owner_action = std::variant<store_read, store_swap, lease_grant, lease_renew, lease_revoke, claim_agent,
                                  probe_agent, claimed_shard, became_leader, lost_leadership, agent_usable>;

/// How a store call ended.
enum class store_outcome : std::uint8_t {
  kOk,           ///< for a read also when the key does not exist
  kConflict,     ///< a swap found another version; nothing was written
  kLeaseGone,    ///< the lease no longer exists
  kUnavailable,  ///< no response; whether the call took effect is unknown
};

/// Result of a store call.
struct store_result {
  store_call_id call = 0;
  store_outcome outcome = store_outcome::kUnavailable;
  std::optional<std::string> value;  ///< of a read; nullopt when the key does not exist
  store_version version = 0;         ///< of the key that was read or written
  lease_id lease = 0;                ///< of a grant, or of the key that was read
};

/// Settings of a shard_owner. The defaults of the durations follow design section 6.2.
struct owner_settings {
  shard_id shard;
  std::string entry_id;
  incarnation_id incarnation = 0;
  std::vector<std::string> addresses;

  duration lease_time = std::chrono::seconds(3);
  duration renew_interval = std::chrono::seconds(1);
  duration authority_timeout = std::chrono::seconds(1);
  /// Covers clock drift: 5 % of the longest duration that is compared across machines, plus a reserve.
  duration clock_margin = std::chrono::milliseconds(200);
  duration poll_interval = std::chrono::seconds(1);  ///< interval at which entries that are not leader read the holder
  duration store_timeout = std::chrono::seconds(1);  ///< a call without a response counts as unavailable
  /// The timeout grows up to this while calls time out, so that a slow store stays usable. A store slower than this
  /// cannot keep a lease of `lease_time` alive; a longer timeout only delays the first call after an outage.
  duration store_timeout_max = std::chrono::milliseconds(2500);
  duration store_backoff_min = std::chrono::milliseconds(100);
  duration store_backoff_max = std::chrono::seconds(1);
  duration claim_interval = std::chrono::milliseconds(500);   ///< a claim without an acknowledgement is sent again
  duration record_interval = std::chrono::milliseconds(100);  ///< shortest time between two record changes
  duration recovery_window = std::chrono::seconds(120);       ///< how long a missing agent stays in the record
};

}  // namespace bamboowing
