/// @file
/// Simulated target: slots, a speed, and a queue for the policies that push tasks to targets.
#pragma once

#include <array>
#include <deque>
#include <optional>
#include <vector>

#include "policy.h"

namespace bamboowing::bench {

/// A task that was sent to a target.
struct placed_task {
  task_ref task;
  duration work{0};  ///< run time on a target of speed 1
  bool fails = false;
};

/// Completion of a run, to be scheduled by the caller. It is ignored if the slot's version has changed by then.
struct scheduled_completion {
  instant at;
  std::uint32_t target = 0;
  std::uint32_t slot = 0;
  std::uint32_t version = 0;
};

/// A finished run.
struct finished_task {
  task_ref task;
  task_status status = task_status::kSucceeded;
  duration run_time{0};
};

/// Simulates one target.
class fake_target {
 public:
  fake_target(std::uint32_t number, double speed, bool queues) : number_(number), speed_(speed), queues_(queues) {}

  /// Starts or queues a task. Returns false if no slot is free and the target has no queue.
  bool Start(const placed_task& task, instant now, std::vector<scheduled_completion>& completions);

  /// Completes the run in a slot and starts the next queued task. Returns nullopt if the completion is outdated.
  std::optional<finished_task> CompleteRun(const scheduled_completion& completion, instant now,
                                           std::vector<scheduled_completion>& completions);

  /// Stops a running task or removes a queued one. Returns nullopt if the target has neither.
  std::optional<finished_task> Cancel(task_ref task, instant now, std::vector<scheduled_completion>& completions);

  /// Divides the speed by @p factor; the remaining time of runs in progress is multiplied by it.
  void SlowDown(double factor, instant now, std::vector<scheduled_completion>& completions);

  /// Lets every task that starts from now on fail at once.
  void FailAllTasks() { fails_all_ = true; }

  /// Drops the queue; from now on no run completes and no message is answered.
  void Lose();
  bool lost() const { return lost_; }

 private:
  struct slot_state {
    std::optional<placed_task> running;
    instant started_at;
    instant ends_at;
    std::uint32_t version = 0;
  };

  void Run(std::uint32_t slot, const placed_task& task, instant now, std::vector<scheduled_completion>& completions);
  finished_task ReleaseSlot(std::uint32_t slot, instant now, std::vector<scheduled_completion>& completions);

  std::uint32_t number_;
  double speed_;
  bool queues_;
  bool fails_all_ = false;
  bool lost_ = false;
  std::array<slot_state, kSlots> slots_;
  std::deque<placed_task> queue_;
};

}  // namespace bamboowing::bench
