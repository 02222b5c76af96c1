/// @file
/// One shard at one entry: whether the entry leads the shard, and the leader's handling of jobs and agents.
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

/// Counters of messages between this shard leader and its agents, from which the share of wasted messages is computed.
struct message_counts {
  std::uint64_t starts = 0;
  std::uint64_t answers = 0;
  std::uint64_t refused_starts = 0;
  std::uint64_t cancels = 0;
  std::uint64_t late_answers = 0;
  std::uint64_t batches_sent = 0;
  std::uint64_t batches_received = 0;
};

/// Combines shard_owner, dispatcher and job_table. Does no I/O and reads no clock. Batches go out through
/// agent_sessions; the owner's calls to the store are taken with TakeStoreCalls().
class shard_controller {
 public:
  shard_controller(shard_id shard, const entry_settings& settings, agent_sessions& sessions, std::uint64_t seed,
                   instant now);

  const shard_id& shard() const { return shard_; }

  /// Whether this entry leads the shard; jobs are accepted only while can_accept().
  bool is_leader() const { return is_leader_; }
  bool can_accept(instant now) const { return is_leader_ && owner_->has_authority(now); }
  /// Whether this entry is about to become the leader.
  bool is_claiming() const;
  epoch claimed_epoch() const { return owner_->claimed_epoch(); }

  /// Handles a caller's submission; call only while can_accept(). The route is answered through TakeReplies().
  void Submit(const caller_request& call, reply_route route, instant now);

  /// Handles a status call or cancellation; returns false if the job is not known here.
  bool Status(std::string_view job_id, reply_route route, duration wait_limit, instant now);
  bool Cancel(std::string_view job_id, reply_route route, instant now);

  /// The caller of a route has disconnected.
  void RemoveRoute(reply_route route) { jobs_.RemoveRoute(route); }

  void OnAgentAttached(const agent_session& session, instant now);
  void OnAgentBatch(agent_session& session, const agent_batch& batch, instant now);
  void OnAgentDetached(const std::string& agent, instant now);

  void OnStoreResult(const store_result& result, instant now);
  void OnShardChanged(instant now) { owner_->OnShardChanged(now); }

  /// Releases the shard. Unfinished jobs are displaced.
  void Release(instant now);

  /// Applies the operators' configuration.
  void SetIntent(const intent_state& intent);

  /// Sets whether the operators exclude an agent's target from new tasks.
  void SetExcluded(const std::string& agent, bool excluded, instant now);

  /// Whether an agent has tasks of this leader in flight.
  bool HasTasksAt(const std::string& agent) const;

  /// Handles expired timers and starts tasks on free slots. Called after the inputs of each iteration.
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

  /// A target of the shard as shown to operators.
  struct target_view {
    std::string agent;
    std::string failure_domain;
    std::uint32_t slots = 0;
    std::uint32_t in_flight = 0;
    incarnation_id incarnation = 0;
    bool attached = false;
    bool draining = false;
    bool usable = false;
  };
  std::vector<target_view> Targets() const;

 private:
  /// State of one agent of the shard.
  struct agent_state {
    incarnation_id incarnation = 0;
    std::uint32_t slots = 0;
    std::string failure_domain;
    bool attached = false;
    bool draining = false;
    bool excluded = false;
    bool target_added = false;
    instant detached_at;
    bool status_query_pending = false;  ///< a status query is unanswered
    /// Tasks started by this leader and not yet answered, with the agent's clock that the start echoes.
    std::map<task_key, instant> in_flight;
    std::set<task_key> earlier_epoch_tasks;  ///< running, started under an earlier epoch
    /// Tasks of recovered jobs that were started under an earlier epoch and whose answers are outstanding.
    std::set<task_key> expected_answers;
  };

  /// A submission that can't be decided until more inventories have arrived.
  struct deferred_call {
    caller_request call;
    reply_route route;
    instant arrived_at;
    instant retry_at;
  };

  void Decide(const deferred_call& deferred, instant now);
  void AdmitNew(const deferred_call& deferred, instant now);
  void Resume(const deferred_call& deferred, const recovery_decision& decision, instant now);
  void ExpectAnswer(const job_spec& job, std::uint32_t task, const task_plan& plan);
  void DecideDeferred(instant now);
  void RunOwnerActions(instant now);
  void HandleOwnerAction(const owner_action& action, instant now);
  void ResetDispatcher();
  void BecomeLeader(instant now);
  void LoseLeadership();
  void AddUsableTarget(const std::string& agent, instant now);
  void UpdateSlots(const std::string& agent, agent_state& state, instant now);
  void HandleAnnouncement(const agent_session& session, instant now);
  void HandleAnswer(agent_state& state, const std::string& agent, const task_answer& answer, instant now);
  void HandleRefusal(agent_state& state, const task_refusal& refusal, instant now);
  void HandleInventory(agent_session& session, agent_state& state, const agent_batch& batch, instant now);
  void FailJob(const std::string& job_id, failure error, instant now);
  void CancelInFlight(const std::string& job_id, instant now);
  void HandleAgentLost(const std::string& agent, agent_state& state, instant now);
  void ExpireJobs(instant now);
  void CheckSilentAgents(instant now);
  void StartTasks(instant now);
  void RecordHealthChanges(instant now);
  void ReleaseDeliveredJobs();
  void RecordEvent(event_kind kind, instant now, std::string job_id, std::int64_t task, std::string peer,
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
  std::vector<deferred_call> deferred_calls_;
  bool inventory_changed_ = false;
  /// Deadlines of recovered jobs, which the dispatcher does not expire if none of their tasks is queued.
  std::multimap<instant, std::string> recovered_deadlines_;
  bool is_leader_ = false;
  std::map<std::string, agent_state> agents_;
  /// Agents to notify when a job's answer was delivered, by job id.
  std::unordered_map<std::string, std::set<std::string>> agents_of_job_;
  std::vector<owner_action> store_calls_;
  std::vector<displaced_job> displaced_;
  std::vector<event> events_;
  message_counts messages_;
  std::uint64_t ejections_ = 0;
};

}  // namespace bamboowing
