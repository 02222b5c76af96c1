// Entries, agents and targets in virtual time, with faults.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/base/random.h"
#include "bamboowing/besteffort/agent_demand.h"
#include "bamboowing/besteffort/dispatch_core.h"
#include "bamboowing/besteffort/run_manager.h"
#include "fake_target.h"

namespace bamboowing {

/// The service of all targets.
constexpr const char* kSimService = "inspect";

/// What happens to messages and orders, as shares from 0 to 1.
struct sim_faults {
  double late_orders = 0;  ///< orders that get no answer, of which starts and stops are carried out seconds later
};

struct sim_job {
  std::string id;
  call_id call = 0;
  std::size_t entry = 0;
  int work_ms = 0;
  instant sent;
  std::optional<job_verdict> verdict;
  instant answered;
  bool gone = false;  ///< the caller left, or its entry died
};

/// Runs the decision objects of a small deployment. Each process has its own clock offset.
class cluster_sim {
 public:
  /// @p cores of each target.
  cluster_sim(std::size_t entries, std::size_t targets, std::uint64_t seed, std::uint32_t cores = 4);

  instant now() const { return now_; }
  seeded_random& random() { return random_; }
  void RunFor(duration time);
  void After(duration delay, std::function<void()> what);

  /// Submits a job of @p tasks tasks of @p work_ms each at an entry. Returns its position in jobs().
  std::size_t Submit(std::size_t entry, const std::string& id, std::uint32_t tasks, int work_ms);
  void LeaveCaller(std::size_t job);

  void KillEntry(std::size_t entry, duration down);
  void FreezeEntry(std::size_t entry, duration time);
  void KillAgent(std::size_t agent, duration down);
  void FreezeAgent(std::size_t agent, duration time);
  /// No message passes between the two for a time; none is lost.
  void Cut(std::size_t entry, std::size_t agent, duration time);
  void ResetSession(std::size_t entry, std::size_t agent);
  void CrashTarget(std::size_t target, duration down);
  void SilenceTarget(std::size_t target, duration time);

  fake_target& target(std::size_t index) { return *agents_[index]->target; }
  run_keeper* keeper(std::size_t index) { return agents_[index]->core.get(); }
  dispatch_core* entry(std::size_t index) { return entries_[index]->core.get(); }
  const std::vector<sim_job>& jobs() const { return jobs_; }
  const std::vector<run_record>& history() const { return history_; }
  std::uint32_t task_millicores = 1000;  ///< need of each task
  sim_faults faults;
  std::size_t reports = 0;                             ///< batches that agents have sent
  std::function<void(const std::string& line)> trace;  ///< receives the decisions that the processes note; may be empty

  /// Open sessions of an agent.
  std::size_t SessionsOf(std::size_t agent) const { return agents_[agent]->sessions.size(); }

  /// Tasks that ran twice at the same time, one line each.
  std::vector<std::string> OverlappingRuns() const;
  /// Jobs that were refused as not run and have a run.
  std::vector<std::string> RefusedThatRan() const;

 private:
  struct entry_node {
    std::unique_ptr<dispatch_core> core;
    incarnation life = 0;
    instant frozen_until;
    std::vector<std::function<void()>> held;  ///< inputs that arrived while frozen
    bool replaying = false;                   ///< the held inputs are being handled
  };
  struct agent_node {
    std::unique_ptr<run_keeper> core;
    std::unique_ptr<fake_target> target;
    incarnation life = 0;
    instant frozen_until;
    std::vector<std::function<void()>> held;
    bool replaying = false;
    instant target_down_until;
    instant target_silent_until;
    std::map<std::size_t, session_id> sessions;  ///< by entry
  };

  static std::string Address(std::size_t entry) { return "10.0.0." + std::to_string(entry) + ":7000"; }
  /// As the entries register after a while.
  bool WantsAgents() const { return targets_ < agent_demand::kFewest; }
  static std::string AgentId(std::size_t agent) { return "agent-" + std::to_string(agent); }
  void StartEntry(std::size_t entry);
  void StartAgent(std::size_t agent);
  void ToEntry(std::size_t entry, std::function<void(dispatch_core&)> input);
  void ToAgent(std::size_t agent, std::function<void(run_keeper&)> input);
  template <typename Node>
  void Replay(Node& node);
  void StepEntry(std::size_t entry);
  void StepAgent(std::size_t agent);
  void Do(std::size_t entry, const dispatch_action& action);
  void Do(std::size_t agent, const run_action& action);
  void Open(std::size_t agent, const std::string& address);
  void CloseSession(std::size_t entry, std::size_t agent, bool tell_entry, bool tell_agent);
  std::optional<std::size_t> EntryAt(const std::string& address) const;
  duration Delay(std::size_t entry, std::size_t agent);
  template <typename Answer, typename Order>
  void OrderTarget(std::size_t agent, const Order& order, std::uint64_t call);
  void AnswerHold(std::size_t agent, const call_hold& hold, instant asked);
  void Announce(std::size_t agent);

  instant now_{std::chrono::seconds(1000)};
  seeded_random random_;
  std::uint64_t seed_;
  std::size_t targets_;
  std::uint32_t cores_;
  std::multimap<instant, std::function<void()>> events_;
  std::vector<std::unique_ptr<entry_node>> entries_;
  std::vector<std::unique_ptr<agent_node>> agents_;
  std::map<std::pair<std::size_t, std::size_t>, instant> cuts_;  ///< until when
  std::map<std::pair<std::size_t, std::size_t>, instant> last_arrival_;
  std::vector<run_record> history_;
  std::vector<sim_job> jobs_;
  session_id last_session_ = 0;
  incarnation last_life_ = 0;
};

}  // namespace bamboowing
