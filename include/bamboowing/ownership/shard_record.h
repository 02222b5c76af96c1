/// @file
/// The durable record of a shard in the key-value store and the key that its leader holds under a lease.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "bamboowing/base/error.h"
#include "bamboowing/base/types.h"

namespace bamboowing {

/// One incarnation of an agent. A restarted agent has lost its records and its epoch, so it is a different member.
struct recorded_agent {
  std::string id;
  incarnation_id incarnation = 0;

  friend bool operator==(const recorded_agent& a, const recorded_agent& b) {
    return a.incarnation == b.incarnation && a.id == b.id;
  }
  friend bool operator!=(const recorded_agent& a, const recorded_agent& b) { return !(a == b); }
  friend bool operator<(const recorded_agent& a, const recorded_agent& b) {
    return std::tie(a.id, a.incarnation) < std::tie(b.id, b.incarnation);
  }
};

/// Value of `shards/SERVICE/N`. Changed only by compare-and-swap.
struct shard_record {
  std::string leader;  ///< id of the current or last leader
  incarnation_id incarnation = 0;
  std::vector<std::string> addresses;  ///< where other entries reach the leader
  epoch shard_epoch = 0;
  bool released = false;               ///< the leader gave up its authority before it wrote this
  std::vector<recorded_agent> agents;  ///< sorted; the agents that the leader may use, one incarnation for each id
  /// Sorted; agents that may have started tasks in this or an earlier epoch and can no longer report them. They are
  /// kept for the recovery window and have no vote.
  std::vector<recorded_agent> lost;
  std::string write_id;  ///< unique for each write, so that a writer recognises its own write after a lost response

  friend bool operator==(const shard_record& a, const shard_record& b) {
    return std::tie(a.leader, a.incarnation, a.addresses, a.shard_epoch, a.released, a.agents, a.lost, a.write_id) ==
           std::tie(b.leader, b.incarnation, b.addresses, b.shard_epoch, b.released, b.agents, b.lost, b.write_id);
  }
};

/// Value of `shards/SERVICE/N/holder`. The key is attached to the leader's lease and is deleted when the lease ends.
struct shard_holder {
  std::string leader;
  incarnation_id incarnation = 0;
  std::vector<std::string> addresses;
  epoch shard_epoch = 0;  ///< epoch that the holder has claimed or is about to claim
  std::string write_id;
};

std::string ShardRecordKey(const shard_id& shard);
std::string ShardHolderKey(const shard_id& shard);

/// Returns the record as JSON text.
std::string EncodeShardRecord(const shard_record& record);

/// Reads JSON text. Fails with kInvalidJson or kInvalidField.
std::optional<shard_record> DecodeShardRecord(std::string_view text, failure& error);

/// Returns the holder as JSON text.
std::string EncodeShardHolder(const shard_holder& holder);

/// Reads JSON text. Fails with kInvalidJson or kInvalidField.
std::optional<shard_holder> DecodeShardHolder(std::string_view text, failure& error);

}  // namespace bamboowing
