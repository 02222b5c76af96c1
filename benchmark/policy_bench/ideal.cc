#include "ideal.h"

#include <algorithm>
#include <queue>
#include <set>
#include <utility>

namespace bamboowing::bench {
namespace {

struct task_completion {
  instant at;
  std::uint32_t target = 0;
  std::uint32_t job = 0;
  bool operator<(const task_completion& other) const { return at > other.at; }
};

class ideal_scheduler {
 public:
  ideal_scheduler(const std::vector<bench_job>& trace, ideal_order order)
      : trace_(trace),
        order_(order),
        speeds_(TargetSpeeds()),
        free_slots_(speeds_.size(), kSlots),
        jobs_(trace.size()) {
    for (std::uint32_t i = 0; i < trace.size(); ++i) {
      for (const bench_task& task : trace[i].tasks) {
        jobs_[i].waiting.push_back(task.work);
        jobs_[i].work += task.work;
      }
      // The longest task is taken from the back.
      std::sort(jobs_[i].waiting.begin(), jobs_[i].waiting.end());
      jobs_[i].unfinished = static_cast<std::uint32_t>(trace[i].tasks.size());
    }
  }

  std::vector<duration> Run() {
    std::vector<duration> responses(trace_.size());
    std::uint32_t next_job = 0;
    while (next_job < trace_.size() || !completions_.empty()) {
      if (next_job < trace_.size() && (completions_.empty() || trace_[next_job].sent <= completions_.top().at)) {
        now_ = trace_[next_job].sent;
        queue_.insert({Rank(next_job), next_job});
        ++next_job;
      } else {
        const task_completion completion = completions_.top();
        completions_.pop();
        now_ = completion.at;
        ++free_slots_[completion.target];
        if (--jobs_[completion.job].unfinished == 0) {
          responses[completion.job] = now_ - trace_[completion.job].sent;
        }
      }
      StartTasks();
    }
    return responses;
  }

 private:
  struct job_state {
    std::vector<duration> waiting;
    duration work{0};
    std::uint32_t unfinished = 0;
  };

  std::int64_t Rank(std::uint32_t job) const { return order_ == ideal_order::kArrival ? job : jobs_[job].work.count(); }

  void StartTasks() {
    std::size_t target = speeds_.size();
    while (!queue_.empty()) {
      while (target > 0 && free_slots_[target - 1] == 0) {
        --target;
      }
      if (target == 0) {
        return;
      }
      StartOne(static_cast<std::uint32_t>(target - 1));
    }
  }

  void StartOne(std::uint32_t target) {
    const std::uint32_t job = queue_.begin()->second;
    queue_.erase(queue_.begin());
    job_state& state = jobs_[job];
    const duration work = state.waiting.back();
    state.waiting.pop_back();
    state.work -= work;
    if (!state.waiting.empty()) {
      queue_.insert({Rank(job), job});
    }
    --free_slots_[target];
    const double run_us = static_cast<double>(work.count()) / speeds_[target];
    completions_.push({now_ + duration(static_cast<std::int64_t>(run_us)), target, job});
  }

  const std::vector<bench_job>& trace_;
  ideal_order order_;
  std::vector<double> speeds_;
  std::vector<std::uint32_t> free_slots_;
  std::vector<job_state> jobs_;
  std::set<std::pair<std::int64_t, std::uint32_t>> queue_;
  std::priority_queue<task_completion> completions_;
  instant now_;
};

}  // namespace

std::vector<duration> IdealResponses(const std::vector<bench_job>& trace, ideal_order order) {
  return ideal_scheduler(trace, order).Run();
}

}  // namespace bamboowing::bench
