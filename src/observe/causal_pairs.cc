#include "bamboowing/observe/causal_pairs.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace bamboowing {
namespace {

using index_list = std::vector<std::size_t>;

/// Events of one task, by kind and by the recording process: entry or agent.
struct task_events {
  index_list sent;
  index_list started;
  index_list answered_by_agent;
  index_list answer_received;
  index_list refused_by_agent;
  index_list refusal_received;
};

/// Events of one job that concern the job as a whole.
struct job_events {
  index_list relayed;
  index_list accepted;
  index_list completed;
  index_list received;
  index_list answered;
  std::map<std::int64_t, task_events> tasks;
};

bool IsAgent(const recorded_event& one) { return one.process.role == "agent"; }

bool SameProcess(const recorded_event& a, const recorded_event& b) {
  return a.process.incarnation == b.process.incarnation && a.process.id == b.process.id;
}

bool AttemptsAgree(const event& a, const event& b) { return a.attempt < 0 || b.attempt < 0 || a.attempt == b.attempt; }

/// An entry that loses a target records a task_answered event of its own, which has no cause at the agent.
bool IsLostTarget(const event& answered) { return answered.error == error_kind::kTargetLost; }

class pair_finder {
 public:
  explicit pair_finder(span<const recorded_event> events) : events_(events) {
    for (std::size_t i = 0; i < events_.size(); ++i) {
      process_ids_.insert(events_[i].process.id);
      AddEvent(i);
    }
  }

  std::vector<causal_pair> Find() {
    for (const std::pair<const std::string_view, job_events>& one : jobs_) {
      PairJob(one.second);
    }
    PairSessions();
    // The iteration order of jobs_ depends on the hash; sorting makes the same logs always give the same timeline.
    std::sort(pairs_.begin(), pairs_.end(), [](const causal_pair& a, const causal_pair& b) {
      return std::tie(a.effect, a.cause) < std::tie(b.effect, b.cause);
    });
    return std::move(pairs_);
  }

 private:
  void AddEvent(std::size_t index) {
    const event& record = events_[index].record;
    if (record.kind == event_kind::kSessionOpened && record.number != 0) {
      sessions_[record.number].push_back(index);
    }
    if (record.job_id.empty()) {
      return;
    }
    job_events& job = jobs_[record.job_id];
    if (record.task < 0) {
      AddJobEvent(index, job);
    } else {
      AddTaskEvent(index, job.tasks[record.task]);
    }
  }

  void AddJobEvent(std::size_t index, job_events& job) const {
    switch (events_[index].record.kind) {
      case event_kind::kJobRelayed:
        job.relayed.push_back(index);
        break;
      case event_kind::kJobAccepted:
        job.accepted.push_back(index);
        break;
      case event_kind::kJobCompleted:
        job.completed.push_back(index);
        break;
      case event_kind::kCallReceived:
        job.received.push_back(index);
        break;
      case event_kind::kCallAnswered:
        job.answered.push_back(index);
        break;
      default:
        break;
    }
  }

  void AddTaskEvent(std::size_t index, task_events& task) const {
    const bool agent = IsAgent(events_[index]);
    switch (events_[index].record.kind) {
      case event_kind::kTaskSent:
        task.sent.push_back(index);
        break;
      case event_kind::kTaskStarted:
        task.started.push_back(index);
        break;
      case event_kind::kTaskAnswered:
        (agent ? task.answered_by_agent : task.answer_received).push_back(index);
        break;
      case event_kind::kTaskRefused:
        (agent ? task.refused_by_agent : task.refusal_received).push_back(index);
        break;
      default:
        break;
    }
  }

  void PairJob(const job_events& job) {
    for (const std::pair<const std::int64_t, task_events>& one : job.tasks) {
      PairTask(one.second);
    }
    for (const std::size_t accepted : job.accepted) {
      if (WasRelayed(job, accepted)) {
        PairEarliest(job.relayed, accepted);
      }
    }
    for (const std::size_t answered : job.answered) {
      // An answer that is sent before the job ends has neither an error nor results.
      if (!events_[answered].record.error && events_[answered].record.count >= 0) {
        PairEarliest(job.completed, answered);
      }
    }
  }

  /// Whether the shard leader accepted the job from another entry: the event names that entry as its peer, or the
  /// leader received no call for the job itself.
  bool WasRelayed(const job_events& job, std::size_t accepted) const {
    if (process_ids_.count(events_[accepted].record.peer) != 0) {
      return true;
    }
    return !job.received.empty() && std::none_of(job.received.begin(), job.received.end(), [&](std::size_t call) {
      return SameProcess(events_[call], events_[accepted]);
    });
  }

  void PairTask(const task_events& task) {
    for (const std::size_t started : task.started) {
      PairEarliest(task.sent, started);
    }
    for (const std::size_t refused : task.refused_by_agent) {
      PairEarliest(task.sent, refused);
    }
    for (const std::size_t received : task.answer_received) {
      if (!IsLostTarget(events_[received].record)) {
        PairEarliest(task.answered_by_agent, received);
      }
    }
    for (const std::size_t received : task.refusal_received) {
      PairEarliest(task.refused_by_agent, received);
    }
  }

  void PairSessions() {
    for (const std::pair<const std::uint64_t, index_list>& one : sessions_) {
      const index_list& endpoints = one.second;
      if (endpoints.size() != 2) {
        continue;
      }
      const std::size_t agent = IsAgent(events_[endpoints[0]]) ? endpoints[0] : endpoints[1];
      const std::size_t entry = agent == endpoints[0] ? endpoints[1] : endpoints[0];
      if (IsAgent(events_[agent]) && !IsAgent(events_[entry]) &&
          events_[entry].record.peer == events_[agent].process.id) {
        pairs_.push_back({agent, entry});
      }
    }
  }

  /// Pairs @p effect with its earliest possible cause. The true cause is that one or a later one of the same process,
  /// so the bound holds in either case. Possible causes at several processes give no reliable bound.
  void PairEarliest(const index_list& causes, std::size_t effect) {
    const std::size_t* earliest = nullptr;
    for (const std::size_t& cause : causes) {
      if (!MayCause(events_[cause], events_[effect])) {
        continue;
      }
      if (earliest == nullptr) {
        earliest = &cause;
      } else if (!SameProcess(events_[*earliest], events_[cause])) {
        return;
      }
    }
    if (earliest != nullptr && !SameProcess(events_[*earliest], events_[effect])) {
      pairs_.push_back({*earliest, effect});
    }
  }

  bool MayCause(const recorded_event& cause, const recorded_event& effect) const {
    return AttemptsAgree(cause.record, effect.record) && PeerMatches(cause.record, effect) &&
           PeerMatches(effect.record, cause);
  }

  /// Whether the peer of @p record is @p other. A peer that is not the id of a known process, such as an address or a
  /// service, matches every process.
  bool PeerMatches(const event& record, const recorded_event& other) const {
    return record.peer == other.process.id || process_ids_.count(record.peer) == 0;
  }

  span<const recorded_event> events_;
  std::set<std::string_view> process_ids_;
  std::unordered_map<std::string_view, job_events> jobs_;
  std::map<std::uint64_t, index_list> sessions_;
  std::vector<causal_pair> pairs_;
};

}  // namespace

std::vector<causal_pair> FindCausalPairs(span<const recorded_event> events) { return pair_finder(events).Find(); }

}  // namespace bamboowing
