/// @file
/// All decisions of an agent: which starts it accepts, what it answers to whom, and how it keeps its sessions.
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

/// The agent beside one target. Does no I/O and reads no clock: each input carries the time, and each may append
/// actions, which the process takes with actions() and ClearActions(). Times must not go backwards.
///
/// Rules:
/// - A (job, task) pair is started at most once in the life of the agent's record of it, whatever the attempt, epoch or
///   entry. A repeated start is answered again, never refused as not run.
/// - A start is refused, and then certainly never runs, when its epoch is lower than the highest seen, when its echo of
///   the agent's clock is older than `authority_timeout` or from another life of the agent, when no slot is free, and
///   while the target is absent or leaving.
/// - Answers go to the home of the shard: the entry that sent a claim or a start with the highest epoch. Each answer is
///   sent once unasked and kept until the job is released, `retention` has passed, or `retained_bytes_limit` is full.
/// - On a fresh session with the home, the agent first reports what it holds; it also does so when the home asks. From
///   then on it refuses starts of this session that were sent before the home had the report. A task that is missing in
///   a report is therefore certainly not started if its start echoed a clock below the report's `sent_at`. About a
///   start with a newer echo the report, perhaps a late copy, says nothing.
///
/// An entry must send something on each session at least every heartbeat interval, and every 500 ms while tasks of it
/// run here; else the agent takes the session for silent and replaces it. The agent confirms each batch of the home at
/// once, so an entry must not answer a mere confirmation.
///
/// Memory: the bounds of task_ledger, `session_table::kMaxSessions` sessions, kMaxRefused remembered refusals, and the
/// actions that were not yet cleared.
class agent_core {
 public:
  /// Remembered refusals; above it, all starts that are under way are refused instead.
  static constexpr std::size_t kMaxRefused = 4096;
  /// Shards whose highest epoch is remembered after the agent moved to another shard.
  static constexpr std::size_t kMaxShards = 64;

  /// @param seed decides the jitter of reconnects.
  agent_core(agent_settings settings, std::uint64_t seed, instant now);

  /// The target announced itself, for the first time or again.
  void OnTargetAnnounced(const target_announcement& target, instant now);

  /// The target said that it leaves, or is known to be gone. Running tasks still end by OnTaskEnded.
  void OnTargetLeft(instant now);

  void OnSessionOpened(std::string_view address, instant now);

  /// A session broke, or an attempt to connect failed.
  void OnSessionClosed(std::string_view address, instant now);

  void OnBatch(std::string_view address, const entry_batch& batch, instant now);

  /// A task of a run_task action ended. A second report for the same task is ignored.
  void OnTaskEnded(const task_answer& answer, instant now);

  /// The process is asked to exit: no new work from now on; see drained().
  void OnDrain(instant now);

  /// Whether the process may exit: draining, nothing runs, and the home has received all answers. Answers of jobs that
  /// are not released keep the agent for `drain_linger` after the last change, so that a new home can fetch them.
  bool drained() const { return drained_; }

  /// Called at next_wakeup() and at any other time.
  void OnTick(instant now);

  /// When OnTick() is due; nullopt when only an input can cause an action.
  std::optional<instant> next_wakeup() const;

  /// Actions in order. Valid until the next call that is not const.
  span<const agent_action> actions() const { return actions_; }
  void ClearActions();

  /// Highest epoch seen for the agent's shard.
  epoch highest_epoch() const { return highest_; }
  const task_ledger& ledger() const { return ledger_; }

 private:
  /// The entry that is home of the shard.
  struct home_entry {
    std::string address;
    std::string id;
    incarnation_id life = 0;
  };

  agent_batch& Outgoing(entry_session& session, instant now);
  entry_session* HomeSession();
  home_view Home() const;
  bool leaving() const;
  target_announcement Announcement() const;
  void Announce(instant now);
  void AnnounceOn(entry_session& session, instant now);
  void Record(event_kind kind, instant now, const task_key* key, std::string peer, std::uint64_t number,
              std::string detail);

  bool AcceptHeader(entry_session& session, const entry_batch& batch, instant now);
  bool MoveToShard(const entry_batch& batch, instant now);
  void RaiseEpoch(epoch value, instant now);
  void Acknowledge(entry_session& session, const entry_batch& batch, instant now);
  void NoteReport(const agent_batch& report);
  void ReportHeld(entry_session& session, instant now);
  void ApplyIntent(const entry_batch& batch, instant now);
  void Start(entry_session& session, const entry_batch& batch, const start_task& start, instant now);
  std::optional<error_kind> ReasonToRefuse(const entry_session& session, const entry_batch& batch, const task_key& key,
                                           instant now) const;
  bool EchoIsStale(const batch_header& header, instant fence, instant now) const;
  void Refuse(entry_session& session, const task_key& key, error_kind kind, instant now);
  void RememberRefusal(const task_key& key, instant now);
  void AnswerAgain(entry_session& session, const task_key& key, const task_record& record, instant now);
  void SendAnswer(entry_session& session, const task_answer& answer, instant now);
  void Cancel(entry_session& session, const task_key& key, instant now);
  void Fetch(entry_session& session, const std::string& job_id, instant now);

  void ExpireRefusals(instant now);
  void SendHeartbeats(instant now);
  void CheckTarget(instant now);
  void CheckDrained(instant now);

  agent_settings settings_;
  session_table sessions_;
  task_ledger ledger_;
  std::vector<agent_action> actions_;
  std::map<std::string, std::size_t> outgoing_;  ///< index in actions_ of the batch that is still being filled

  std::optional<target_announcement> target_;
  instant target_seen_;
  bool operators_drain_ = false;
  bool draining_ = false;
  bool drained_ = false;
  instant last_change_;  ///< last end of a task, change of home, or start of the drain
  instant clock_sent_;   ///< newest clock value sent; no two batches carry the same one

  std::optional<shard_id> shard_;
  std::map<shard_id, epoch> other_shards_;
  epoch highest_ = 0;
  std::optional<home_entry> home_;
  instant home_heard_;
  config_version config_ = 0;

  std::map<task_key, instant> refused_;  ///< time after which a late copy of the start is stale anyway
  instant refusal_fence_;                ///< starts with an older echo are refused on every session
  instant answer_sent_;                  ///< clock of the newest batch to the home with an answer
  bool answer_unsent_ = false;           ///< an answer ended while no session with the home was open
};

}  // namespace bamboowing
