/// @file
/// The targets of a shard: slots, tasks in flight, learned speed, and the free ones in the order of speed.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/random.h"
#include "bamboowing/base/types.h"

namespace bamboowing {

/// Index of a target in its table. Indices of removed targets are used again.
using target_index = std::uint32_t;
inline constexpr target_index kNoTarget = 0xFFFFFFFF;

/// Learned speed of a target, as a logarithm. The unit is arbitrary; only ratios between targets matter.
class speed_estimate {
 public:
  explicit speed_estimate(double log_speed = 0) : mean_(log_speed), recent_(log_speed) {}

  /// Records the logarithm of expected work over run time of one task.
  void Observe(double log_ratio);

  /// Logarithm of the speed.
  double log_speed() const { return mean_; }

 private:
  double mean_;
  double recent_;
  double weight_ = 3;  // observations that the first value is worth
  int since_reset_ = 0;
};

/// A task in flight at a target: the job's index in the queue and the task's index in the job.
struct in_flight_task {
  std::uint32_t job = 0;
  std::uint32_t task = 0;
};

/// One target.
struct target_state {
  std::string name;
  std::uint32_t slots = 0;
  std::uint32_t allowed = 0;  ///< bound that health sets below `slots`; 0 while ejected
  bool draining = false;
  std::vector<in_flight_task> in_flight;
  speed_estimate speed;
  double linear_speed = 1;  ///< exponential of the logarithm in `speed`
  int speed_class = 0;
  std::int32_t free_position = -1;  ///< position in its class's list of free targets
  double counted_slots = 0;         ///< its part of the table's sums
  double counted_capacity = 0;      ///< its part of the table's sums
};

/// The targets of a shard. Costs do not grow with the number of targets.
class target_table {
 public:
  static constexpr int kSpeedClasses = 96;

  explicit target_table(std::uint64_t seed) : random_(seed) {}

  std::uint32_t size() const { return static_cast<std::uint32_t>(by_name_.size()); }
  target_index Find(std::string_view name) const;
  target_state& at(target_index index) { return targets_[index]; }
  const target_state& at(target_index index) const { return targets_[index]; }

  /// Adds a target of mean speed that may not be known yet.
  target_index Add(std::string_view name, std::uint32_t slots);

  /// Removes a target. The tasks in flight there are the caller's concern.
  void Remove(target_index index);

  /// Must be called after a change of slots, allowed, draining or speed.
  void Update(target_index index);

  /// Adds a task in flight and returns its position in `in_flight`.
  std::uint32_t AddInFlight(target_index index, in_flight_task task);

  /// Removes the task at @p position. Returns the task that now stands at this position, if one was moved there.
  std::optional<in_flight_task> RemoveInFlight(target_index index, std::uint32_t position);

  /// A target of @p speed_class with a free slot, chosen at random among equals; kNoTarget if there is none.
  target_index PickFree(int speed_class);
  bool HasFree(int speed_class) const { return !free_[speed_class].empty(); }

  /// Slots times relative speed of all usable targets of @p speed_class, busy or not.
  double ClassCapacity(int speed_class) const { return class_capacity_[speed_class] / mean_speed(); }

  /// Usable slots of @p speed_class, busy or not.
  double ClassSlots(int speed_class) const { return class_slots_[speed_class]; }

  /// Work done per unit of time by all usable targets. Work is measured on a target of mean speed, so this is the
  /// number of their slots.
  double TotalCapacity() const { return total_slots_; }

  /// Speed relative to the mean of all slots.
  double RelativeSpeed(target_index index) const { return targets_[index].linear_speed / mean_speed(); }

 private:
  double mean_speed() const { return total_slots_ >= 1 ? total_capacity_ / total_slots_ : 1; }
  static std::uint32_t UsableSlots(const target_state& target);
  void UpdateTotals(target_state& target, bool add);
  void SetFree(target_index index, bool free);

  seeded_random random_;
  std::map<std::string, target_index, std::less<>> by_name_;
  std::vector<target_state> targets_;
  std::vector<target_index> free_indices_;
  std::array<std::vector<target_index>, kSpeedClasses> free_;
  std::array<double, kSpeedClasses> class_capacity_{};
  std::array<double, kSpeedClasses> class_slots_{};
  double total_capacity_ = 0;
  double total_slots_ = 0;
};

}  // namespace bamboowing
