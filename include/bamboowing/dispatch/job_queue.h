/// @file
/// The jobs of a shard and the order of their waiting tasks.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/dispatch/settings.h"
#include "bamboowing/dispatch/target_table.h"
#include "bamboowing/message/job.h"

namespace bamboowing {

/// Index of a job in its queue. Indices of finished jobs are used again.
using job_index = std::uint32_t;
/// Index of a team in its queue; stable.
using team_index = std::uint32_t;

/// Where a task of a queued job stands.
enum class task_phase : std::uint8_t { kNotQueued, kWaiting, kInFlight, kDone };

struct queued_task {
  float work_us = 0;  ///< expected work
  float conservative_work_us =
      0;  ///< work that is reckoned with when the task must not hold up its job; at least work_us
  std::uint32_t attempt = 0;
  target_index target = kNoTarget;       ///< while in flight; kNoTarget if the target was removed
  std::uint32_t in_flight_position = 0;  ///< position in the target's list
  instant expected_end;                  ///< while in flight
  std::uint8_t declaration_class = 0;    ///< class of the declaration
  task_phase phase = task_phase::kNotQueued;
};

struct queued_job {
  std::string id;
  team_index team = 0;
  instant arrival;
  instant deadline;
  std::vector<queued_task> tasks;      ///< all tasks of the job by index
  std::vector<std::uint16_t> waiting;  ///< waiting tasks, the shortest first
  float shortest_us = 0;               ///< risk_us of the first in `waiting`
  float longest_us = 0;                ///< risk_us of the last in `waiting`
  double waiting_work_us = 0;          ///< sum of the expected work of the waiting tasks
  double admitted_work_us = 0;         ///< expected work of all tasks to start, at admission
  double admitted_longest_us = 0;      ///< risk_us of the longest of them
  std::uint32_t in_flight = 0;
  instant expected_end;                   ///< latest expected end of the tasks in flight
  instant order_key;                      ///< position in the order of its team
  target_index avoid_target = kNoTarget;  ///< target on which a retried request failed
  bool request = false;
  bool idempotent = false;
  bool dropped = false;                          ///< cancelled or expired: nothing of it may start
  target_index first_failed_target = kNoTarget;  ///< target on which a task of it failed first
  bool failed_on_other_target = false;           ///< a task of it failed on another target too
};

struct queued_team {
  std::string name;
  std::uint32_t weight = 1;
  std::uint32_t priority = 0;
  std::uint32_t max_waiting = 0;  ///< bound from its share of the queue
  std::set<std::pair<instant, job_index>> order;
  double waiting_work_us = 0;
  std::uint32_t waiting = 0;
  std::uint32_t in_flight = 0;
  instant share_clock;  ///< time up to which the team has used its share; later than now when it is ahead of its share
  bool active() const { return waiting + in_flight > 0; }
};

/// Position of a walk through the waiting jobs of one team.
struct team_cursor {
  instant order_key;  ///< of the team's next job
  team_index team = 0;
  bool started = false;                                            ///< whether `next` is set
  std::set<std::pair<instant, job_index>>::const_iterator next{};  ///< the team's next job
};

/// The jobs of a shard. A job stands in the order of its team while it has waiting tasks.
class job_queue {
 public:
  explicit job_queue(const dispatch_settings& settings) : settings_(settings) {}

  /// Applies the operators' shares to present and later teams.
  void SetTeams(span<const team_share> teams);

  /// Index of the team @p name, which is added if necessary. Teams beyond the bound share the last index.
  team_index TeamOf(const std::string& name);
  queued_team& team(team_index index) { return teams_[index]; }
  const std::vector<queued_team>& teams() const { return teams_; }

  /// Adds a job. The tasks to start are in place kWaiting with their expected work.
  job_index Add(queued_job job, double capacity);

  /// Index of a job; nullopt if it is not known.
  std::optional<job_index> Find(std::string_view job_id) const;
  queued_job& job(job_index index) { return *jobs_[index]; }
  const queued_job& job(job_index index) const { return *jobs_[index]; }

  /// Moves the waiting task at @p position of the job's list into flight on @p target.
  std::uint32_t MarkInFlight(job_index index, std::size_t position, target_index target, instant expected_end);

  /// Moves a task from flight back into the list of waiting tasks, with the next attempt.
  void Requeue(job_index index, std::uint32_t task);

  /// Marks a task in flight as done.
  void Finish(job_index index, std::uint32_t task);

  /// Drops the waiting tasks of a job; nothing of it starts any more.
  void DropWaiting(job_index index);

  /// Forgets the job if none of its tasks waits or is in flight. Returns whether it was forgotten.
  bool EraseIfDone(job_index index);

  /// Brings the job to its place in the order. Call after Take() and Finish().
  void Reorder(job_index index, double capacity);

  /// Advances the clock of a team by @p work_us of work that it used.
  void ChargeShare(team_index index, double work_us, double capacity, instant now);

  /// Earliest deadline of the jobs that are not dropped.
  std::optional<std::pair<instant, job_index>> NextDeadline() const;

  /// The first waiting job of the order over all teams; nullopt if no task waits.
  std::optional<job_index> FirstInOrder(instant now) const;

  /// Starts a walk over the waiting jobs; NextInOrder() gives them one after the other.
  void BeginScan(std::vector<team_cursor>& steps, instant now) const;
  /// Next job of the walk, or nullopt at its end. The queue must not change during a walk.
  std::optional<job_index> NextInScan(std::vector<team_cursor>& steps, instant now) const;

  std::uint32_t jobs() const { return static_cast<std::uint32_t>(by_id_.size()); }
  std::uint32_t waiting() const { return waiting_; }
  std::uint32_t in_flight() const { return in_flight_; }
  double waiting_work_us() const { return waiting_work_us_; }
  double in_flight_work_us() const { return in_flight_work_us_; }

  /// Share of @p index among the teams that have work, in (0, 1].
  double ShareOf(team_index index) const;

 private:
  // The first job of a team's order. Kept apart from the teams so that comparing all teams reads little memory.
  struct team_head {
    bool has_waiting = false;
    instant order_key;
    instant share_clock;
    duration lead{0};  // from the team's priority
    job_index first = 0;
  };

  static instant ShareAdjustedKey(const team_head& head, instant place, instant now);
  void RefreshHead(team_index index);
  instant OrderKeyOf(const queued_job& job, double capacity) const;
  static void RefreshBounds(queued_job& job);
  void InsertWaiting(queued_job& job, std::uint32_t task);
  void CountWaiting(queued_job& job, double work_us, int tasks);
  void CountInFlight(queued_job& job, double work_us, int tasks);
  void SetActive(queued_team& team, bool was_active);
  static void ApplyShare(queued_team& team, const team_share& share, const dispatch_settings& settings);

  dispatch_settings settings_;
  std::vector<queued_team> teams_;
  std::vector<team_head> heads_;  // one for each of teams_
  std::unordered_map<std::string, team_index> team_by_name_;
  std::unordered_map<std::string, team_share> shares_;
  std::vector<std::unique_ptr<queued_job>> jobs_;
  std::vector<job_index> free_indices_;
  std::unordered_map<std::string_view, job_index> by_id_;  // the keys point to queued_job::id
  std::set<std::pair<instant, job_index>> deadlines_;
  std::uint32_t waiting_ = 0;
  std::uint32_t in_flight_ = 0;
  double waiting_work_us_ = 0;
  double in_flight_work_us_ = 0;
  double active_weight_ = 0;
};

}  // namespace bamboowing
