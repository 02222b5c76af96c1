#include "fake_target.h"

#include <algorithm>

namespace bamboowing::bench {
namespace {

// A target that fails every task answers after this time.
constexpr duration kFailureTime{1000};
// A job that fails anywhere fails after this part of its work.
constexpr double kFailingPart = 0.1;

bool Same(task_ref a, task_ref b) { return a.job == b.job && a.task == b.task && a.attempt == b.attempt; }

}  // namespace

bool fake_target::Start(const placed_task& task, instant now, std::vector<scheduled_end>& ends) {
  for (std::uint32_t i = 0; i < kSlots; ++i) {
    if (!slots_[i].running) {
      Run(i, task, now, ends);
      return true;
    }
  }
  if (queues_) {
    queue_.push_back(task);
  }
  return queues_;
}

std::optional<finished_task> fake_target::End(const scheduled_end& end, instant now, std::vector<scheduled_end>& ends) {
  if (lost_ || slots_[end.slot].version != end.version) {
    return std::nullopt;
  }
  return Vacate(end.slot, now, ends);
}

std::optional<finished_task> fake_target::Cancel(task_ref task, instant now, std::vector<scheduled_end>& ends) {
  for (std::uint32_t i = 0; i < kSlots; ++i) {
    if (slots_[i].running && Same(slots_[i].running->task, task)) {
      finished_task stopped = Vacate(i, now, ends);
      stopped.status = task_status::kCancelled;
      return stopped;
    }
  }
  const auto queued =
      std::find_if(queue_.begin(), queue_.end(), [task](const placed_task& other) { return Same(other.task, task); });
  if (queued == queue_.end()) {
    return std::nullopt;
  }
  queue_.erase(queued);
  return finished_task{task, task_status::kCancelled, duration(0)};
}

void fake_target::SlowDown(double factor, instant now, std::vector<scheduled_end>& ends) {
  speed_ /= factor;
  for (std::uint32_t i = 0; i < kSlots; ++i) {
    slot_state& slot = slots_[i];
    if (slot.running) {
      const double left_us = static_cast<double>((slot.ends - now).count()) * factor;
      slot.ends = now + duration(static_cast<std::int64_t>(left_us));
      ends.push_back({slot.ends, number_, i, ++slot.version});
    }
  }
}

void fake_target::Lose() {
  lost_ = true;
  queue_.clear();
}

void fake_target::Run(std::uint32_t slot, const placed_task& task, instant now, std::vector<scheduled_end>& ends) {
  double run_us = static_cast<double>(task.work.count()) / speed_;
  if (task.fails) {
    run_us *= kFailingPart;
  }
  slot_state& state = slots_[slot];
  state.running = task;
  state.running->fails = task.fails || fails_all_;
  state.started = now;
  state.ends = now + (fails_all_ ? kFailureTime : duration(static_cast<std::int64_t>(run_us)));
  ends.push_back({state.ends, number_, slot, ++state.version});
}

finished_task fake_target::Vacate(std::uint32_t slot, instant now, std::vector<scheduled_end>& ends) {
  slot_state& state = slots_[slot];
  const finished_task result{state.running->task, state.running->fails ? task_status::kFailed : task_status::kSucceeded,
                             now - state.started};
  state.running.reset();
  ++state.version;
  if (!queue_.empty()) {
    const placed_task next = queue_.front();
    queue_.pop_front();
    Run(slot, next, now, ends);
  }
  return result;
}

}  // namespace bamboowing::bench
