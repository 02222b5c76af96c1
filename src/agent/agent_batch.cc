// The part of agent_core that handles batches from entries.
#include <algorithm>
#include <utility>

#include "bamboowing/agent/agent_core.h"

namespace bamboowing {
namespace {

// A shard's claim on an agent of another shard is accepted only when its home has been silent for this many times
// `authority_timeout`; until then the home may still have starts under way.
constexpr int kShardChangeTimeouts = 5;

// A batch of the home is confirmed at once unless something was sent within this part of `authority_timeout`.
constexpr int kConfirmationsPerTimeout = 4;

}  // namespace

void agent_core::OnBatch(std::string_view address, const entry_batch& batch, instant now) {
  entry_session* session = sessions_.Find(address);
  if (session == nullptr || session->state != session_state::kOpen) {
    return;
  }
  sessions_.Received(*session, batch.header, now);
  if (batch.header.echo_incarnation == settings_.life) {
    session->acknowledged = std::max(session->acknowledged, batch.header.echo);
  }
  if (batch.heartbeat_interval > duration(0)) {
    session->heartbeat = batch.heartbeat_interval;
  }
  if (!batch.entries.empty()) {
    sessions_.Learn(batch.entries, now);
  }
  ApplyIntent(batch, now);
  if (!AcceptHeader(*session, batch, now)) {
    for (const start_task& start : batch.starts) {
      Start(*session, batch, start, now);
    }
    return;
  }
  if (batch.claim) {
    Acknowledge(*session, batch, now);
  }
  for (const std::string& job_id : batch.released_jobs) {
    ledger_.Release(job_id);
  }
  for (const task_key& key : batch.cancels) {
    Cancel(*session, key, now);
  }
  for (const start_task& start : batch.starts) {
    Start(*session, batch, start, now);
  }
  for (const std::string& job_id : batch.fetch_jobs) {
    Fetch(*session, job_id, now);
  }
  if (batch.status_query) {
    ReportHeld(*session, now);
  }
  // The home may need the confirmation to keep its authority, and a fresh clock of ours for its next start.
  if (session->last_sent + settings_.authority_timeout / kConfirmationsPerTimeout <= now) {
    Outgoing(*session, now);
  }
  CheckDrained(now);
}

// Returns whether the sender is home of the agent's shard with the highest epoch.
bool agent_core::AcceptHeader(entry_session& session, const entry_batch& batch, instant now) {
  if (!MoveToShard(batch, now) || batch.header.shard_epoch == 0) {
    return false;
  }
  if (batch.header.shard_epoch < highest_) {
    // The sender learns the higher epoch from the header of this batch.
    if (batch.claim || batch.status_query) {
      Outgoing(session, now);
    }
    return false;
  }
  // Other entries may know of an epoch that was announced and never claimed, so only the home itself raises it.
  if (batch.claim || !batch.starts.empty()) {
    RaiseEpoch(batch.header.shard_epoch, now);
    home_ = home_entry{session.address, batch.header.sender, batch.header.incarnation};
  }
  if (!home_.has_value() || home_->id != batch.header.sender || home_->life != batch.header.incarnation) {
    return false;
  }
  home_heard_ = now;
  return true;
}

bool agent_core::MoveToShard(const entry_batch& batch, instant now) {
  if (shard_.has_value() && *shard_ == batch.shard) {
    return true;
  }
  const bool serves = target_.has_value() && target_->service == batch.shard.service;
  const bool claimed = batch.claim && batch.header.shard_epoch > 0 && serves;
  const bool free = !shard_.has_value() ||
                    (ledger_.running() == 0 && home_heard_ + kShardChangeTimeouts * settings_.authority_timeout <= now);
  if (!claimed || !free || other_shards_.size() >= kMaxShards) {
    return false;
  }
  if (shard_.has_value()) {
    other_shards_[*shard_] = highest_;
  }
  shard_ = batch.shard;
  highest_ = other_shards_[batch.shard];
  home_.reset();
  return true;
}

void agent_core::RaiseEpoch(epoch value, instant now) {
  if (value <= highest_) {
    return;
  }
  highest_ = value;
  home_.reset();
  last_change_ = now;
  Record(event_kind::kEpochRaised, now, nullptr, {}, highest_, {});
}

void agent_core::Acknowledge(entry_session& session, const entry_batch& batch, instant now) {
  agent_batch& reply = Outgoing(session, now);
  reply.inventory = ledger_.Inventory(true);
  reply.inventory_of = batch.header.shard_epoch;
  NoteReport(reply);
}

// The home fetches the retained answers that it lacks once it has a report; they count as sent with the report.
void agent_core::NoteReport(const agent_batch& report) {
  answer_unsent_ = false;
  answer_sent_ = report.header.sent_at;
}

void agent_core::ReportHeld(entry_session& session, instant now) {
  agent_batch& reply = Outgoing(session, now);
  if (reply.inventory_of == 0) {
    reply.inventory = ledger_.Inventory(false);
  }
  reply.status_reply = true;
  // A start that is still under way is not in the report, so it must not run after it.
  session.fence = reply.header.sent_at;
  NoteReport(reply);
}

void agent_core::ApplyIntent(const entry_batch& batch, instant now) {
  const bool newer = batch.header.config > config_;
  const bool drain = newer ? batch.draining : operators_drain_ || (batch.draining && batch.header.config == config_);
  config_ = std::max(config_, batch.header.config);
  if (drain != operators_drain_) {
    operators_drain_ = drain;
    Record(drain ? event_kind::kTargetDraining : event_kind::kTargetResumed, now, nullptr, {}, config_,
           drain ? "set by operators" : "cleared by operators");
    Announce(now);
  }
}

void agent_core::Start(entry_session& session, const entry_batch& batch, const start_task& start, instant now) {
  const task_record* record = ledger_.Find(start.key.job_id, start.key.task);
  if (record != nullptr) {
    AnswerAgain(session, start.key, *record, now);
    return;
  }
  const std::optional<error_kind> refusal = ReasonToRefuse(session, batch, start.key, now);
  if (refusal.has_value()) {
    Refuse(session, start.key, *refusal, now);
    return;
  }
  ledger_.Start(start.key);
  Record(event_kind::kTaskStarted, now, &start.key, batch.header.sender, batch.header.shard_epoch, {});
  actions_.emplace_back(run_task{start.key, start.payload, start.time_limit, start.idempotent});
}

std::optional<error_kind> agent_core::ReasonToRefuse(const entry_session& session, const entry_batch& batch,
                                                     const task_key& key, instant now) const {
  const bool own_shard = shard_.has_value() && *shard_ == batch.shard;
  if (!own_shard || batch.header.shard_epoch == 0 || batch.header.shard_epoch < highest_) {
    return error_kind::kStaleEpoch;
  }
  if (EchoIsStale(batch.header, std::max(session.fence, refusal_fence_), now) || refused_.count(key) != 0) {
    return error_kind::kStaleMessage;
  }
  if (leaving()) {
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
  const bool foreign = header.echo_incarnation != settings_.life || header.echo > clock_sent_;
  return foreign || header.echo < fence || header.echo + settings_.authority_timeout < now;
}

void agent_core::Refuse(entry_session& session, const task_key& key, error_kind kind, instant now) {
  RememberRefusal(key, now);
  Outgoing(session, now).refusals.push_back({key, kind});
  Record(event_kind::kTaskRefused, now, &key, session.address, highest_, std::string(ErrorRow(kind).name));
}

// After a refusal the home may start the task elsewhere, so a late copy of the refused start must not run here. A copy
// echoes a clock from before the refusal and is therefore stale after authority_timeout.
void agent_core::RememberRefusal(const task_key& key, instant now) {
  if (refused_.size() >= kMaxRefused) {
    refused_.clear();
    refusal_fence_ = std::max(now, clock_sent_) + duration(1);
    return;
  }
  refused_[key] = now + settings_.authority_timeout;
}

void agent_core::AnswerAgain(entry_session& session, const task_key& key, const task_record& record, instant now) {
  const held_state state = record.state;
  ledger_.AskAgain(key);
  if (state == held_state::kAnswered) {
    SendAnswer(session, *record.answer, now);
  } else if (state == held_state::kReleased) {
    SendAnswer(session, {key, task_status::kLost, "the task ran and its answer is no longer retained", duration(0)},
               now);
  }
}

void agent_core::SendAnswer(entry_session& session, const task_answer& answer, instant now) {
  agent_batch& batch = Outgoing(session, now);
  batch.answers.push_back(answer);
  answer_sent_ = batch.header.sent_at;
}

void agent_core::Cancel(entry_session& session, const task_key& key, instant now) {
  const task_record* record = ledger_.Find(key.job_id, key.task);
  if (record == nullptr) {
    Refuse(session, key, error_kind::kCancelled, now);
  } else if (record->state == held_state::kRunning) {
    actions_.emplace_back(stop_task{{key.job_id, key.task, record->started}});
  } else {
    AnswerAgain(session, key, *record, now);
  }
}

void agent_core::Fetch(entry_session& session, const std::string& job_id, instant now) {
  // Copies, since answering again may change the records.
  const std::vector<task_record> records = ledger_.RecordsOf(job_id);
  for (const task_record& record : records) {
    AnswerAgain(session, {job_id, record.task, record.attempt}, record, now);
  }
}

}  // namespace bamboowing
