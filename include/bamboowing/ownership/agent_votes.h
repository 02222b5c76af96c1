/// @file
/// An entry's view of the agents of one shard: which are attached, and which acknowledged or confirmed the shard leader
/// and when.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/message/batch.h"
#include "bamboowing/ownership/shard_record.h"

namespace bamboowing {

/// One agent as seen by an entry.
struct agent_vote {
  incarnation_id incarnation = 0;
  bool attached = false;          ///< a session with it is open
  bool leaving = false;           ///< it has drained and is to be removed from the record
  epoch acknowledged_epoch = 0;   ///< newest epoch whose claim it acknowledged with an inventory; 0 if none
  instant confirmed_at;           ///< newest timestamp of this entry that it echoed together with this entry's epoch
  instant detached_at;            ///< when its last session closed
  instant claim_due;              ///< when the claim is to be sent again
  bool usable_announced = false;  ///< whether agent_usable was emitted for this incarnation and epoch
};

/// Tracks the votes of a shard's agents. Memory: one element for each agent that is attached or recorded.
class agent_votes {
 public:
  /// Records that a session with the agent is open. A new incarnation starts without votes. Returns the agent's vote.
  agent_vote& Attach(const std::string& id, incarnation_id incarnation);

  /// Records that the agent's last session closed.
  void Detach(const std::string& id, instant now);

  /// Records the acknowledgement and confirmation in a batch. @p own_incarnation and @p own_epoch are those of this
  /// entry. Ignores batches of other incarnations of the agent.
  void RecordBatch(const agent_batch& batch, incarnation_id own_incarnation, epoch own_epoch);

  /// Clears acknowledgements and confirmations, since a new epoch needs new ones, and adds the recorded agents that are
  /// not attached as detached since @p now.
  void StartEpoch(span<const recorded_agent> recorded, instant now);

  /// Removes agents that are neither attached nor in @p recorded.
  void Prune(span<const recorded_agent> recorded);

  /// Whether more than half of @p agents acknowledged @p claimed. A later incarnation of an agent counts: the earlier
  /// one has ended, its confirmations expire within authority_timeout, and the claimant waits for longer than that.
  bool MajorityAcknowledged(span<const recorded_agent> agents, epoch claimed) const;

  /// Whether more than half of @p agents, in exactly these incarnations, confirmed the leader later than @p since.
  bool MajorityConfirmed(span<const recorded_agent> agents, instant since) const;

  /// The agent's vote, or nullptr if the agent is not tracked.
  const agent_vote* Find(const std::string& id) const;

  std::map<std::string, agent_vote>& all() { return agents_; }
  const std::map<std::string, agent_vote>& all() const { return agents_; }

 private:
  std::map<std::string, agent_vote> agents_;
};

}  // namespace bamboowing
