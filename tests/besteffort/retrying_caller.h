// Callers of a simulated deployment and checks of what became of their jobs.
#pragma once

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "cluster_sim.h"

namespace bamboowing {

inline std::string JobId(int number) { return "job" + std::to_string(number); }

/// End of the range of seeds of a suite; a longer one is set by CLUSTER_SEEDS.
inline int LastSeed() {
  constexpr int kSeeds = 20;
  const char* const seeds = std::getenv("CLUSTER_SEEDS");
  return 1 + (seeds == nullptr ? kSeeds : std::atoi(seeds));
}

/// Prints the trace with its times in milliseconds if CLUSTER_TRACE is set.
inline void TraceIfWanted(cluster_sim& sim) {
  if (std::getenv("CLUSTER_TRACE") != nullptr) {
    sim.trace = [&sim](const std::string& line) {
      std::cout << sim.now().time_since_epoch().count() / 1000 << " " << line << "\n";
    };
  }
}

/// Work of a task in milliseconds. Some tasks outlast the time after which a caller submits its job again.
inline int WorkOf(int job) {
  if (job % 40 == 4) {
    return 2500;
  }
  return job % 8 == 0 ? 900 : 60;
}

/// Ids of jobs of which each submission was refused although a task ran.
inline std::vector<std::string> RefusedJobsThatRan(const cluster_sim& sim) {
  std::map<std::string, bool> refused;
  for (const sim_job& job : sim.jobs()) {
    const bool now_refused = job.verdict == job_verdict::kRefused;
    refused[job.id] = now_refused && (refused.count(job.id) == 0 || refused[job.id]);
  }
  std::vector<std::string> found;
  for (const run_record& run : sim.history()) {
    if (refused[run.key.job_id]) {
      found.push_back(run.key.job_id);
    }
  }
  return found;
}

/// Submits a job and, like a caller, submits it again at any entry after it was not answered.
class retrying_caller {
 public:
  retrying_caller(cluster_sim& sim, std::size_t entries) : sim_(sim), entries_(entries) {}

  void Submit(std::size_t entry, const std::string& id, int work_ms, int submissions = kMaxSubmissions) {
    const std::size_t job = sim_.Submit(entry, id, 3, work_ms);
    if (on_submit) {
      on_submit(job);
    }
    Watch(job, submissions - 1);
  }

  std::function<void(std::size_t job)> on_submit;  ///< called with each submission, also repeated ones; may be empty

 private:
  static constexpr int kMaxSubmissions = 3;
  static constexpr duration kCheckInterval = std::chrono::milliseconds(10);
  static constexpr duration kAnswerTimeout = std::chrono::milliseconds(4000);
  static constexpr duration kRetransmitDelay = std::chrono::milliseconds(1300);

  void Watch(std::size_t job, int submissions_left) {
    sim_.After(kCheckInterval, [this, job, submissions_left] {
      const sim_job watched = sim_.jobs()[job];
      const bool timed_out = !watched.verdict && !watched.caller_gone && sim_.now() - watched.sent >= kAnswerTimeout;
      if (timed_out) {
        sim_.DisconnectCaller(job);
      }
      // The platform answers both verdicts with 504, after which callers submit again.
      const bool abandoned = watched.verdict == job_verdict::kUnknown || watched.verdict == job_verdict::kNotRepeatable;
      const bool unanswered = abandoned || watched.caller_gone || timed_out;
      if (unanswered && submissions_left > 0) {
        sim_.After(kRetransmitDelay, [this, watched, submissions_left] {
          Submit(sim_.random().Below(entries_), watched.id, watched.work_ms, submissions_left);
        });
      } else if (!unanswered && !watched.verdict) {
        Watch(job, submissions_left);
      }
    });
  }

  cluster_sim& sim_;
  std::size_t entries_;
};

}  // namespace bamboowing
