/// @file
/// All decisions of an entry about best-effort jobs.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bamboowing/base/error.h"
#include "bamboowing/base/random.h"
#include "bamboowing/besteffort/job.h"
#include "bamboowing/besteffort/recent_minimum.h"
#include "bamboowing/besteffort/target_fleet.h"
#include "bamboowing/dispatch/run_time_estimator.h"
#include "bamboowing/dispatch/settings.h"

namespace bamboowing {

/// Settings of a dispatch_core.
struct dispatch_core_settings {
  std::string id;                   ///< of the entry
  incarnation_id life = 0;          ///< this life of the entry, not 0
  duration heartbeat{150'000};      ///< longest pause in sending to an agent
  duration silent_after{900'000};   ///< a session that is silent for this long is closed
  duration owner_timeout{700'000};  ///< an agent stops our runs when it has not heard us for this long
  duration lease{1'000'000};        ///< longest lease of what runs at a target
  duration loss_margin{150'000};    ///< added to both before a lost agent's runs count as ended
  duration room_wait{12'000};       ///< how long a start may wait at the agent for room that was thought to be free
  /// A job of which nothing has started after this multiple of its objective is refused, so that its caller can turn
  /// elsewhere.
  double start_limit = 1;
  /// No job is accepted while work waits for longer than this part of the shortest time that any job of late could
  /// spare. Otherwise kinds of jobs with much time to spare fill the queue and those with little are all refused.
  double wait_share = 0.3;
  duration wait_floor{15'000};       ///< a shorter wait is no reason to refuse
  duration slack_window{2'000'000};  ///< jobs of the last one to two windows are jobs of late
  std::uint32_t max_jobs = 2'000;
  std::uint32_t max_tasks = 180;  ///< of one job
  /// A run that takes this multiple of the longest time expected of it is stopped and done elsewhere, if no other run
  /// has ended at its target meanwhile: the target hangs or has turned slow.
  double straggler_factor = 1.4;
  /// The same for a target at which others end: the task is longer than expected, which another start does not mend.
  double lone_straggler_factor = 4;
  duration straggler_floor{120'000};  ///< no run is stopped as a straggler earlier
  health_settings health;
};

/// The answer to a submission.
struct answer_job {
  call_id call = 0;
  std::string job_id;
  job_verdict verdict = job_verdict::kUnknown;
  std::optional<failure> why;  ///< unless completed
  duration response{0};        ///< since the arrival of the job; 0 for a job that was never accepted
};

/// Sends a batch to an agent.
struct send_orders {
  session_id session = 0;
  entry_batch batch;
};

/// Closes an agent's session.
struct close_agent {
  session_id session = 0;
};

/// A decision for the log.
struct note_dispatch {
  std::string what;
  std::string job_id;  ///< empty if it concerns no job
  std::string detail;  ///< the inputs that decided it
};

/// Name of an outcome or verdict in logs and metrics.
std::string_view RunOutcomeName(run_outcome outcome);
std::string_view JobVerdictName(job_verdict verdict);

using dispatch_action = std::variant<answer_job, send_orders, close_agent, note_dispatch>;

/// State of a job for its callers.
enum class job_phase : std::uint8_t { kQueued, kRunning };

/// Accepts best-effort jobs, chooses targets for their tasks, and answers each job once. Does no I/O and reads no
/// clock; each input carries the time and may append actions. Times must not go backwards.
class dispatch_core {
 public:
  dispatch_core(const dispatch_core_settings& settings, std::uint64_t seed, instant now);

  /// Answered exactly once by answer_job, unless the caller leaves before.
  void OnSubmit(call_id call, best_effort_job job, const queue_rule& queue, instant now);
  /// The caller's connection ended: its job is stopped, since it may be submitted again elsewhere.
  void OnCallerGone(call_id call, instant now);
  /// Returns whether the job is known here; it is then answered as cancelled.
  bool OnCancel(const std::string& job_id, instant now);
  std::optional<job_phase> PhaseOf(const std::string& job_id) const;
  /// Jobs of a queue of which nothing has started.
  std::uint32_t PendingOf(const std::string& queue) const;

  void OnSessionOpened(session_id session, const std::string& agent, instant now);
  void OnSessionClosed(session_id session, const std::string& why, instant now);
  void OnReport(session_id session, const agent_batch& batch, instant now);

  /// Starts tasks, gives up what is due, and completes the batches. Call once after a group of inputs.
  void Advance(instant now);
  instant next_wakeup() const;

  span<const dispatch_action> actions() const { return actions_; }
  void ClearActions() { actions_.clear(); }

  /// Ends of runs so far, by outcome.
  const std::map<run_outcome, std::uint64_t>& run_ends() const { return run_ends_; }
  std::size_t waiting_tasks() const { return static_cast<std::size_t>(waiting_tasks_); }
  std::size_t runs() const { return flights_.size(); }

  /// Whether at least one target can take work.
  bool HasUsableTarget(instant now) const;
  std::size_t jobs() const { return jobs_.size(); }
  const target_fleet& fleet() const { return fleet_; }

 private:
  enum class task_state : std::uint8_t { kBlocked, kWaiting, kInFlight, kDone };

  struct job_task {
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    task_state state = task_state::kBlocked;
    std::uint32_t attempt = 0;  ///< of the newest start
    std::uint32_t failures = 0;
    std::uint32_t restarts = 0;      ///< starts that no failure of the task made necessary
    target_index avoid = kNoTarget;  ///< target on which it did not succeed
  };

  struct open_job {
    best_effort_job spec;
    queue_rule queue;
    call_id call = 0;
    std::vector<job_task> tasks;
    std::vector<std::uint32_t> left;  ///< tasks that are not done, by step
    std::uint32_t waiting = 0;
    std::uint32_t in_flight = 0;
    bool answered = false;      ///< the caller has its answer or has left; runs are being stopped
    bool ever_started = false;  ///< a start was sent
    instant arrival;
    instant objective;  ///< when it should end
    instant start_by;   ///< a job of which nothing has started by then is refused
    instant give_up;    ///< when its caller has left
    instant urgency;    ///< latest start for the objective
    std::uint32_t estimate_team = 0;
    double waiting_work_us = 0;
    std::optional<instant> first_start;
    std::uint32_t starts = 0;
    std::string last_end;        ///< newest end of a run, for the log
    bool failed_before = false;  ///< a task of it has failed
    target_index failed_on = kNoTarget;
  };

  struct flight {
    target_index target = kNoTarget;
    incarnation_id life = 0;  ///< of the agent that the start was sent to
    session_id session = 0;   ///< in which it was sent
    std::uint32_t task = 0;   ///< position in the job's tasks
    instant sent;
    instant straggles_at;
    instant straggles_alone_at;
    double expected_us = 0;  ///< on a target of mean speed
    bool stopping = false;
    bool straggler = false;
  };

  using job_map = std::map<std::string, std::unique_ptr<open_job>>;
  using flight_map = std::map<run_key, flight>;
  using job_order = std::set<std::pair<instant, std::string>>;

  struct choice {
    fleet_target* target = nullptr;
    double run_us = 0;
  };

  /// Of all usable targets, in thousandths of a core.
  struct fleet_room {
    double capacity_cpu = 0;
    double free_cpu = 0;
  };

  void Note(std::string what, const std::string& job_id, std::string detail);
  std::optional<failure> CheckShape(const best_effort_job& job) const;
  std::optional<failure> CheckAdmission(const open_job& job, instant now);
  /// The longest wait for room that is accepted.
  duration LongestWait(instant now);
  void MakeTasks(open_job& job);
  double ChainUs(const open_job& job) const;
  work_estimate EstimateOf(const open_job& job, std::uint32_t step) const;
  std::uint32_t TeamOf(const std::string& queue);
  /// How long a task that comes now would wait for room.
  double WaitUs() const;
  fleet_room RoomNow() const;
  void SetWaiting(open_job& job, job_task& task, bool waiting);
  void Enqueue(open_job& job);
  void Dequeue(open_job& job);
  void Dispatch(instant now);
  /// Starts tasks of the jobs in a part of the queue. Returns false when it gave up for want of room.
  bool DispatchRange(job_order::iterator next, job_order::iterator end, instant now);
  bool DispatchJob(open_job& job, instant now);
  choice Choose(const open_job& job, const job_task& task, instant now);
  bool Suits(const open_job& job, const job_task& task, const fleet_target& target) const;
  std::uint32_t RunsOfStepAt(const open_job& job, std::uint32_t step, target_index target) const;
  void StartTask(open_job& job, std::uint32_t position, const choice& chosen, instant now);
  void OnEnd(fleet_target& from, const run_end& end, instant now);
  void FinishFlight(flight_map::iterator at);
  void TaskDone(open_job& job, job_task& task);
  void TaskFailed(open_job& job, job_task& task, target_index on, instant now);
  void TaskReturned(open_job& job, job_task& task);
  void Learn(open_job& job, const job_task& task, const flight& ended, const run_end& end, fleet_target& from);
  void NoteFailure(open_job& job, fleet_target& on, instant now);
  void Answer(open_job& job, job_verdict verdict, std::optional<failure> why);
  void NoteAnswer(const open_job& job, job_verdict verdict, const std::optional<failure>& why);
  void StopFlights(const open_job& job, instant now);
  void SendStop(const run_key& key, flight& at);
  void EraseIfOver(const std::string& job_id);
  /// Runs at a target have certainly ended without an answer: all, or only those sent to earlier lives of its agent.
  void LoseFlights(fleet_target& at, bool all_lives, instant now);
  void ReconcileInventory(fleet_target& target, const run_report& report, instant now);
  void ExpireAgents(instant now);
  void ExpireJobs(instant now);
  void StopStragglers(instant now);
  void SendBatches(instant now);

  dispatch_core_settings settings_;
  seeded_random random_;
  target_fleet fleet_;
  run_time_estimator estimator_;
  std::map<std::string, std::uint32_t> teams_;
  recent_minimum shortest_slack_;
  job_map jobs_;
  std::map<call_id, std::string> calls_;
  job_order queue_;  ///< jobs with waiting tasks by urgency
  flight_map flights_;
  std::map<run_outcome, std::uint64_t> run_ends_;
  double waiting_work_us_ = 0;
  double waiting_cpu_ = 0;
  std::int64_t waiting_tasks_ = 0;
  double started_work_us_ = 0;  ///< decaying sum; see kRateWindow
  instant decayed_at_;
  instant checked_at_;
  instant last_now_;
  std::vector<dispatch_action> actions_;
};

}  // namespace bamboowing
