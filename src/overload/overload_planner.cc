#include "bamboowing/overload/overload_planner.h"

#include <algorithm>
#include <map>
#include <queue>
#include <set>
#include <tuple>

namespace bamboowing {
namespace {

double Micros(duration time) { return static_cast<double>(time.count()); }

/// Order in which jobs are deferred: the lowest priority first, among those jobs without a started task, and then the
/// most work.
struct candidate {
  std::uint32_t priority = 0;
  bool refusable = true;
  double work_us = 0;
  std::size_t index = 0;

  bool operator<(const candidate& other) const {
    return std::tie(priority, refusable, work_us, index) <
           std::tie(other.priority, other.refusable, other.work_us, other.index);
  }
};

/// The jobs that are in time, and the work that they add up to.
class plan_builder {
 public:
  plan_builder(span<const waiting_job> jobs, const service_capacity& capacity, instant now)
      : jobs_(jobs), capacity_(capacity), now_(now), plan_(jobs.size()) {}

  void Add(std::size_t index, bool reserved) {
    const waiting_job& job = jobs_[index];
    const bool late = job.latest_start < now_;
    if (reserved) {
      // Its work is not added up: it is served by the reserved part of the rate.
      plan_[index].service = late ? job_service::kUrgent : job_service::kInTime;
      return;
    }
    // Deferring others is of no use to a job that misses its latest start by itself.
    if (late || WaitUs(job.work_us - job.last_task_us) > SlackUs(job)) {
      Defer(index, planned_job::kNone);
      return;
    }
    kept_us_ += job.work_us;
    candidates_.push({job.priority, !job.started, job.work_us, index});
    while (plan_[index].service == job_service::kInTime && WaitUs(kept_us_ - job.last_task_us) > SlackUs(job)) {
      const std::size_t dropped = candidates_.top().index;
      candidates_.pop();
      kept_us_ -= jobs_[dropped].work_us;
      Defer(dropped, dropped == index ? planned_job::kNone : index);
    }
    plan_[index].wait_us = WaitUs(kept_us_ - job.last_task_us);
  }

  std::vector<planned_job> Finish() {
    std::sort(deferred_.begin(), deferred_.end(), [this](std::size_t one, std::size_t other) {
      const auto key = [this](std::size_t index) {
        const waiting_job& job = jobs_[index];
        return std::make_tuple(job.priority, job.latest_start, index);
      };
      return key(one) < key(other);
    });
    // A deferred job is served after those of its own and of higher priorities that are in time. The kept jobs are
    // added up in the same order.
    std::map<std::uint32_t, double> kept_us;
    for (; !candidates_.empty(); candidates_.pop()) {
      kept_us[candidates_.top().priority] += candidates_.top().work_us;
    }
    std::map<std::uint32_t, double>::const_iterator next = kept_us.begin();
    double ahead_us = 0;
    for (const std::size_t index : deferred_) {
      const waiting_job& job = jobs_[index];
      for (; next != kept_us.end() && next->first <= job.priority; ++next) {
        ahead_us += next->second;
      }
      planned_job& planned = plan_[index];
      planned.wait_us = WaitUs(ahead_us);
      if (!job.started && planned.wait_us > Micros(job.start_by - now_)) {
        planned.service = job_service::kInfeasible;
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

  // Avoids a division by 0 for an entry without targets.
  static constexpr double kMinRate = 1e-3;

  span<const waiting_job> jobs_;
  service_capacity capacity_;
  instant now_;
  std::vector<planned_job> plan_;
  std::priority_queue<candidate> candidates_;  ///< the jobs that `kept_us_` adds up
  std::vector<std::size_t> deferred_;
  double kept_us_ = 0;  ///< work of the jobs that are in time, without those of reserved shares
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

bool started_shares::HasAbove(std::uint32_t priority, instant now) const {
  return std::any_of(
      by_priority_.begin(), by_priority_.lower_bound(priority),
      [this, now](const std::pair<const std::uint32_t, slices>& item) { return Sum(item.second, now) > 0; });
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
  std::set<std::uint32_t> reserving;
  for (std::size_t index = 0; index < jobs.size(); ++index) {
    if (reserved[index]) {
      reserving.insert(jobs[index].priority);
    }
  }
  service_capacity shared = capacity;
  shared.rate *= std::max(0.0, 1 - settings_.reserved_share * static_cast<double>(reserving.size()));
  plan_builder builder(jobs, shared, now);
  for (std::size_t index = 0; index < jobs.size(); ++index) {
    builder.Add(index, reserved[index]);
  }
  return builder.Finish();
}

}  // namespace bamboowing
