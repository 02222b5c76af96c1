/// @file
/// Decides for one shard whether this entry is its home and whether it may act as such.
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

/// Stages of an entry with respect to one shard.
enum class owner_role : std::uint8_t {
  kStandby,    ///< another entry is home, or nobody; the holder key is polled
  kClaiming,   ///< the holder is absent; lease, holder and record are being written
  kGathering,  ///< the record names this entry; acknowledgements of the recorded agents are awaited
  kSettling,   ///< a majority acknowledged; the previous home's authority runs out
  kHome,
  kReleasing,  ///< drained; the release is being written
  kStopped,    ///< drained; takes no part any more
};

/// The entry's side of ownership of one shard (design section 6.2). Does no I/O and reads no clock: each input carries
/// the time, and each may append actions, which the process takes with actions() and ClearActions().
///
/// Only the holder of the key `.../holder`, which is attached to a lease, writes the record. A lease counts as valid
/// only after the record was written under it, because that write makes every earlier claimant's pending write fail.
///
/// While a write of the record has an unknown outcome, a majority is needed of the agents before and after the write,
/// and the same write is repeated until its outcome is known.
///
/// Memory: two records and agent_votes.
class shard_owner {
 public:
  /// @param seed decides the jitter of polls and retries.
  shard_owner(owner_settings settings, std::uint64_t seed, instant now);

  /// A session with an agent of the shard's service is open; called again for every fresh session.
  void OnAgentAttached(const std::string& agent, incarnation_id life, instant now);

  /// The last session with an agent closed.
  void OnAgentDetached(const std::string& agent, instant now);

  /// An agent has drained and left: it is taken out of the record.
  void OnAgentLeft(const std::string& agent, instant now);

  /// Every batch of an attached agent, heartbeats included.
  void OnAgentBatch(const agent_batch& batch, instant now);

  void OnStoreResult(const store_result& result, instant now);

  /// The record or the holder may have changed, for example because a peer says that it released the shard.
  void OnShardChanged(instant now);

  /// The process shuts down: gives up authority at once, then releases the shard in the store.
  void Release(instant now);

  /// Called at next_wakeup() and at any other time.
  void OnTick(instant now);
  instant next_wakeup() const;

  /// Whether this entry may accept a job or start a task at @p now.
  bool has_authority(instant now) const;

  /// Whether the home may start tasks on this agent.
  bool IsUsable(const std::string& agent) const;

  owner_role role() const { return role_; }
  /// Epoch that this entry claimed last; 0 if it never did.
  epoch claimed_epoch() const { return epoch_; }
  /// The holder found by the last poll; nullopt if the key was absent. Tells non-homes where to relay.
  const std::optional<shard_holder>& known_holder() const { return holder_; }
  /// The record as last read or written.
  const shard_record& record() const { return record_; }

  /// Actions in order. Valid until the next call that is not const.
  span<const owner_action> actions() const { return actions_; }
  void ClearActions() { actions_.clear(); }

 private:
  /// The store call that is under way or is to be made next.
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

  // shard_owner.cc: roles and authority.
  bool active() const { return role_ == owner_role::kGathering || role_ == owner_role::kSettling || IsHome(); }
  bool idle() const { return next_step_ == store_step::kNone && call_.id == 0; }
  bool IsHome() const { return role_ == owner_role::kHome; }
  bool HasLease(instant now) const { return lease_bound_ && now < lease_until_; }
  bool HasMajority(instant now) const;
  void BeginEpoch(instant now);
  void AdvanceRole(instant now);
  void GiveUp(instant now);
  void ClaimAgents(instant now);
  void ProbeAgents(instant now);
  void ForgetAgents();
  void AnnounceUsable();
  void PlanRecordChange(instant now);
  shard_record DesiredRecord(instant now);
  void ForgetOldLost(shard_record& record, instant now);

  // owner_store.cc: the sequence of store calls.
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
  void HolderTaken(instant now);
  void WriteRecord(shard_record next, instant now);
  void Adopt(shard_record written, store_version version, instant now);
  bool HandleRenewal(const store_result& result);
  void RenewLease(instant now);
  void DropLease();
  void ExpireCalls(instant now);
  void NoteLatency(const store_result& result, duration latency);
  void PlanPoll(instant now);
  std::string NewWriteId();
  store_call_id NewCall() { return ++last_call_; }

  owner_settings settings_;
  seeded_random random_;
  std::vector<owner_action> actions_;
  agent_votes votes_;

  owner_role role_ = owner_role::kStandby;
  epoch epoch_ = 0;
  bool wait_needed_ = false;  ///< the previous home may still have authority
  instant settled_at_;

  shard_record record_;
  store_version record_version_ = 0;
  std::optional<shard_record> writing_;  ///< write of the record whose outcome is not known
  std::map<recorded_agent, instant> lost_since_;
  instant record_due_;

  std::optional<shard_holder> holder_;
  std::string holder_write_id_;
  lease_id lease_ = 0;
  instant lease_until_;               ///< by our clock, counted from the send time
  bool lease_bound_ = false;          ///< the record was written under this lease
  std::vector<store_call> renewals_;  ///< without answer; a slow store may have several
  instant renew_due_;

  store_call call_;  ///< the call under way
  store_step next_step_ = store_step::kReadHolder;
  instant next_step_due_;
  duration backoff_{0};
  bool store_failed_ = false;  ///< whether the latest poll got no answer
  instant claim_after_;        ///< before it, a home that outlived an outage of the store may take its lease again
  duration call_timeout_{0};   ///< grows while the store is slow
  store_call_id last_call_ = 0;
  std::uint64_t writes_ = 0;
  instant now_;
};

}  // namespace bamboowing
