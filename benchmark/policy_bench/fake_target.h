/// @file
/// Fake targets: slots, a speed, and a queue for the policies that push tasks to targets.
#pragma once

#include <array>
#include <deque>
#include <optional>
#include <vector>

#include "policy.h"

namespace bamboowing::bench {

/// A task at a target.
struct placed_task {
  task_ref task;
  duration work{0};
  bool fails = false;
};

/// End of a run that the caller must schedule. It is void if the slot's version has changed by then.
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

/// One fake target.
class fake_target {
 public:
  fake_target(std::uint32_t number, double speed, bool queues) : number_(number), speed_(speed), queues_(queues) {}

  /// Takes a start. Returns false if there is no slot and no queue.
  bool Start(const placed_task& task, instant now, std::vector<scheduled_completion>& completions);

  /// Ends the run in a slot if it is still the same run, and starts the next task of the queue.
  std::optional<finished_task> CompleteRun(const scheduled_completion& completion, instant now,
                                           std::vector<scheduled_completion>& completions);

  /// Stops or unqueues a task. Returns nullopt if it is not here.
  std::optional<finished_task> Cancel(task_ref task, instant now, std::vector<scheduled_completion>& completions);

  /// Divides the speed; runs in progress take that much longer from now on.
  void SlowDown(double factor, instant now, std::vector<scheduled_completion>& completions);

  /// From now on every task fails at once.
  void FailAllTasks() { fails_all_ = true; }

  /// From now on nothing runs and nothing is answered.
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
