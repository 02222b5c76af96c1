#include "bamboowing/besteffort/claim_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bamboowing {
namespace {

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
  if (found != records_.end() && now < found->second.until) {
    const record& known = found->second;
    const bool same_process = known.holder == holder && known.incarnation == incarnation;
    answer.verdict = known.end ? VerdictOf(*known.end) : claim_verdict::kGranted;
    if (!known.end && !same_process) {
      answer.verdict = claim_verdict::kHeld;
      answer.holder = known.holder;
    }
    // The claim was overtaken by its release or by a newer claim on another connection.
    const bool outdated = known.end ? claim.number <= known.number : claim.number < known.number;
    if (answer.verdict == claim_verdict::kGranted && same_process && outdated) {
      answer.verdict = claim_verdict::kUndecided;
    }
  }
  if (answer.verdict == claim_verdict::kGranted) {
    Store(claim.job_id, {std::nullopt, holder, incarnation, claim.number, now + claim.hold});
  }
  return answer;
}

void claim_registry::Release(const std::string& holder, incarnation_id incarnation, const claim_release& release,
                             instant now) {
  const std::unordered_map<std::string, record>::const_iterator found = records_.find(release.job_id);
  if (found != records_.end() && now < found->second.until) {
    const record& known = found->second;
    const bool same_process = known.holder == holder && known.incarnation == incarnation;
    const bool final = known.end && *known.end != claim_end::kReleased;
    const bool current = same_process && release.number >= known.number;
    if (final || (release.end == claim_end::kReleased && !current)) {
      return;
    }
  }
  Store(release.job_id, {release.end, holder, incarnation, release.number, now + retention_});
}

void claim_registry::OnProcess(const std::string& holder, incarnation_id incarnation, instant now) {
  incarnation_id& newest = processes_[holder];
  if (std::exchange(newest, incarnation) == incarnation) {
    return;
  }
  for (std::pair<const std::string, record>& item : records_) {
    record& known = item.second;
    if (!known.end && known.holder == holder && known.incarnation != incarnation) {
      known.until = std::min(known.until, now + run_end_limit_);
    }
  }
}

void claim_registry::OnProcessEnded(const std::string& holder, instant now) {
  for (std::pair<const std::string, record>& item : records_) {
    record& known = item.second;
    if (!known.end && known.holder == holder) {
      known.until = std::min(known.until, now + run_end_limit_);
    }
  }
}

void claim_registry::Expire(instant now) {
  for (std::unordered_map<std::string, record>::iterator item = records_.begin(); item != records_.end();) {
    item = item->second.until <= now ? records_.erase(item) : std::next(item);
  }
}

void claim_registry::Store(const std::string& job_id, record added) {
  records_[job_id] = std::move(added);
  if (records_.size() <= kMaxRecords) {
    return;
  }
  // A job that is held may have active runs, so its record is kept longest.
  const auto precedes = [](const std::pair<const std::string, record>& a,
                           const std::pair<const std::string, record>& b) {
    if (a.second.end.has_value() != b.second.end.has_value()) {
      return a.second.end.has_value();
    }
    return a.second.until < b.second.until;
  };
  records_.erase(std::min_element(records_.begin(), records_.end(), precedes));
}

}  // namespace bamboowing
