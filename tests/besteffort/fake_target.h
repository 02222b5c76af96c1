// Leased target in virtual time with the semantics of the platform's targets.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
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

class fake_target {
 public:
  fake_target(std::string id, resource_amount capacity, std::vector<run_record>& history)
      : id_(std::move(id)), capacity_(capacity), history_(history) {}

  /// Speed factor: a task runs for its payload in milliseconds divided by this.
  double speed = 1;
  bool fails_all = false;
  bool hangs = false;
  /// Called when the first task of a job whose payload contains "crash" has started.
  std::function<void(const run_key&)> on_deadly_start;

  const std::string& id() const { return id_; }
  std::uint64_t start_id() const { return start_id_; }
  target_time Clock(instant now) const { return std::chrono::duration_cast<target_time>(now - started_); }

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
    used_cores_ = 0;
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
      const bool lapsed = lease_at < run.ends_at;
      EndRun(task, lapsed ? lease_at : run.ends_at,
             lapsed ? target_outcome::kInterrupted : (fails_all ? target_outcome::kFailed : target_outcome::kDone));
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
    if (used_cores_ + 1 > capacity_.cpu_millicores / 1000) {
      answer.status = request_status::kNoRoom;
      return answer;
    }
    active_run run;
    run.key = request.key;
    run.ends_at =
        hangs ? instant::max() : now + duration(static_cast<std::int64_t>(std::stod(request.payload) * 1000 / speed));
    run.record = history_.size();
    history_.push_back({task, id_, request.key, now});
    running_.emplace(task, run);
    ++used_cores_;
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
    const std::map<std::string, active_run>::const_iterator present = running_.find(task);
    if (present != running_.end() && present->second.key == request.key) {
      EndRun(task, now, target_outcome::kStopped);
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
      answer.running.push_back(run.second.key);
    }
    answer.finished = finished_;
    return answer;
  }

  bool HasFinishedRuns() const { return !finished_.empty(); }
  std::size_t running() const { return running_.size(); }
  std::uint64_t token() const { return token_; }

 private:
  static constexpr target_time kMaxLease{1000};

  struct active_run {
    run_key key;
    instant ends_at;
    std::size_t record = 0;
  };

  static std::string TaskOf(const run_key& key) {
    return key.job_id + "." + std::to_string(key.step) + "." + std::to_string(key.index);
  }

  /// A longer lease than kMaxLease is shortened. A lease never ends earlier than before.
  void ExtendLease(target_time lease_end, instant now) {
    lease_end_ = std::max(lease_end_, std::min(lease_end, Clock(now) + kMaxLease));
  }

  void EndRun(const std::string& task, instant at, target_outcome outcome) {
    const active_run run = running_.at(task);
    history_[run.record].ended_at = at;
    history_[run.record].outcome = outcome;
    highest_attempts_[task] = std::max(highest_attempts_[task], run.key.attempt);
    finished_.push_back({++last_sequence_, run.key, outcome});
    running_.erase(task);
    --used_cores_;
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
  std::uint32_t used_cores_ = 0;
};

}  // namespace bamboowing
