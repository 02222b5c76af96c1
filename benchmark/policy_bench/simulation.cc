#include "simulation.h"

#include <algorithm>
#include <queue>

#include "bamboowing/base/random.h"
#include "fake_target.h"

namespace bamboowing::bench {
namespace {

constexpr std::uint32_t kFaultyTarget = 6;  // of speed 3x, a third faster than the median
constexpr double kSlowdownFactor = 10;
constexpr double kFaultTimeFraction = 1.0 / 3;  // fraction of the time in which jobs arrive
constexpr int kCancelWaves = 10;
constexpr double kCancelledShare = 0.5;
constexpr duration kLossDetection{2'000'000};  // see section 6.7 of the design

enum class sim_event_kind : std::uint8_t {
  kJobSent,
  kStartArrives,
  kCancelArrives,
  kRunCompletes,
  kAnswerArrives,
  kRefusalArrives,
  kWakeup,
  kFault,
  kLossDetected,
};

struct sim_event {
  instant at;
  std::uint64_t sequence = 0;  // events of the same time are handled in the order of scheduling
  sim_event_kind kind = sim_event_kind::kWakeup;
  task_ref task;
  scheduled_completion completion;
  finished_task finished;
  std::uint32_t target = 0;

  bool operator<(const sim_event& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
};

class simulation {
 public:
  simulation(const bench_case& scenario, const std::vector<bench_job>& trace, dispatch_policy& policy,
             std::uint64_t seed)
      : case_(scenario), trace_(trace), policy_(policy), random_(seed), unfinished_tasks_(trace.size()) {
    const std::vector<double> speeds = TargetSpeeds();
    for (std::uint32_t i = 0; i < speeds.size(); ++i) {
      targets_.emplace_back(i, speeds[i], policy.queues_at_target());
    }
    result_.outcomes.resize(trace.size(), job_outcome::kUnfinished);
    result_.responses.resize(trace.size());
    ScheduleFaults();
  }

  simulation_result Run() {
    while (next_job_ < trace_.size() || !events_.empty()) {
      const bool job_is_next =
          next_job_ < trace_.size() && (events_.empty() || ArrivalTime(next_job_) <= events_.top().at);
      if (job_is_next) {
        now_ = ArrivalTime(next_job_);
        SubmitJob(next_job_);
        ++next_job_;
      } else {
        const sim_event next = events_.top();
        events_.pop();
        now_ = next.at;
        HandleEvent(next);
      }
      ExecuteActions();
    }
    return std::move(result_);
  }

 private:
  instant ArrivalTime(std::size_t job) const { return trace_[job].sent + case_.client_delay; }

  sim_event& Schedule(instant at, sim_event_kind kind) {
    scratch_ = sim_event();
    scratch_.at = at;
    scratch_.sequence = ++sequence_;
    scratch_.kind = kind;
    return scratch_;
  }

  void ScheduleFaults() {
    if (case_.fault == fault_kind::kNone || case_.fault == fault_kind::kJobFailsEverywhere || trace_.empty()) {
      return;
    }
    const std::int64_t end_us = trace_.back().sent.time_since_epoch().count();
    if (case_.fault == fault_kind::kCancellations) {
      for (int i = 1; i <= kCancelWaves; ++i) {
        events_.push(Schedule(instant(duration(end_us * i / (kCancelWaves + 1))), sim_event_kind::kFault));
      }
      return;
    }
    const std::int64_t at_us = static_cast<std::int64_t>(static_cast<double>(end_us) * kFaultTimeFraction);
    events_.push(Schedule(instant(duration(at_us)), sim_event_kind::kFault));
  }

  void SubmitJob(std::size_t job) {
    unfinished_tasks_[job] = static_cast<std::uint32_t>(trace_[job].tasks.size());
    if (!policy_.OnJob(now_, static_cast<std::uint32_t>(job), trace_[job], actions_)) {
      result_.outcomes[job] = job_outcome::kRefused;
    }
  }

  void HandleEvent(const sim_event& next) {
    switch (next.kind) {
      case sim_event_kind::kStartArrives:
        StartAtTarget(next);
        break;
      case sim_event_kind::kCancelArrives:
        SendAnswer(targets_[next.target].Cancel(next.task, now_, new_completions_), next.target);
        break;
      case sim_event_kind::kRunCompletes:
        SendAnswer(targets_[next.completion.target].CompleteRun(next.completion, now_, new_completions_),
                   next.completion.target);
        break;
      case sim_event_kind::kAnswerArrives:
        HandleAnswer(next.finished, next.target);
        break;
      case sim_event_kind::kRefusalArrives:
        policy_.OnRefused(now_, next.task, actions_);
        break;
      case sim_event_kind::kWakeup:
        if (next.at == wakeup_) {
          wakeup_.reset();
          policy_.OnWakeup(now_, actions_);
        }
        break;
      case sim_event_kind::kFault:
        ApplyFault();
        break;
      case sim_event_kind::kLossDetected:
        DetectLoss();
        break;
      case sim_event_kind::kJobSent:
        break;
    }
  }

  void StartAtTarget(const sim_event& next) {
    fake_target& target = targets_[next.target];
    if (target.lost()) {
      return;
    }
    const bench_job& job = trace_[next.task.job];
    const placed_task task{next.task, job.tasks[next.task.task].work, job.fails_everywhere};
    if (!target.Start(task, now_, new_completions_)) {
      ++result_.refusals;
      ++result_.messages;
      sim_event& refusal = Schedule(now_ + case_.target_delay, sim_event_kind::kRefusalArrives);
      refusal.task = next.task;
      events_.push(refusal);
    }
  }

  void SendAnswer(const std::optional<finished_task>& finished, std::uint32_t target) {
    if (!finished || targets_[target].lost()) {
      return;
    }
    ++result_.messages;
    sim_event& answer = Schedule(now_ + case_.target_delay, sim_event_kind::kAnswerArrives);
    answer.finished = *finished;
    answer.target = target;
    events_.push(answer);
  }

  void HandleAnswer(const finished_task& finished, std::uint32_t target) {
    policy_.OnAnswer(now_, finished.task, target, finished.status, finished.run_time, actions_);
    const std::uint32_t job = finished.task.job;
    if (result_.outcomes[job] != job_outcome::kUnfinished) {
      return;
    }
    if (finished.status != task_status::kSucceeded) {
      FinishJob(job, job_outcome::kFailed);
      return;
    }
    if (--unfinished_tasks_[job] == 0) {
      result_.outcomes[job] = job_outcome::kCompleted;
      result_.responses[job] = now_ + case_.client_delay - trace_[job].sent;
    }
  }

  void FinishJob(std::uint32_t job, job_outcome outcome) {
    result_.outcomes[job] = outcome;
    policy_.OnCancel(now_, job, actions_);
  }

  void ApplyFault() {
    switch (case_.fault) {
      case fault_kind::kTargetFailsAll:
        targets_[kFaultyTarget].FailAllTasks();
        break;
      case fault_kind::kTargetStraggles:
        targets_[kFaultyTarget].SlowDown(kSlowdownFactor, now_, new_completions_);
        break;
      case fault_kind::kTargetLost:
        targets_[kFaultyTarget].Lose();
        events_.push(Schedule(now_ + kLossDetection, sim_event_kind::kLossDetected));
        break;
      default:
        CancelWave();
        break;
    }
  }

  void CancelWave() {
    for (std::uint32_t job = 0; job < next_job_; ++job) {
      if (result_.outcomes[job] == job_outcome::kUnfinished && random_.Unit() < kCancelledShare) {
        FinishJob(job, job_outcome::kCancelled);
      }
    }
  }

  void DetectLoss() {
    std::vector<task_ref> lost;
    policy_.OnTargetLost(now_, kFaultyTarget, lost, actions_);
    for (const task_ref& task : lost) {
      if (result_.outcomes[task.job] == job_outcome::kUnfinished) {
        FinishJob(task.job, job_outcome::kFailed);
      }
    }
  }

  // Sends the messages of the policy and schedules the completions of the runs that started.
  void ExecuteActions() {
    while (!actions_.expired_jobs.empty()) {
      const std::uint32_t job = actions_.expired_jobs.back();
      actions_.expired_jobs.pop_back();
      if (result_.outcomes[job] == job_outcome::kUnfinished) {
        FinishJob(job, job_outcome::kExpired);
      }
    }
    for (const policy_actions::start& start : actions_.starts) {
      Send(start, sim_event_kind::kStartArrives);
      result_.tasks_started += start.task.attempt == 0 ? 1 : 0;
    }
    for (const policy_actions::start& cancel : actions_.cancels) {
      SendCancel(cancel);
    }
    actions_.starts.clear();
    actions_.cancels.clear();
    for (const scheduled_completion& completion : new_completions_) {
      sim_event& run_end = Schedule(completion.at, sim_event_kind::kRunCompletes);
      run_end.completion = completion;
      events_.push(run_end);
    }
    new_completions_.clear();
    ScheduleWakeup();
  }

  void Send(const policy_actions::start& start, sim_event_kind kind) {
    ++result_.messages;
    sim_event& message = Schedule(now_ + case_.target_delay, kind);
    message.task = start.task;
    message.target = start.target;
    events_.push(message);
  }

  void SendCancel(const policy_actions::start& cancel) { Send(cancel, sim_event_kind::kCancelArrives); }

  void ScheduleWakeup() {
    const std::optional<instant> requested = policy_.next_wakeup();
    if (requested && (!wakeup_ || *requested < *wakeup_)) {
      wakeup_ = std::max(*requested, now_);
      events_.push(Schedule(*wakeup_, sim_event_kind::kWakeup));
    }
  }

  const bench_case& case_;
  const std::vector<bench_job>& trace_;
  dispatch_policy& policy_;
  seeded_random random_;
  std::vector<fake_target> targets_;
  std::priority_queue<sim_event> events_;
  std::vector<std::uint32_t> unfinished_tasks_;
  std::vector<scheduled_completion> new_completions_;
  policy_actions actions_;
  std::optional<instant> wakeup_;
  sim_event scratch_;
  simulation_result result_;
  instant now_;
  std::size_t next_job_ = 0;
  std::uint64_t sequence_ = 0;
};

}  // namespace

simulation_result RunPolicy(const bench_case& scenario, const std::vector<bench_job>& trace, dispatch_policy& policy,
                            std::uint64_t seed) {
  return simulation(scenario, trace, policy, seed).Run();
}

}  // namespace bamboowing::bench
