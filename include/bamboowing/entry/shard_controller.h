/// @file
/// One shard at one entry: whether the entry is home, and what the home does with jobs and agents.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bamboowing/dispatch/dispatcher.h"
#include "bamboowing/entry/agent_sessions.h"
#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/entry/entry_settings.h"
#include "bamboowing/entry/intent_state.h"
#include "bamboowing/entry/job_table.h"
#include "bamboowing/ownership/job_recovery.h"
#include "bamboowing/ownership/shard_owner.h"

namespace bamboowing {

/// Counters of messages between this home and its agents, for the share of wasted messages.
struct message_counts {
  std::uint64_t starts = 0;
  std::uint64_t answers = 0;
  std::uint64_t refused_starts = 0;
  std::uint64_t cancels = 0;
  std::uint64_t late_answers = 0;
  std::uint64_t batches_sent = 0;
  std::uint64_t batches_received = 0;
};

/// Joins shard_owner, dispatcher and job_table. Does no I/O and reads no clock. Batches go out through agent_sessions;
/// the owner's calls to the store are taken with TakeStoreCalls().
class shard_home {
 public:
  shard_home(shard_id shard, const entry_settings& settings, agent_sessions& sessions, std::uint64_t seed, instant now);

  const shard_id& shard() const { return shard_; }

  /// Whether this entry is home; jobs are accepted only while can_accept().
  bool is_home() const { return home_; }
  bool can_accept(instant now) const { return home_ && owner_->has_authority(now); }
  /// Whether this entry is about to become home.
  bool is_claiming() const;
  epoch known_epoch() const { return owner_->claimed_epoch(); }

  /// A caller's submission, to be called only while can_accept(). The route is answered through TakeReplies().
  void Submit(const caller_request& call, reply_route route, instant now);

  /// A status call or cancellation; false if the job is not known here.
  bool Status(std::string_view job_id, reply_route route, duration wait_limit, instant now);
  bool Cancel(std::string_view job_id, reply_route route, instant now);

  /// The caller of a route has gone.
  void Forget(reply_route route) { jobs_.Forget(route); }

  void OnAgentAttached(const agent_session& session, instant now);
  void OnAgentBatch(agent_session& session, const agent_batch& batch, instant now);
  void OnAgentDetached(const std::string& agent, instant now);

  void OnStoreResult(const store_result& result, instant now);
  void OnShardChanged(instant now) { owner_->OnShardChanged(now); }

  /// Gives the shard up. Jobs that have not ended are displaced.
  void Release(instant now);

  /// Applies the operators' configuration.
  void SetIntent(const intent_state& intent);

  /// Whether the operators keep an agent's target from work.
  void SetExcluded(const std::string& agent, bool excluded, instant now);

  /// Whether an agent has tasks of this home in flight.
  bool HasTasksAt(const std::string& agent) const;

  /// Handles what is due and starts what can be started. Called after each iteration.
  void Advance(instant now);
  std::optional<instant> next_wakeup() const;

  void TakeReplies(std::vector<routed_reply>& out) { jobs_.TakeReplies(out); }
  void TakeStoreCalls(std::vector<owner_action>& out);
  void TakeDisplaced(std::vector<displaced_job>& out);
  void TakeEvents(std::vector<event>& out);

  dispatch_counts counts() const { return dispatcher_->counts(); }
  std::vector<team_depth> TeamDepths() const { return dispatcher_->TeamDepths(); }
  const message_counts& messages() const { return messages_; }
  std::uint64_t ejections() const { return ejections_; }
  const job_table& jobs() const { return jobs_; }
  const shard_owner& owner() const { return *owner_; }

  /// One target of the shard as operators see it.
  struct target_view {
    std::string agent;
    std::string failure_domain;
    std::uint32_t slots = 0;
    std::uint32_t in_flight = 0;
    incarnation life = 0;
    bool attached = false;
    bool draining = false;
    bool usable = false;
  };
  std::vector<target_view> Targets() const;

 private:
  /// What the home knows of one agent of the shard.
  struct agent_state {
    incarnation life = 0;
    std::uint32_t slots = 0;
    std::string failure_domain;
    bool attached = false;
    bool draining = false;
    bool excluded = false;
    bool target_added = false;
    instant detached_at;
    bool queried = false;                   ///< a status query is under way
    std::map<task_key, instant> in_flight;  ///< started by this home and not yet answered, with the echo of the start
    std::set<task_key> foreign;             ///< running, started under an earlier epoch
    std::set<task_key> expected;  ///< of recovered jobs: started under an earlier epoch, the answer is to come
  };

  /// A submission about which the inventories do not tell enough yet.
  struct held_call {
    caller_request call;
    reply_route route;
    instant arrived;
    instant decide_again;
  };

  void Decide(const held_call& held, instant now);
  void AdmitNew(const held_call& held, instant now);
  void Resume(const held_call& held, const recovery_decision& decision, instant now);
  void ExpectAnswer(const job_spec& job, std::uint32_t task, const task_plan& plan);
  void DecideHeld(instant now);
  void RunOwnerActions(instant now);
  void HandleOwner(const owner_action& action, instant now);
  void RenewDispatcher();
  void BecomeHome(instant now);
  void LoseHome();
  void AddUsableTarget(const std::string& agent, instant now);
  void UpdateSlots(const std::string& agent, agent_state& state, instant now);
  void TakeAnnouncement(const agent_session& session, instant now);
  void TakeAnswer(agent_state& state, const std::string& agent, const task_answer& answer, instant now);
  void TakeRefusal(agent_state& state, const task_refusal& refusal, instant now);
  void TakeInventory(agent_session& session, agent_state& state, const agent_batch& batch, instant now);
  void FailJob(const std::string& job_id, failure why, instant now);
  void CancelInFlight(const std::string& job_id, instant now);
  void LoseAgent(const std::string& agent, agent_state& state, instant now);
  void ExpireJobs(instant now);
  void CheckSilence(instant now);
  void StartTasks(instant now);
  void RecordHealth(instant now);
  void ReleaseDelivered();
  void Record(event_kind kind, instant now, std::string job_id, std::int64_t task, std::string peer,
              std::uint64_t number, std::string detail);

  shard_id shard_;
  entry_settings settings_;
  agent_sessions& sessions_;
  std::uint64_t seed_;
  std::unique_ptr<shard_owner> owner_;
  std::unique_ptr<dispatcher> dispatcher_;
  std::vector<team_share> teams_;
  dispatch_limits limits_;
  job_recovery recovery_;
  job_table jobs_;
  std::vector<held_call> held_;
  bool inventory_changed_ = false;
  std::multimap<instant, std::string> recovered_deadlines_;  ///< of recovered jobs, whose tasks may not be queued
  bool home_ = false;
  std::map<std::string, agent_state> agents_;
  std::unordered_map<std::string, std::set<std::string>> agents_of_job_;  ///< agents to tell about the delivery
  std::vector<owner_action> store_calls_;
  std::vector<displaced_job> displaced_;
  std::vector<event> events_;
  message_counts messages_;
  std::uint64_t ejections_ = 0;
};

}  // namespace bamboowing
