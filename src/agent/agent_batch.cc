// The part of agent_core that handles batches from entries.
#include <algorithm>
#include <utility>

#include "bamboowing/agent/agent_core.h"

namespace bamboowing {
namespace {

// A claim by another shard is accepted only after the current leader was silent for this multiple of
// `authority_timeout`; until then the leader may still have starts in transit.
constexpr int kShardChangeTimeouts = 5;

// A batch of the leader is acknowledged at once unless a batch was sent to it within `authority_timeout` divided by
// this number.
constexpr int kAcknowledgementsPerTimeout = 4;

}  // namespace

void agent_core::OnBatch(std::string_view address, const entry_batch& batch, instant now) {
  entry_session* session = sessions_.Find(address);
  if (session == nullptr || session->state != session_state::kOpen) {
    return;
  }
  sessions_.OnBatchReceived(*session, batch.header, now);
  if (batch.header.echo_incarnation == settings_.incarnation) {
    session->acknowledged_clock = std::max(session->acknowledged_clock, batch.header.echo);
  }
  if (batch.heartbeat_interval > duration(0)) {
    session->heartbeat_interval = batch.heartbeat_interval;
  }
  if (!batch.entries.empty()) {
    sessions_.UpdateEntries(batch.entries, now);
  }
  ApplyIntent(batch, now);
  if (!AcceptLeader(*session, batch, now)) {
    for (const start_task& start : batch.starts) {
      HandleStart(*session, batch, start, now);
    }
    return;
  }
  if (batch.claim) {
    AcknowledgeClaim(*session, batch, now);
  }
  for (const std::string& job_id : batch.released_jobs) {
    ledger_.Release(job_id);
  }
  for (const task_key& key : batch.cancels) {
    HandleCancel(*session, key, now);
  }
  for (const start_task& start : batch.starts) {
    HandleStart(*session, batch, start, now);
  }
  for (const std::string& job_id : batch.fetch_jobs) {
    HandleFetch(*session, job_id, now);
  }
  if (batch.status_query) {
    SendStatusReport(*session, now);
  }
  // The leader may need the acknowledgement to keep its authority, and a recent clock of the agent for its next start.
  if (session->last_sent + settings_.authority_timeout / kAcknowledgementsPerTimeout <= now) {
    OutgoingBatch(*session, now);
  }
  CheckDrained(now);
}

// Returns whether the sender is the leader of the agent's shard with the highest epoch.
bool agent_core::AcceptLeader(entry_session& session, const entry_batch& batch, instant now) {
  if (!MoveToShard(batch, now) || batch.header.shard_epoch == 0) {
    return false;
  }
  if (batch.header.shard_epoch < highest_epoch_) {
    // The sender learns the higher epoch from the header of this batch.
    if (batch.claim || batch.status_query) {
      OutgoingBatch(session, now);
    }
    return false;
  }
  // Other entries may have seen an epoch that was announced and never claimed, so only a claim or a start raises it.
  if (batch.claim || !batch.starts.empty()) {
    RaiseEpoch(batch.header.shard_epoch, now);
    leader_ = leader_entry{session.address, batch.header.sender, batch.header.incarnation};
  }
  if (!leader_.has_value() || leader_->id != batch.header.sender || leader_->incarnation != batch.header.incarnation) {
    return false;
  }
  leader_last_contact_ = now;
  return true;
}

bool agent_core::MoveToShard(const entry_batch& batch, instant now) {
  if (shard_.has_value() && *shard_ == batch.shard) {
    return true;
  }
  const bool serves = target_.has_value() && target_->service == batch.shard.service;
  const bool claimed = batch.claim && batch.header.shard_epoch > 0 && serves;
  const bool free =
      !shard_.has_value() ||
      (ledger_.running() == 0 && leader_last_contact_ + kShardChangeTimeouts * settings_.authority_timeout <= now);
  if (!claimed || !free || other_shards_.size() >= kMaxShards) {
    return false;
  }
  if (shard_.has_value()) {
    other_shards_[*shard_] = highest_epoch_;
  }
  shard_ = batch.shard;
  highest_epoch_ = other_shards_[batch.shard];
  leader_.reset();
  return true;
}

void agent_core::RaiseEpoch(epoch value, instant now) {
  if (value <= highest_epoch_) {
    return;
  }
  highest_epoch_ = value;
  leader_.reset();
  last_change_ = now;
  RecordEvent(event_kind::kEpochRaised, now, nullptr, {}, highest_epoch_, {});
}

void agent_core::AcknowledgeClaim(entry_session& session, const entry_batch& batch, instant now) {
  agent_batch& reply = OutgoingBatch(session, now);
  reply.inventory = ledger_.Inventory(true);
  reply.inventory_of = batch.header.shard_epoch;
  RecordReport(reply);
}

// The leader fetches the retained answers that it lacks once it has a report, so they count as sent with the report.
void agent_core::RecordReport(const agent_batch& report) {
  has_unsent_answer_ = false;
  last_answer_clock_ = report.header.sent_at;
}

void agent_core::SendStatusReport(entry_session& session, instant now) {
  agent_batch& reply = OutgoingBatch(session, now);
  if (reply.inventory_of == 0) {
    reply.inventory = ledger_.Inventory(false);
  }
  reply.status_reply = true;
  // A start that is still in transit is not in the report, so it must not run after the report.
  session.fence = reply.header.sent_at;
  RecordReport(reply);
}

void agent_core::ApplyIntent(const entry_batch& batch, instant now) {
  const bool newer = batch.header.config > config_version_;
  const bool drain =
      newer ? batch.draining : operators_drain_ || (batch.draining && batch.header.config == config_version_);
  config_version_ = std::max(config_version_, batch.header.config);
  if (drain != operators_drain_) {
    operators_drain_ = drain;
    RecordEvent(drain ? event_kind::kTargetDraining : event_kind::kTargetResumed, now, nullptr, {}, config_version_,
                drain ? "set by operators" : "cleared by operators");
    Announce(now);
  }
}

void agent_core::HandleStart(entry_session& session, const entry_batch& batch, const start_task& start, instant now) {
  const task_record* record = ledger_.Find(start.key.job_id, start.key.task);
  if (record != nullptr) {
    ResendAnswer(session, start.key, *record, now);
    return;
  }
  const std::optional<error_kind> refusal = ReasonToRefuse(session, batch, start.key, now);
  if (refusal.has_value()) {
    Refuse(session, start.key, *refusal, now);
    return;
  }
  ledger_.RecordStart(start.key);
  RecordEvent(event_kind::kTaskStarted, now, &start.key, batch.header.sender, batch.header.shard_epoch, {});
  actions_.emplace_back(run_task{start.key, start.payload, start.time_limit, start.idempotent});
}

std::optional<error_kind> agent_core::ReasonToRefuse(const entry_session& session, const entry_batch& batch,
                                                     const task_key& key, instant now) const {
  const bool own_shard = shard_.has_value() && *shard_ == batch.shard;
  if (!own_shard || batch.header.shard_epoch == 0 || batch.header.shard_epoch < highest_epoch_) {
    return error_kind::kStaleEpoch;
  }
  if (EchoIsStale(batch.header, std::max(session.fence, refusal_fence_), now) || refused_.count(key) != 0) {
    return error_kind::kStaleMessage;
  }
  if (is_unavailable()) {
    return error_kind::kDraining;
  }
  if (target_->service != batch.shard.service) {
    return error_kind::kNoTarget;
  }
  if (ledger_.running() >= target_->slots || ledger_.full()) {
    return error_kind::kNoSlot;
  }
  return std::nullopt;
}

bool agent_core::EchoIsStale(const batch_header& header, instant fence, instant now) const {
  const bool foreign = header.echo_incarnation != settings_.incarnation || header.echo > last_clock_sent_;
  return foreign || header.echo < fence || header.echo + settings_.authority_timeout < now;
}

void agent_core::Refuse(entry_session& session, const task_key& key, error_kind kind, instant now) {
  RecordRefusal(key, now);
  OutgoingBatch(session, now).refusals.push_back({key, kind});
  RecordEvent(event_kind::kTaskRefused, now, &key, session.address, highest_epoch_, std::string(ErrorRow(kind).name));
}

// After a refusal the leader may start the task on another target, so a delayed copy of the refused start must not run
// here. A copy echoes a clock from before the refusal and is therefore stale after authority_timeout.
void agent_core::RecordRefusal(const task_key& key, instant now) {
  if (refused_.size() >= kMaxRefusals) {
    refused_.clear();
    refusal_fence_ = std::max(now, last_clock_sent_) + duration(1);
    return;
  }
  refused_[key] = now + settings_.authority_timeout;
}

void agent_core::ResendAnswer(entry_session& session, const task_key& key, const task_record& record, instant now) {
  const held_state state = record.state;
  ledger_.RecordRepeatedStart(key);
  if (state == held_state::kAnswered) {
    SendAnswer(session, *record.answer, now);
  } else if (state == held_state::kReleased) {
    SendAnswer(session, {key, task_status::kLost, "the task ran and its answer is no longer retained", duration(0)},
               now);
  }
}

void agent_core::SendAnswer(entry_session& session, const task_answer& answer, instant now) {
  agent_batch& batch = OutgoingBatch(session, now);
  batch.answers.push_back(answer);
  last_answer_clock_ = batch.header.sent_at;
}

void agent_core::HandleCancel(entry_session& session, const task_key& key, instant now) {
  const task_record* record = ledger_.Find(key.job_id, key.task);
  if (record == nullptr) {
    Refuse(session, key, error_kind::kCancelled, now);
  } else if (record->state == held_state::kRunning) {
    actions_.emplace_back(stop_task{{key.job_id, key.task, record->started_attempt}});
  } else {
    ResendAnswer(session, key, *record, now);
  }
}

void agent_core::HandleFetch(entry_session& session, const std::string& job_id, instant now) {
  // Copied because ResendAnswer() may change the records.
  const std::vector<task_record> records = ledger_.RecordsOf(job_id);
  for (const task_record& record : records) {
    ResendAnswer(session, {job_id, record.task, record.latest_attempt}, record, now);
  }
}

}  // namespace bamboowing
