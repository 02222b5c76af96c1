// Measures the cost of a dispatch decision in steady state: one answer, one start, and one admitted job for every
// completed job.
#include <benchmark/benchmark.h>

#include <chrono>
#include <cmath>
#include <deque>

#include "bamboowing/base/random.h"
#include "bamboowing/dispatch/dispatcher.h"

namespace bamboowing {
namespace {

constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kTeams = 52;  // at the full size, see section 1 of the design

// Keeps a dispatcher at a constant number of waiting tasks with all slots busy.
class steady_state {
 public:
  steady_state(std::uint32_t targets, std::uint32_t waiting, std::uint32_t tasks_per_job)
      : dispatcher_(Settings(), 1), random_(7), tasks_per_job_(tasks_per_job) {
    for (std::uint32_t i = 0; i < targets; ++i) {
      dispatcher_.AddTarget("target-" + std::to_string(i), kSlots, now_);
    }
    while (dispatcher_.counts().waiting < waiting + targets * kSlots) {
      AdmitJob();
    }
    StartAll();
    // The first answers let the dispatcher estimate the speeds, so that the targets spread over its speed classes.
    for (std::uint32_t i = 0; i < 4 * targets * kSlots; ++i) {
      Step();
    }
  }

  // Handles one answer, starts the tasks that fit the freed slot, and admits as much work as was started.
  void Step() {
    const assignment finished = running_.front();
    running_.pop_front();
    now_ += duration(100);
    task_answer answer;
    answer.key = finished.key;
    answer.run_time = duration(static_cast<std::int64_t>(50e3 * std::exp(3 * random_.Unit())));
    dispatcher_.OnAnswered(answer, finished.target, now_);
    started_ += StartAll();
    for (; started_ >= tasks_per_job_; started_ -= tasks_per_job_) {
      AdmitJob();
    }
  }

  std::uint32_t waiting() const { return dispatcher_.counts().waiting; }

 private:
  static dispatch_settings Settings() {
    dispatch_settings settings;
    settings.max_waiting_tasks = 4'000'000;
    return settings;
  }

  void AdmitJob() {
    job_spec job;
    job.job_id = "job-" + std::to_string(next_job_++);
    job.team = "team-" + std::to_string(random_.Below(kTeams));
    // No job of a queue of a million tasks on few targets may expire during the measurement.
    job.deadline = std::chrono::hours(10'000);
    job.tasks.resize(tasks_per_job_);
    for (task_spec& task : job.tasks) {
      task.declared_run_time = duration(static_cast<std::int64_t>(50e3 * std::exp(3 * random_.Unit())));
    }
    if (dispatcher_.Admit(job, now_).has_value()) {
      std::abort();
    }
  }

  std::uint32_t StartAll() {
    starts_.clear();
    dispatcher_.NextStarts(now_, starts_);
    running_.insert(running_.end(), starts_.begin(), starts_.end());
    return static_cast<std::uint32_t>(starts_.size());
  }

  dispatcher dispatcher_;
  seeded_random random_;
  std::uint32_t tasks_per_job_;
  instant now_ = instant(std::chrono::hours(1));
  std::uint64_t next_job_ = 0;
  std::uint32_t started_ = 0;
  std::deque<assignment> running_;
  std::vector<assignment> starts_;
};

void StartOneTask(benchmark::State& state) {
  steady_state steady(static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)),
                      static_cast<std::uint32_t>(state.range(2)));
  while (state.KeepRunning()) {
    steady.Step();
  }
  state.counters["waiting"] = steady.waiting();
}

// Targets, waiting tasks, tasks in a job.
BENCHMARK(StartOneTask)
    ->ArgNames({"targets", "waiting", "tasks_per_job"})
    ->Args({10, 1'000, 34})
    ->Args({10, 100'000, 34})
    ->Args({10, 1'000'000, 34})
    ->Args({100, 100'000, 34})
    ->Args({1'000, 100'000, 34})
    ->Args({3'100, 100'000, 34})
    ->Args({3'100, 1'000'000, 34})
    ->Args({48, 100'000, 1})
    ->Args({3'100, 900'000, 1});

// Cancels one job of 34 waiting tasks and admits another one while many others wait.
void CancelOneJob(benchmark::State& state) {
  dispatcher queue(dispatch_settings(), 1);
  job_spec job;
  job.team = "team";
  job.deadline = std::chrono::hours(1);
  job.tasks.resize(34);
  const std::uint64_t jobs = static_cast<std::uint64_t>(state.range(0)) / job.tasks.size();
  std::uint64_t next = 0;
  const auto admit = [&] {
    job.job_id = "job-" + std::to_string(next++);
    if (queue.Admit(job, instant(duration(static_cast<std::int64_t>(next)))).has_value()) {
      std::abort();
    }
  };
  while (next < jobs) {
    admit();
  }
  std::vector<task_key> in_flight;
  std::uint64_t next_cancelled = 0;
  while (state.KeepRunning()) {
    queue.CancelJob("job-" + std::to_string(next_cancelled++), instant(), in_flight);
    admit();
  }
}
BENCHMARK(CancelOneJob)->ArgName("waiting")->Arg(1'000)->Arg(100'000)->Arg(990'000);

}  // namespace
}  // namespace bamboowing

BENCHMARK_MAIN();
