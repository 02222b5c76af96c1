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
    const instant until = now + claim.hold;
    Store(claim.job_id, {std::nullopt, holder, incarnation, claim.number, until, until});
  }
  return answer;
}

void claim_registry::Release(const std::string& holder, incarnation_id incarnation, const claim_release& release,
                             instant now) {
  instant until = now + std::min(release.retention, max_retention_);
  const std::unordered_map<std::string, record>::const_iterator found = records_.find(release.job_id);
  if (found != records_.end() && now < found->second.until) {
    const record& known = found->second;
    const bool same_process = known.holder == holder && known.incarnation == incarnation;
    const bool final = known.end && *known.end != claim_end::kReleased;
    const bool current = same_process && release.number >= known.number;
    if (final || (release.end == claim_end::kReleased && !current)) {
      return;
    }
    if (!current) {
      until = std::max(until, known.until);  // the record also keeps others from a job that its holder may still run
    }
  }
  Store(release.job_id, {release.end, holder, incarnation, release.number, until, until});
}

bool claim_registry::OnProcess(const std::string& holder, incarnation_id incarnation, instant now) {
  entry_processes& processes = processes_[holder];
  std::deque<incarnation_id>& replaced = processes.replaced;
  if (std::find(replaced.begin(), replaced.end(), incarnation) != replaced.end()) {
    return false;
  }
  if (processes.newest != incarnation) {
    if (processes.newest != 0) {
      replaced.push_back(processes.newest);
    }
    if (replaced.size() > kMaxReplacedProcesses) {
      replaced.pop_front();
    }
    processes.newest = incarnation;
    LimitClaims(holder, incarnation, now + run_end_limit_);
  }
  if (std::exchange(processes.suspected, false)) {
    for (std::pair<const std::string, record>& item : records_) {
      record& known = item.second;
      if (!known.end && known.holder == holder && known.incarnation == incarnation) {
        known.until = known.hold_until;
      }
    }
  }
  return true;
}

void claim_registry::OnProcessSuspected(const std::string& holder, instant now) {
  processes_[holder].suspected = true;
  LimitClaims(holder, std::nullopt, now + run_end_limit_);
}

void claim_registry::LimitClaims(const std::string& holder, std::optional<incarnation_id> except, instant until) {
  for (std::pair<const std::string, record>& item : records_) {
    record& known = item.second;
    if (!known.end && known.holder == holder && known.incarnation != except) {
      known.until = std::min(known.until, until);
    }
  }
}

std::vector<held_claim> claim_registry::HeldClaims(instant now) const {
  std::vector<held_claim> held;
  for (const std::pair<const std::string, record>& item : records_) {
    const record& known = item.second;
    if (!known.end && now < known.until) {
      held.push_back({known.holder, known.incarnation, {item.first, known.number, known.until - now}});
    }
  }
  return held;
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
