#include "bamboowing/besteffort/run_manager.h"

#include <algorithm>
#include <utility>

namespace bamboowing {
namespace {

run_outcome OutcomeOfRefusal(order_result result) {
  switch (result) {
    case order_result::kNoRoom:
      return run_outcome::kNoRoom;
    case order_result::kStaleAttempt:
      return run_outcome::kStaleAttempt;
    case order_result::kTooLate:
    case order_result::kOtherLife:
    case order_result::kNotThere:
      return run_outcome::kLost;
    default:
      return run_outcome::kUnavailable;
  }
}

}  // namespace

run_keeper::run_keeper(const run_keeper_settings& settings, std::uint64_t seed, instant now)
    : settings_(settings),
      sessions_(settings.agent, seed, now),
      selection_(settings.agent.id, settings.selection),
      token_(settings.first_token),
      token_step_(1),
      last_now_(now) {}

void run_keeper::Note(std::string what, const std::string& job_id, std::string detail) {
  actions_.emplace_back(note_decision{std::move(what), job_id, std::move(detail)});
}

void run_keeper::Admit(const std::string& entry, const run_start& start, instant now) {
  if (runs_.count(start.key) != 0) {
    return;
  }
  kept_run run;
  run.start = start;
  run.owner = entry;
  run.since = now;
  const run_map::iterator added = runs_.emplace(start.key, std::move(run)).first;
  AddTo(waiting_amount_, start.need);
  // An entry that was frozen sends what it decided from old reports; its callers may have gone elsewhere meanwhile.
  const owner& from = owners_[entry];
  const bool stale = now - from.fresh >= settings_.stale_after;
  if (!accepting() || stale || from.released_at) {
    EndRun(added, run_outcome::kUnavailable, now);
    return;
  }
  if (!FitsBeside(start.need, {}, target_.capacity)) {
    EndRun(added, run_outcome::kNoRoom, now);
    return;
  }
  waiting_.push_back(start.key);
}

void run_keeper::EndRun(run_map::iterator run, run_outcome outcome, instant now) {
  kept_run& ended = run->second;
  TakeFrom(ended.state == run_state::kWaiting ? waiting_amount_ : at_target_, ended.start.need);
  owner& to = owners_[ended.owner];
  run_end end;
  end.number = ++to.last_end;
  end.key = run->first;
  end.outcome = outcome;
  const bool ran = outcome == run_outcome::kDone || outcome == run_outcome::kFailed;
  if (ran && ended.started != instant{}) {
    end.run_time = now - ended.started;
  }
  to.ends.push_back(std::move(end));
  runs_.erase(run);
}

void run_keeper::EndAll(run_outcome outcome, instant now) {
  for (run_map::iterator run = runs_.begin(); run != runs_.end();) {
    const run_map::iterator ending = run++;
    EndRun(ending, ending->second.state == run_state::kWaiting ? run_outcome::kUnavailable : outcome, now);
  }
}

void run_keeper::OnDrain(instant now) {
  draining_ = true;
  for (run_map::iterator run = runs_.begin(); run != runs_.end();) {
    const run_map::iterator next = std::next(run);
    if (run->second.state == run_state::kWaiting) {
      EndRun(run, run_outcome::kUnavailable, now);
    }
    run = next;
  }
  for (std::pair<const std::string, owner>& to : owners_) {
    to.second.target_changed = true;
  }
}

bool run_keeper::drained() const {
  const bool all_received =
      std::all_of(owners_.begin(), owners_.end(),
                  [](const std::pair<const std::string, owner>& item) { return item.second.ends.empty(); });
  return draining_ && runs_.empty() && all_received;
}

void run_keeper::ExpireWaiting(instant now) {
  std::deque<run_key> kept;
  for (const run_key& key : waiting_) {
    const run_map::iterator found = runs_.find(key);
    if (found == runs_.end() || found->second.state != run_state::kWaiting) {
      continue;
    }
    if (!TargetAnswers(now)) {
      EndRun(found, run_outcome::kUnavailable, now);
    } else if (now - found->second.since >= found->second.start.start_within) {
      EndRun(found, run_outcome::kNoRoom, now);
    } else {
      kept.push_back(key);
    }
  }
  waiting_ = std::move(kept);
}

void run_keeper::StartWaiting(instant now) {
  const std::optional<target_time> lease_end = LeaseEnd(now);
  if (phase_ != phase::kServing || !lease_end || !TargetAnswers(now)) {
    return;
  }
  for (const run_key& key : waiting_) {
    const run_map::iterator found = runs_.find(key);
    if (found == runs_.end() || found->second.state != run_state::kWaiting ||
        !FitsBeside(found->second.start.need, at_target_, target_.capacity)) {
      continue;
    }
    kept_run& run = found->second;
    TakeFrom(waiting_amount_, run.start.need);
    AddTo(at_target_, run.start.need);
    run.state = run_state::kOrdered;
    run.since = now;
    SendStart(key, run, *lease_end, now);
  }
}

void run_keeper::SendStart(const run_key& key, kept_run& run, target_time lease_end, instant now) {
  ++run.starts_sent;
  run.start_sent = now;
  start_calls_.emplace(++last_call_, pending_order{key, now});
  actions_.emplace_back(call_start{last_call_, {Context(), key, run.start.payload, lease_end}});
  leased_at_ = now;
  NoteOrder(now);
}

bool run_keeper::MayRepeatStart(const kept_run& run) const {
  return run.state == run_state::kOrdered && run.starts_sent < settings_.most_starts;
}

void run_keeper::RepeatStarts(instant now) {
  const std::optional<target_time> lease_end = LeaseEnd(now);
  if (phase_ != phase::kServing || !lease_end || !TargetAnswers(now)) {
    return;
  }
  for (std::pair<const run_key, kept_run>& item : runs_) {
    kept_run& run = item.second;
    if (MayRepeatStart(run) && now - run.start_sent >= settings_.start_retry) {
      Note("start_repeated", item.first.job_id, "attempt " + std::to_string(item.first.attempt));
      SendStart(item.first, run, *lease_end, now);
    }
  }
}

void run_keeper::OnStartAnswer(std::uint64_t call, const order_answer& answer, instant now) {
  const std::map<std::uint64_t, pending_order>::node_type known = start_calls_.extract(call);
  if (known.empty()) {
    return;
  }
  TakeAnswer(answer, now);
  if (answer.result == order_result::kFenced) {
    RaiseToken();
  }
  if (const run_map::iterator run = runs_.find(known.mapped().key); run != runs_.end()) {
    TakeStartAnswer(run, answer.result, now);
  }
  if (answer.result == order_result::kOtherLife) {
    ReplaceTarget("a start met another life", now);
  } else if (answer.result == order_result::kNotThere) {
    LoseTarget("a start met no target", known.mapped().sent, now);
  }
}

void run_keeper::TakeStartAnswer(run_map::iterator run, order_result result, instant now) {
  kept_run& ordered = run->second;
  const bool repeated = ordered.starts_sent > 1;
  if (result == order_result::kAccepted || (repeated && result == order_result::kStaleAttempt)) {
    // When a repeated start is stale, an earlier one was carried out; the target lists its end.
    NoteStarted(ordered, now);
    return;
  }
  if (result == order_result::kNoAnswer) {
    TakeUnansweredStart(run, now);
    return;
  }
  if (!repeated) {
    EndRun(run, OutcomeOfRefusal(result), now);
    return;
  }
  // An earlier order may still be carried out. What becomes of it when no target is there, LoseTarget() decides.
  const bool starting = ordered.state == run_state::kOrdered || ordered.state == run_state::kDoubtful;
  if (starting && result != order_result::kNotThere) {
    RequestStop(ordered, now);
  }
}

void run_keeper::NoteStarted(kept_run& run, instant now) {
  run.started = run.started == instant{} ? now : run.started;
  run.start.payload.clear();
  if (run.state == run_state::kOrdered || run.state == run_state::kDoubtful) {
    run.state = run_state::kRunning;
    run.since = now;
  }
}

bool run_keeper::StartUnderWay(const run_key& key) const {
  return std::any_of(
      start_calls_.begin(), start_calls_.end(),
      [&key](const std::pair<const std::uint64_t, pending_order>& call) { return call.second.key == key; });
}

void run_keeper::TakeUnansweredStart(run_map::iterator run, instant now) {
  kept_run& ordered = run->second;
  ordered.unanswered = now;
  if (ordered.state != run_state::kOrdered || StartUnderWay(run->first)) {
    return;
  }
  ordered.state = run_state::kDoubtful;
  ordered.since = now;
  look_now_ = true;
  Note("start_unanswered", run->first.job_id, "attempt " + std::to_string(run->first.attempt));
}

void run_keeper::TakeAnswer(const order_answer& answer, instant now) {
  SampleClock(answer.clock, now);
  if (answer.result != order_result::kNoAnswer) {
    NoteAnswer(now);
  }
}

void run_keeper::RequestStop(kept_run& run, instant now) {
  if (run.state == run_state::kStopping) {
    return;
  }
  run.state = run_state::kStopping;
  run.since = now;
  run.stop_sent = now;
  SendStop(run.start.key, now);
}

void run_keeper::SendStop(const run_key& key, instant now) {
  NoteOrder(now);
  stop_calls_.emplace(++last_call_, pending_order{key, now});
  actions_.emplace_back(call_stop{last_call_, {Context(), key}});
}

void run_keeper::RepeatStops(instant now) {
  if (phase_ == phase::kUnknown) {
    return;
  }
  for (std::pair<const run_key, kept_run>& item : runs_) {
    kept_run& run = item.second;
    if (run.state == run_state::kStopping && !run.stop_agreed && now - *run.stop_sent >= settings_.stop_retry) {
      run.stop_sent = now;
      SendStop(item.first, now);
    }
  }
}

void run_keeper::OnStopAnswer(std::uint64_t call, const order_answer& answer, instant now) {
  const std::map<std::uint64_t, pending_order>::node_type known = stop_calls_.extract(call);
  if (known.empty()) {
    return;
  }
  TakeAnswer(answer, now);
  if (answer.result == order_result::kFenced) {
    RaiseToken();
  }
  if (answer.result == order_result::kOtherLife) {
    ReplaceTarget("a stop met another life", now);
    return;
  }
  if (answer.result == order_result::kNotThere) {
    LoseTarget("a stop met no target", known.mapped().sent, now);
    return;
  }
  const run_map::iterator run = runs_.find(known.mapped().key);
  if (run == runs_.end() || run->second.state != run_state::kStopping) {
    return;
  }
  if (answer.result == order_result::kAccepted || answer.result == order_result::kStaleAttempt) {
    run->second.stop_agreed = now;
    look_now_ = true;
  }
}

void run_keeper::Advance(instant now) {
  last_now_ = now;
  KeepSessions(now);
  ExpireOwners(now);
  CheckLeaseBound(now);
  ExpireWaiting(now);
  StartWaiting(now);
  RepeatStarts(now);
  RepeatStops(now);
  ScheduleHold(now);
  SendReports(now);
}

}  // namespace bamboowing
