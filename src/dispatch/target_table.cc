#include "bamboowing/dispatch/target_table.h"

#include <algorithm>
#include <cmath>

namespace bamboowing {
namespace {

// Number of observations after which older ones decay. Work without a declaration differs from its estimate by a factor
// of three or more, so a mean of fewer observations would make the order of targets unstable.
constexpr double kDecayCount = 1000;
// The recent mean covers about eight tasks. When it differs from the long-term mean by this logarithm (a factor of
// five, six standard deviations of the recent mean at a spread of e), the speed has changed and the old observations
// are dropped. A target that became ten times slower is detected after about ten tasks.
constexpr double kRecentTasks = 8;
constexpr double kRecentWeight = 1 / kRecentTasks;
constexpr double kChangeThreshold = 1.6;
constexpr int kMinObservationsBetweenResets = 8;

// Speeds are sorted into classes 8 % apart. The range spans a factor of about 2,000.
constexpr double kClassWidth = 0.08;
constexpr double kMaxLogSpeed = kClassWidth * target_table::kSpeedClasses / 2;
// Hysteresis: a target leaves its class only when it is this many widths from the middle of the class, so that it does
// not alternate between two classes.
constexpr double kClassHysteresis = 0.8;

int SpeedClass(double log_speed, int current) {
  const double position = (std::clamp(log_speed, -kMaxLogSpeed, kMaxLogSpeed) + kMaxLogSpeed) / kClassWidth;
  if (std::abs(position - (current + 0.5)) < kClassHysteresis) {
    return current;
  }
  return std::clamp(static_cast<int>(position), 0, target_table::kSpeedClasses - 1);
}

}  // namespace

void speed_estimate::Observe(double log_ratio) {
  const double bounded = std::clamp(log_ratio, -kMaxLogSpeed, kMaxLogSpeed);
  weight_ = std::min(weight_ + 1, kDecayCount);
  mean_ += (bounded - mean_) / weight_;
  recent_mean_ += (bounded - recent_mean_) * kRecentWeight;
  ++since_reset_;
  if (std::abs(recent_mean_ - mean_) > kChangeThreshold && since_reset_ >= kMinObservationsBetweenResets) {
    mean_ = recent_mean_;
    weight_ = kRecentTasks;
    since_reset_ = 0;
  }
}

target_index target_table::Find(std::string_view name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? kNoTarget : found->second;
}

target_index target_table::Add(std::string_view name, std::uint32_t slots) {
  target_index index = 0;
  if (free_indices_.empty()) {
    index = static_cast<target_index>(targets_.size());
    targets_.emplace_back();
  } else {
    index = free_indices_.back();
    free_indices_.pop_back();
    targets_[index] = target_state();
  }
  target_state& target = targets_[index];
  target.name = std::string(name);
  target.slots = slots;
  target.allowed_slots = slots;
  target.speed = speed_estimate(std::log(mean_speed()));
  by_name_.emplace(target.name, index);
  Update(index);
  return index;
}

void target_table::Remove(target_index index) {
  target_state& target = targets_[index];
  SetFree(index, false);
  UpdateTotals(target, false);
  by_name_.erase(target.name);
  target.in_flight.clear();
  free_indices_.push_back(index);
}

void target_table::Update(target_index index) {
  target_state& target = targets_[index];
  target.linear_speed = std::exp(target.speed.log_speed());
  const int new_class = SpeedClass(target.speed.log_speed(), target.speed_class);
  if (new_class != target.speed_class) {
    SetFree(index, false);
  }
  UpdateTotals(target, false);
  target.speed_class = new_class;
  UpdateTotals(target, true);
  SetFree(index, target.in_flight.size() < UsableSlots(target));
}

std::uint32_t target_table::AddInFlight(target_index index, in_flight_task task) {
  target_state& target = targets_[index];
  target.in_flight.push_back(task);
  SetFree(index, target.in_flight.size() < UsableSlots(target));
  return static_cast<std::uint32_t>(target.in_flight.size() - 1);
}

std::optional<in_flight_task> target_table::RemoveInFlight(target_index index, std::uint32_t position) {
  std::vector<in_flight_task>& tasks = targets_[index].in_flight;
  std::optional<in_flight_task> moved;
  if (position + 1 < tasks.size()) {
    tasks[position] = tasks.back();
    moved = tasks[position];
  }
  tasks.pop_back();
  SetFree(index, tasks.size() < UsableSlots(targets_[index]));
  return moved;
}

target_index target_table::PickFree(int speed_class) {
  const std::vector<target_index>& free = free_by_class_[speed_class];
  return free.empty() ? kNoTarget : free[random_.Below(free.size())];
}

std::uint32_t target_table::UsableSlots(const target_state& target) {
  return target.draining ? 0 : std::min(target.slots, target.allowed_slots);
}

void target_table::UpdateTotals(target_state& target, bool add) {
  const double slots = add ? UsableSlots(target) : 0;
  const double capacity = slots * target.linear_speed;
  class_slots_[target.speed_class] += slots - target.counted_slots;
  class_capacity_[target.speed_class] += capacity - target.counted_capacity;
  total_slots_ += slots - target.counted_slots;
  total_capacity_ += capacity - target.counted_capacity;
  target.counted_slots = slots;
  target.counted_capacity = capacity;
}

void target_table::SetFree(target_index index, bool free) {
  target_state& target = targets_[index];
  std::vector<target_index>& list = free_by_class_[target.speed_class];
  if (free && target.free_position < 0) {
    target.free_position = static_cast<std::int32_t>(list.size());
    list.push_back(index);
  } else if (!free && target.free_position >= 0) {
    const target_index last = list.back();
    list[target.free_position] = last;
    targets_[last].free_position = target.free_position;
    list.pop_back();
    target.free_position = -1;
  }
}

}  // namespace bamboowing
