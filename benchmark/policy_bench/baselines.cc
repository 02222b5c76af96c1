#include <algorithm>
#include <limits>
#include <map>

#include "bamboowing/base/random.h"
#include "policy.h"

namespace bamboowing::bench {
namespace {

// Base of the policies that send every task on arrival to the queue of a target.
class push_policy : public dispatch_policy {
 public:
  push_policy(std::uint32_t targets, std::uint64_t seed)
      : random_(seed), outstanding_(targets), alive_(targets, true) {}

  bool OnJob(instant /*now*/, std::uint32_t job, const bench_job& spec, policy_actions& out) override {
    for (std::uint32_t i = 0; i < spec.tasks.size(); ++i) {
      const std::uint32_t target = ChooseTarget();
      ++outstanding_[target];
      assigned_targets_[job][i] = target;
      out.starts.push_back({{job, i, 0}, target});
    }
    return true;
  }

  void OnAnswer(instant /*now*/, task_ref task, std::uint32_t target, task_status status, duration run_time,
                policy_actions& /*out*/) override {
    RemoveTask(task);
    if (status == task_status::kSucceeded) {
      RecordRunTime(target, run_time);
    }
  }

  void OnRefused(instant /*now*/, task_ref /*task*/, policy_actions& /*out*/) override {}

  void OnTargetLost(instant /*now*/, std::uint32_t target, std::vector<task_ref>& lost,
                    policy_actions& /*out*/) override {
    alive_[target] = false;
    for (const auto& [job, tasks] : assigned_targets_) {
      for (const auto& [task, assigned_target] : tasks) {
        if (assigned_target == target) {
          lost.push_back({job, task, 0});
        }
      }
    }
    for (const task_ref& task : lost) {
      RemoveTask(task);
    }
  }

  void OnCancel(instant /*now*/, std::uint32_t job, policy_actions& out) override {
    for (const auto& [task, target] : assigned_targets_[job]) {
      out.cancels.push_back({{job, task, 0}, target});
    }
  }

  void OnWakeup(instant /*now*/, policy_actions& /*out*/) override {}
  std::optional<instant> next_wakeup() const override { return std::nullopt; }
  bool queues_at_target() const override { return true; }

 protected:
  virtual std::uint32_t ChooseTarget() = 0;
  virtual void RecordRunTime(std::uint32_t /*target*/, duration /*run_time*/) {}

  std::uint32_t targets() const { return static_cast<std::uint32_t>(outstanding_.size()); }
  std::uint32_t RandomTarget() {
    while (true) {
      const std::uint32_t target = static_cast<std::uint32_t>(random_.Below(targets()));
      if (alive_[target]) {
        return target;
      }
    }
  }
  bool alive(std::uint32_t target) const { return alive_[target]; }
  std::uint32_t outstanding(std::uint32_t target) const { return outstanding_[target]; }

 private:
  void RemoveTask(task_ref task) {
    const auto job = assigned_targets_.find(task.job);
    if (job == assigned_targets_.end()) {
      return;
    }
    const auto found = job->second.find(task.task);
    if (found == job->second.end()) {
      return;
    }
    --outstanding_[found->second];
    job->second.erase(found);
    if (job->second.empty()) {
      assigned_targets_.erase(job);
    }
  }

  seeded_random random_;
  std::vector<std::uint32_t> outstanding_;
  std::vector<bool> alive_;
  std::map<std::uint32_t, std::map<std::uint32_t, std::uint32_t>> assigned_targets_;
};

class random_policy : public push_policy {
 public:
  using push_policy::push_policy;

 protected:
  std::uint32_t ChooseTarget() override { return RandomTarget(); }
};

class round_robin_policy : public push_policy {
 public:
  using push_policy::push_policy;

 protected:
  std::uint32_t ChooseTarget() override {
    do {
      last_ = (last_ + 1) % targets();
    } while (!alive(last_));
    return last_;
  }

 private:
  std::uint32_t last_ = 0;
};

class two_choices_policy : public push_policy {
 public:
  using push_policy::push_policy;

 protected:
  std::uint32_t ChooseTarget() override {
    const std::uint32_t a = RandomTarget();
    const std::uint32_t b = RandomTarget();
    return outstanding(b) < outstanding(a) ? b : a;
  }
};

// Chooses the target with the fewest outstanding tasks, weighted with its measured mean run time if `weighted`.
class least_outstanding_policy : public push_policy {
 public:
  least_outstanding_policy(std::uint32_t targets, std::uint64_t seed, bool weighted)
      : push_policy(targets, seed), weighted_(weighted), run_time_us_(targets, 0) {}

 protected:
  std::uint32_t ChooseTarget() override {
    std::uint32_t best = RandomTarget();
    double best_cost = std::numeric_limits<double>::max();
    for (std::uint32_t i = 0; i < targets(); ++i) {
      const double cost = (outstanding(i) + 1.0) * (weighted_ ? std::max(run_time_us_[i], 1.0) : 1.0);
      if (alive(i) && cost < best_cost) {
        best = i;
        best_cost = cost;
      }
    }
    return best;
  }

  void RecordRunTime(std::uint32_t target, duration run_time) override {
    // All targets get the same mix of tasks, so the mean run time is inversely proportional to the speed.
    constexpr double kSmoothingFactor = 0.005;
    const double us = static_cast<double>(run_time.count());
    double& mean = run_time_us_[target];
    mean = mean == 0 ? us : mean + kSmoothingFactor * (us - mean);
  }

 private:
  bool weighted_;
  std::vector<double> run_time_us_;
};

}  // namespace

std::vector<std::string> PolicyNames() {
  return {"bamboowing", "random", "round_robin", "two_choices", "least_outstanding", "least_outstanding_speed"};
}

std::unique_ptr<dispatch_policy> MakePolicy(const std::string& name, const dispatch_settings& settings,
                                            std::uint32_t targets, std::uint64_t seed) {
  if (name == "random") {
    return std::make_unique<random_policy>(targets, seed);
  }
  if (name == "round_robin") {
    return std::make_unique<round_robin_policy>(targets, seed);
  }
  if (name == "two_choices") {
    return std::make_unique<two_choices_policy>(targets, seed);
  }
  if (name == "least_outstanding" || name == "least_outstanding_speed") {
    return std::make_unique<least_outstanding_policy>(targets, seed, name == "least_outstanding_speed");
  }
  return MakeBamboowingPolicy(settings, targets, seed);
}

}  // namespace bamboowing::bench
