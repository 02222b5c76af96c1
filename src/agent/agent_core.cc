#include "bamboowing/agent/agent_core.h"

#include <algorithm>
#include <utility>

namespace bamboowing {

agent_core::agent_core(agent_settings settings, std::uint64_t seed, instant now)
    : settings_(std::move(settings)),
      sessions_(settings_, seed, now),
      ledger_(
          {settings_.retention, settings_.record_retention, settings_.retained_bytes_limit, settings_.record_limit}),
      target_last_seen_(now),
      last_change_(now) {}

void agent_core::OnTargetAnnounced(const target_announcement& target, instant now) {
  const bool changed = !target_.has_value() || target_->service != target.service || target_->slots != target.slots ||
                       target_->draining != target.draining;
  target_ = target;
  target_last_seen_ = now;
  if (changed) {
    RecordEvent(event_kind::kTargetAnnounced, now, nullptr, target.service, target.slots, {});
    Announce(now);
  }
}

void agent_core::OnTargetLeft(instant now) {
  if (!target_.has_value() || target_->draining) {
    return;
  }
  target_->draining = true;
  RecordEvent(event_kind::kTargetLeft, now, nullptr, target_->service, ledger_.running(), {});
  Announce(now);
}

void agent_core::OnSessionOpened(std::string_view address, instant now) {
  entry_session* session = sessions_.OnOpened(address, now);
  if (session == nullptr) {
    // The attempt was abandoned before the connection was established.
    actions_.emplace_back(close_session{std::string(address)});
    return;
  }
  outgoing_.erase(session->address);
  RecordEvent(event_kind::kSessionOpened, now, nullptr, session->address, 0, {});
  AnnounceOn(*session, now);
  if (leader_.has_value() && leader_->address == address) {
    SendStatusReport(*session, now);
    last_change_ = now;
  }
}

void agent_core::OnSessionClosed(std::string_view address, instant now) {
  if (sessions_.OnClosed(address, now)) {
    RecordEvent(event_kind::kSessionClosed, now, nullptr, std::string(address), 0, {});
  }
}

void agent_core::OnTaskEnded(const task_answer& answer, instant now) {
  const std::optional<task_answer> result = ledger_.RecordAnswer(answer, now);
  if (!result.has_value()) {
    return;
  }
  last_change_ = now;
  RecordEvent(event_kind::kTaskAnswered, now, &result->key, {}, static_cast<std::uint64_t>(result->status), {});
  entry_session* leader = LeaderSession();
  if (leader == nullptr) {
    has_unsent_answer_ = true;
    return;
  }
  SendAnswer(*leader, *result, now);
}

void agent_core::OnDrain(instant now) {
  if (draining_) {
    return;
  }
  draining_ = true;
  last_change_ = now;
  RecordEvent(event_kind::kProcessDraining, now, nullptr, {}, ledger_.running(), {});
  Announce(now);
  CheckDrained(now);
}

void agent_core::OnTick(instant now) {
  ledger_.Expire(now);
  ExpireRefusals(now);
  CheckTargetTimeout(now);
  sessions_.Tick(now, Leader(), actions_);
  SendHeartbeats(now);
  CheckDrained(now);
}

std::optional<instant> agent_core::next_wakeup() const {
  std::optional<instant> next = sessions_.next_wakeup(Leader());
  const auto earlier = [&next](instant at) { next = next.has_value() ? std::min(*next, at) : at; };
  const std::optional<instant> expiry = ledger_.next_expiry();
  if (expiry.has_value()) {
    earlier(*expiry);
  }
  if (target_.has_value() && !target_->draining) {
    earlier(target_last_seen_ + settings_.target_timeout);
  }
  if (draining_ && !drained_ && ledger_.running() == 0) {
    earlier(last_change_ + settings_.drain_grace_period);
  }
  return next;
}

void agent_core::ClearActions() {
  actions_.clear();
  outgoing_.clear();
}

bool agent_core::is_unavailable() const {
  return draining_ || operators_drain_ || !target_.has_value() || target_->draining;
}

target_announcement agent_core::Announcement() const {
  target_announcement announcement = target_.value_or(target_announcement{});
  if (announcement.failure_domain.empty()) {
    announcement.failure_domain = settings_.failure_domain;
  }
  announcement.draining = is_unavailable();
  return announcement;
}

void agent_core::Announce(instant now) {
  for (auto& [address, session] : sessions_.sessions()) {
    if (session.state == session_state::kOpen) {
      AnnounceOn(session, now);
    }
  }
}

void agent_core::AnnounceOn(entry_session& session, instant now) {
  agent_batch& batch = OutgoingBatch(session, now);
  if (target_.has_value()) {
    batch.target = Announcement();
  }
}

agent_batch& agent_core::OutgoingBatch(entry_session& session, instant now) {
  last_clock_sent_ = std::max(now, last_clock_sent_ + duration(1));
  const auto [it, added] = outgoing_.try_emplace(session.address, actions_.size());
  if (added) {
    actions_.emplace_back(send_batch{session.address, {}});
  }
  agent_batch& batch = std::get<send_batch>(actions_[it->second]).batch;
  batch.header = {settings_.id,        settings_.incarnation,     last_clock_sent_,
                  session.entry_clock, session.entry_incarnation, config_version_,
                  highest_epoch_};
  batch.shard = shard_.value_or(shard_id{});
  batch.busy_slots = static_cast<std::uint32_t>(ledger_.running());
  session.last_sent = now;
  return batch;
}

leader_view agent_core::Leader() const {
  return leader_.has_value() ? leader_view{leader_->address, ledger_.running() > 0} : leader_view{};
}

entry_session* agent_core::LeaderSession() {
  if (!leader_.has_value()) {
    return nullptr;
  }
  entry_session* session = sessions_.Find(leader_->address);
  const bool usable = session != nullptr && session->state == session_state::kOpen &&
                      (session->entry_incarnation == 0 || session->entry_incarnation == leader_->incarnation);
  return usable ? session : nullptr;
}

void agent_core::RecordEvent(event_kind kind, instant now, const task_key* key, std::string peer, std::uint64_t number,
                             std::string detail) {
  event what;
  what.kind = kind;
  what.at = now;
  if (key != nullptr) {
    what.job_id = key->job_id;
    what.task = key->task;
    what.attempt = key->attempt;
  }
  what.peer = std::move(peer);
  what.number = number;
  what.detail = std::move(detail);
  if (kind == event_kind::kTaskRefused) {
    what.error = ErrorKindFromName(what.detail);
  }
  actions_.emplace_back(record_event{std::move(what)});
}

void agent_core::ExpireRefusals(instant now) {
  for (auto it = refused_.begin(); it != refused_.end();) {
    it = it->second < now ? refused_.erase(it) : std::next(it);
  }
}

void agent_core::SendHeartbeats(instant now) {
  const leader_view leader = Leader();
  for (auto& [address, session] : sessions_.sessions()) {
    if (session.state == session_state::kOpen && sessions_.HeartbeatDue(session, leader) <= now) {
      OutgoingBatch(session, now);
    }
  }
}

void agent_core::CheckTargetTimeout(instant now) {
  if (target_.has_value() && !target_->draining && target_last_seen_ + settings_.target_timeout <= now) {
    OnTargetLeft(now);
  }
}

void agent_core::CheckDrained(instant now) {
  if (!draining_ || drained_ || ledger_.running() > 0) {
    return;
  }
  entry_session* leader = LeaderSession();
  const bool delivered = !has_unsent_answer_ && leader != nullptr && leader->acknowledged_clock >= last_answer_clock_;
  const bool grace_period_over = last_change_ + settings_.drain_grace_period <= now;
  drained_ = ledger_.retained() == 0 || (delivered && grace_period_over);
}

}  // namespace bamboowing
