/// @file
/// What an entry knows of the agents of one shard: who is attached, who acknowledged or confirmed the home and when.
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
  incarnation_id life = 0;
  bool attached = false;   ///< a session with it is open
  bool leaving = false;    ///< it has left for good and is to be taken out of the record
  epoch acknowledged = 0;  ///< newest epoch of this entry whose claim it acknowledged with an inventory
  instant confirmed;       ///< newest clock of ours that it echoed together with our epoch
  instant detached_at;     ///< when its last session closed
  instant claim_due;       ///< when the claim is to be sent again
  bool announced = false;  ///< whether agent_usable was given for this life and epoch
};

/// Counts votes. Memory: one element for each agent that is attached or recorded.
class agent_votes {
 public:
  /// A session with the agent is open. A new life starts without votes. Returns the agent.
  agent_vote& Attach(const std::string& id, incarnation_id life);

  /// The agent's last session closed.
  void Detach(const std::string& id, instant now);

  /// Takes over what a batch says; @p own_life and @p own_epoch are those of the entry. Ignores other lives.
  void Note(const agent_batch& batch, incarnation_id own_life, epoch own_epoch);

  /// Forgets acknowledgements and confirmations, since a new epoch needs new ones, and adds the recorded agents that
  /// are not attached as missing from @p now on.
  void StartEpoch(span<const recorded_agent> recorded, instant now);

  /// Forgets agents that are neither attached nor in @p recorded.
  void Prune(span<const recorded_agent> recorded);

  /// Whether more than half of @p agents acknowledged @p claimed. A later life of an agent counts: the earlier one is
  /// dead, its confirmations end within authority_timeout, and the claimant waits for longer than that.
  bool MajorityAcknowledged(span<const recorded_agent> agents, epoch claimed) const;

  /// Whether more than half of @p agents, in exactly these lives, confirmed the home later than @p since.
  bool MajorityConfirmed(span<const recorded_agent> agents, instant since) const;

  /// The agent, or nullptr.
  const agent_vote* Find(const std::string& id) const;

  std::map<std::string, agent_vote>& all() { return agents_; }
  const std::map<std::string, agent_vote>& all() const { return agents_; }

 private:
  std::map<std::string, agent_vote> agents_;
};

}  // namespace bamboowing
