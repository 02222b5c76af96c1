// Cancels of job_claims.

#include <algorithm>
#include <utility>

#include "bamboowing/claims/job_claims.h"

namespace bamboowing {
namespace {

constexpr duration kExpiryInterval = std::chrono::seconds(1);
// Beyond this number of cancels without a record at all registrars, one is recorded here only and answered as
// unconfirmed.
constexpr std::size_t kMaxCancels = 4096;

}  // namespace

void job_claims::CancelOwnClaim(const std::string& job_id) {
  const std::map<std::string, open_claim>::iterator found = claims_.find(job_id);
  if (found != claims_.end() && !std::exchange(found->second.cancelled, true)) {
    actions_.emplace_back(claim_cancelled{job_id});
  }
}

cancel_answer job_claims::AnswerCancel(const job_cancel& cancel, instant now) {
  cancel_answer answer = registry_.Cancel(cancel, now);
  if (!answer.completed && claims_.count(cancel.job_id) != 0) {
    answer.was_open = true;
    CancelOwnClaim(cancel.job_id);
  }
  // The registrars of an outdated view may not be asked by the next claimant.
  answer.recorded = answer.recorded && IsFresh(now);
  return answer;
}

void job_claims::ForgetCall(call_id call) {
  for (const std::string& job_id : unsettled_cancels_) {
    std::vector<call_id>& calls = cancels_.at(job_id).calls;
    calls.erase(std::remove(calls.begin(), calls.end(), call), calls.end());
  }
}

std::size_t job_claims::unanswered_cancels() const {
  return static_cast<std::size_t>(
      std::count_if(unsettled_cancels_.begin(), unsettled_cancels_.end(),
                    [this](const std::string& job_id) { return !cancels_.at(job_id).calls.empty(); }));
}

job_claims::open_cancel* job_claims::KeepCancel(const std::string& job_id, instant until) {
  const std::map<std::string, open_cancel>::iterator known = cancels_.find(job_id);
  if (known == cancels_.end() && cancels_.size() >= kMaxCancels) {
    std::map<std::string, open_cancel>::iterator oldest = cancels_.end();
    for (std::map<std::string, open_cancel>::iterator item = cancels_.begin(); item != cancels_.end(); ++item) {
      const bool settled = unsettled_cancels_.count(item->first) == 0;
      if (settled && (oldest == cancels_.end() || item->second.until < oldest->second.until)) {
        oldest = item;
      }
    }
    if (oldest == cancels_.end()) {
      return nullptr;
    }
    cancels_.erase(oldest);
  }
  open_cancel& kept = cancels_[job_id];
  kept.until = std::max(kept.until, until);
  ReassignCancel(job_id, kept);
  unsettled_cancels_.insert(job_id);
  return &kept;
}

void job_claims::ReassignCancel(const std::string& job_id, open_cancel& cancel) const {
  cancel.sets.clear();
  if (view_.number > 0) {
    cancel.sets = RegistrarSets(job_id, view_);
  }
  for (const std::vector<std::string>& set : cancel.sets) {
    for (const std::string& address : set) {
      cancel.told.emplace(address, told_entry());
    }
  }
}

void job_claims::ForwardCancels(const registrar_view& before, instant now) {
  for (const job_cancel& known : registry_.Cancels(now)) {
    const std::vector<std::vector<std::string>> sets = RegistrarSets(known.job_id, view_);
    const bool changed = before.number > 0 && sets != RegistrarSets(known.job_id, before);
    open_cancel* const kept = changed ? KeepCancel(known.job_id, now + known.retention) : nullptr;
    if (kept != nullptr) {
      kept->was_open = kept->was_open || known.was_open;
    }
  }
  for (std::pair<const std::string, open_cancel>& item : cancels_) {
    ReassignCancel(item.first, item.second);
    unsettled_cancels_.insert(item.first);
  }
}

void job_claims::Cancel(call_id call, const std::string& job_id, bool was_open, instant now) {
  // Also an entry that is no registrar of the job starts nothing when a submission reaches it.
  const cancel_answer own = AnswerCancel({job_id, settings_.retention, was_open}, now);
  open_cancel* const kept = KeepCancel(job_id, now + settings_.retention);
  if (kept == nullptr) {
    actions_.emplace_back(cancel_decided{call, cancel_outcome::kUnconfirmed});
    return;
  }
  open_cancel& cancel = *kept;
  if (cancel.calls.empty()) {
    // What was recorded for an earlier cancel expires earlier.
    for (std::pair<const std::string, told_entry>& item : cancel.told) {
      item.second.recorded = false;
    }
    cancel.answer_by = now + settings_.cancel_limit;
    cancel.holder_due.reset();
  }
  cancel.calls.push_back(call);
  cancel.was_open = cancel.was_open || was_open || own.was_open;
  cancel.completed = own.completed;
  if (!own.holder.empty()) {
    cancel.told[own.holder].holds_job = true;
  }
  const std::map<std::string, told_entry>::iterator self = cancel.told.find(settings_.address);
  if (self != cancel.told.end()) {
    self->second.recorded = own.recorded;
  }
  AdvanceCancel(job_id, cancel, now);
}

void job_claims::TellCancel(const std::string& address, const std::string& job_id, open_cancel& cancel, instant now) {
  told_entry& to = cancel.told.at(address);
  if (to.recorded || to.pending || now < to.next_request) {
    return;
  }
  if (address == settings_.address) {
    const cancel_answer own = AnswerCancel({job_id, cancel.until - now, cancel.was_open}, now);
    to.recorded = own.recorded;
    to.next_request = now + settings_.cancel_retry_interval;
    return;
  }
  const std::map<std::string, peer>::iterator found = peers_.find(address);
  if (found != peers_.end() && found->second.reachable) {
    to.pending = true;
    found->second.cancels.push_back(job_id);
  }
}

bool job_claims::IsRecorded(const open_cancel& cancel) {
  return !cancel.sets.empty() &&
         std::all_of(cancel.sets.begin(), cancel.sets.end(), [&cancel](const std::vector<std::string>& set) {
           const std::ptrdiff_t recorded = std::count_if(set.begin(), set.end(), [&cancel](const std::string& address) {
             return cancel.told.at(address).recorded;
           });
           return static_cast<std::size_t>(recorded) >= MajorityOf(set.size());
         });
}

bool job_claims::IsSettled(const open_cancel& cancel) {
  return cancel.calls.empty() &&
         std::all_of(cancel.told.begin(), cancel.told.end(),
                     [](const std::pair<const std::string, told_entry>& item) { return item.second.recorded; });
}

void job_claims::AdvanceCancel(const std::string& job_id, open_cancel& cancel, instant now) {
  for (const std::pair<const std::string, told_entry>& item : cancel.told) {
    TellCancel(item.first, job_id, cancel, now);
  }
  if (!cancel.calls.empty()) {
    if (!IsRecorded(cancel)) {
      cancel.holder_due.reset();
      if (now >= cancel.answer_by) {
        AnswerCancelCalls(job_id, cancel, cancel_outcome::kUnconfirmed);
      }
    } else {
      if (!cancel.holder_due) {
        cancel.holder_due = now + settings_.holder_limit;
      }
      const bool holder_waits =
          std::any_of(cancel.told.begin(), cancel.told.end(), [](const std::pair<const std::string, told_entry>& item) {
            return item.second.holds_job && !item.second.recorded;
          });
      if (!holder_waits || now >= *cancel.holder_due) {
        const bool found = cancel.was_open && !cancel.completed;
        AnswerCancelCalls(job_id, cancel, found ? cancel_outcome::kCancelled : cancel_outcome::kNotOpen);
      }
    }
  }
  if (IsSettled(cancel)) {
    unsettled_cancels_.erase(job_id);
  }
}

void job_claims::AnswerCancelCalls(const std::string& job_id, open_cancel& cancel, cancel_outcome outcome) {
  const char* const name = outcome == cancel_outcome::kCancelled ? "cancelled"
                           : outcome == cancel_outcome::kNotOpen ? "not open"
                                                                 : "not recorded by a majority";
  LogEvent("cancel_answered", job_id, name);
  for (const call_id call : std::exchange(cancel.calls, {})) {
    actions_.emplace_back(cancel_decided{call, outcome});
  }
}

void job_claims::OnCancelAnswer(const std::string& address, const cancel_answer& answer, instant now) {
  const std::map<std::string, open_cancel>::iterator found = cancels_.find(answer.job_id);
  if (found == cancels_.end()) {
    return;
  }
  open_cancel& cancel = found->second;
  told_entry& from = cancel.told[address];
  from.pending = false;
  from.recorded = answer.recorded;
  from.next_request = now + settings_.cancel_retry_interval;
  cancel.was_open = cancel.was_open || answer.was_open;
  cancel.completed = cancel.completed || answer.completed;
  if (!answer.holder.empty()) {
    cancel.told[answer.holder].holds_job = true;
  }
  unsettled_cancels_.insert(answer.job_id);
  AdvanceCancel(answer.job_id, cancel, now);
}

void job_claims::RepeatCancels(const std::string& address, const std::vector<std::string>& job_ids, instant now) {
  for (const std::string& job_id : job_ids) {
    const std::map<std::string, open_cancel>::iterator cancel = cancels_.find(job_id);
    if (cancel == cancels_.end()) {
      continue;
    }
    told_entry& to = cancel->second.told[address];
    if (!to.recorded && std::exchange(to.pending, false)) {
      to.next_request = now + settings_.cancel_retry_interval;
    }
  }
}

void job_claims::ForgetCancelsAt(const std::string& address) {
  for (std::pair<const std::string, open_cancel>& item : cancels_) {
    const std::map<std::string, told_entry>::iterator told = item.second.told.find(address);
    if (told != item.second.told.end() && std::exchange(told->second.recorded, false)) {
      unsettled_cancels_.insert(item.first);
    }
  }
}

void job_claims::AdvanceCancels(instant now) {
  for (std::set<std::string>::iterator item = unsettled_cancels_.begin(); item != unsettled_cancels_.end();) {
    const std::string job_id = *item++;  // may be erased
    AdvanceCancel(job_id, cancels_.at(job_id), now);
  }
  if (now - cancels_expired_at_ < kExpiryInterval) {
    return;
  }
  cancels_expired_at_ = now;
  for (std::map<std::string, open_cancel>::iterator item = cancels_.begin(); item != cancels_.end();) {
    if (now < item->second.until || !item->second.calls.empty()) {
      ++item;
      continue;
    }
    unsettled_cancels_.erase(item->first);
    item = cancels_.erase(item);
  }
}

}  // namespace bamboowing
