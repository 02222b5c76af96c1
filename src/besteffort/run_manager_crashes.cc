// Crashes of run_manager's target, and runs that share it with no other run.

#include <algorithm>
#include <utility>

#include "bamboowing/besteffort/run_manager.h"

namespace bamboowing {

void run_manager::RecordCrash(instant now) {
  if (target_.draining) {
    return;  // its end was announced
  }
  crash_record crash{settings_.agent.id, target_incarnation_.id, target_incarnation_.start_id, duration(0), {}};
  for (std::pair<const run_key, managed_run>& item : runs_) {
    managed_run& run = item.second;
    // A run that was at the previous incarnation is not at the next one unless that lists it.
    const bool counted = std::exchange(run.crash_counted, true);
    if (counted || run.state == run_state::kWaiting || run.target_generation != target_generation_) {
      continue;
    }
    crash_evidence evidence = crash_evidence::kMayHaveRun;
    if (run.accepted_at != instant{}) {
      evidence = run.start.exclusive ? crash_evidence::kRanAlone : crash_evidence::kRan;
    }
    crash.tasks.push_back({{item.first.job_id, item.first.step, item.first.index}, run.start.queue, evidence});
  }
  if (!crashes_.Add(crash, now).empty()) {
    LogEvent("target_crashed", "",
             "target " + crash.target + " started at " + std::to_string(crash.start_id) + ", tasks " +
                 std::to_string(crash.tasks.size()));
  }
}

bool run_manager::HasExclusiveRun() const {
  return std::any_of(runs_.begin(), runs_.end(),
                     [](const std::pair<const run_key, managed_run>& item) { return item.second.start.exclusive; });
}

bool run_manager::HasRunsAtTarget() const {
  return std::any_of(runs_.begin(), runs_.end(), [](const std::pair<const run_key, managed_run>& item) {
    return item.second.state != run_state::kWaiting;
  });
}

bool run_manager::FitsBesideOthers(const managed_run& run) const {
  // No other run starts while an exclusive one waits, so that the target becomes free for it.
  const bool alone = run.start.exclusive ? !HasRunsAtTarget() : !HasExclusiveRun();
  return alone && FitsWithin(run.start.need, committed_at_target_, target_.capacity);
}

resource_amount run_manager::ReportedAmount() const {
  if (HasExclusiveRun()) {
    return target_.capacity;
  }
  resource_amount committed = committed_at_target_;
  AddTo(committed, waiting_amount_);
  return committed;
}

}  // namespace bamboowing
