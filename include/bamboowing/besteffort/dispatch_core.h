/// @file
/// Admission, placement and result handling of best-effort jobs at an entry.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "bamboowing/base/error.h"
#include "bamboowing/base/random.h"
#include "bamboowing/besteffort/agent_fences.h"
#include "bamboowing/besteffort/crash_ledger.h"
#include "bamboowing/besteffort/expiring_jobs.h"
#include "bamboowing/besteffort/job.h"
#include "bamboowing/besteffort/recent_minimum.h"
#include "bamboowing/besteffort/target_fleet.h"
#include "bamboowing/claims/job_claims.h"
#include "bamboowing/dispatch/run_time_estimator.h"
#include "bamboowing/dispatch/settings.h"
#include "bamboowing/overload/overload_order.h"
#include "bamboowing/overload/overload_planner.h"

namespace bamboowing {

struct dispatch_core_settings {
  std::string id;                      ///< id of the entry process
  std::string peers_address;           ///< at which other entries reach this one; empty if there are no others
  incarnation_id own_incarnation = 0;  ///< incarnation of this entry process, not 0
  duration heartbeat{150'000};         ///< longest interval between two batches to an agent
  /// The same for an agent that takes the reply to a report as contact.
  duration acknowledged_heartbeat{600'000};
  duration session_timeout{900'000};  ///< a session without a report for this long is closed
  duration owner_timeout{700'000};    ///< an agent stops this entry's runs after this time without contact
  duration lease{1'000'000};          ///< longest lease of the runs at a target
  /// Upper bound of the time from sending a start request to its execution by a later incarnation of the target, as at
  /// the agents.
  duration max_request_delay{15'000'000};
  /// Time from the end of an entry's process until its agents have ended its runs: the longest lease after their last
  /// contact with it, 1,150 ms, and a margin.
  duration run_end_limit{1'200'000};
  /// Longest time for which agents take this entry as alive after its decision thread has stalled.
  duration stall_limit{400'000};
  duration loss_margin{150'000};  ///< added to owner_timeout and lease before the runs of a lost agent count as ended
  /// How long a start may wait at the agent for capacity that was expected to be free. The agent returns it at once if
  /// it expects a longer wait.
  duration capacity_wait{25'000};
  /// How long a start of an exclusive run may wait until the other runs at its target have ended.
  duration exclusive_wait{1'500'000};
  /// A job without a started task after this multiple of its objective is refused, so that its caller can retry
  /// elsewhere.
  double start_deadline_factor = 1;
  /// No job is accepted while the expected queue wait exceeds this share of the smallest recent slack (latest start
  /// minus arrival). Otherwise jobs with much slack fill the queue and jobs with little are all refused.
  double queue_wait_share = 0.3;
  duration queue_wait_floor{15'000};  ///< a shorter expected queue wait never causes a refusal
  duration slack_window{2'000'000};   ///< the smallest slack is taken over the last one to two windows
  std::uint32_t max_jobs = 2'000;
  std::uint32_t max_tasks = 180;  ///< per job
  /// A run that takes this multiple of its longest expected time is stopped and restarted on another target if no other
  /// run has succeeded at its target since it was sent: the target hangs or has become slow.
  double straggler_factor = 1.4;
  /// The same for a target at which other runs succeed: the task itself takes longer than estimated, which a restart
  /// does not change.
  double lone_straggler_factor = 4;
  duration straggler_floor{120'000};  ///< minimum age of a run that is stopped as a straggler
  health_settings health;
  agent_fences_settings fences;
  overload_order order = overload_order::kDeadline;  ///< order of waiting jobs while capacity is short
  overload_settings overload;                        ///< used with overload_order::kCost
};

/// Answers a submission.
struct answer_job {
  call_id call = 0;
  std::string job_id;
  job_verdict verdict = job_verdict::kUnknown;
  std::optional<failure> error;  ///< set unless the job completed
  duration response_time{0};     ///< since the arrival of the job; 0 for a job that was not accepted
};

/// Sends a batch of run requests and acknowledgements to an agent.
struct send_run_batch {
  session_id session = 0;
  entry_batch batch;
};

/// Closes an agent's session.
struct close_run_session {
  session_id session = 0;
};

/// Logs a decision.
struct log_dispatch_event {
  std::string event;
  std::string job_id;  ///< empty if the event concerns no job
  std::string detail;  ///< the inputs of the decision
};

/// Reason of the answer to a job that is given up because targets have crashed under one of its tasks.
failure CrashFailure();

/// Name of a verdict in logs and metrics.
std::string_view JobVerdictName(job_verdict verdict);

using dispatch_action = std::variant<answer_job, send_run_batch, close_run_session, log_dispatch_event,
                                     send_claim_request, abandon_claim_request, cancel_decided>;

/// What was decided of a job while capacity was short, with overload_order::kCost.
enum class overload_decision : std::uint8_t {
  kDeferred,   ///< goes behind the jobs that are in time, for the first time
  kRefused,    ///< refused at its arrival
  kDisplaced,  ///< refused after it was accepted, in favour of other jobs
  kExpired,    ///< refused because no task was started in time
};

/// Name of a decision in metrics.
std::string_view OverloadDecisionName(overload_decision decision);

/// State of a job for its callers.
enum class job_phase : std::uint8_t { kQueued, kRunning };

/// Accepts best-effort jobs, places their tasks on targets, and answers each job once. Does no I/O and reads no clock;
/// each input carries the time and may append actions. Times must not go backwards.
class dispatch_core {
 public:
  dispatch_core(const dispatch_core_settings& settings, std::uint64_t seed, instant now);

  /// Answered exactly once by answer_job, unless the caller disconnects first.
  void OnSubmit(call_id call, best_effort_job job, const queue_rule& queue, instant now);
  /// The caller's connection closed. Without another caller the job is stopped, since it may be submitted elsewhere.
  void OnCallerDisconnected(call_id call, instant now);
  /// A caller cancels a job at this entry, which need not have it. Answered by cancel_decided. If this entry has the
  /// job, its callers are answered as cancelled and its runs are stopped at once.
  void OnCancel(call_id call, const std::string& job_id, instant now);
  /// The process was asked to exit: all open and further jobs are answered by @p answer_by. A job that is expected to
  /// take longer is refused.
  void OnDrain(instant answer_by);
  std::optional<job_phase> PhaseOf(const std::string& job_id) const;
  /// Number of jobs in a queue without a started task.
  std::uint32_t PendingJobs(const std::string& queue) const;

  void OnSessionOpened(session_id session, const std::string& agent, instant now);
  void OnSessionClosed(session_id session, const std::string& reason, instant now);
  void OnReport(session_id session, const agent_batch& batch, instant now);

  /// Replaces the list of the agents whose targets the key-value service shows. Before the first list, no job is
  /// started of which an ended process may have sent start requests.
  void OnAgents(const std::vector<std::string>& agents, instant now) { fences_.OnListed(agents, now); }

  /// The store shows these evacuations of failure domains.
  void OnEvacuation(const evacuation_state& state);

  /// Replaces the list of the other entries, by their addresses.
  void OnPeers(const std::vector<std::string>& addresses, instant now);
  /// The key-value service holds this view of the registrars; see job_claims::OnView().
  void OnRegistrarView(const registrar_view& view, std::optional<instant> confirmed_at, instant now);
  /// See job_claims::OnListedView().
  void OnListedView(std::uint64_t number) { claims_.OnListedView(number); }
  /// See job_claims::OnRegistered().
  void OnRegistered(instant since, instant until) { claims_.OnRegistered(since, until); }
  /// See job_claims::OnNoView().
  void OnNoRegistrarView() { claims_.OnNoView(); }
  /// Answers another entry's claims of jobs.
  claim_reply OnClaimRequest(const claim_request& request, instant now);
  /// The answer to a send_claim_request; nullopt if the connection failed.
  void OnClaimReply(std::uint64_t exchange, const std::optional<claim_reply>& reply, instant now);

  /// Starts tasks, expires jobs and agents, and completes the batches. Call once after a group of inputs.
  void Advance(instant now);
  instant next_wakeup() const;

  span<const dispatch_action> actions() const { return actions_; }
  void ClearActions() { actions_.clear(); }

  /// Number of ended runs since the start of the process, by outcome.
  const std::map<run_outcome, std::uint64_t>& outcome_counts() const { return outcome_counts_; }
  std::size_t waiting_tasks() const { return static_cast<std::size_t>(waiting_tasks_); }
  std::size_t runs() const { return runs_.size(); }

  /// Whether at least one target accepts runs. Targets in evacuated failure domains count: an entry whose targets are
  /// all evacuated still answers its callers.
  bool HasAcceptingTarget(instant now) const;
  /// Number of jobs that are not answered or whose runs have not ended.
  std::size_t jobs() const { return jobs_.size(); }
  std::size_t unanswered_jobs() const { return calls_.size(); }
  /// Number of claimed jobs whose tasks may still be started by processes that have ended.
  std::size_t held_jobs() const { return held_jobs_.size(); }
  const job_claims& claims() const { return claims_; }
  const target_fleet& fleet() const { return fleet_; }
  /// Number of decisions since the start of the process, by priority. Only with overload_order::kCost.
  const std::map<std::pair<std::uint32_t, overload_decision>, std::uint64_t>& overload_counts() const {
    return overload_counts_;
  }

 private:
  enum class task_state : std::uint8_t { kBlocked, kWaiting, kInFlight, kDone };

  struct job_task {
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    task_state state = task_state::kBlocked;
    std::uint32_t attempt = 0;  ///< attempt number of the newest start
    std::uint32_t failures = 0;
    std::uint32_t restarts = 0;  ///< restarts after lost or stopped runs, which are not failures of the task
    target_index avoided_target = kNoTarget;  ///< target of the newest run that did not succeed
  };

  /// Ranks of the jobs in the waiting queue, lowest first. With overload_order::kDeadline, all are kInTimeRank.
  static constexpr std::uint64_t kUrgentRank = 0;
  static constexpr std::uint64_t kInTimeRank = 1;
  /// Plus twice the priority: jobs that are in time while others are deferred. Deferred jobs have the next rank.
  static constexpr std::uint64_t kServedRank = 2;

  /// Sum of the needs of many tasks, or their mean.
  struct resource_sum {
    double cpu_millicores = 0;
    double memory_mb = 0;
    double accelerators = 0;
  };

  struct open_job {
    best_effort_job spec;
    queue_rule queue;
    std::vector<call_id> calls;  ///< of the callers that wait for the answer
    std::vector<job_task> tasks;
    std::vector<std::uint32_t> remaining_tasks;  ///< number of tasks that are not done, by step
    std::uint32_t waiting = 0;
    std::uint32_t in_flight = 0;
    bool claimed = false;        ///< the claim is granted, so that tasks may be started
    bool begun = false;          ///< the claim was granted before
    bool claim_pending = false;  ///< the claim has lapsed; the job is claimed again when its runs have ended
    /// Set while the job is held: ended processes may have sent starts of it before this time.
    std::optional<instant> starts_unknown_before;
    bool completed = false;     ///< all tasks are done
    bool cancelled = false;     ///< a caller has cancelled the job
    bool answered = false;      ///< the caller was answered or has disconnected; remaining runs are being stopped
    bool ever_started = false;  ///< a start request was sent
    instant arrival;
    instant objective;        ///< target completion time
    instant start_by;         ///< a job without a started task is refused at this time
    instant caller_deadline;  ///< when the caller stops waiting for the answer
    instant latest_start;     ///< latest start that still meets the objective
    std::uint32_t estimate_team = 0;
    double waiting_work_us = 0;
    std::uint64_t rank = kInTimeRank;
    resource_sum mean_need;  ///< of one task
    bool deferral_logged = false;
    std::optional<instant> first_start;
    std::uint32_t starts = 0;
    std::uint32_t rejected_starts = 0;  ///< starts that agents in evacuated failure domains have rejected
    std::string last_run_result;        ///< description of the newest ended run, for the log
    bool has_failed_run = false;        ///< a run of the job has failed or was stopped as a straggler
    target_index failed_target = kNoTarget;
  };

  /// Work that this entry has started at the targets of one service, in microseconds of a whole target.
  struct service_load {
    service_load(const overload_settings& settings, instant now) : planner(settings), decayed_at(now) {}

    overload_planner planner;
    double started_us = 0;  ///< exponentially decaying sum
    instant decayed_at;
    double in_flight = 0;  ///< number of targets that the active runs fill
  };

  struct dispatched_run {
    target_index target = kNoTarget;
    incarnation_id agent_incarnation = 0;  ///< of the agent when the start was sent
    session_id session = 0;                ///< session in which the start was sent
    std::uint32_t task = 0;                ///< index in open_job::tasks
    instant sent_at;
    instant straggler_deadline;
    instant lone_straggler_deadline;
    double expected_us = 0;  ///< run time on a target of mean speed
    bool stopping = false;
    bool straggler = false;
    /// Whether all start requests of the run have had a response. If not, a later incarnation of the target may start
    /// the run after the agent is lost.
    bool settled = false;
    bool exclusive = false;
    std::uint64_t target_generation = 0;  ///< of the target when the start was sent
    service_load* load = nullptr;         ///< that the run counts in; only with overload_order::kCost
    double target_share = 0;              ///< part of the target that the run needs
  };

  using job_map = std::map<std::string, std::unique_ptr<open_job>>;
  using run_map = std::map<run_key, dispatched_run>;

  struct queue_position {
    std::uint64_t rank = kInTimeRank;
    instant latest_start;
    std::string job_id;

    bool operator<(const queue_position& other) const {
      return std::tie(rank, latest_start, job_id) < std::tie(other.rank, other.latest_start, other.job_id);
    }
  };
  using waiting_queue = std::set<queue_position>;

  /// The waiting jobs of one service, in order of latest start, and its capacity.
  struct waiting_service {
    std::vector<open_job*> jobs;
    resource_sum mean_capacity;  ///< of a usable target
    service_capacity capacity;
    double free_share = 0;  ///< share of the waiting tasks that fit into free capacity
  };

  struct target_choice {
    fleet_target* target = nullptr;
    double expected_run_us = 0;
  };

  /// Capacity of all usable targets in tasks of the mean need of the waiting ones.
  struct fleet_capacity {
    double tasks = 0;
    double free_tasks = 0;  ///< whole tasks that fit beside the committed amounts
  };

  void LogEvent(std::string event, const std::string& job_id, std::string detail);
  /// @p source names the process that the state came from, for the log.
  void MergeEvacuation(const evacuation_state& state, const std::string& source);
  /// Logs each evacuated failure domain in which no target is known, once.
  void ReportUnknownDomains(instant now);
  std::optional<failure> ValidateJob(const best_effort_job& job) const;
  /// Whether a target of the job's service, without other runs, may be large enough for a task of the step.
  bool MayFitSomeTarget(const open_job& job, const job_step& step) const;
  /// Set if a task of the job that is not done fits no known target of its service outside of evacuated failure
  /// domains.
  std::optional<failure> CheckSize(const open_job& job, instant now) const;
  /// Refuses the jobs without a started task that no longer fit any target of their service.
  void RefuseOversizedJobs(instant now);
  /// Sets the rank of an admitted job. With overload_order::kCost, it may defer or refuse other jobs.
  std::optional<failure> CheckAdmission(open_job& job, instant now);
  /// Plans the waiting jobs together with an arriving one.
  std::optional<failure> CheckCost(open_job& job, instant now);
  /// The waiting jobs of the arriving job's service, and that job.
  waiting_service WaitingJobsOf(open_job& arriving);
  /// Measures the capacity of the service. Returns false if there is no shortage: all waiting tasks fit into free
  /// capacity, or the capacity is unknown.
  bool MeasureService(waiting_service& waiting, const open_job& arriving);
  /// Number of tasks that an arriving job has waiting at first.
  static double FirstTasks(const open_job& job);
  waiting_job DescribeWaiting(const open_job& job, bool arriving, const resource_sum& capacity) const;
  /// Returns the refusal of the arriving job, if it is infeasible.
  std::optional<failure> ApplyPlan(const waiting_service& waiting, span<const waiting_job> described,
                                   span<const planned_job> plan, const open_job& arriving);
  /// Whether the job leaves capacity for one more task of its size free at each target: capacity is short, and this
  /// entry has started tasks of a higher priority within the share window. Entries do not coordinate, so this is how
  /// jobs of higher priority at other entries find capacity.
  bool YieldsCapacity(const open_job& job, instant now) const;
  static std::uint64_t RankOf(const open_job& job, job_service service, bool shortage);
  void SetRank(open_job& job, std::uint64_t rank);
  /// Whether the first tasks of a job fit into free capacity, whatever else waits.
  bool FitsFreeCapacity(const open_job& job) const;
  std::string DescribeCost(const open_job& job, const waiting_job& described, const planned_job& planned) const;
  /// @p favoured is the id of a job, empty if there is none.
  static std::string DescribeFavoured(const std::string& favoured);
  failure CostFailure(const open_job& job, const waiting_job& described, const planned_job& planned) const;
  void CountOverload(const open_job& job, overload_decision decision);
  service_load& LoadOf(const std::string& service);
  /// Counts a run that is being started in the load of its service.
  void CountStartedWork(const open_job& job, const resource_amount& need, const fleet_target& target,
                        dispatched_run& run);
  /// The target has rejected the run.
  void UncountRejectedWork(const open_job& job, const dispatched_run& run);
  void AddStartedWork(service_load& load, std::uint32_t priority, double work_us);
  /// Longest expected queue wait at which a job is still admitted.
  duration MaxQueueWait(instant now);
  void MakeTasks(open_job& job);
  /// Claims an accepted job at the other entries.
  void ClaimJob(open_job& job, instant now);
  /// Claims a job whose claim has lapsed again if its runs have ended.
  void ClaimAgain(open_job& job);
  /// Handles what job_claims has decided.
  void HandleClaims();
  void HandleDecidedClaim(const claim_decided& decided);
  /// Queues the tasks of a claimed job that can be started.
  void BeginJob(open_job& job);
  /// Which agents have not shown that they know of all starts that were sent before @p before, for the log.
  std::string DescribeMissingAgents(instant before) const;
  /// Begins the jobs whose tasks no ended process can start any more.
  void BeginHeldJobs(instant now);
  /// Answers a job as cancelled and stops its runs.
  void CancelJob(const std::string& job_id);
  void HandleLapsedClaim(const std::string& job_id);
  void HandleUnavailableClaim(const std::string& job_id);
  /// Whether a process that has ended may have sent start requests of the job that are still to be executed.
  bool MayBeStartedByEndedProcess(const open_job& job);
  /// Answers such a job: it can't be said that it has not run.
  void AnswerAsPossiblyStarted(open_job& job);
  /// Answers a job that could not be claimed in time.
  void AnswerUnclaimedJob(open_job& job);
  void EraseJob(job_map::iterator job);
  double CriticalPathUs(const open_job& job) const;
  work_estimate EstimateOf(const open_job& job, std::uint32_t step) const;
  std::uint32_t TeamOf(const std::string& queue);
  /// Expected wait for capacity of a task that arrives now, in microseconds.
  double QueueWaitUs() const;
  fleet_capacity UsableCapacity() const;
  /// Number of tasks of the mean need of the waiting ones that @p amount suffices for.
  double WaitingTasksWithin(const resource_amount& amount) const;
  void SetWaiting(open_job& job, job_task& task, bool waiting);
  void Enqueue(open_job& job);
  void Dequeue(open_job& job);
  void Dispatch(instant now);
  /// Starts tasks of the jobs in a range of the queue. Returns false when it stopped because too many jobs could not be
  /// placed.
  bool DispatchRange(waiting_queue::iterator next, waiting_queue::iterator end, instant now);
  bool DispatchJob(open_job& job, instant now);
  target_choice ChooseTarget(const open_job& job, const job_task& task, instant now);
  /// Chooses the target of a suspect task. Nothing else runs there at the same time, so that a further crash counts
  /// against no other task.
  target_choice ChooseExclusiveTarget(const open_job& job, const job_task& task, instant now);
  /// Whether another target of the service may be reserved for exclusive runs.
  bool MayReserveTarget(const std::string& service, instant now) const;
  /// Whether the task may have crashed targets, so that it must run alone.
  bool IsSuspect(const open_job& job, const job_task& task) const;
  bool IsEligible(const open_job& job, const job_task& task, const fleet_target& target) const;
  std::uint32_t RunsOfStepOnTarget(const open_job& job, std::uint32_t step, target_index target) const;
  void StartTask(open_job& job, std::uint32_t position, const target_choice& chosen, instant now);
  void OnRunEnded(fleet_target& from, const run_result& end, instant now);
  void RemoveRun(run_map::iterator run);
  /// An evacuated target has rejected a start of the job. A job all of whose starts were rejected has not begun, and is
  /// refused if it fits no other target.
  void WithdrawStart(open_job& job);
  void CompleteTask(open_job& job, job_task& task);
  void HandleTaskFailure(open_job& job, job_task& task, target_index on, instant now);
  void RequeueTask(open_job& job, job_task& task);
  void RecordRunResult(open_job& job, const job_task& task, const dispatched_run& ended, const run_result& end,
                       fleet_target& from);
  void RecordFailure(open_job& job, fleet_target& on, instant now);
  void Answer(open_job& job, job_verdict verdict, const std::optional<failure>& error);
  void LogAnswer(const open_job& job, job_verdict verdict, const std::optional<failure>& error);
  void StopRuns(const open_job& job, instant now);
  void SendStop(const run_key& key, dispatched_run& run);
  void EraseIfFinished(const std::string& job_id);
  /// Ends runs at a target that certainly no longer run and have no result: all, or only those sent to earlier
  /// incarnations of its agent.
  void EndLostRuns(fleet_target& target, bool all_incarnations, instant now);
  void ReconcileInventory(fleet_target& target, const run_report& report, instant now);
  /// Marks the runs whose starts the agent has received and does not report as unsettled.
  void MarkSettledRuns(fleet_target& target, const run_report& report);
  /// How a run of a lost agent ended.
  static run_outcome LostRunOutcome(const dispatched_run& run);
  /// A run of the job may still be started by an earlier request. Abandons the job if a task could run twice.
  void HandleUnknownRun(const run_key& key, instant now);
  /// Keeps a start request without a response of a run that the agent reports as ended.
  void RecordReleasedStart(fleet_target& from, const run_result& end, instant now);
  /// The agent can't report any more whether the target executes released starts: all, or only those of its earlier
  /// incarnations.
  void HandleLostReleasedStarts(fleet_target& target, bool all_incarnations, instant now);
  /// Submissions of the job are answered as not repeatable for as long as an earlier request may start a task.
  void ForbidRepetition(const std::string& job_id, instant now);
  /// Answers the job as unknown, does not start its tasks again, and stops its runs.
  void AbandonJob(open_job& job, instant now);
  static failure NotRepeatableError();
  /// Whether the deadline of the job is near while a run of it may still be started at a target whose agent is not in
  /// contact.
  bool MustAbandonBeforeDeadline(const open_job& job, instant now);
  /// The agent is silent, so it may not report in time that its target executes an earlier start request. Forbids the
  /// repetition of all jobs with such a request.
  void HandleSilentAgent(fleet_target& target, instant now);
  /// The agent of these jobs' unanswered starts can't report them any more. Forbids the repetition of the jobs, and
  /// abandons those that another entry had started before this one.
  void HandleUnansweredJobs(fleet_target& target, instant now);
  /// Stores the jobs that the report names as not repeatable or as having an unanswered start.
  void MergeUnsettledJobs(fleet_target& target, const run_report& report, instant now);
  void ExpireAgents(instant now);
  /// When the job is answered at the latest.
  instant AnswerDeadline(const open_job& job) const;
  void ExpireJobs(instant now);
  void StopStragglers(instant now);
  /// Adds a crash to the ledger and gives up the jobs whose task has reached the limit.
  void RecordCrash(const crash_record& crash, instant now);
  /// Records the crash of the target that the agent described before @p reported, if that is another incarnation. An
  /// agent process that has been restarted (incarnation @p reporter) cannot know which runs its predecessor had.
  void RecordReplacedTarget(fleet_target& at, const target_description& reported, incarnation_id reporter, instant now);
  /// What is known of a run at a target that has crashed.
  static crashed_task CrashedTask(const run_map::value_type& run, const open_job& job);
  static bool IsDone(const open_job& job, const task_name& task);
  /// Keeps the tasks of runs that are about to be taken as lost, until it is known whether their target has crashed.
  void KeepUnconfirmedTasks(fleet_target& target, bool all_incarnations) const;
  void SendBatches(instant now);

  dispatch_core_settings settings_;
  seeded_random random_;
  target_fleet fleet_;
  run_time_estimator estimator_;
  std::map<std::string, std::uint32_t> teams_;
  recent_minimum shortest_slack_;
  job_map jobs_;
  std::map<call_id, std::string> calls_;
  crash_ledger crashes_;
  job_claims claims_;
  agent_fences fences_;
  std::set<std::string> held_jobs_;            ///< ids of jobs with `starts_unknown_before`
  waiting_queue queue_;                        ///< jobs with waiting tasks by rank and latest start
  std::map<std::string, service_load> loads_;  ///< by service
  std::size_t peer_count_ = 0;                 ///< number of other entries
  std::map<std::pair<std::uint32_t, overload_decision>, std::uint64_t> overload_counts_;
  run_map runs_;
  /// Jobs whose submissions must not start a task, known to this entry or reported by others.
  expiring_jobs unrepeatable_;
  std::map<run_outcome, std::uint64_t> outcome_counts_;
  double waiting_work_us_ = 0;
  resource_sum waiting_need_;
  std::int64_t waiting_tasks_ = 0;
  double started_work_us_ = 0;  ///< exponentially decaying sum over kRateWindowUs
  instant decayed_at_;
  instant started_at_;
  std::uint64_t reported_evacuation_ = 0;  ///< set version of the evacuations at the last ReportUnknownDomains()
  std::set<std::string> unknown_domains_;  ///< evacuated failure domains without a target that were logged
  bool capacities_changed_ = false;        ///< since the last call of RefuseOversizedJobs()
  instant checked_at_;
  instant last_now_;
  std::optional<instant> drain_deadline_;  ///< set while draining: all jobs are answered by then
  std::vector<dispatch_action> actions_;
};

}  // namespace bamboowing
