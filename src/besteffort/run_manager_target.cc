// The part of run_keeper that deals with the orders to the target: its clock, the lease, and what it lists.

#include <algorithm>
#include <utility>

#include "bamboowing/besteffort/run_manager.h"

namespace bamboowing {
namespace {

// Between two looks at the target while runs of an earlier agent are being stopped there.
constexpr duration kSurveyInterval = std::chrono::milliseconds(60);
// A run that the target accepted is listed at once; a list made this much later without it means that it is gone.
constexpr duration kListDelay = std::chrono::milliseconds(200);
// Bound of the time from sending an order to its arrival at a target on the same machine.
constexpr duration kOrderDelay = std::chrono::milliseconds(50);
// Bound of the time from sending an order to its execution at a target that leaves orders unanswered.
constexpr duration kLongestOrderDelay = std::chrono::seconds(15);
constexpr duration kShortestSleep = std::chrono::milliseconds(1);
constexpr std::uint64_t kLargestTokenStep = 1ULL << 40U;

}  // namespace

void run_keeper::SampleClock(const std::optional<target_time>& clock, instant now) {
  if (clock) {
    clock_ = clock;
    clock_at_ = now;
  }
}

void run_keeper::NoteOrder(instant now) {
  if (!unanswered_since_) {
    unanswered_since_ = now;
  }
}

void run_keeper::NoteAnswer(instant now) {
  heard_at_ = now;
  unanswered_since_.reset();
}

bool run_keeper::TargetAnswers(instant now) const {
  return !unanswered_since_ || now - *unanswered_since_ < settings_.silent_after;
}

std::optional<target_time> run_keeper::LeaseEnd(instant now) const {
  if (!clock_) {
    return std::nullopt;
  }
  return *clock_ + std::chrono::duration_cast<target_time>(now - clock_at_ + settings_.lease);
}

void run_keeper::RaiseToken() {
  // The highest token that the target has seen isn't told, so the steps double.
  token_ += token_step_;
  token_step_ = std::min(token_step_ * 2, kLargestTokenStep);
  Note("token_raised", "", "token " + std::to_string(token_));
  look_now_ = true;
}

bool run_keeper::AnythingThere() const {
  return at_target_.cpu_millicores > 0 || at_target_.memory_mb > 0 || at_target_.accelerators > 0;
}

instant run_keeper::LeaseBound(const kept_run& run) const {
  const duration lease(
      static_cast<std::int64_t>(static_cast<double>(settings_.lease.count()) * (1 + 2 * settings_.clock_drift)));
  if (run.crosses_lives) {
    return run.start_sent + kLongestOrderDelay + lease;
  }
  // Without an answer for this long the lease has run out at the target even if every order arrived late.
  return leased_at_ + lease + kOrderDelay;
}

void run_keeper::CheckLeaseBound(instant now) {
  bool lapsed = false;
  for (run_map::iterator run = runs_.begin(); run != runs_.end();) {
    const run_map::iterator ending = run++;
    if (ending->second.state != run_state::kWaiting && now >= LeaseBound(ending->second)) {
      EndRun(ending, run_outcome::kLost, now);
      lapsed = true;
    }
  }
  if (lapsed) {
    Note("lease_lapsed", "", "the target did not answer");
    if (phase_ == phase::kServing) {
      BeginSurvey();
    }
    for (std::pair<const std::string, owner>& to : owners_) {
      to.second.target_changed = true;
    }
  }
}

void run_keeper::ScheduleHold(instant now) {
  if (phase_ == phase::kUnknown) {
    return;
  }
  if (phase_ == phase::kSurveying) {
    if (holds_.empty() && now >= survey_due_) {
      survey_due_ = now + kSurveyInterval;
      SendHold(duration(0), now);
    }
    return;
  }
  const bool needed = AnythingThere() || last_listed_ > acknowledged_ || !TargetAnswers(now);
  if (!needed) {
    look_now_ = false;
    return;
  }
  const bool waiting =
      std::any_of(holds_.begin(), holds_.end(),
                  [](const std::pair<const std::uint64_t, pending_hold>& item) { return item.second.waits; });
  if (look_now_) {
    look_now_ = false;
    SendHold(duration(0), now);
  } else if (!waiting && TargetAnswers(now)) {
    SendHold(AnythingThere() ? settings_.hold_wait : duration(0), now);
  } else if (now >= LookDue()) {
    SendHold(duration(0), now);
  }
}

instant run_keeper::LookDue() const {
  if (AnythingThere() && TargetAnswers(last_now_)) {
    return looked_at_ + settings_.look_overdue;
  }
  return std::max(leased_at_ + settings_.renew_after, looked_at_ + settings_.look_interval);
}

void run_keeper::SendHold(duration wait, instant now) {
  hold_order order;
  order.context = Context();
  order.acknowledged = last_listed_;
  order.wait = wait;
  // A target that has not answered for the time of a lease may be gone; its runs are left to end.
  if (phase_ == phase::kServing && TargetAnswers(now)) {
    order.lease_end = LeaseEnd(now);
    leased_at_ = now;
  }
  if (wait == duration(0)) {
    NoteOrder(now);
  }
  looked_at_ = now;
  holds_.emplace(++last_call_, pending_hold{now, wait > duration(0), last_listed_});
  actions_.emplace_back(call_hold{last_call_, std::move(order)});
}

void run_keeper::OnHoldAnswer(std::uint64_t call, const hold_answer& answer, instant now) {
  const std::map<std::uint64_t, pending_hold>::node_type known = holds_.extract(call);
  if (known.empty()) {
    return;
  }
  SampleClock(answer.clock, now);
  switch (answer.result) {
    case order_result::kAccepted:
      break;
    case order_result::kFenced:
      RaiseToken();
      return;
    case order_result::kOtherLife:
      ReplaceTarget("a hold met another life", now);
      return;
    case order_result::kNotThere:
      LoseTarget("a hold met no target", known.mapped().sent, now);
      return;
    default:
      look_now_ = true;
      return;
  }
  NoteAnswer(now);
  if (answer.born && life_.born != 0 && *answer.born != life_.born) {
    BeginNextLife({life_.id, *answer.born}, now);
    SampleClock(answer.clock, now);
  } else {
    acknowledged_ = std::max(acknowledged_, known.mapped().acknowledged);
  }
  TakeEnds(answer, now);
  TakeRunning(answer, known.mapped().sent, now);
  if (phase_ == phase::kSurveying && described_ && clock_ && KnowsAll(answer.running)) {
    phase_ = phase::kServing;
    Note("target_usable", "", "target " + life_.id);
    for (std::pair<const std::string, owner>& to : owners_) {
      to.second.target_changed = true;
    }
  }
}

bool run_keeper::KnowsAll(span<const run_key> listed) const {
  return std::all_of(listed.begin(), listed.end(), [this](const run_key& key) { return runs_.count(key) != 0; });
}

void run_keeper::TakeEnds(const hold_answer& answer, instant now) {
  for (const listed_end& end : answer.ended) {
    if (end.number <= last_listed_) {
      continue;
    }
    last_listed_ = end.number;
    const run_map::iterator run = runs_.find(end.key);
    if (run == runs_.end() || run->second.state == run_state::kWaiting) {
      continue;
    }
    switch (end.outcome) {
      case listed_outcome::kDone:
        EndRun(run, run_outcome::kDone, now);
        break;
      case listed_outcome::kFailed:
        EndRun(run, run_outcome::kFailed, now);
        break;
      case listed_outcome::kStopped:
        EndRun(run, run_outcome::kStopped, now);
        break;
      case listed_outcome::kInterrupted:
        EndRun(run, run_outcome::kLost, now);
        break;
    }
  }
}

void run_keeper::TakeRunning(const hold_answer& answer, instant sent, instant now) {
  std::vector<run_key> listed = answer.running;
  std::sort(listed.begin(), listed.end());
  for (const run_key& key : listed) {
    const run_map::iterator run = runs_.find(key);
    if (run == runs_.end()) {
      // A run of an earlier agent, or one whose start was carried out after it was given up.
      Note("stray_run_stopped", key.job_id, "attempt " + std::to_string(key.attempt));
      SendStop(key, now);
      continue;
    }
    NoteStarted(run->second, now);
  }
  for (run_map::iterator run = runs_.begin(); run != runs_.end();) {
    const run_map::iterator present = run++;
    if (present->second.state != run_state::kWaiting &&
        !std::binary_search(listed.begin(), listed.end(), present->first)) {
      SettleAbsent(present, sent, now);
    }
  }
}

void run_keeper::SettleAbsent(run_map::iterator run, instant sent, instant now) {
  kept_run& absent = run->second;
  // Only the runs of an earlier life are kept in a survey. One that was accepted before the list was made, and isn't on
  // it, has ended with that life.
  if (phase_ == phase::kSurveying && absent.started != instant{} && sent >= absent.started) {
    EndRun(run, run_outcome::kLost, now);
    return;
  }
  switch (absent.state) {
    case run_state::kDoubtful:
      if (sent >= absent.since) {
        RequestStop(absent, now);
      }
      return;
    case run_state::kRunning:
      if (sent >= absent.since + kListDelay) {
        EndRun(run, run_outcome::kLost, now);
      }
      return;
    case run_state::kStopping:
      // After an accepted stop the target neither starts the run nor goes on with it; an end would have been listed.
      if (absent.stop_agreed && sent >= *absent.stop_agreed) {
        EndRun(run, run_outcome::kStopped, now);
      }
      return;
    default:
      return;
  }
}

std::optional<instant> run_keeper::next_wakeup() const {
  instant next = last_now_ + std::chrono::seconds(1);
  if (const std::optional<instant> session = sessions_.next_wakeup({}); session) {
    next = std::min(next, *session);
  }
  if (phase_ == phase::kSurveying && holds_.empty()) {
    next = std::min(next, survey_due_);
  }
  for (const std::pair<const run_key, kept_run>& run : runs_) {
    if (run.second.state != run_state::kWaiting) {
      next = std::min(next, LeaseBound(run.second));
    }
  }
  if (phase_ == phase::kServing && (AnythingThere() || !TargetAnswers(last_now_))) {
    next = std::min(next, LookDue());
    next = std::min(next, last_now_ + settings_.stop_retry);
  }
  const bool may_start = phase_ == phase::kServing && TargetAnswers(last_now_);
  for (const std::pair<const run_key, kept_run>& run : runs_) {
    if (may_start && MayRepeatStart(run.second)) {
      next = std::min(next, run.second.start_sent + settings_.start_retry);
    }
  }
  for (const run_key& key : waiting_) {
    const run_map::const_iterator run = runs_.find(key);
    if (run != runs_.end()) {
      next = std::min(next, run->second.since + run->second.start.start_within);
    }
  }
  resource_amount committed = at_target_;
  AddTo(committed, waiting_amount_);
  for (const std::pair<const std::string, entry_session>& item : sessions_.all()) {
    const std::map<std::string, owner>::const_iterator to = owners_.find(item.first);
    const bool open = item.second.state == session_state::kOpen && to != owners_.end();
    if (open && !(committed == to->second.reported)) {
      next = std::min(next, to->second.reported_at + ReportInterval());
    }
  }
  return std::max(next, last_now_ + kShortestSleep);
}

}  // namespace bamboowing
