// Entries (shard_owner and job_recovery) and agents (agent_core) with a message queue in virtual time.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "../ownership/fake_store.h"
#include "bamboowing/agent/agent_core.h"
#include "bamboowing/base/random.h"
#include "bamboowing/ownership/job_recovery.h"
#include "bamboowing/ownership/shard_owner.h"

namespace bamboowing {

class cluster_sim {
 public:
  static constexpr duration kStep = std::chrono::milliseconds(20);
  enum class task_state { kQueued, kSent, kAwaited, kDone };
  struct sim_task {
    task_state state = task_state::kQueued;
    std::size_t agent = 0;
    std::uint32_t attempt = 0;
    instant echo;  ///< clock of the agent that the start echoed
  };
  struct sim_job {
    std::vector<sim_task> tasks;
    bool failed = false;
    bool complete() const {
      return std::all_of(tasks.begin(), tasks.end(), [](const sim_task& t) { return t.state == task_state::kDone; });
    }
  };
  struct sim_link {
    bool attached = false;  ///< the entry received a batch in this session
    incarnation_id agent_life = 0;
    instant agent_clock;
    std::uint64_t session = 0;
    bool open = false;
    bool cut = false;
    bool silent = false;  ///< a message was lost: the session stays silent, as a broken TCP connection does
    instant last_arrival[2];
  };
  struct sim_entry {
    incarnation_id life = 0;
    bool paused = false;
    bool store_cut = false;
    std::unique_ptr<shard_owner> owner;
    job_recovery recovery{recovery_settings{}};
    std::map<std::string, sim_job> jobs;
    std::map<std::size_t, sim_link> links;
  };
  struct sim_agent {
    incarnation_id life = 0;
    bool paused = false;
    std::unique_ptr<agent_core> core;
    std::map<task_key, instant> running;
    std::set<task_key> refused;
  };
  struct client_job {
    std::string id;
    std::size_t tasks = 1;
    instant first_sent;
    instant next_try;
    bool marked = false;
    bool done = false;
    bool failed = false;
  };

  fake_store store;
  instant now{std::chrono::seconds(1000)};
  std::vector<sim_entry> entries{3};
  std::vector<sim_agent> agents{3};
  std::vector<client_job> clients;
  seeded_random random;

  explicit cluster_sim(std::uint64_t seed) : random(seed) {
    for (std::size_t e = 0; e < entries.size(); ++e) RestartEntry(e);
    for (std::size_t a = 0; a < agents.size(); ++a) RestartAgent(a);
  }

  static std::string Address(std::size_t e) { return "127.0.0.1:" + std::to_string(7001 + e); }
  static std::string AgentId(std::size_t a) { return "agent-" + std::to_string(a); }

  void RestartEntry(std::size_t e);
  void RestartAgent(std::size_t a);
  void Submit(std::size_t tasks, bool marked);
  void Step();

 private:
  using message = std::function<void()>;
  void Post(bool to_agent, std::size_t e, std::size_t a, message deliver);
  void Receive(bool is_agent, std::size_t i, incarnation_id life, const message& deliver);
  void CloseLink(std::size_t e, std::size_t a, bool tell_agent);
  void ActAgent(std::size_t a);
  void OpenLink(std::size_t e, std::size_t a);
  void RunTask(std::size_t a, const task_key& key, epoch started_by);
  void ActEntry(std::size_t e);
  void SendToAgent(std::size_t e, std::size_t a, const std::function<void(entry_batch&)>& fill);
  void OnAgentBatch(std::size_t e, std::size_t a, const agent_batch& batch);
  void Reconcile(std::size_t e, std::size_t a, const agent_batch& batch);
  void Dispatch(std::size_t e);
  void Finish(std::size_t e);
  void Accept(std::size_t e, client_job& job);
  static const held_task* Held(const agent_batch& batch, const std::string& job, std::uint32_t task);
  client_job* Client(const std::string& id);

  std::multimap<instant, message> net_;
  std::map<std::pair<bool, std::size_t>, std::vector<message>> waiting_;  ///< for paused receivers
  std::uint64_t lives_ = 0;
  std::set<std::pair<std::string, std::uint32_t>> started_;
  std::map<epoch, instant> last_authority_;
};

}  // namespace bamboowing
