/// @file
/// The durable record of a shard in the key-value service and the key that its home holds under a lease.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "bamboowing/base/error.h"
#include "bamboowing/base/types.h"

namespace bamboowing {

/// One life of an agent. A restarted agent has lost its records and its epoch, so it is a different member.
struct recorded_agent {
  std::string id;
  incarnation_id life = 0;

  friend bool operator==(const recorded_agent& a, const recorded_agent& b) { return a.life == b.life && a.id == b.id; }
  friend bool operator!=(const recorded_agent& a, const recorded_agent& b) { return !(a == b); }
  friend bool operator<(const recorded_agent& a, const recorded_agent& b) {
    return std::tie(a.id, a.life) < std::tie(b.id, b.life);
  }
};

/// Value of `shards/SERVICE/N`. Changed only by compare-and-swap.
struct shard_record {
  std::string home;  ///< id of the entry that is home, or was home last
  incarnation_id life = 0;
  std::vector<std::string> addresses;  ///< where other entries reach the home
  epoch shard_epoch = 0;
  bool released = false;               ///< the home gave the shard up before it wrote this
  std::vector<recorded_agent> agents;  ///< sorted; the agents that the home may use, one life for each id
  /// Sorted; agents that may have started tasks under this or an earlier epoch and can no longer report them. They are
  /// kept for the recovery window and have no vote.
  std::vector<recorded_agent> lost;
  std::string write_id;  ///< unique for each write, so that a writer recognises its own write after a lost answer

  friend bool operator==(const shard_record& a, const shard_record& b) {
    return std::tie(a.home, a.life, a.addresses, a.shard_epoch, a.released, a.agents, a.lost, a.write_id) ==
           std::tie(b.home, b.life, b.addresses, b.shard_epoch, b.released, b.agents, b.lost, b.write_id);
  }
};

/// Value of `shards/SERVICE/N/holder`. The key is attached to the home's lease, so that it vanishes with the lease.
struct shard_holder {
  std::string home;
  incarnation_id life = 0;
  std::vector<std::string> addresses;
  epoch shard_epoch = 0;  ///< epoch that the holder has or is about to claim
  std::string write_id;
};

std::string ShardRecordKey(const shard_id& shard);
std::string ShardHolderKey(const shard_id& shard);

/// JSON text of a record.
std::string EncodeShardRecord(const shard_record& record);

/// Reads JSON text. Fails with kInvalidJson or kInvalidField.
std::optional<shard_record> DecodeShardRecord(std::string_view text, failure& reason);

/// JSON text of a holder.
std::string EncodeShardHolder(const shard_holder& holder);

/// Reads JSON text. Fails with kInvalidJson or kInvalidField.
std::optional<shard_holder> DecodeShardHolder(std::string_view text, failure& reason);

}  // namespace bamboowing
