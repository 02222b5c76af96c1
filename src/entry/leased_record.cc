#include "bamboowing/entry/leased_record.h"

#include <algorithm>
#include <utility>

namespace bamboowing {
namespace {

// Share of the lease time by which the clocks of this process and of the service may differ.
constexpr int kClockMargin = 10;

}  // namespace

void leased_record::Set(const std::string& value, instant now) {
  if (step_ == step::kEnded || (step_ != step::kIdle && value == value_)) {
    return;
  }
  value_ = value;
  changed_ = true;
  if (step_ == step::kIdle) {
    step_ = step::kGrant;
  }
  if (call_ == 0) {
    due_ = now;
  }
}

void leased_record::Adopt(const std::string& value, lease_id lease, instant now) {
  if (step_ != step::kIdle) {
    return;
  }
  value_ = value;
  lease_ = lease;
  step_ = step::kRenew;
  due_ = now;
}

bool leased_record::OnResult(std::uint64_t call, const store_result& result, instant now) {
  if (call == 0 || call != call_) {
    return false;
  }
  call_ = 0;
  if (result.outcome == store_outcome::kUnavailable) {
    due_ = now + settings_.retry_interval;
    return true;
  }
  due_ = now;
  switch (step_) {
    case step::kGrant:
      lease_ = result.lease;
      listed_since_.reset();
      lease_until_ = sent_at_ + settings_.lease_time;
      step_ = step::kRead;
      break;
    case step::kRead:
      version_ = result.version;
      step_ = step::kWrite;
      break;
    case step::kWrite:
      step_ = result.outcome == store_outcome::kOk ? step::kRenew : step::kRead;
      if (step_ == step::kRenew && !listed_since_) {
        listed_since_ = now;
      }
      due_ = step_ == step::kRenew ? now + settings_.renew_interval : now;
      if (result.outcome == store_outcome::kLeaseGone) {
        step_ = step::kGrant;
      }
      break;
    case step::kRenew:
      step_ = result.outcome == store_outcome::kLeaseGone ? step::kGrant : step::kRenew;
      lease_until_ = step_ == step::kRenew ? std::max(lease_until_, sent_at_ + settings_.lease_time) : now;
      due_ = step_ == step::kRenew ? sent_at_ + settings_.renew_interval : now;
      break;
    case step::kIdle:
    case step::kEnded:
      break;
  }
  return true;
}

void leased_record::OnTick(instant now, std::uint64_t& next_id, std::vector<entry_action>& out) {
  // A call without a result counts as unanswered after the lease time, so that a lost result does not stop the renewal.
  if (call_ != 0 && now - sent_at_ >= settings_.lease_time) {
    call_ = 0;
    due_ = now;
  }
  if (step_ == step::kRenew && changed_) {
    step_ = step::kRead;
    due_ = std::min(due_, now);
  }
  if (step_ == step::kIdle || step_ == step::kEnded || call_ != 0 || now < due_) {
    return;
  }
  call_store call;
  call.id = ++next_id;
  call_ = call.id;
  sent_at_ = now;
  due_ = now + settings_.lease_time;
  switch (step_) {
    case step::kGrant:
      call.call = lease_grant{0, settings_.lease_time};
      break;
    case step::kRead:
      call.call = store_read{0, settings_.key};
      break;
    case step::kWrite:
      call.call = store_swap{0, settings_.key, version_, value_, lease_};
      changed_ = false;
      break;
    case step::kRenew:
      call.call = lease_renew{0, lease_};
      break;
    case step::kIdle:
    case step::kEnded:
      return;
  }
  out.emplace_back(std::move(call));
}

std::optional<leased_record::listed_time> leased_record::Listed() const {
  if (!listed_since_) {
    return std::nullopt;
  }
  return listed_time{*listed_since_, lease_until_ - settings_.lease_time / kClockMargin};
}

void leased_record::Revoke(std::uint64_t& next_id, std::vector<entry_action>& out) {
  if (lease_ != 0) {
    out.emplace_back(call_store{++next_id, lease_revoke{0, lease_}});
  }
  step_ = step::kEnded;
  listed_since_.reset();
  call_ = 0;
  due_ = instant::max();
}

}  // namespace bamboowing
