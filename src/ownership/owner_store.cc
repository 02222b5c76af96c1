// Store calls of shard_owner and the handling of their results.
#include <algorithm>
#include <utility>

#include "bamboowing/ownership/shard_owner.h"

namespace bamboowing {

void shard_owner::OnStoreResult(const store_result& result, instant now) {
  now_ = std::max(now_, now);
  if (HandleRenewal(result)) {
    return;
  }
  // The result of an abandoned call is ignored: the check that follows a timeout finds its effect, if any.
  if (result.call == 0 || result.call != call_.id) {
    return;
  }
  const store_call done = call_;
  call_ = {};
  next_step_ = store_step::kNone;
  UpdateCallTimeout(result, now - done.sent_at);
  HandleStep(done.step, result, done.sent_at, now);
}

void shard_owner::BeginStep(store_step step, instant now) {
  call_ = {NewCall(), step, now};
  next_step_ = step;
  const std::string record_key = ShardRecordKey(settings_.shard);
  const std::string holder_key = ShardHolderKey(settings_.shard);
  switch (step) {
    case store_step::kReadHolder:
    case store_step::kCheckHolder:
      actions_.emplace_back(store_read{call_.id, holder_key});
      break;
    case store_step::kReadRecord:
    case store_step::kCheckRecord:
      actions_.emplace_back(store_read{call_.id, record_key});
      break;
    case store_step::kGrant:
      actions_.emplace_back(lease_grant{call_.id, settings_.lease_time});
      break;
    case store_step::kWriteHolder: {
      const epoch next = role_ == owner_role::kClaiming ? record_.shard_epoch + 1 : epoch_;
      const shard_holder holder{settings_.entry_id, settings_.incarnation, settings_.addresses, next, holder_write_id_};
      actions_.emplace_back(store_swap{call_.id, holder_key, 0, EncodeShardHolder(holder), lease_});
      break;
    }
    case store_step::kWriteRecord:
      actions_.emplace_back(store_swap{call_.id, record_key, record_version_, EncodeShardRecord(*pending_write_), 0});
      break;
    case store_step::kNone:
      call_ = {};
      break;
  }
}

void shard_owner::RetryStep(store_step step, instant now) {
  const std::uint64_t half = static_cast<std::uint64_t>(backoff_.count()) / 2;
  next_step_ = step;
  next_step_due_ = now + duration(half + random_.Below(half + 1));
  backoff_ = std::min(backoff_ * 2, settings_.store_backoff_max);
}

void shard_owner::SchedulePoll(instant now) {
  const std::uint64_t quarter = static_cast<std::uint64_t>(settings_.poll_interval.count()) / 4;
  next_step_ = store_step::kReadHolder;
  next_step_due_ = now + settings_.poll_interval - duration(random_.Below(quarter + 1));
}

void shard_owner::HandleStep(store_step step, const store_result& result, instant sent_at, instant now) {
  switch (step) {
    case store_step::kReadHolder:
      return HandleHolderRead(result, now);
    case store_step::kReadRecord:
      return HandleRecordRead(result, now);
    case store_step::kGrant:
      return HandleGrant(result, sent_at, now);
    case store_step::kWriteHolder:
      return HandleHolderWrite(result, now);
    case store_step::kCheckHolder:
      return HandleHolderCheck(result, now);
    case store_step::kWriteRecord:
      return HandleRecordWrite(result, now);
    case store_step::kCheckRecord:
      return HandleRecordCheck(result, now);
    case store_step::kNone:
      return;
  }
}

void shard_owner::HandleHolderRead(const store_result& result, instant now) {
  if (result.outcome != store_outcome::kOk) {
    store_failed_ = true;
    return RetryStep(store_step::kReadHolder, now);
  }
  if (store_failed_) {
    // A store outage expires every lease. The leader keeps its authority by majority and takes a new lease within one
    // renew interval after the outage; without this wait, each outage would change the leader of most shards.
    claim_not_before_ = now + 2 * settings_.renew_interval;
    store_failed_ = false;
  }
  holder_.reset();
  if (result.value.has_value()) {
    failure error;
    holder_ = DecodeShardHolder(*result.value, error);
    return SchedulePoll(now);
  }
  BeginStep(store_step::kReadRecord, now);
}

void shard_owner::HandleRecordRead(const store_result& result, instant now) {
  if (result.outcome != store_outcome::kOk) {
    return RetryStep(store_step::kReadHolder, now);
  }
  shard_record found;
  if (result.value.has_value()) {
    failure error;
    const std::optional<shard_record> decoded = DecodeShardRecord(*result.value, error);
    if (!decoded.has_value()) {
      return RetryStep(store_step::kReadHolder, now);
    }
    found = *decoded;
    if (now < claim_not_before_ && !found.released) {
      next_step_ = store_step::kReadHolder;
      next_step_due_ = claim_not_before_;
      return;
    }
  }
  record_ = found;
  record_version_ = result.value.has_value() ? result.version : 0;
  role_ = owner_role::kClaiming;
  BeginStep(store_step::kGrant, now);
}

void shard_owner::HandleGrant(const store_result& result, instant sent_at, instant now) {
  if (result.outcome != store_outcome::kOk) {
    if (role_ == owner_role::kClaiming) {
      role_ = owner_role::kStandby;
      return RetryStep(store_step::kReadHolder, now);
    }
    return RetryStep(store_step::kGrant, now);
  }
  lease_ = result.lease;
  lease_bound_ = false;
  lease_until_ = sent_at + settings_.lease_time - settings_.clock_margin;
  renew_due_ = sent_at + settings_.renew_interval;
  holder_write_id_ = NewWriteId();
  BeginStep(store_step::kWriteHolder, now);
}

void shard_owner::HandleHolderWrite(const store_result& result, instant now) {
  switch (result.outcome) {
    case store_outcome::kOk: {
      shard_record next = record_;
      if (role_ == owner_role::kClaiming) {
        // If the record was never written or was released, no previous leader can have authority.
        wait_for_previous_leader_ = record_version_ != 0 && !record_.released;
        next.leader = settings_.entry_id;
        next.incarnation = settings_.incarnation;
        next.addresses = settings_.addresses;
        next.shard_epoch = record_.shard_epoch + 1;
        next.released = false;
      }
      return WriteRecord(next, now);
    }
    case store_outcome::kConflict:
    case store_outcome::kUnavailable:
      return RetryStep(store_step::kCheckHolder, now);
    case store_outcome::kLeaseGone:
      return HandleHolderLost(now);
  }
}

void shard_owner::HandleHolderCheck(const store_result& result, instant now) {
  if (result.outcome != store_outcome::kOk) {
    return RetryStep(store_step::kCheckHolder, now);
  }
  failure error;
  const std::optional<shard_holder> found =
      result.value.has_value() ? DecodeShardHolder(*result.value, error) : std::nullopt;
  if (found.has_value() && found->write_id == holder_write_id_) {
    store_result written = result;
    written.outcome = store_outcome::kOk;
    return HandleHolderWrite(written, now);
  }
  if (!result.value.has_value() && now < lease_until_) {
    return BeginStep(store_step::kWriteHolder, now);
  }
  HandleHolderLost(now);
}

// Another entry holds the key, or this entry's lease expired before the key was written.
void shard_owner::HandleHolderLost(instant now) {
  if (role_ == owner_role::kClaiming) {
    return StepDown(now);
  }
  // A leader keeps its authority by majority until the record names another leader.
  DropLease();
  RetryStep(store_step::kCheckRecord, now);
}

void shard_owner::WriteRecord(shard_record next, instant now) {
  if (!pending_write_.has_value()) {
    next.write_id = NewWriteId();
    pending_write_ = std::move(next);
  }
  BeginStep(store_step::kWriteRecord, now);
}

void shard_owner::HandleRecordWrite(const store_result& result, instant now) {
  if (result.outcome == store_outcome::kOk) {
    return ApplyRecordWrite(*pending_write_, result.version, now);
  }
  if (result.outcome == store_outcome::kConflict) {
    return BeginStep(store_step::kCheckRecord, now);
  }
  RetryStep(store_step::kCheckRecord, now);
}

void shard_owner::HandleRecordCheck(const store_result& result, instant now) {
  failure error;
  const std::optional<shard_record> found = result.outcome == store_outcome::kOk && result.value.has_value()
                                                ? DecodeShardRecord(*result.value, error)
                                                : std::nullopt;
  if (result.outcome != store_outcome::kOk) {
    return RetryStep(store_step::kCheckRecord, now);
  }
  const store_version version = result.value.has_value() ? result.version : 0;
  if (pending_write_.has_value() && found.has_value() && found->write_id == pending_write_->write_id) {
    return ApplyRecordWrite(*pending_write_, version, now);
  }
  if (version != record_version_) {
    return StepDown(now);
  }
  if (!pending_write_.has_value()) {
    return BeginStep(store_step::kGrant, now);
  }
  if (role_ == owner_role::kClaiming && lease_until_ <= now) {
    return StepDown(now);
  }
  BeginStep(store_step::kWriteRecord, now);
}

void shard_owner::ApplyRecordWrite(shard_record written, store_version version, instant now) {
  pending_write_.reset();
  record_ = std::move(written);
  record_version_ = version;
  lease_bound_ = lease_ != 0;
  if (role_ == owner_role::kReleasing) {
    if (!record_.released) {
      shard_record next = record_;
      next.released = true;
      return WriteRecord(next, now);
    }
    DropLease();
    role_ = owner_role::kStopped;
    return;
  }
  if (role_ == owner_role::kClaiming) {
    return BeginEpoch(now);
  }
  AnnounceUsable();
}

void shard_owner::RenewLease(instant now) {
  if (lease_ == 0 || now < renew_due_) {
    return;
  }
  renewals_.push_back({NewCall(), store_step::kNone, now});
  renew_due_ = now + settings_.renew_interval;
  actions_.emplace_back(lease_renew{renewals_.back().id, lease_});
}

// Returns whether the result is that of a renewal.
bool shard_owner::HandleRenewal(const store_result& result) {
  const store_call_id id = result.call;
  const std::vector<store_call>::iterator found =
      std::find_if(renewals_.begin(), renewals_.end(), [id](const store_call& renewal) { return renewal.id == id; });
  if (found == renewals_.end()) {
    return false;
  }
  const instant sent_at = found->sent_at;
  renewals_.erase(found);
  if (result.outcome == store_outcome::kOk) {
    lease_until_ = std::max(lease_until_, sent_at + settings_.lease_time - settings_.clock_margin);
  } else if (result.outcome == store_outcome::kLeaseGone) {
    // The next tick requests a new lease.
    lease_ = 0;
    lease_bound_ = false;
    renewals_.clear();
  }
  return true;
}

void shard_owner::DropLease() {
  if (lease_ != 0) {
    actions_.emplace_back(lease_revoke{NewCall(), lease_});
  }
  lease_ = 0;
  lease_bound_ = false;
  renewals_.clear();
}

void shard_owner::ExpireCalls(instant now) {
  // A renewal that takes longer than the lease cannot extend it.
  const instant oldest = now - settings_.lease_time;
  renewals_.erase(std::remove_if(renewals_.begin(), renewals_.end(),
                                 [oldest](const store_call& renewal) { return renewal.sent_at <= oldest; }),
                  renewals_.end());
  if (call_.id != 0 && call_.sent_at + call_timeout_ <= now) {
    store_result timed_out;
    timed_out.call = call_.id;
    OnStoreResult(timed_out, now);
  }
}

void shard_owner::UpdateCallTimeout(const store_result& result, duration latency) {
  constexpr int kLatencies = 3;  // a call times out after this many times the latest latency
  if (result.outcome == store_outcome::kUnavailable) {
    call_timeout_ = std::min(call_timeout_ * 2, settings_.store_timeout_max);
    return;
  }
  backoff_ = settings_.store_backoff_min;
  call_timeout_ = std::clamp(latency * kLatencies, settings_.store_timeout, settings_.store_timeout_max);
}

std::string shard_owner::NewWriteId() {
  return settings_.entry_id + "/" + std::to_string(settings_.incarnation) + "/" + std::to_string(++writes_);
}

}  // namespace bamboowing
