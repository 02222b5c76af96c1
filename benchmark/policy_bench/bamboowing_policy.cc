#include <charconv>

#include "bamboowing/dispatch/dispatcher.h"
#include "policy.h"

namespace bamboowing::bench {
namespace {

std::uint32_t ParseNumber(const std::string& text) {
  std::uint32_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

task_key ToTaskKey(task_ref task) { return {std::to_string(task.job), task.task, task.attempt}; }

task_ref ToTaskRef(const task_key& key) { return {ParseNumber(key.job_id), key.task, key.attempt}; }

class bamboowing_policy : public dispatch_policy {
 public:
  bamboowing_policy(const dispatch_settings& settings, std::uint32_t targets, std::uint64_t seed)
      : dispatcher_(settings, seed) {
    std::vector<team_share> teams(kTeams);
    for (std::uint32_t i = 0; i < kTeams; ++i) {
      teams[i].name = std::to_string(i);
    }
    dispatcher_.SetTeams(teams);
    for (std::uint32_t i = 0; i < targets; ++i) {
      dispatcher_.AddTarget(std::to_string(i), kSlots, instant());
    }
  }

  bool OnJob(instant now, std::uint32_t job, const bench_job& spec, policy_actions& out) override {
    const bool accepted = !dispatcher_.Admit(MakeSpec(job, spec), now).has_value();
    Dispatch(now, out);
    return accepted;
  }

  void OnAnswer(instant now, task_ref task, std::uint32_t target, task_status status, duration run_time,
                policy_actions& out) override {
    task_answer answer;
    answer.key = ToTaskKey(task);
    answer.status = status;
    answer.run_time = run_time;
    dispatcher_.OnAnswered(answer, std::to_string(target), now);
    Dispatch(now, out);
  }

  void OnRefused(instant now, task_ref task, policy_actions& out) override {
    dispatcher_.OnRefused(ToTaskKey(task), now);
    Dispatch(now, out);
  }

  void OnTargetLost(instant now, std::uint32_t target, std::vector<task_ref>& lost, policy_actions& out) override {
    std::vector<task_key> in_flight;
    dispatcher_.RemoveTarget(std::to_string(target), now, in_flight);
    for (const task_key& key : in_flight) {
      lost.push_back(ToTaskRef(key));
      dispatcher_.OnTaskLost(key, now);
    }
    Dispatch(now, out);
  }

  void OnCancel(instant now, std::uint32_t job, policy_actions& out) override {
    keys_.clear();
    dispatcher_.CancelJob(std::to_string(job), now, keys_);
    for (const task_key& key : keys_) {
      out.cancels.push_back({ToTaskRef(key), 0});
    }
    Dispatch(now, out);
  }

  void OnWakeup(instant now, policy_actions& out) override { Dispatch(now, out); }
  std::optional<instant> next_wakeup() const override { return dispatcher_.next_wakeup(); }
  bool queues_at_target() const override { return false; }

 private:
  static job_spec MakeSpec(std::uint32_t job, const bench_job& spec) {
    job_spec result;
    result.job_id = std::to_string(job);
    result.team = std::to_string(spec.team);
    result.deadline = spec.deadline;
    result.tasks.resize(spec.tasks.size());
    for (std::size_t i = 0; i < spec.tasks.size(); ++i) {
      result.tasks[i].declared_run_time = spec.tasks[i].declared;
    }
    return result;
  }

  void Dispatch(instant now, policy_actions& out) {
    expired_.clear();
    dispatcher_.ExpireJobs(now, expired_);
    for (const std::string& id : expired_) {
      out.expired_jobs.push_back(ParseNumber(id));
    }
    starts_.clear();
    dispatcher_.NextStarts(now, starts_);
    for (const assignment& start : starts_) {
      out.starts.push_back({ToTaskRef(start.key), ParseNumber(start.target)});
    }
  }

  dispatcher dispatcher_;
  std::vector<task_key> keys_;
  std::vector<std::string> expired_;
  std::vector<assignment> starts_;
};

}  // namespace

std::unique_ptr<dispatch_policy> MakeBamboowingPolicy(const dispatch_settings& settings, std::uint32_t targets,
                                                      std::uint64_t seed) {
  return std::make_unique<bamboowing_policy>(settings, targets, seed);
}

}  // namespace bamboowing::bench
