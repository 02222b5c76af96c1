#include "bamboowing/besteffort/claim_registry.h"

#include <algorithm>
#include <iterator>
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
    case claim_end::kNotRepeatable:
      break;
  }
  return claim_verdict::kNotRepeatable;
}

}  // namespace

claim_answer claim_registry::Claim(const std::string& holder, incarnation_id incarnation, const job_claim& claim,
                                   instant now) {
  claim_answer answer{claim.job_id, claim.number, claim_verdict::kGranted, ""};
  const std::unordered_map<std::string, record>::const_iterator found = records_.find(claim.job_id);
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
  instant until = now + claim.hold;
  if (found != records_.end() && !found->second.end && found->second.incarnation == incarnation) {
    // Another registrar may report the claim with the time that is left there.
    until = std::max(until, found->second.until);
  }
  if (!Store(claim.job_id, {std::nullopt, holder, incarnation, claim.number, until, now, std::nullopt, {}})) {
    answer.verdict = claim_verdict::kUndecided;
  }
  return answer;
}

void claim_registry::Release(const std::string& holder, incarnation_id incarnation, const claim_release& release,
                             instant now) {
  const instant until = now + std::min(release.retention, max_retention_);
  DropHandedOver(incarnation, release);
  const std::unordered_map<std::string, record>::iterator found = records_.find(release.job_id);
  if (found == records_.end() || now >= EndOf(found->second)) {
    Store(release.job_id, {release.end, holder, incarnation, release.number, until, now, std::nullopt, {}});
    return;
  }
  record& known = found->second;
  const bool current = known.holder == holder && known.incarnation == incarnation && release.number >= known.number;
  if (known.end && *known.end != claim_end::kReleased) {
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

std::vector<claim_release> claim_registry::NotRepeatableJobs(instant now) const {
  std::vector<claim_release> found;
  for (const std::pair<const std::string, record>& item : records_) {
    const record& known = item.second;
    const bool ended = known.end == claim_end::kNotRepeatable;
    const instant until = ended ? known.until : known.reported_until;
    if ((ended || known.reported == claim_end::kNotRepeatable) && now < until) {
      found.push_back({item.first, 0, claim_end::kNotRepeatable, until - now});
    }
  }
  return found;
}

void claim_registry::Expire(instant now) {
  for (std::unordered_map<std::string, record>::iterator item = records_.begin(); item != records_.end();) {
    item = EndOf(item->second) <= now ? records_.erase(item) : std::next(item);
  }
  const auto ended = [now](const handed_over_claim& claim) { return claim.until <= now; };
  for (std::unordered_map<std::string, std::vector<handed_over_claim>>::iterator item = handed_over_.begin();
       item != handed_over_.end();) {
    const bool all_ended = std::all_of(item->second.begin(), item->second.end(), ended);
    item = all_ended ? handed_over_.erase(item) : std::next(item);
  }
}

bool claim_registry::Store(const std::string& job_id, record added) {
  const bool known = records_.count(job_id) != 0;
  if (!known && records_.size() >= kMaxRecords && !DropEndedRecord()) {
    return false;
  }
  records_[job_id] = std::move(added);
  return true;
}

bool claim_registry::DropEndedRecord() {
  std::unordered_map<std::string, record>::iterator oldest = records_.end();
  for (std::unordered_map<std::string, record>::iterator item = records_.begin(); item != records_.end(); ++item) {
    if (item->second.end && (oldest == records_.end() || item->second.until < oldest->second.until)) {
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
