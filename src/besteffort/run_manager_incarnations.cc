// The part of run_keeper that deals with the lives of the target: which one is there, and what the end of one means for
// its runs.

#include <algorithm>
#include <utility>

#include "bamboowing/besteffort/run_manager.h"

namespace bamboowing {

void run_keeper::OnTarget(const target_life& life, const target_description& target, std::optional<target_time> clock,
                          instant now) {
  const bool other_life = life != life_;
  const bool was_unknown = phase_ == phase::kUnknown;
  if (other_life && life.id == life_.id) {
    BeginNextLife(life, now);
  } else if (other_life) {
    ReplaceTarget("another life announced itself", now);
    life_ = life;
  }
  described_ = true;
  const bool changed = other_life || was_unknown || target.draining != target_.draining ||
                       !(target.capacity == target_.capacity) || target.labels != target_.labels ||
                       target.service != target_.service;
  target_ = target;
  SampleClock(clock, now);
  if (other_life || was_unknown) {
    BeginSurvey();
    Note("target_known", "", "target " + life.id + ", service " + target.service);
  } else if (changed) {
    Note("target_changed", "", "target " + life.id + (target.draining ? ", draining" : ""));
  }
  if (changed) {
    for (std::pair<const std::string, owner>& to : owners_) {
      to.second.target_changed = true;
    }
  }
}

void run_keeper::OnTargetLeft(const std::string& id, instant now) {
  if (id == life_.id) {
    LoseTarget("the target has left", now, now);
  }
}

void run_keeper::ReplaceTarget(const std::string& why, instant now) {
  if (life_.id.empty()) {
    return;
  }
  Note("target_lost", "", "target " + life_.id + ", " + why + ", runs " + std::to_string(runs_.size()));
  phase_ = phase::kUnknown;
  EndAll(run_outcome::kLost, now);
  life_ = {};
  clock_.reset();
  start_calls_.clear();
  SuspendAdmission(now);
}

void run_keeper::LoseTarget(const std::string& why, instant refused_at, instant now) {
  if (phase_ == phase::kUnknown) {
    return;
  }
  Note("target_lost", "", "target " + life_.id + ", " + why + ", runs " + std::to_string(runs_.size()));
  phase_ = phase::kUnknown;
  SuspendAdmission(now);
  for (run_map::iterator run = runs_.begin(); run != runs_.end();) {
    const run_map::iterator ending = run++;
    const instant settled = std::max(ending->second.started, ending->second.unanswered);
    if (settled <= refused_at && !StartUnderWay(ending->first)) {
      EndRun(ending, run_outcome::kLost, now);
    }
  }
  MarkCrossing();
}

void run_keeper::BeginNextLife(const target_life& life, instant now) {
  Note("target_restarted", "", "target " + life.id + ", runs " + std::to_string(runs_.size()));
  life_ = life;
  clock_.reset();
  described_ = false;
  SuspendAdmission(now);
  for (std::pair<const run_key, kept_run>& run : runs_) {
    // The new life knows nothing of a stop that the earlier one has accepted.
    run.second.stop_agreed.reset();
  }
  MarkCrossing();
  BeginSurvey();
}

void run_keeper::MarkCrossing() {
  for (std::pair<const run_key, kept_run>& run : runs_) {
    run.second.crosses_lives = true;
  }
}

void run_keeper::SuspendAdmission(instant now) {
  unanswered_since_.reset();
  holds_.clear();
  stop_calls_.clear();
  for (const run_key& key : std::exchange(waiting_, {})) {
    const run_map::iterator run = runs_.find(key);
    if (run != runs_.end() && run->second.state == run_state::kWaiting) {
      EndRun(run, run_outcome::kUnavailable, now);
    }
  }
  for (std::pair<const std::string, owner>& to : owners_) {
    to.second.target_changed = true;
  }
}

void run_keeper::BeginSurvey() {
  phase_ = phase::kSurveying;
  survey_due_ = instant{};
  last_listed_ = 0;
  acknowledged_ = 0;
}

}  // namespace bamboowing
