#include "bamboowing/claims/job_claims.h"

#include <algorithm>
#include <utility>

namespace bamboowing {
namespace {

constexpr duration kExpiryInterval = std::chrono::seconds(1);
// Bound of the exponent of the retry interval.
constexpr int kMaxDoublings = 8;

}  // namespace

job_claims::job_claims(const job_claims_settings& settings, std::uint64_t seed, instant now)
    : settings_(settings),
      random_(seed),
      registry_(settings.run_end_limit, settings.claim_end_limit(), settings.retention, settings.late_start_limit),
      complete_(settings.address.empty()),
      started_at_(now),
      expired_at_(now),
      cancels_expired_at_(now),
      advanced_at_(now),
      self_confirmed_at_(now),
      leases_checked_at_(now) {
  if (settings.address.empty()) {
    view_ = {1, {settings.address}, {}};
  }
}

void job_claims::LogEvent(std::string event, std::string job_id, std::string detail) {
  actions_.emplace_back(log_claim_event{std::move(event), std::move(job_id), std::move(detail)});
}

std::vector<claim_action> job_claims::TakeActions() { return std::exchange(actions_, {}); }

std::string job_claims::HolderOf(const std::string& job_id) const {
  const std::map<std::string, open_claim>::const_iterator found = claims_.find(job_id);
  return found == claims_.end() ? std::string() : found->second.holder;
}

job_claim job_claims::Describe(const std::string& job_id, const open_claim& claim, instant now) const {
  return {job_id, claim.number, std::max(claim.until - now, duration(0)), claim.granted};
}

void job_claims::Claim(const std::string& job_id, duration hold, instant now) {
  open_claim& claim = claims_[job_id];
  std::set<std::string> told = std::move(claim.told);
  claim = open_claim();
  claim.told = std::move(told);
  claim.number = ++last_number_;
  claim.claimed_at = now;
  claim.until = now + hold;
  if (registry_.IsCancelled(job_id, now)) {
    claim.decided = true;
    claim.cancelled = true;
    actions_.emplace_back(claim_decided{job_id, claim_verdict::kCancelled});
    return;
  }
  if (view_.number > 0) {
    claim.sets = RegistrarSets(job_id, view_);
  }
  AskRegistrars(job_id, claim, now);
  CheckAvailable(job_id, claim, now);
}

void job_claims::AskRegistrars(const std::string& job_id, open_claim& claim, instant now) {
  for (const std::vector<std::string>& set : claim.sets) {
    for (const std::string& address : set) {
      if (claim.registrars.count(address) == 0 && IsReachable(address)) {
        Ask(address, job_id, claim, now);
      }
    }
  }
  Decide(job_id, claim, now);
}

void job_claims::Ask(const std::string& address, const std::string& job_id, open_claim& claim, instant now) {
  std::optional<claim_verdict>& verdict = claim.registrars[address];
  verdict.reset();
  if (address != settings_.address) {
    peers_[address].claims.push_back(job_id);
    return;
  }
  if (!claim.granted && !CanDecide(job_id, now)) {
    verdict = claim_verdict::kUndecided;
    claim.retry_at = now + settings_.retry_interval;
    return;
  }
  claim_answer answer =
      registry_.Claim(settings_.address, settings_.own_incarnation, Describe(job_id, claim, now), now);
  AddMemoryLimit(answer, now);
  verdict = answer.verdict;
  NoteUnknownStarts(claim, answer, now);
  if (answer.verdict == claim_verdict::kCancelled && claim.decided) {
    CancelOwnClaim(job_id);
  }
  if (answer.verdict == claim_verdict::kHeld) {
    NoteHolder(job_id, claim, answer.holder);
    CheckHolder(answer.holder);
    claim.retry_at = claim.granted ? std::optional<instant>(now + settings_.max_retry_interval) : claim.retry_at;
  }
}

void job_claims::NoteUnknownStarts(open_claim& claim, const claim_answer& answer, instant now) {
  if (answer.starts_unknown_before) {
    const instant before = now - *answer.starts_unknown_before;
    claim.starts_unknown_before = std::max(claim.starts_unknown_before.value_or(before), before);
  }
}

void job_claims::NoteHolder(const std::string& job_id, open_claim& claim, const std::string& holder) {
  totals_.denied += claim.decided ? 0 : 1;
  if (claim.holder != holder) {
    LogEvent(claim.decided ? "claim_conflict" : "claim_denied", job_id, "held by " + holder);
    claim.holder = holder;
  }
}

void job_claims::OnAnswer(const std::string& address, const claim_answer& answer, instant now) {
  const std::map<std::string, open_claim>::iterator found = claims_.find(answer.job_id);
  if (found == claims_.end() || found->second.number != answer.number || found->second.lapsed) {
    return;
  }
  open_claim& claim = found->second;
  claim.registrars[address] = answer.verdict;
  NoteUnknownStarts(claim, answer, now);
  if (answer.verdict == claim_verdict::kCancelled && claim.decided) {
    CancelOwnClaim(answer.job_id);
  }
  if (answer.verdict == claim_verdict::kHeld) {
    NoteHolder(answer.job_id, claim, answer.holder);
  }
  Decide(answer.job_id, claim, now);
  // A registrar that denies a granted claim may have granted that of a copy for a moment.
  const bool repeated =
      answer.verdict == claim_verdict::kUndecided || (answer.verdict == claim_verdict::kHeld && claim.granted);
  if (repeated && !claim.retry_at) {
    claim.retry_at = now + (claim.granted ? settings_.max_retry_interval : settings_.retry_interval);
  }
}

void job_claims::Decide(const std::string& job_id, open_claim& claim, instant now) {
  if (claim.decided || claim.lapsed || claim.cancelled) {
    return;
  }
  bool held = false;
  for (const std::pair<const std::string, std::optional<claim_verdict>>& item : claim.registrars) {
    const bool final = item.second == claim_verdict::kCompleted || item.second == claim_verdict::kNotRepeatable ||
                       item.second == claim_verdict::kCancelled;
    if (final) {
      claim.decided = true;
      claim.cancelled = item.second == claim_verdict::kCancelled;
      actions_.emplace_back(claim_decided{job_id, *item.second});
      return;
    }
    held = held || item.second == claim_verdict::kHeld;
  }
  // Grants that were requested too long ago may have ended.
  const bool majority = HasMajority(claim);
  if (held || (majority && now >= LeaseEnd(claim))) {
    Withdraw(job_id, claim, now);
    return;
  }
  if (majority) {
    claim.granted = true;
    claim.decided = true;
    ++totals_.granted;
    LogEvent("claim_granted", job_id, DescribeGrant(claim, now));
    actions_.emplace_back(claim_decided{job_id, claim_verdict::kGranted, claim.starts_unknown_before});
  }
}

std::string job_claims::DescribeGrant(const open_claim& claim, instant now) const {
  std::string granted_by;
  for (const std::pair<const std::string, std::optional<claim_verdict>>& item : claim.registrars) {
    if (item.second == claim_verdict::kGranted) {
      granted_by += (granted_by.empty() ? "" : " ") + item.first;
    }
  }
  return "by " + granted_by + ", view " + std::to_string(view_.number) +
         (view_.previous.empty() ? "" : ", which is changing") + ", members " + std::to_string(view_.members.size()) +
         ", reachable " + std::to_string(reachable_entries()) + ", after " +
         std::to_string((now - claim.claimed_at).count() / 1000) + " ms";
}

void job_claims::Withdraw(const std::string& job_id, open_claim& claim, instant now) {
  ReleaseEverywhere(job_id, claim, claim_end::kReleased, settings_.retention, now);
  claim.registrars.clear();
  claim.told.clear();
  claim.number = ++last_number_;
  // Two entries that each had a part of the registrars must not repeat their claims at the same time.
  const duration interval = std::min(settings_.retry_interval * (1 << claim.retries), settings_.max_retry_interval);
  claim.retries = std::min(claim.retries + 1, kMaxDoublings);
  const duration spread(random_.Below(static_cast<std::uint64_t>(interval.count())));
  claim.retry_at = now + interval / 2 + spread;
}

void job_claims::ReleaseEverywhere(const std::string& job_id, const open_claim& claim, claim_end end,
                                   duration retention, instant now) {
  std::set<std::string> told = claim.told;
  for (const std::pair<const std::string, std::optional<claim_verdict>>& item : claim.registrars) {
    told.insert(item.first);
  }
  for (const std::string& address : told) {
    SendRelease(address, {job_id, claim.number, end, retention}, now);
  }
}

void job_claims::Release(const std::string& job_id, claim_end end, duration retention, instant now) {
  const std::map<std::string, open_claim>::iterator found = claims_.find(job_id);
  if (found == claims_.end()) {
    return;
  }
  ReleaseEverywhere(job_id, found->second, end, retention, now);
  claims_.erase(found);
}

void job_claims::ForbidRepetition(const std::string& job_id, instant now) {
  if (claims_.count(job_id) != 0) {
    return;  // the registrars learn of it when the claim is released
  }
  std::set<std::string> registrars;
  for (const std::vector<std::string>& set : RegistrarSets(job_id, view_)) {
    registrars.insert(set.begin(), set.end());
  }
  for (const std::string& address : registrars) {
    SendRelease(address, {job_id, ++last_number_, claim_end::kNotRepeatable, settings_.retention}, now);
  }
}

void job_claims::ReassignRegistrars(instant now) {
  for (std::pair<const std::string, open_claim>& item : claims_) {
    // A denied claim waits for its repetition, a lapsed one for the end of the runs.
    const bool withdrawn = item.second.registrars.empty() && item.second.retry_at;
    if (!withdrawn && !item.second.lapsed) {
      AskRegistrars(item.first, item.second, now);
    }
  }
}

void job_claims::RepeatClaims(instant now) {
  for (std::pair<const std::string, open_claim>& item : claims_) {
    open_claim& claim = item.second;
    if (!claim.retry_at || now < *claim.retry_at) {
      continue;
    }
    claim.retry_at.reset();
    std::vector<std::string> open;
    for (const std::pair<const std::string, std::optional<claim_verdict>>& asked : claim.registrars) {
      if (asked.second == claim_verdict::kUndecided || asked.second == claim_verdict::kHeld) {
        open.push_back(asked.first);
      }
    }
    for (const std::string& address : open) {
      Ask(address, item.first, claim, now);
    }
    AskRegistrars(item.first, claim, now);
  }
}

void job_claims::Advance(instant now) {
  MaintainLeases(now);
  // Replies may have arrived while this process was paused.
  const duration pause = now - std::exchange(advanced_at_, now);
  if (pause >= settings_.answer_limit / 2) {
    for (std::pair<const std::uint64_t, exchange_state>& item : exchanges_) {
      item.second.answer_due += pause;
    }
  }
  ExpireExchanges(now);
  RepeatClaims(now);
  AdvanceCancels(now);
  UpdateComplete(now);
  MaintainChange(now);
  SendRequests(now);
  if (now - expired_at_ >= kExpiryInterval) {
    expired_at_ = now;
    registry_.Expire(now);
  }
}

}  // namespace bamboowing
