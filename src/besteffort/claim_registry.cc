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

std::vector<held_claim> claim_registry::HeldClaims(instant now) const {
  std::vector<held_claim> held;
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
      found.push_back({item.first, known.number, claim_end::kNotRepeatable, until - now});
    }
  }
  return found;
}

void claim_registry::Expire(instant now) {
  for (std::unordered_map<std::string, record>::iterator item = records_.begin(); item != records_.end();) {
    item = EndOf(item->second) <= now ? records_.erase(item) : std::next(item);
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
