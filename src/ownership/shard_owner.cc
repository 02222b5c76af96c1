#include "bamboowing/ownership/shard_owner.h"

#include <algorithm>
#include <utility>

namespace bamboowing {
namespace {

// Interval at which an active owner looks at its agents; a quarter of the shortest time-out that it serves.
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
  // Entries that start together do not claim in the same instant.
  next_step_due_ += duration(random_.Below(static_cast<std::uint64_t>(settings_.poll_interval.count() / 4)));
}

void shard_owner::OnAgentAttached(const std::string& agent, incarnation_id life, instant now) {
  votes_.Attach(agent, life);
  ClaimAgents(now);
  AnnounceUsable();
}

void shard_owner::OnAgentDetached(const std::string& agent, instant now) {
  votes_.Detach(agent, now);
  ForgetAgents();
}

void shard_owner::OnAgentLeft(const std::string& agent, instant now) {
  const std::map<std::string, agent_vote>::iterator found = votes_.all().find(agent);
  if (found != votes_.all().end()) {
    found->second.leaving = true;
    found->second.attached = false;
    found->second.detached_at = now;
  }
  PlanRecordChange(now);
}

void shard_owner::OnAgentBatch(const agent_batch& batch, instant now) {
  if (batch.shard != settings_.shard) {
    return;
  }
  if (active() && batch.header.shard_epoch > epoch_) {
    GiveUp(now);
    return;
  }
  votes_.Note(batch, settings_.life, epoch_);
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
    actions_.emplace_back(lost_home{epoch_});
  }
  if (!was_active || !lease_bound_) {
    DropLease();
    role_ = owner_role::kStopped;
    next_step_ = store_step::kNone;
    call_ = {};
    return;
  }
  role_ = owner_role::kReleasing;
  if (!writing_.has_value()) {
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
    // The lease ended before the release was written; others wait as they do after a crash.
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
  PlanRecordChange(now);
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
  if (role_ == owner_role::kSettling) {
    next = std::min(next, std::max(settled_at_, now_ + duration(1)));
  }
  return next;
}

bool shard_owner::HasMajority(instant now) const {
  const instant since = now - settings_.authority_timeout;
  return votes_.MajorityConfirmed(record_.agents, since) &&
         (!writing_.has_value() || votes_.MajorityConfirmed(writing_->agents, since));
}

bool shard_owner::has_authority(instant now) const { return IsHome() && (HasLease(now) || HasMajority(now)); }

bool shard_owner::IsUsable(const std::string& agent) const {
  const agent_vote* vote = votes_.Find(agent);
  if (vote == nullptr || !IsHome() || !vote->attached || vote->acknowledged != epoch_ || vote->leaving) {
    return false;
  }
  const recorded_agent member{agent, vote->life};
  const bool recorded = std::binary_search(record_.agents.begin(), record_.agents.end(), member);
  // A removal whose outcome is not known may already hold.
  const bool staying =
      !writing_.has_value() || std::binary_search(writing_->agents.begin(), writing_->agents.end(), member);
  return recorded && staying;
}

// The record names this entry with a new epoch.
void shard_owner::BeginEpoch(instant now) {
  epoch_ = record_.shard_epoch;
  role_ = owner_role::kGathering;
  votes_.StartEpoch(record_.agents, now);
  std::vector<recorded_agent> to_account = record_.agents;
  to_account.insert(to_account.end(), record_.lost.begin(), record_.lost.end());
  lost_since_.clear();
  for (const recorded_agent& agent : record_.lost) {
    lost_since_[agent] = now;
  }
  actions_.emplace_back(claimed_shard{epoch_, to_account});
  ClaimAgents(now);
  AdvanceRole(now);
}

void shard_owner::AdvanceRole(instant now) {
  if (role_ == owner_role::kGathering &&
      (record_.agents.empty() || votes_.MajorityAcknowledged(record_.agents, epoch_))) {
    role_ = owner_role::kSettling;
    // With no recorded agent, the previous home's only authority was its lease, which has ended.
    const bool wait = wait_needed_ && !record_.agents.empty();
    settled_at_ = wait ? now + settings_.authority_timeout + settings_.clock_margin : now;
  }
  // A claimant that was paused must not become home on the belief of before the pause.
  if (role_ == owner_role::kSettling && settled_at_ <= now && (HasLease(now) || HasMajority(now))) {
    role_ = owner_role::kHome;
    actions_.emplace_back(became_home{epoch_});
    AnnounceUsable();
  }
}

void shard_owner::GiveUp(instant now) {
  if (active()) {
    actions_.emplace_back(lost_home{epoch_});
  }
  DropLease();
  writing_.reset();
  call_ = {};
  if (role_ == owner_role::kReleasing) {
    role_ = owner_role::kStopped;
    next_step_ = store_step::kNone;
    return;
  }
  role_ = owner_role::kStandby;
  ForgetAgents();
  PlanPoll(now);
}

void shard_owner::ForgetAgents() {
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
    if (vote.attached && vote.claim_due <= now && vote.acknowledged != epoch_) {
      vote.claim_due = now + settings_.claim_interval;
      actions_.emplace_back(claim_agent{id, epoch_});
    }
  }
}

// Ordinary traffic and heartbeats may be rarer than authority_timeout, so the home asks for confirmations as soon as
// its lease is not renewed in time.
void shard_owner::ProbeAgents(instant now) {
  const instant renewed = lease_until_ - settings_.lease_time + settings_.clock_margin;
  if (lease_bound_ && now < renewed + settings_.renew_interval + settings_.store_timeout / 2) {
    return;
  }
  for (const recorded_agent& agent : record_.agents) {
    const agent_vote* vote = votes_.Find(agent.id);
    const duration interval = settings_.authority_timeout / kChecksPerTimeout;
    if (vote != nullptr && vote->attached && vote->confirmed + interval <= now) {
      actions_.emplace_back(probe_agent{agent.id});
    }
  }
}

void shard_owner::AnnounceUsable() {
  for (auto& [id, vote] : votes_.all()) {
    if (!vote.announced && IsUsable(id)) {
      vote.announced = true;
      actions_.emplace_back(agent_usable{{id, vote.life}});
    }
  }
}

void shard_owner::PlanRecordChange(instant now) {
  if (!IsHome() || !idle() || writing_.has_value() || !HasLease(now) || now < record_due_) {
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
    const bool replaced = vote.life != 0 && vote.life != agent.life;
    const bool expired = !vote.attached && vote.detached_at + settings_.recovery_window <= now;
    if (replaced || vote.leaving) {
      Insert(next.lost, agent);
    } else if (!expired) {
      next.agents.push_back(agent);
    }
  }
  for (const auto& [id, vote] : votes_.all()) {
    if (vote.attached && vote.acknowledged == epoch_ && !vote.leaving) {
      Insert(next.agents, {id, vote.life});
    }
  }
  ForgetOldLost(next, now);
  return next;
}

void shard_owner::ForgetOldLost(shard_record& record, instant now) {
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
