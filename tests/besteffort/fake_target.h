// Leased target in virtual time with the semantics of the platform's targets.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "bamboowing/besteffort/leased_target.h"

namespace bamboowing {

/// One run at a target, for checks over all targets.
struct run_record {
  std::string task;    ///< job id, step and index
  std::string target;  ///< target id
  run_key key;
  instant started_at;
  instant ended_at{duration::max()};
  target_outcome outcome = target_outcome::kInterrupted;
};

/// Payload of the tasks of a job that run for @p work_ms and have these needs, by step.
inline std::string FakePayload(int work_ms, const std::vector<resource_amount>& needs) {
  std::string payload = std::to_string(work_ms);
  for (const resource_amount& need : needs) {
    payload += " " + std::to_string(need.cpu_millicores) + " " + std::to_string(need.memory_mb) + " " +
               std::to_string(need.accelerators);
  }
  return payload;
}

class fake_target {
 public:
  fake_target(std::string id, resource_amount capacity, std::vector<run_record>& history)
      : id_(std::move(id)), capacity_(capacity), history_(history) {}

  /// Speed factor: a task runs for its payload in milliseconds divided by this.
  double speed = 1;
  double run_time_spread = 0;  ///< run times vary by up to this fraction, by task
  bool fails_all = false;
  bool hangs = false;
  bool guards_capacity = true;      ///< whether a start that exceeds the capacity is rejected
  bool lists_stopping_runs = true;  ///< whether a run that is being stopped is listed as running
  duration stop_time{0};  ///< time from an accepted stop to the end of the run, which is listed as running until then
  /// Called when the first task of a job whose payload contains "crash" has started.
  std::function<void(const run_key&)> on_deadly_start;

  const std::string& id() const { return id_; }
  std::uint64_t start_id() const { return start_id_; }
  target_time Clock(instant now) const { return std::chrono::duration_cast<target_time>(now - started_); }

  /// Capacity of the next incarnation, if it differs.
  std::optional<resource_amount> next_capacity;

  const resource_amount& capacity() const { return capacity_; }
  /// Capacity of the runs that are active, also of those that are being stopped.
  const resource_amount& used() const { return used_; }
  void SetCapacity(const resource_amount& capacity, instant now) {
    earlier_capacities_.push_back({capacity_, now});
    capacity_ = capacity;
  }
  /// Starts that brought the target over each capacity that it has had in the last kCapacityGrace.
  const std::vector<std::string>& overcommitted_starts() const { return overcommitted_starts_; }
  /// Sequence number of the next announcement.
  std::uint64_t NextAnnouncement() { return ++announcements_; }

  /// Replaces the process by a new one without runs or state.
  void Restart(instant now) {
    Advance(now);
    for (std::pair<const std::string, active_run>& run : running_) {
      history_[run.second.record].ended_at = now;
    }
    running_.clear();
    finished_.clear();
    highest_attempts_.clear();
    last_sequence_ = 0;
    used_ = {};
    capacity_ = next_capacity.value_or(capacity_);
    next_capacity.reset();
    earlier_capacities_.clear();
    announcements_ = 0;
    token_ = 0;
    lease_end_ = target_time(0);
    ++start_id_;
    started_ = now;
  }

  /// Sets the id of the current incarnation.
  void Rename(const std::string& id) { id_ = id; }

  /// Ends the runs that finish or whose lease expires by @p now.
  void Advance(instant now) {
    const instant lease_at = started_ + lease_end_;
    std::vector<std::string> ended;
    for (const std::pair<const std::string, active_run>& run : running_) {
      if (std::min(run.second.ends_at, lease_at) <= now) {
        ended.push_back(run.first);
      }
    }
    for (const std::string& task : ended) {
      const active_run& run = running_.at(task);
      if (lease_at < run.ends_at) {
        EndRun(task, lease_at, target_outcome::kInterrupted);
      } else {
        EndRun(task, run.ends_at, run.outcome);
      }
    }
  }

  request_response Start(const start_request& request, instant now) {
    Advance(now);
    request_response answer;
    answer.clock = Clock(now);
    answer.status = request_status::kOtherIncarnation;
    if (request.context.target_id != id_) {
      return answer;
    }
    if (request.context.token < token_) {
      answer.status = request_status::kFenced;
      return answer;
    }
    token_ = request.context.token;
    const std::string task = TaskOf(request.key);
    const std::map<std::string, active_run>::const_iterator present = running_.find(task);
    if (present != running_.end() && present->second.key == request.key) {
      answer.status = request_status::kAccepted;
      return answer;
    }
    if (request.lease_end <= Clock(now)) {
      answer.status = request_status::kLeaseExpired;
      return answer;
    }
    ExtendLease(request.lease_end, now);
    if (present != running_.end() || highest_attempts_[task] >= request.key.attempt) {
      answer.status = request_status::kStaleAttempt;
      return answer;
    }
    active_run run;
    double work_ms = 0;
    std::istringstream payload(request.payload);
    payload >> work_ms;
    for (std::uint32_t step = 0; step <= request.key.step; ++step) {
      payload >> run.need.cpu_millicores >> run.need.memory_mb >> run.need.accelerators;
    }
    if (guards_capacity && !FitsWithin(run.need, used_, capacity_)) {
      answer.status = request_status::kNoRoom;
      return answer;
    }
    CheckCapacity(task, run.need, now);
    run.key = request.key;
    const double random = static_cast<double>(std::hash<std::string>()(task) % 1000) / 500 - 1;
    const double run_ms = work_ms * (1 + run_time_spread * random) / speed;
    run.ends_at = hangs ? instant::max() : now + duration(static_cast<std::int64_t>(run_ms * 1000));
    run.outcome = fails_all ? target_outcome::kFailed : target_outcome::kDone;
    run.record = history_.size();
    history_.push_back({task, id_, request.key, now});
    running_.emplace(task, run);
    AddTo(used_, run.need);
    answer.status = request_status::kAccepted;
    const bool deadly =
        request.key.step == 0 && request.key.index == 0 && request.payload.find("crash") != std::string::npos;
    if (deadly && on_deadly_start) {
      on_deadly_start(request.key);
    }
    return answer;
  }

  request_response Stop(const stop_request& request, instant now) {
    Advance(now);
    request_response answer;
    answer.clock = Clock(now);
    answer.status = request_status::kOtherIncarnation;
    if (request.context.target_id != id_) {
      return answer;
    }
    if (request.context.token < token_) {
      answer.status = request_status::kFenced;
      return answer;
    }
    token_ = request.context.token;
    const std::string task = TaskOf(request.key);
    highest_attempts_[task] = std::max(highest_attempts_[task], request.key.attempt);
    const std::map<std::string, active_run>::iterator present = running_.find(task);
    if (present != running_.end() && present->second.key == request.key && now + stop_time < present->second.ends_at) {
      present->second.ends_at = now + stop_time;
      present->second.outcome = target_outcome::kStopped;
      Advance(now);
    }
    answer.status = request_status::kAccepted;
    return answer;
  }

  poll_response Poll(const poll_request& request, instant now) {
    Advance(now);
    poll_response answer;
    answer.clock = Clock(now);
    answer.start_id = start_id_;
    answer.status = request_status::kOtherIncarnation;
    if (request.context.target_id != id_) {
      return answer;
    }
    if (request.context.token < token_) {
      answer.status = request_status::kFenced;
      return answer;
    }
    token_ = request.context.token;
    if (request.lease_end) {
      ExtendLease(*request.lease_end, now);
    }
    finished_.erase(
        std::remove_if(finished_.begin(), finished_.end(),
                       [&request](const finished_run& end) { return end.sequence <= request.acknowledged_sequence; }),
        finished_.end());
    answer.status = request_status::kAccepted;
    for (const std::pair<const std::string, active_run>& run : running_) {
      if (lists_stopping_runs || run.second.outcome != target_outcome::kStopped) {
        answer.running.push_back(run.second.key);
      }
    }
    answer.finished = finished_;
    return answer;
  }

  bool HasFinishedRuns() const { return !finished_.empty(); }
  std::size_t running() const { return running_.size(); }
  std::uint64_t token() const { return token_; }

 private:
  static constexpr target_time kMaxLease{1000};
  /// A smaller capacity binds this long after the change: the agent learns it from the next announcement, which is sent
  /// 1.5 s later at most, and has 3 s more.
  static constexpr duration kCapacityGrace = std::chrono::milliseconds(4500);

  struct active_run {
    run_key key;
    resource_amount need;
    instant ends_at;
    target_outcome outcome = target_outcome::kDone;  ///< if the lease does not expire before
    std::size_t record = 0;
  };

  static std::string TaskOf(const run_key& key) {
    return key.job_id + "." + std::to_string(key.step) + "." + std::to_string(key.index);
  }

  /// A longer lease than kMaxLease is shortened. A lease never ends earlier than before.
  void ExtendLease(target_time lease_end, instant now) {
    lease_end_ = std::max(lease_end_, std::min(lease_end, Clock(now) + kMaxLease));
  }

  /// Records a start that no capacity of the last kCapacityGrace allows.
  void CheckCapacity(const std::string& task, const resource_amount& need, instant now) {
    bool fits = FitsWithin(need, used_, capacity_);
    for (const std::pair<resource_amount, instant>& earlier : earlier_capacities_) {
      fits = fits || (now - earlier.second <= kCapacityGrace && FitsWithin(need, used_, earlier.first));
    }
    if (!fits) {
      overcommitted_starts_.push_back(
          id_ + ": " + task + " at " + std::to_string(now.time_since_epoch().count() / 1000) + ", cpu " +
          std::to_string(used_.cpu_millicores) + " + " + std::to_string(need.cpu_millicores) + " of " +
          std::to_string(capacity_.cpu_millicores));
    }
  }

  void EndRun(const std::string& task, instant at, target_outcome outcome) {
    const active_run run = running_.at(task);
    history_[run.record].ended_at = at;
    history_[run.record].outcome = outcome;
    highest_attempts_[task] = std::max(highest_attempts_[task], run.key.attempt);
    finished_.push_back({++last_sequence_, run.key, outcome});
    SubtractFrom(used_, run.need);
    running_.erase(task);
  }

  std::string id_;
  resource_amount capacity_;
  std::vector<run_record>& history_;
  std::uint64_t start_id_ = 1;
  instant started_;
  std::uint64_t token_ = 0;
  target_time lease_end_{0};
  std::map<std::string, active_run> running_;
  std::map<std::string, std::uint32_t> highest_attempts_;
  std::vector<finished_run> finished_;
  std::uint64_t last_sequence_ = 0;
  resource_amount used_;
  std::vector<std::pair<resource_amount, instant>> earlier_capacities_;  ///< of this incarnation, with their ends
  std::vector<std::string> overcommitted_starts_;
  std::uint64_t announcements_ = 0;
};

}  // namespace bamboowing
