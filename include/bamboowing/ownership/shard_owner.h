/// @file
/// Leader election for one shard: decides whether this entry is its leader and whether it may act as leader.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/base/random.h"
#include "bamboowing/base/types.h"
#include "bamboowing/message/batch.h"
#include "bamboowing/ownership/agent_votes.h"
#include "bamboowing/ownership/owner_actions.h"
#include "bamboowing/ownership/shard_record.h"

namespace bamboowing {

/// Role of an entry with respect to one shard.
enum class owner_role : std::uint8_t {
  kStandby,           ///< another entry or none is leader; the holder key is polled
  kClaiming,          ///< the holder key is absent; lease, holder and record are being written
  kAwaitingMajority,  ///< the record names this entry; waits for acknowledgements from a majority of the recorded
                      ///< agents
  kAwaitingExpiry,    ///< a majority acknowledged; waits until the previous leader's authority has expired
  kLeader,
  kReleasing,  ///< drained; the release is being written
  kStopped,    ///< drained; no longer takes part
};

/// An entry's state machine for the leadership of one shard (design section 6.2). Does no I/O and reads no clock: each
/// input carries the time and may append actions, which the process collects with actions() and ClearActions().
///
/// Only the holder of the key `.../holder`, which is attached to a lease, writes the record. A lease is valid only
/// after the record was written under it, because that write makes every earlier claimant's pending write fail.
///
/// While the outcome of a record write is unknown, a majority of both the old and the new list of agents is required,
/// and the same write is repeated until its outcome is known.
///
/// Memory: two records and agent_votes.
class shard_owner {
 public:
  /// @param seed seeds the jitter of polls and retries.
  shard_owner(owner_settings settings, std::uint64_t seed, instant now);

  /// A session with an agent of the shard's service is open; called again for every fresh session.
  void OnAgentAttached(const std::string& agent, incarnation_id incarnation, instant now);

  /// The last session with an agent was closed.
  void OnAgentDetached(const std::string& agent, instant now);

  /// An agent has drained and left: it is removed from the record.
  void OnAgentLeft(const std::string& agent, instant now);

  /// Handles a batch from an attached agent; called for every batch, heartbeats included.
  void OnAgentBatch(const agent_batch& batch, instant now);

  void OnStoreResult(const store_result& result, instant now);

  /// The record or the holder may have changed, for example because a peer reported that it released the shard.
  void OnShardChanged(instant now);

  /// The process is shutting down: gives up authority at once, then releases the shard in the store.
  void Release(instant now);

  /// Must be called at next_wakeup(); may be called at any other time.
  void OnTick(instant now);
  instant next_wakeup() const;

  /// Whether this entry may accept a job or start a task at @p now.
  bool has_authority(instant now) const;

  /// Whether this entry is leader and may start tasks on this agent.
  bool IsUsable(const std::string& agent) const;

  owner_role role() const { return role_; }
  /// The latest epoch that this entry claimed; 0 if none.
  epoch claimed_epoch() const { return epoch_; }
  /// The holder found by the last poll; nullopt if the key was absent. Entries that are not leader relay to it.
  const std::optional<shard_holder>& known_holder() const { return holder_; }
  /// The record as last read or written.
  const shard_record& record() const { return record_; }

  /// Pending actions in order. Valid until the next non-const call.
  span<const owner_action> actions() const { return actions_; }
  void ClearActions() { actions_.clear(); }

 private:
  /// The store call that is in flight or is made next.
  enum class store_step : std::uint8_t {
    kNone,
    kReadHolder,
    kReadRecord,
    kGrant,
    kWriteHolder,
    kCheckHolder,
    kWriteRecord,
    kCheckRecord,
  };
  struct store_call {
    store_call_id id = 0;
    store_step step = store_step::kNone;
    instant sent_at;
  };

  // Roles and authority, in shard_owner.cc.
  bool active() const {
    return role_ == owner_role::kAwaitingMajority || role_ == owner_role::kAwaitingExpiry || IsLeader();
  }
  bool idle() const { return next_step_ == store_step::kNone && call_.id == 0; }
  bool IsLeader() const { return role_ == owner_role::kLeader; }
  bool HasLease(instant now) const { return lease_bound_ && now < lease_until_; }
  bool HasMajority(instant now) const;
  void BeginEpoch(instant now);
  void AdvanceRole(instant now);
  void StepDown(instant now);
  void ClaimAgents(instant now);
  void ProbeAgents(instant now);
  void PruneVotes();
  void AnnounceUsable();
  void UpdateRecord(instant now);
  shard_record DesiredRecord(instant now);
  void ExpireLostAgents(shard_record& record, instant now);

  // The sequence of store calls, in owner_store.cc.
  void BeginStep(store_step step, instant now);
  void RetryStep(store_step step, instant now);
  void HandleStep(store_step step, const store_result& result, instant sent_at, instant now);
  void HandleHolderRead(const store_result& result, instant now);
  void HandleRecordRead(const store_result& result, instant now);
  void HandleGrant(const store_result& result, instant sent_at, instant now);
  void HandleHolderWrite(const store_result& result, instant now);
  void HandleHolderCheck(const store_result& result, instant now);
  void HandleRecordWrite(const store_result& result, instant now);
  void HandleRecordCheck(const store_result& result, instant now);
  void HandleHolderLost(instant now);
  void WriteRecord(shard_record next, instant now);
  void ApplyRecordWrite(shard_record written, store_version version, instant now);
  bool HandleRenewal(const store_result& result);
  void RenewLease(instant now);
  void DropLease();
  void ExpireCalls(instant now);
  void UpdateCallTimeout(const store_result& result, duration latency);
  void SchedulePoll(instant now);
  std::string NewWriteId();
  store_call_id NewCall() { return ++last_call_; }

  owner_settings settings_;
  seeded_random random_;
  std::vector<owner_action> actions_;
  agent_votes votes_;

  owner_role role_ = owner_role::kStandby;
  epoch epoch_ = 0;
  bool wait_for_previous_leader_ = false;  ///< the previous leader may still have authority
  instant leader_not_before_;

  shard_record record_;
  store_version record_version_ = 0;
  std::optional<shard_record> pending_write_;  ///< record write whose outcome is not known
  std::map<recorded_agent, instant> lost_since_;
  instant record_due_;

  std::optional<shard_holder> holder_;
  std::string holder_write_id_;
  lease_id lease_ = 0;
  instant lease_until_;               ///< by the local clock, counted from the send time of the grant or renewal
  bool lease_bound_ = false;          ///< whether the record was written under this lease
  std::vector<store_call> renewals_;  ///< renewals without a response; several with a slow store
  instant renew_due_;

  store_call call_;  ///< the call in flight
  store_step next_step_ = store_step::kReadHolder;
  instant next_step_due_;
  duration backoff_{0};
  bool store_failed_ = false;  ///< whether the latest poll got no response
  /// No claim before this: a leader that kept its authority through a store outage may take a new lease first.
  instant claim_not_before_;
  duration call_timeout_{0};  ///< grows while the store is slow
  store_call_id last_call_ = 0;
  std::uint64_t writes_ = 0;
  instant now_;
};

}  // namespace bamboowing
