/// @file
/// Decision logic of an agent: which starts it accepts, which answers it sends to which entry, and how it
/// maintains its sessions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/agent/agent_settings.h"
#include "bamboowing/agent/session_table.h"
#include "bamboowing/agent/task_ledger.h"
#include "bamboowing/base/types.h"
#include "bamboowing/message/batch.h"

namespace bamboowing {

/// Decision core of the agent beside one target. It does no I/O and reads no clock: each input carries the time and may
/// append actions, which the process takes with actions() and ClearActions(). Times must not decrease.
///
/// Rules:
/// - A (job, task) pair is started at most once while the agent retains its record, regardless of attempt, epoch and
///   entry. A repeated start gets the same answer again; it is never refused as not run.
/// - A start is refused when its epoch is lower than the highest seen, when its echo of the agent's clock is older than
///   `authority_timeout` or comes from another incarnation of the agent, when no slot is free, and while the target is
///   absent or draining. A refused start never runs.
/// - Answers go to the leader of the shard: the entry that sent a claim or a start with the highest epoch. Each answer
///   is sent once without a request and retained until the job is released, `retention` has passed, or
///   `retained_bytes_limit` is exceeded.
/// - On a new session with the leader, and whenever the leader queries it, the agent reports the tasks that it started.
///   It then refuses starts on this session that were sent before the leader had received the report. A task that is
///   missing from a report was therefore not started if its start echoed a clock below the report's `sent_at`. The
///   report, which may be a delayed copy, says nothing about starts with a newer echo.
///
/// An entry must send a batch on each session at least once per heartbeat interval, and every 500 ms while the agent
/// runs tasks for it; otherwise the agent treats the session as dead and replaces it. The agent acknowledges each batch
/// of the leader at once, so an entry must not reply to a bare acknowledgement.
///
/// Memory is bounded by the limits of task_ledger, `session_table::kMaxSessions` sessions, kMaxRefusals recorded
/// refusals, and the actions that were not yet cleared.
class agent_core {
 public:
  /// Bound of the recorded refusals. When it is reached, the records are dropped and every start that is still in
  /// transit is refused instead.
  static constexpr std::size_t kMaxRefusals = 4096;
  /// Bound of the former shards whose highest epoch is retained after the agent moved to another shard.
  static constexpr std::size_t kMaxShards = 64;

  /// @param seed seeds the random jitter of reconnects.
  agent_core(agent_settings settings, std::uint64_t seed, instant now);

  /// The target announced itself, for the first time or again.
  void OnTargetAnnounced(const target_announcement& target, instant now);

  /// The target announced that it leaves, or it was lost. Running tasks still end with OnTaskEnded().
  void OnTargetLeft(instant now);

  void OnSessionOpened(std::string_view address, instant now);

  /// A session broke, or an attempt to connect failed.
  void OnSessionClosed(std::string_view address, instant now);

  void OnBatch(std::string_view address, const entry_batch& batch, instant now);

  /// A task of a run_task action ended. A second report for the same task is ignored.
  void OnTaskEnded(const task_answer& answer, instant now);

  /// The process is asked to exit: no new work from now on; see drained().
  void OnDrain(instant now);

  /// Whether the process may exit: it is draining, no task runs, and the leader has received all answers. While answers
  /// of unreleased jobs are retained, it waits for `drain_grace_period` after the last change, so that a new leader can
  /// fetch them.
  bool drained() const { return drained_; }

  /// Must be called at next_wakeup() and may be called at any other time.
  void OnTick(instant now);

  /// When OnTick() is due; nullopt when only an input can cause an action.
  std::optional<instant> next_wakeup() const;

  /// Actions in order. Valid until the next call that is not const.
  span<const agent_action> actions() const { return actions_; }
  void ClearActions();

  /// Highest epoch seen for the agent's shard.
  epoch highest_epoch() const { return highest_epoch_; }
  const task_ledger& ledger() const { return ledger_; }

 private:
  /// The leader of the shard.
  struct leader_entry {
    std::string address;
    std::string id;
    incarnation_id incarnation = 0;
  };

  agent_batch& OutgoingBatch(entry_session& session, instant now);
  entry_session* LeaderSession();
  leader_view Leader() const;
  bool is_unavailable() const;
  target_announcement Announcement() const;
  void Announce(instant now);
  void AnnounceOn(entry_session& session, instant now);
  void RecordEvent(event_kind kind, instant now, const task_key* key, std::string peer, std::uint64_t number,
                   std::string detail);

  bool AcceptLeader(entry_session& session, const entry_batch& batch, instant now);
  bool MoveToShard(const entry_batch& batch, instant now);
  void RaiseEpoch(epoch value, instant now);
  void AcknowledgeClaim(entry_session& session, const entry_batch& batch, instant now);
  void RecordReport(const agent_batch& report);
  void SendStatusReport(entry_session& session, instant now);
  void ApplyIntent(const entry_batch& batch, instant now);
  void HandleStart(entry_session& session, const entry_batch& batch, const start_task& start, instant now);
  std::optional<error_kind> ReasonToRefuse(const entry_session& session, const entry_batch& batch, const task_key& key,
                                           instant now) const;
  bool EchoIsStale(const batch_header& header, instant fence, instant now) const;
  void Refuse(entry_session& session, const task_key& key, error_kind kind, instant now);
  void RecordRefusal(const task_key& key, instant now);
  void ResendAnswer(entry_session& session, const task_key& key, const task_record& record, instant now);
  void SendAnswer(entry_session& session, const task_answer& answer, instant now);
  void HandleCancel(entry_session& session, const task_key& key, instant now);
  void HandleFetch(entry_session& session, const std::string& job_id, instant now);

  void ExpireRefusals(instant now);
  void SendHeartbeats(instant now);
  void CheckTargetTimeout(instant now);
  void CheckDrained(instant now);

  agent_settings settings_;
  session_table sessions_;
  task_ledger ledger_;
  std::vector<agent_action> actions_;
  std::map<std::string, std::size_t> outgoing_;  ///< index in actions_ of the batch that is still being filled

  std::optional<target_announcement> target_;
  instant target_last_seen_;
  bool operators_drain_ = false;
  bool draining_ = false;
  bool drained_ = false;
  instant last_change_;      ///< last end of a task, change of leader, or start of the drain
  instant last_clock_sent_;  ///< newest clock value sent; no two batches carry the same one

  std::optional<shard_id> shard_;
  std::map<shard_id, epoch> other_shards_;
  epoch highest_epoch_ = 0;
  std::optional<leader_entry> leader_;
  instant leader_last_contact_;
  config_version config_version_ = 0;

  std::map<task_key, instant> refused_;  ///< time after which a delayed copy of the start is refused as stale
  instant refusal_fence_;                ///< starts with an older echo are refused on every session
  instant last_answer_clock_;            ///< clock of the newest batch to the leader with an answer
  bool has_unsent_answer_ = false;       ///< a task ended while no session with the leader was open
};

}  // namespace bamboowing
