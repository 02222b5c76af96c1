#include "bamboowing/ownership/shard_owner.h"

#include <algorithm>
#include <utility>

namespace bamboowing {
namespace {

// An active owner checks its agents this many times per authority_timeout, the shortest timeout that depends on them.
constexpr int kChecksPerTimeout = 4;

void Insert(std::vector<recorded_agent>& agents, const recorded_agent& agent) {
  const std::vector<recorded_agent>::iterator at = std::lower_bound(agents.begin(), agents.end(), agent);
  if (at == agents.end() || *at != agent) {
    agents.insert(at, agent);
  }
}

}  // namespace

shard_owner::shard_owner(owner_settings settings, std::uint64_t seed, instant now)
    : settings_(std::move(settings)),
      random_(seed),
      next_step_due_(now),
      backoff_(settings_.store_backoff_min),
      call_timeout_(settings_.store_timeout),
      now_(now) {
  // Jitter keeps entries that start together from claiming at the same time.
  next_step_due_ += duration(random_.Below(static_cast<std::uint64_t>(settings_.poll_interval.count() / 4)));
}

void shard_owner::OnAgentAttached(const std::string& agent, incarnation_id incarnation, instant now) {
  votes_.Attach(agent, incarnation);
  ClaimAgents(now);
  AnnounceUsable();
}

void shard_owner::OnAgentDetached(const std::string& agent, instant now) {
  votes_.Detach(agent, now);
  PruneVotes();
}

void shard_owner::OnAgentLeft(const std::string& agent, instant now) {
  const std::map<std::string, agent_vote>::iterator found = votes_.all().find(agent);
  if (found != votes_.all().end()) {
    found->second.leaving = true;
    found->second.attached = false;
    found->second.detached_at = now;
  }
  UpdateRecord(now);
}

void shard_owner::OnAgentBatch(const agent_batch& batch, instant now) {
  if (batch.shard != settings_.shard) {
    return;
  }
  if (active() && batch.header.shard_epoch > epoch_) {
    StepDown(now);
    return;
  }
  votes_.RecordBatch(batch, settings_.incarnation, epoch_);
  AdvanceRole(now);
  AnnounceUsable();
}

void shard_owner::OnShardChanged(instant now) {
  if (role_ == owner_role::kStandby && next_step_ == store_step::kReadHolder) {
    next_step_due_ = now;
  }
  OnTick(now);
}

void shard_owner::Release(instant now) {
  if (role_ == owner_role::kReleasing || role_ == owner_role::kStopped) {
    return;
  }
  const bool was_active = active();
  if (was_active) {
    actions_.emplace_back(lost_leadership{epoch_});
  }
  if (!was_active || !lease_bound_) {
    DropLease();
    role_ = owner_role::kStopped;
    next_step_ = store_step::kNone;
    call_ = {};
    return;
  }
  role_ = owner_role::kReleasing;
  if (!pending_write_.has_value()) {
    shard_record next = record_;
    next.released = true;
    WriteRecord(next, now);
  }
}

void shard_owner::OnTick(instant now) {
  now_ = now;
  ExpireCalls(now);
  RenewLease(now);
  if (role_ == owner_role::kReleasing && !HasLease(now)) {
    // The lease expired before the release was written; other entries wait as they do after a crash.
    DropLease();
    role_ = owner_role::kStopped;
    next_step_ = store_step::kNone;
  }
  if (active() && lease_ == 0 && idle()) {
    next_step_ = store_step::kCheckRecord;
    next_step_due_ = now;
  }
  if (next_step_ != store_step::kNone && call_.id == 0 && next_step_due_ <= now) {
    BeginStep(next_step_, now);
  }
  if (!active()) {
    return;
  }
  AdvanceRole(now);
  ClaimAgents(now);
  ProbeAgents(now);
  UpdateRecord(now);
}

instant shard_owner::next_wakeup() const {
  instant next = now_ + settings_.poll_interval;
  if (active()) {
    next = now_ + settings_.authority_timeout / kChecksPerTimeout;
  }
  if (call_.id != 0) {
    next = std::min(next, call_.sent_at + call_timeout_);
  } else if (next_step_ != store_step::kNone) {
    next = std::min(next, next_step_due_);
  }
  if (lease_ != 0) {
    next = std::min(next, renew_due_);
  }
  if (role_ == owner_role::kAwaitingExpiry) {
    next = std::min(next, std::max(leader_not_before_, now_ + duration(1)));
  }
  return next;
}

bool shard_owner::HasMajority(instant now) const {
  const instant since = now - settings_.authority_timeout;
  return votes_.MajorityConfirmed(record_.agents, since) &&
         (!pending_write_.has_value() || votes_.MajorityConfirmed(pending_write_->agents, since));
}

bool shard_owner::has_authority(instant now) const { return IsLeader() && (HasLease(now) || HasMajority(now)); }

bool shard_owner::IsUsable(const std::string& agent) const {
  const agent_vote* vote = votes_.Find(agent);
  if (vote == nullptr || !IsLeader() || !vote->attached || vote->acknowledged_epoch != epoch_ || vote->leaving) {
    return false;
  }
  const recorded_agent member{agent, vote->incarnation};
  const bool recorded = std::binary_search(record_.agents.begin(), record_.agents.end(), member);
  // A removal whose write has an unknown outcome may already be in effect.
  const bool staying = !pending_write_.has_value() ||
                       std::binary_search(pending_write_->agents.begin(), pending_write_->agents.end(), member);
  return recorded && staying;
}

// Called once the record names this entry with a new epoch.
void shard_owner::BeginEpoch(instant now) {
  epoch_ = record_.shard_epoch;
  role_ = owner_role::kAwaitingMajority;
  votes_.StartEpoch(record_.agents, now);
  std::vector<recorded_agent> awaited_agents = record_.agents;
  awaited_agents.insert(awaited_agents.end(), record_.lost.begin(), record_.lost.end());
  lost_since_.clear();
  for (const recorded_agent& agent : record_.lost) {
    lost_since_[agent] = now;
  }
  actions_.emplace_back(claimed_shard{epoch_, awaited_agents});
  ClaimAgents(now);
  AdvanceRole(now);
}

void shard_owner::AdvanceRole(instant now) {
  if (role_ == owner_role::kAwaitingMajority &&
      (record_.agents.empty() || votes_.MajorityAcknowledged(record_.agents, epoch_))) {
    role_ = owner_role::kAwaitingExpiry;
    // Without recorded agents, the previous leader's only authority was its lease, which has expired.
    const bool wait = wait_for_previous_leader_ && !record_.agents.empty();
    leader_not_before_ = wait ? now + settings_.authority_timeout + settings_.clock_margin : now;
  }
  // A claimant that was paused must not become leader on a majority from before the pause.
  if (role_ == owner_role::kAwaitingExpiry && leader_not_before_ <= now && (HasLease(now) || HasMajority(now))) {
    role_ = owner_role::kLeader;
    actions_.emplace_back(became_leader{epoch_});
    AnnounceUsable();
  }
}

void shard_owner::StepDown(instant now) {
  if (active()) {
    actions_.emplace_back(lost_leadership{epoch_});
  }
  DropLease();
  pending_write_.reset();
  call_ = {};
  if (role_ == owner_role::kReleasing) {
    role_ = owner_role::kStopped;
    next_step_ = store_step::kNone;
    return;
  }
  role_ = owner_role::kStandby;
  PruneVotes();
  SchedulePoll(now);
}

void shard_owner::PruneVotes() {
  if (active()) {
    votes_.Prune(record_.agents);
  } else {
    votes_.Prune({});
  }
}

void shard_owner::ClaimAgents(instant now) {
  if (!active()) {
    return;
  }
  for (auto& [id, vote] : votes_.all()) {
    if (vote.attached && vote.claim_due <= now && vote.acknowledged_epoch != epoch_) {
      vote.claim_due = now + settings_.claim_interval;
      actions_.emplace_back(claim_agent{id, epoch_});
    }
  }
}

// Regular traffic and heartbeats may be less frequent than authority_timeout, so the leader requests confirmations as
// soon as its lease is not renewed in time.
void shard_owner::ProbeAgents(instant now) {
  const instant renewed = lease_until_ - settings_.lease_time + settings_.clock_margin;
  if (lease_bound_ && now < renewed + settings_.renew_interval + settings_.store_timeout / 2) {
    return;
  }
  for (const recorded_agent& agent : record_.agents) {
    const agent_vote* vote = votes_.Find(agent.id);
    const duration interval = settings_.authority_timeout / kChecksPerTimeout;
    if (vote != nullptr && vote->attached && vote->confirmed_at + interval <= now) {
      actions_.emplace_back(probe_agent{agent.id});
    }
  }
}

void shard_owner::AnnounceUsable() {
  for (auto& [id, vote] : votes_.all()) {
    if (!vote.usable_announced && IsUsable(id)) {
      vote.usable_announced = true;
      actions_.emplace_back(agent_usable{{id, vote.incarnation}});
    }
  }
}

void shard_owner::UpdateRecord(instant now) {
  if (!IsLeader() || !idle() || pending_write_.has_value() || !HasLease(now) || now < record_due_) {
    return;
  }
  record_due_ = now + settings_.record_interval;
  const shard_record desired = DesiredRecord(now);
  if (desired.agents != record_.agents || desired.lost != record_.lost) {
    WriteRecord(desired, now);
  }
}

shard_record shard_owner::DesiredRecord(instant now) {
  shard_record next = record_;
  next.agents.clear();
  for (const recorded_agent& agent : record_.agents) {
    const agent_vote& vote = votes_.all()[agent.id];
    const bool replaced = vote.incarnation != 0 && vote.incarnation != agent.incarnation;
    const bool expired = !vote.attached && vote.detached_at + settings_.recovery_window <= now;
    if (replaced || vote.leaving) {
      Insert(next.lost, agent);
    } else if (!expired) {
      next.agents.push_back(agent);
    }
  }
  for (const auto& [id, vote] : votes_.all()) {
    if (vote.attached && vote.acknowledged_epoch == epoch_ && !vote.leaving) {
      Insert(next.agents, {id, vote.incarnation});
    }
  }
  ExpireLostAgents(next, now);
  return next;
}

void shard_owner::ExpireLostAgents(shard_record& record, instant now) {
  std::vector<recorded_agent> kept;
  for (const recorded_agent& agent : record.lost) {
    const instant since = lost_since_.try_emplace(agent, now).first->second;
    if (now < since + settings_.recovery_window) {
      kept.push_back(agent);
    } else {
      lost_since_.erase(agent);
    }
  }
  record.lost = kept;
}

}  // namespace bamboowing
