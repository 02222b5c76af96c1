// The part of the dispatcher that fills free slots.
#include <algorithm>
#include <cmath>

#include "bamboowing/dispatch/dispatcher.h"

namespace bamboowing {
namespace {

// Number of free targets without a suitable task after which slower targets are skipped. More than one, because a
// retried request avoids the target on which it failed.
constexpr int kMaxMisses = 2;

// Unless a job arrives, a task that should wait for a faster target usually still should at the next event. Free slow
// targets are therefore reconsidered only after this time, which saves most starts the comparison with many jobs.
constexpr duration kBlockedDuration{3'000};

}  // namespace

void dispatcher::FillTargets(instant now, std::vector<assignment>& out) {
  const bool hold = !HoldLimitReached(now);
  const int slowest_class = hold && now < blocked_until_ ? blocked_class_ + 1 : 0;
  blocked_class_ = hold && now < blocked_until_ ? blocked_class_ : -1;
  free_slot slot;
  int misses = 0;
  for (int speed_class = target_table::kSpeedClasses - 1; speed_class >= slowest_class; --speed_class) {
    while (queue_.waiting() > 0 && misses < kMaxMisses && targets_.HasFree(speed_class)) {
      slot.target = targets_.PickFree(speed_class);
      slot.speed = targets_.RelativeSpeed(slot.target);
      if (!FillTarget(slot, now, out)) {
        ++misses;
        blocked_class_ = std::max(blocked_class_, speed_class);
        blocked_until_ = now + kBlockedDuration;
        break;
      }
    }
    if (queue_.waiting() == 0 || misses >= kMaxMisses) {
      break;
    }
    if (hold) {
      slot.faster_capacity += targets_.ClassCapacity(speed_class);
      slot.faster_slots += targets_.ClassSlots(speed_class);
    }
  }
  if (blocked_class_ < 0 || queue_.waiting() == 0) {
    held_since_.reset();
  } else if (!held_since_) {
    held_since_ = now;
  }
}

bool dispatcher::FillTarget(const free_slot& slot, instant now, std::vector<assignment>& out) {
  const std::optional<placement> chosen = placement_.Choose(queue_, slot, now);
  if (!chosen) {
    return false;
  }
  Start(*chosen, slot, now, out);
  return true;
}

void dispatcher::Start(const placement& chosen, const free_slot& slot, instant now, std::vector<assignment>& out) {
  queued_job& job = queue_.job(chosen.job);
  const double work_us = job.tasks[job.waiting[chosen.position]].work_us;
  const instant expected_end = now + duration(static_cast<std::int64_t>(work_us / slot.speed));
  const std::uint32_t task = queue_.MarkInFlight(chosen.job, chosen.position, slot.target, expected_end);
  job.tasks[task].in_flight_position = targets_.AddInFlight(slot.target, {chosen.job, task});
  const double capacity = targets_.TotalCapacity();
  queue_.Reorder(chosen.job, capacity);
  queue_.ChargeShare(job.team, work_us, capacity, now);
  out.push_back({KeyOf(chosen.job, task), targets_.at(slot.target).name});
}

bool dispatcher::HoldLimitReached(instant now) const {
  return held_since_ && now - *held_since_ >= settings_.order.hold_limit;
}

}  // namespace bamboowing
