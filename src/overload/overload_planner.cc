#include "bamboowing/overload/overload_planner.h"

#include <algorithm>
#include <queue>
#include <set>
#include <tuple>

namespace bamboowing {
namespace {

double Micros(duration time) { return static_cast<double>(time.count()); }

/// Order in which jobs are deferred: the lowest priority first, and among those the most work.
struct candidate {
  std::uint32_t priority = 0;
  double work_us = 0;
  std::size_t index = 0;

  bool operator<(const candidate& other) const {
    return std::tie(priority, work_us, index) < std::tie(other.priority, other.work_us, other.index);
  }
};

/// The jobs that are in time, and the work that they add up to.
class plan_builder {
 public:
  plan_builder(span<const waiting_job> jobs, const service_capacity& capacity, instant now)
      : jobs_(jobs), capacity_(capacity), now_(now), plan_(jobs.size()) {}

  void Add(std::size_t index, bool reserved) {
    const waiting_job& job = jobs_[index];
    if (job.latest_start < now_) {
      if (!reserved) {
        Defer(index, planned_job::kNone);
        return;
      }
      plan_[index].service = job_service::kUrgent;
    }
    kept_us_ += job.work_us;
    if (reserved || job.started) {
      fixed_us_ += job.work_us;
    } else {
      candidates_.push({job.priority, job.work_us, index});
    }
    // Deferring others is of no use to a job that misses its latest start beside those that cannot be deferred.
    const double smallest_us = fixed_us_ + (reserved || job.started ? 0 : job.work_us);
    if (!reserved && !job.started && WaitUs(smallest_us - job.last_task_us) > SlackUs(job)) {
      DeferCandidate(index, planned_job::kNone);
    }
    while (plan_[index].service == job_service::kInTime && !candidates_.empty() &&
           WaitUs(kept_us_ - job.last_task_us) > SlackUs(job)) {
      const std::size_t dropped = candidates_.top().index;
      candidates_.pop();
      if (plan_[dropped].service == job_service::kInTime) {
        DeferCandidate(dropped, dropped == index ? planned_job::kNone : index);
      }
    }
    plan_[index].wait_us = WaitUs(kept_us_ - job.last_task_us);
  }

  std::vector<planned_job> Finish() {
    // Started jobs come first: refusing them is impossible, and their completed tasks would be wasted.
    std::sort(deferred_.begin(), deferred_.end(), [this](std::size_t one, std::size_t other) {
      const auto key = [this](std::size_t index) {
        const waiting_job& job = jobs_[index];
        return std::make_tuple(!job.started, job.priority, job.latest_start, index);
      };
      return key(one) < key(other);
    });
    double ahead_us = kept_us_;
    for (const std::size_t index : deferred_) {
      const waiting_job& job = jobs_[index];
      planned_job& planned = plan_[index];
      planned.wait_us = WaitUs(ahead_us);
      if (!job.started && planned.wait_us > Micros(job.start_by - now_)) {
        planned.service = job_service::kHopeless;
      } else {
        ahead_us += job.work_us;
      }
    }
    return std::move(plan_);
  }

 private:
  double WaitUs(double work_us) const {
    return std::max(0.0, work_us - capacity_.free_work_us) / std::max(capacity_.rate, kMinRate);
  }
  double SlackUs(const waiting_job& job) const { return Micros(job.latest_start - now_); }

  void Defer(std::size_t index, std::size_t favoured) {
    plan_[index].service = job_service::kDeferred;
    plan_[index].favoured = favoured;
    deferred_.push_back(index);
  }

  void DeferCandidate(std::size_t index, std::size_t favoured) {
    kept_us_ -= jobs_[index].work_us;
    Defer(index, favoured);
  }

  // Avoids a division by 0 for an entry without targets.
  static constexpr double kMinRate = 1e-3;

  span<const waiting_job> jobs_;
  service_capacity capacity_;
  instant now_;
  std::vector<planned_job> plan_;
  std::priority_queue<candidate> candidates_;  ///< may contain jobs that were deferred because of themselves
  std::vector<std::size_t> deferred_;
  double kept_us_ = 0;   ///< work of the jobs that are in time or urgent
  double fixed_us_ = 0;  ///< part of it that cannot be deferred
};

}  // namespace

std::int64_t started_shares::SliceNumber(instant at) const {
  const std::int64_t length = std::max<std::int64_t>(1, window_.count() / static_cast<std::int64_t>(kSlices));
  return at.time_since_epoch().count() / length;
}

void started_shares::Add(std::uint32_t priority, double work_us, instant now) {
  const std::int64_t number = SliceNumber(now);
  slice& current = by_priority_[priority].at(static_cast<std::size_t>(number) % kSlices);
  if (current.number != number) {
    current = {number, 0};
  }
  current.work_us += work_us;
}

double started_shares::Sum(const slices& of, instant now) const {
  const std::int64_t oldest = SliceNumber(now) - static_cast<std::int64_t>(kSlices);
  double sum = 0;
  for (const slice& part : of) {
    sum += part.number > oldest ? part.work_us : 0;
  }
  return sum;
}

double started_shares::Of(std::uint32_t priority, instant now) const {
  const std::map<std::uint32_t, slices>::const_iterator found = by_priority_.find(priority);
  return found == by_priority_.end() ? 0 : Sum(found->second, now);
}

double started_shares::Total(instant now) const {
  double total = 0;
  for (const std::pair<const std::uint32_t, slices>& item : by_priority_) {
    total += Sum(item.second, now);
  }
  return total;
}

std::vector<bool> overload_planner::MarkReserved(span<const waiting_job> jobs, instant now) const {
  std::vector<bool> reserved(jobs.size(), false);
  const double share_us = settings_.reserved_share * shares_.Total(now);
  std::map<std::uint32_t, double> left_us;
  for (std::size_t index = 0; index < jobs.size(); ++index) {
    const waiting_job& job = jobs[index];
    const std::map<std::uint32_t, double>::iterator known = left_us.find(job.priority);
    double& left = known != left_us.end()
                       ? known->second
                       : left_us.emplace(job.priority, share_us - shares_.Of(job.priority, now)).first->second;
    // A job whose work exceeds what is left is still started; the excess counts against the following jobs.
    if (left > 0) {
      reserved[index] = true;
      left -= job.work_us;
    }
  }
  return reserved;
}

std::vector<planned_job> overload_planner::Plan(span<const waiting_job> jobs, const service_capacity& capacity,
                                                instant now) const {
  const std::vector<bool> reserved = MarkReserved(jobs, now);
  plan_builder builder(jobs, capacity, now);
  for (std::size_t index = 0; index < jobs.size(); ++index) {
    builder.Add(index, reserved[index]);
  }
  return builder.Finish();
}

}  // namespace bamboowing
