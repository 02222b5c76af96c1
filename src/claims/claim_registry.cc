#include "bamboowing/claims/claim_registry.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace bamboowing {
namespace {

// Replaced processes of one entry whose late messages are recognized.
constexpr std::size_t kMaxReplacedProcesses = 16;

claim_verdict VerdictOf(claim_end end) {
  switch (end) {
    case claim_end::kReleased:
      return claim_verdict::kGranted;
    case claim_end::kCompleted:
      return claim_verdict::kCompleted;
    case claim_end::kCancelled:
      return claim_verdict::kCancelled;
    case claim_end::kNotRepeatable:
      break;
  }
  return claim_verdict::kNotRepeatable;
}

}  // namespace

claim_answer claim_registry::Claim(const std::string& holder, incarnation_id incarnation, const job_claim& claim,
                                   instant now) {
  claim_answer answer{claim.job_id, claim.number, claim_verdict::kGranted, ""};
  const record_map::const_iterator found = records_.find(claim.job_id);
  if (found != records_.end() && now < EndOf(found->second)) {
    const record& known = found->second;
    const bool same_process = known.holder == holder && known.incarnation == incarnation;
    if (known.reported && now < known.reported_until) {
      answer.verdict = VerdictOf(*known.reported);
    } else if (known.end) {
      answer.verdict = VerdictOf(*known.end);
    } else if (!same_process) {
      answer.verdict = claim_verdict::kHeld;
      answer.holder = known.holder;
    }
    // The claim was overtaken by its release or by a newer claim on another connection.
    const bool outdated = known.end ? claim.number <= known.number : claim.number < known.number;
    if (answer.verdict == claim_verdict::kGranted && same_process && outdated) {
      answer.verdict = claim_verdict::kUndecided;
    }
  }
  const bool recorded = found != records_.end() && !found->second.end && now < HoldEnd(found->second);
  const std::string other = recorded ? std::string() : DeniedBy(claim.job_id, incarnation, now);
  if (answer.verdict == claim_verdict::kGranted && !other.empty()) {
    answer.verdict = claim_verdict::kHeld;
    answer.holder = other;
  }
  if (answer.verdict != claim_verdict::kGranted) {
    return answer;
  }
  const std::optional<instant> lost_at = HolderLostAt(claim.job_id, now);
  if (lost_at) {
    answer.starts_unknown_before = now - *lost_at;
  }
  instant until = now + claim.hold;
  if (found != records_.end() && !found->second.end && found->second.incarnation == incarnation) {
    // Another registrar may report the claim with the time that is left there.
    until = std::max(until, found->second.until);
  }
  if (!Store(claim.job_id,
             {std::nullopt, holder, incarnation, claim.number, until, now, std::nullopt, {}, false, false, lost_at},
             now)) {
    answer.verdict = claim_verdict::kUndecided;
  }
  return answer;
}

void claim_registry::Release(const std::string& holder, incarnation_id incarnation, const claim_release& release,
                             instant now) {
  const instant until = now + std::min(release.retention, max_retention_);
  DropHandedOver(incarnation, release);
  const record_map::iterator found = records_.find(release.job_id);
  if (found == records_.end() || now >= EndOf(found->second)) {
    const bool was_open = release.end == claim_end::kCancelled && release.number > 0;
    const bool by_holder = found != records_.end() && found->second.holder == holder &&
                           found->second.incarnation == incarnation && release.number >= found->second.number;
    // A holder that was only silent knows its own starts, but not those of an earlier one.
    const std::optional<instant> lost_at = by_holder ? found->second.holder_lost_at : HolderLostAt(release.job_id, now);
    Store(release.job_id,
          {release.end, holder, incarnation, release.number, until, now, std::nullopt, {}, was_open, false, lost_at},
          now);
    return;
  }
  record& known = found->second;
  const bool current = known.holder == holder && known.incarnation == incarnation && release.number >= known.number;
  if (known.end == claim_end::kCancelled) {
    ReleaseCancelled(found, release, current, until);
    return;
  }
  if (known.end && *known.end != claim_end::kReleased) {
    return;
  }
  if (!current && !known.end && release.end == claim_end::kCancelled) {
    Cancel({release.job_id, release.retention, true}, now);
    return;
  }
  if (current) {
    known.end = release.end;
    known.number = release.number;
    known.until = until;
  } else if (release.end != claim_end::kReleased && !known.reported) {
    // The holder may have runs for longer than the report is remembered.
    known.reported = release.end;
    known.reported_until = until;
  }
}

void claim_registry::ReleaseCancelled(record_map::iterator cancelled, const claim_release& release, bool by_holder,
                                      instant until) {
  record& known = cancelled->second;
  if (by_holder && known.running) {
    ForgetHolder(cancelled->first, known);
    known.until = until;  // the time for which the job was claimed no longer counts
  }
  if (release.end == claim_end::kCompleted) {
    ForgetHolder(cancelled->first, known);
    known.end = claim_end::kCompleted;
  }
  if (release.end != claim_end::kReleased) {
    known.until = std::max(known.until, until);
  }
}

void claim_registry::ForgetHolder(const std::string& job_id, record& known) {
  if (!std::exchange(known.running, false)) {
    return;
  }
  const std::map<std::string, std::set<std::string>>::iterator jobs = cancelled_of_.find(known.holder);
  if (jobs != cancelled_of_.end()) {
    jobs->second.erase(job_id);
    if (jobs->second.empty()) {
      cancelled_of_.erase(jobs);
    }
  }
}

cancel_answer claim_registry::Cancel(const job_cancel& cancel, instant now) {
  cancel_answer answer;
  answer.job_id = cancel.job_id;
  const instant until = now + std::min(cancel.retention, max_retention_);
  const record_map::iterator found = records_.find(cancel.job_id);
  if (found == records_.end() || EndOf(found->second) <= now) {
    if (found != records_.end()) {
      ForgetHolder(found->first, found->second);
    }
    answer.was_open = cancel.was_open;
    answer.recorded = Store(
        cancel.job_id,
        {claim_end::kCancelled, "", 0, 0, until, now, std::nullopt, {}, cancel.was_open, false, std::nullopt}, now);
    return answer;
  }
  record& known = found->second;
  answer.recorded = true;
  answer.completed =
      known.end == claim_end::kCompleted || (known.reported == claim_end::kCompleted && now < known.reported_until);
  if (answer.completed) {
    return answer;
  }
  if (!known.end) {
    known.running = true;
    known.was_open = true;
    cancelled_of_[known.holder].insert(cancel.job_id);
  }
  known.end = claim_end::kCancelled;
  known.until = std::max(known.until, until);
  known.was_open = known.was_open || cancel.was_open;
  answer.was_open = known.was_open;
  answer.holder = known.running ? known.holder : "";
  return answer;
}

std::vector<std::string> claim_registry::CancelledJobsOf(const std::string& holder, incarnation_id incarnation) const {
  std::vector<std::string> cancelled;
  const std::map<std::string, std::set<std::string>>::const_iterator jobs = cancelled_of_.find(holder);
  if (jobs == cancelled_of_.end()) {
    return cancelled;
  }
  for (const std::string& job_id : jobs->second) {
    const record_map::const_iterator found = records_.find(job_id);
    if (found != records_.end() && found->second.incarnation == incarnation) {
      cancelled.push_back(job_id);
    }
  }
  return cancelled;
}

bool claim_registry::IsCancelled(const std::string& job_id, instant now) const {
  const record_map::const_iterator found = records_.find(job_id);
  return found != records_.end() && found->second.end == claim_end::kCancelled && now < found->second.until;
}

std::vector<job_cancel> claim_registry::Cancels(instant now) const {
  std::vector<job_cancel> cancels;
  for (const record_map::value_type& item : records_) {
    const record& known = item.second;
    if (known.end == claim_end::kCancelled && now < known.until) {
      cancels.push_back({item.first, known.until - now, known.was_open});
    }
  }
  return cancels;
}

bool claim_registry::OnProcess(const std::string& holder, incarnation_id incarnation, instant now) {
  entry_processes& processes = processes_[holder];
  std::deque<incarnation_id>& replaced = processes.replaced;
  if (std::find(replaced.begin(), replaced.end(), incarnation) != replaced.end()) {
    return false;
  }
  if (processes.newest != incarnation) {
    LimitClaims(holder, incarnation, now);
    if (processes.newest != 0) {
      replaced.push_back(processes.newest);
    }
    if (replaced.size() > kMaxReplacedProcesses) {
      replaced.pop_front();
    }
    processes.newest = incarnation;
  }
  processes.newest_heard_at = now;
  return true;
}

instant claim_registry::HoldEnd(const record& known) const {
  instant heard_at = known.recorded_at;
  const std::unordered_map<std::string, entry_processes>::const_iterator holder = processes_.find(known.holder);
  if (holder != processes_.end() && holder->second.newest == known.incarnation) {
    heard_at = std::max(heard_at, holder->second.newest_heard_at);
  }
  return std::min(known.until, heard_at + silence_limit_);
}

instant claim_registry::EndOf(const record& known) const {
  const instant end = known.end ? known.until : HoldEnd(known);
  return known.reported ? std::max(end, known.reported_until) : end;
}

void claim_registry::LimitClaims(const std::string& holder, incarnation_id except, instant now) {
  for (std::pair<const std::string, record>& item : records_) {
    record& known = item.second;
    if (!known.end && known.holder == holder && known.incarnation != except) {
      known.until = std::min(HoldEnd(known), now + run_end_limit_);
      known.recorded_at = now;
    }
  }
}

bool claim_registry::TakeOver(const held_claim& claim, duration time, instant now) {
  const std::string& job_id = claim.claim.job_id;
  const std::unordered_map<std::string, record>::const_iterator known = records_.find(job_id);
  if (known != records_.end() && known->second.end && known->second.incarnation == claim.incarnation &&
      known->second.number >= claim.claim.number) {
    return true;  // the claim has been released meanwhile
  }
  if (handed_over_.size() >= kMaxRecords && handed_over_.count(job_id) == 0) {
    return false;
  }
  std::vector<handed_over_claim>& claims = handed_over_[job_id];
  std::vector<handed_over_claim>::iterator same =
      std::find_if(claims.begin(), claims.end(),
                   [&claim](const handed_over_claim& other) { return other.incarnation == claim.incarnation; });
  if (same == claims.end()) {
    same = claims.insert(same, {claim.holder, claim.incarnation, 0, {}});
  }
  same->number = std::max(same->number, claim.claim.number);
  same->until = std::max(same->until, now + time);
  return true;
}

void claim_registry::DropHandedOver(incarnation_id incarnation, const claim_release& release) {
  const std::unordered_map<std::string, std::vector<handed_over_claim>>::iterator found =
      handed_over_.find(release.job_id);
  if (found == handed_over_.end()) {
    return;
  }
  std::vector<handed_over_claim>& claims = found->second;
  claims.erase(std::remove_if(claims.begin(), claims.end(),
                              [incarnation, &release](const handed_over_claim& claim) {
                                return claim.incarnation == incarnation && claim.number <= release.number;
                              }),
               claims.end());
}

std::string claim_registry::DeniedBy(const std::string& job_id, incarnation_id incarnation, instant now) const {
  const std::unordered_map<std::string, std::vector<handed_over_claim>>::const_iterator found =
      handed_over_.find(job_id);
  if (found != handed_over_.end()) {
    for (const handed_over_claim& claim : found->second) {
      if (now < claim.until && claim.incarnation != incarnation) {
        return claim.holder;
      }
    }
  }
  return "";
}

std::vector<held_claim> claim_registry::HeldClaims(instant now) const {
  std::vector<held_claim> held;
  for (const std::pair<const std::string, std::vector<handed_over_claim>>& item : handed_over_) {
    for (const handed_over_claim& claim : item.second) {
      if (now < claim.until) {
        held.push_back({claim.holder, claim.incarnation, {item.first, claim.number, claim.until - now, true}});
      }
    }
  }
  for (const std::pair<const std::string, record>& item : records_) {
    const record& known = item.second;
    const instant end = HoldEnd(known);
    if (!known.end && now < end) {
      held.push_back({known.holder, known.incarnation, {item.first, known.number, end - now, true}});
    }
  }
  return held;
}

std::vector<claim_release> claim_registry::ForbiddenJobs(instant now) const {
  std::vector<claim_release> found;
  for (const record_map::value_type& item : records_) {
    const record& known = item.second;
    const bool cancelled = known.end == claim_end::kCancelled;
    if ((cancelled || known.end == claim_end::kNotRepeatable) && now < known.until) {
      found.push_back({item.first, 0, *known.end, known.until - now});
    } else if (known.reported == claim_end::kNotRepeatable && now < known.reported_until) {
      found.push_back({item.first, 0, claim_end::kNotRepeatable, known.reported_until - now});
    }
  }
  return found;
}

std::optional<instant> claim_registry::HolderLostAt(const std::string& job_id, instant now) const {
  std::optional<instant> newest;
  const auto add = [this, now, &newest](instant lost_at) {
    if (now - lost_at < late_start_limit_) {
      newest = std::max(newest.value_or(lost_at), lost_at);
    }
  };
  if (const record_map::const_iterator found = records_.find(job_id); found != records_.end()) {
    if (found->second.holder_lost_at) {
      add(*found->second.holder_lost_at);
    }
    if (IsLost(found->second, now)) {
      add(HoldEnd(found->second) - run_end_limit_);
    }
  }
  const std::unordered_map<std::string, std::vector<handed_over_claim>>::const_iterator handed_over =
      handed_over_.find(job_id);
  if (handed_over != handed_over_.end()) {
    for (const handed_over_claim& claim : handed_over->second) {
      if (claim.until <= now) {
        add(claim.until - run_end_limit_);
      }
    }
  }
  return newest;
}

std::vector<lost_claim> claim_registry::LostClaims(instant now) const {
  std::vector<lost_claim> lost;
  for (const record_map::value_type& item : records_) {
    if (const std::optional<instant> at = HolderLostAt(item.first, now); at) {
      lost.push_back({item.first, now - *at});
    }
  }
  return lost;
}

void claim_registry::AddLostClaim(const lost_claim& lost, instant now) {
  const instant lost_at = now - lost.age;
  const record_map::iterator found = records_.find(lost.job_id);
  if (found != records_.end()) {
    std::optional<instant>& known = found->second.holder_lost_at;
    known = std::max(known.value_or(lost_at), lost_at);
    return;
  }
  // The record has ended, so that what others report of the job takes its place.
  Store(lost.job_id, {claim_end::kReleased, "", 0, 0, now, now, std::nullopt, {}, false, false, lost_at}, now);
}

void claim_registry::Expire(instant now) {
  for (record_map::iterator item = records_.begin(); item != records_.end();) {
    record& known = item->second;
    if (now < EndOf(known)) {
      ++item;
      continue;
    }
    if (IsLost(known, now)) {
      known.until = HoldEnd(known);  // a later message of the holder does not renew the claim
    }
    if (HolderLostAt(item->first, now)) {
      ++item;
      continue;
    }
    ForgetHolder(item->first, item->second);
    item = records_.erase(item);
  }
  const auto ended = [this, now](const handed_over_claim& claim) { return claim.until + late_start_limit_ <= now; };
  for (std::unordered_map<std::string, std::vector<handed_over_claim>>::iterator item = handed_over_.begin();
       item != handed_over_.end();) {
    const bool all_ended = std::all_of(item->second.begin(), item->second.end(), ended);
    item = all_ended ? handed_over_.erase(item) : std::next(item);
  }
}

bool claim_registry::Store(const std::string& job_id, record added, instant now) {
  const bool known = records_.count(job_id) != 0;
  if (!known && records_.size() >= kMaxRecords && !DropEndedRecord(now)) {
    return false;
  }
  records_[job_id] = std::move(added);
  return true;
}

bool claim_registry::DropEndedRecord(instant now) {
  record_map::iterator oldest = records_.end();
  for (record_map::iterator item = records_.begin(); item != records_.end(); ++item) {
    if ((!item->second.end && !IsLost(item->second, now)) || item->second.running) {
      continue;
    }
    const auto rank = [](const record& ended) {
      return std::make_tuple(!ended.end, ended.end != claim_end::kReleased, ended.until);
    };
    if (oldest == records_.end() || rank(item->second) < rank(oldest->second)) {
      oldest = item;
    }
  }
  if (oldest == records_.end()) {
    return false;
  }
  records_.erase(oldest);
  return true;
}

}  // namespace bamboowing
