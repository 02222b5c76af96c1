#include "fake_target.h"

#include <algorithm>

namespace bamboowing::bench {
namespace {

// Time to the answer of a target that fails every task.
constexpr duration kFailureTime{1000};
// A task of a job that fails on every target fails after this fraction of its work.
constexpr double kFailingFraction = 0.1;

bool IsSameAttempt(task_ref a, task_ref b) { return a.job == b.job && a.task == b.task && a.attempt == b.attempt; }

}  // namespace

bool fake_target::Start(const placed_task& task, instant now, std::vector<scheduled_completion>& completions) {
  for (std::uint32_t i = 0; i < kSlots; ++i) {
    if (!slots_[i].running) {
      Run(i, task, now, completions);
      return true;
    }
  }
  if (queues_) {
    queue_.push_back(task);
  }
  return queues_;
}

std::optional<finished_task> fake_target::CompleteRun(const scheduled_completion& completion, instant now,
                                                      std::vector<scheduled_completion>& completions) {
  if (lost_ || slots_[completion.slot].version != completion.version) {
    return std::nullopt;
  }
  return ReleaseSlot(completion.slot, now, completions);
}

std::optional<finished_task> fake_target::Cancel(task_ref task, instant now,
                                                 std::vector<scheduled_completion>& completions) {
  for (std::uint32_t i = 0; i < kSlots; ++i) {
    if (slots_[i].running && IsSameAttempt(slots_[i].running->task, task)) {
      finished_task stopped = ReleaseSlot(i, now, completions);
      stopped.status = task_status::kCancelled;
      return stopped;
    }
  }
  const auto queued = std::find_if(queue_.begin(), queue_.end(),
                                   [task](const placed_task& other) { return IsSameAttempt(other.task, task); });
  if (queued == queue_.end()) {
    return std::nullopt;
  }
  queue_.erase(queued);
  return finished_task{task, task_status::kCancelled, duration(0)};
}

void fake_target::SlowDown(double factor, instant now, std::vector<scheduled_completion>& completions) {
  speed_ /= factor;
  for (std::uint32_t i = 0; i < kSlots; ++i) {
    slot_state& slot = slots_[i];
    if (slot.running) {
      const double left_us = static_cast<double>((slot.ends_at - now).count()) * factor;
      slot.ends_at = now + duration(static_cast<std::int64_t>(left_us));
      completions.push_back({slot.ends_at, number_, i, ++slot.version});
    }
  }
}

void fake_target::Lose() {
  lost_ = true;
  queue_.clear();
}

void fake_target::Run(std::uint32_t slot, const placed_task& task, instant now,
                      std::vector<scheduled_completion>& completions) {
  double run_us = static_cast<double>(task.work.count()) / speed_;
  if (task.fails) {
    run_us *= kFailingFraction;
  }
  slot_state& state = slots_[slot];
  state.running = task;
  state.running->fails = task.fails || fails_all_;
  state.started_at = now;
  state.ends_at = now + (fails_all_ ? kFailureTime : duration(static_cast<std::int64_t>(run_us)));
  completions.push_back({state.ends_at, number_, slot, ++state.version});
}

finished_task fake_target::ReleaseSlot(std::uint32_t slot, instant now,
                                       std::vector<scheduled_completion>& completions) {
  slot_state& state = slots_[slot];
  const finished_task result{state.running->task, state.running->fails ? task_status::kFailed : task_status::kSucceeded,
                             now - state.started_at};
  state.running.reset();
  ++state.version;
  if (!queue_.empty()) {
    const placed_task next = queue_.front();
    queue_.pop_front();
    Run(slot, next, now, completions);
  }
  return result;
}

}  // namespace bamboowing::bench
