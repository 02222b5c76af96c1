#include "bamboowing/entry/entry_core.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <utility>
#include <variant>

namespace bamboowing {
namespace {

template <typename Call>
Call WithLocalId(Call call, store_call_id& local_id) {
  local_id = call.call;
  return call;
}

}  // namespace

entry_core::entry_core(const entry_settings& settings, std::uint64_t seed, instant now)
    : settings_(settings),
      random_(seed),
      sessions_(settings.self),
      watcher_(settings),
      registration_(settings),
      router_(settings),
      routing_due_(now) {}

void entry_core::OnSessionOpened(session_id session, std::string agent, instant now) {
  const std::optional<session_id> replaced = sessions_.Open(session, agent, now);
  if (replaced) {
    actions_.emplace_back(close_agent_session{*replaced});
  }
  RecordEvent(event_kind::kSessionOpened, now, std::move(agent), 0, "");
}

void entry_core::OnSessionClosed(session_id session, instant now) {
  const std::optional<std::string> agent = sessions_.Close(session);
  if (!agent) {
    return;
  }
  RecordEvent(event_kind::kSessionClosed, now, *agent, 0, "");
  for (std::pair<const shard_id, std::unique_ptr<shard_controller>>& item : shards_) {
    item.second->OnAgentDetached(*agent, now);
  }
}

void entry_core::OnAgentBatch(session_id id, const agent_batch& batch, instant now) {
  agent_session* session = sessions_.OnBatch(id, batch, now);
  if (session == nullptr) {
    return;
  }
  if (batch.header.config > config() && !watcher_.answered()) {
    const std::set<std::string> leaders = OtherLeaderAddresses();
    if (!leaders.empty()) {
      FetchNewerConfig(batch.header.config, *leaders.begin());
    }
  }
  AttachSession(*session, now);
  const std::map<shard_id, std::unique_ptr<shard_controller>>::iterator controller = shards_.find(session->shard);
  if (controller != shards_.end()) {
    controller->second->OnAgentBatch(*session, batch, now);
  }
}

void entry_core::OnStoreResult(std::uint64_t call, store_result result, instant now) {
  if (registration_.OnResult(call, result, now) || config_writer_.OnResult(call, result, now, last_id_, actions_)) {
    return;
  }
  const std::map<std::uint64_t, std::pair<shard_id, store_call_id>>::iterator found = store_calls_.find(call);
  if (found == store_calls_.end()) {
    return;
  }
  result.call = found->second.second;
  const shard_id shard = found->second.first;
  store_calls_.erase(found);
  Shard(shard, now).OnStoreResult(result, now);
}

void entry_core::OnWatchResult(std::uint64_t call, const directory_update& result, instant now) {
  if (!watcher_.OnResult(call, result, now)) {
    return;
  }
  const std::size_t entries_before = directory_.entries().size();
  directory_.Apply(result);
  ApplyConfig(directory_.config().version, directory_.config().value, now);
  if (directory_.entries().size() != entries_before || !result.deleted.empty()) {
    for (std::pair<const session_id, agent_session>& item : sessions_.all()) {
      SendEntryAddresses(item.second);
    }
  }
  if (result.answered && (result.complete || !result.deleted.empty())) {
    for (std::pair<const shard_id, std::unique_ptr<shard_controller>>& item : shards_) {
      if (!directory_.Holder(item.first)) {
        item.second->OnShardChanged(now);
      }
    }
  }
  router_.Reroute(
      [this](const routed_call& relayed) {
        const std::optional<shard_holder> holder = directory_.Holder(ShardOfJob(relayed.request.job));
        return !holder || holder->incarnation == relayed.incarnation;
      },
      actions_);
}

void entry_core::OnConfigWrite(call_id call, config_version base, std::string document, std::string write_id,
                               instant now) {
  config_writer_.Begin(call, base, std::move(document), std::move(write_id), now, last_id_, actions_);
}

void entry_core::OnDrain(instant now) {
  if (draining_) {
    return;
  }
  draining_ = true;
  RecordEvent(event_kind::kProcessDraining, now, "", 0, "");
  registration_.Revoke(last_id_, actions_);
  for (std::pair<const shard_id, std::unique_ptr<shard_controller>>& item : shards_) {
    item.second->Release(now);
  }
}

bool entry_core::drained() const {
  const bool released = std::all_of(shards_.begin(), shards_.end(),
                                    [](const std::pair<const shard_id, std::unique_ptr<shard_controller>>& item) {
                                      return item.second->owner().role() == owner_role::kStopped;
                                    });
  return draining_ && released && open_calls_.empty() && router_.relayed() == 0 && router_.waiting() == 0;
}

void entry_core::Advance(instant now) {
  watcher_.OnTick(now, last_id_, actions_);
  registration_.OnTick(now, last_id_, actions_);
  config_writer_.OnTick(now, last_id_, actions_);
  std::vector<config_write_result> written;
  config_writer_.TakeResults(written);
  for (config_write_result& result : written) {
    actions_.emplace_back(std::move(result));
  }
  CloseSilentSessions(now);
  AdvanceShards(now);
  if (router_.waiting() > 0 && now >= routing_due_) {
    RouteWaitingCalls(now);
    AdvanceShards(now);
  }
  std::map<shard_id, epoch> epochs;
  for (const std::pair<const shard_id, std::unique_ptr<shard_controller>>& item : shards_) {
    epochs[item.first] = item.second->claimed_epoch();
  }
  sessions_.MarkHeartbeatsDue(now, [this](const agent_session& session) { return SendInterval(session); });
  sessions_.Flush(now, config(), epochs, HeartbeatInterval(), actions_);
}

std::optional<instant> entry_core::next_wakeup() const {
  instant next = std::min(watcher_.next_wakeup(), registration_.next_wakeup());
  if (const std::optional<instant> due = config_writer_.next_wakeup(); due) {
    next = std::min(next, *due);
  }
  for (const std::pair<const shard_id, std::unique_ptr<shard_controller>>& item : shards_) {
    if (const std::optional<instant> due = item.second->next_wakeup(); due) {
      next = std::min(next, *due);
    }
  }
  for (const std::pair<const session_id, agent_session>& item : sessions_.all()) {
    next = std::min(next, item.second.last_sent_at + SendInterval(item.second));
  }
  if (router_.waiting() > 0) {
    next = std::min(next, routing_due_);
  }
  return next;
}

shard_id entry_core::ShardOfJob(const job_spec& job) const {
  const std::uint64_t hash = XXH3_64bits(job.job_id.data(), job.job_id.size());
  return {job.service, static_cast<std::uint32_t>(hash % intent_.ShardCount(job.service))};
}

shard_controller& entry_core::Shard(const shard_id& shard, instant now) {
  std::unique_ptr<shard_controller>& controller = shards_[shard];
  if (!controller) {
    controller = std::make_unique<shard_controller>(shard, settings_, sessions_, random_.Next(), now);
    controller->SetIntent(intent_);
  }
  return *controller;
}

void entry_core::AdvanceShards(instant now) {
  for (std::pair<const shard_id, std::unique_ptr<shard_controller>>& item : shards_) {
    item.second->Advance(now);
    TakeOutputs(*item.second, now);
  }
}

void entry_core::TakeOutputs(shard_controller& controller, instant) {
  std::vector<owner_action> store_calls;
  controller.TakeStoreCalls(store_calls);
  for (const owner_action& action : store_calls) {
    AppendStoreCall(controller.shard(), action);
  }
  std::vector<event> events;
  controller.TakeEvents(events);
  for (event& record : events) {
    actions_.emplace_back(record_entry_event{std::move(record)});
  }
  std::vector<routed_reply> replies;
  controller.TakeReplies(replies);
  for (routed_reply& reply : replies) {
    Reply(reply.route, std::move(reply.reply));
  }
  std::vector<displaced_job> displaced;
  controller.TakeDisplaced(displaced);
  for (const displaced_job& job : displaced) {
    RequeueDisplaced(job);
  }
}

void entry_core::CloseSilentSessions(instant now) {
  constexpr int kMissedHeartbeats = 3;
  const duration idle_limit = std::max(settings_.session_timeout, kMissedHeartbeats * HeartbeatInterval());
  for (std::pair<const session_id, agent_session>& item : sessions_.all()) {
    agent_session& session = item.second;
    // An agent with tasks in flight sends every half second; an idle one may be silent for its heartbeat interval.
    const bool silent = IsBusy(session) ? now - SilentSince(session) >= settings_.session_timeout
                                        : now - session.last_received_at >= idle_limit;
    if (!session.closing && silent) {
      session.closing = true;
      actions_.emplace_back(close_agent_session{item.first});
    }
  }
}

void entry_core::AttachSession(agent_session& session, instant now) {
  if (!session.target || session.target->service.empty()) {
    return;
  }
  const std::uint64_t hash = XXH3_64bits(session.agent.data(), session.agent.size());
  const std::string& service = session.target->service;
  const shard_id shard{service, static_cast<std::uint32_t>(hash % intent_.ShardCount(service))};
  if (session.shard == shard) {
    return;
  }
  const std::map<shard_id, std::unique_ptr<shard_controller>>::iterator old = shards_.find(session.shard);
  if (old != shards_.end()) {
    old->second->OnAgentDetached(session.agent, now);
  }
  session.shard = shard;
  session.excluded = intent_.IsExcluded(service, session.agent, session.target->failure_domain);
  Shard(shard, now).OnAgentAttached(session, now);
  SendEntryAddresses(session);
}

void entry_core::ApplyConfig(config_version version, std::string_view text, instant now) {
  if (!intent_.Apply(version, text)) {
    return;
  }
  RecordEvent(event_kind::kConfigApplied, now, "", version, "");
  ApplyIntentToShards(now);
}

void entry_core::ApplyIntentToShards(instant now) {
  for (std::pair<const shard_id, std::unique_ptr<shard_controller>>& item : shards_) {
    item.second->SetIntent(intent_);
  }
  for (std::pair<const session_id, agent_session>& item : sessions_.all()) {
    agent_session& session = item.second;
    if (!session.target) {
      continue;
    }
    const bool excluded = intent_.IsExcluded(session.target->service, session.agent, session.target->failure_domain);
    if (excluded == session.excluded) {
      continue;  // no change for this agent; the next batch carries the new version
    }
    session.excluded = excluded;
    sessions_.OutgoingBatch(session);
    const std::map<shard_id, std::unique_ptr<shard_controller>>::iterator controller = shards_.find(session.shard);
    if (controller != shards_.end()) {
      controller->second->SetExcluded(session.agent, session.excluded, now);
    }
  }
}

void entry_core::FetchNewerConfig(config_version version, const std::string& address) {
  // While the store answers, the watch delivers the document; asking peers as well would only cost messages.
  if (version <= config() || watcher_.answered() || config_fetch_ != 0 || address.empty()) {
    return;
  }
  relay_request request;
  request.sender = settings_.self.id;
  request.incarnation = settings_.self.incarnation;
  request.config = config();
  request.fetch_config = true;
  config_fetch_ = ++last_id_;
  actions_.emplace_back(send_relay{config_fetch_, address, std::move(request)});
}

void entry_core::SendEntryAddresses(agent_session& session) {
  std::vector<std::string> addresses;
  for (const std::pair<const std::string, entry_identity>& item : directory_.entries()) {
    addresses.push_back(item.second.peers_address);
  }
  if (addresses.empty()) {
    return;
  }
  entry_batch& batch = sessions_.OutgoingBatch(session);
  batch.entries = std::move(addresses);
}

void entry_core::RecordEvent(event_kind kind, instant now, std::string peer, std::uint64_t number, std::string detail) {
  event record;
  record.kind = kind;
  record.at = now;
  record.peer = std::move(peer);
  record.number = number;
  record.detail = std::move(detail);
  actions_.emplace_back(record_entry_event{std::move(record)});
}

duration entry_core::HeartbeatInterval() const {
  const std::uint64_t bytes = sessions_.all().size() * settings_.heartbeat_bytes;
  const duration needed = duration(static_cast<std::int64_t>(bytes * 1'000'000 / settings_.heartbeat_bytes_per_second));
  return std::clamp(needed, settings_.idle_heartbeat_min, settings_.idle_heartbeat_max);
}

bool entry_core::IsBusy(const agent_session& session) const {
  const std::map<shard_id, std::unique_ptr<shard_controller>>::const_iterator controller = shards_.find(session.shard);
  return controller != shards_.end() && controller->second->HasTasksAt(session.agent);
}

duration entry_core::SendInterval(const agent_session& session) const {
  return IsBusy(session) ? settings_.busy_heartbeat_interval : HeartbeatInterval();
}

void entry_core::AppendStoreCall(const shard_id& shard, const owner_action& action) {
  call_store call;
  call.id = ++last_id_;
  store_call_id local_id = 0;
  if (const store_read* read = std::get_if<store_read>(&action); read != nullptr) {
    call.call = WithLocalId(*read, local_id);
  } else if (const store_swap* swap = std::get_if<store_swap>(&action); swap != nullptr) {
    call.call = WithLocalId(*swap, local_id);
  } else if (const lease_grant* grant = std::get_if<lease_grant>(&action); grant != nullptr) {
    call.call = WithLocalId(*grant, local_id);
  } else if (const lease_renew* renew = std::get_if<lease_renew>(&action); renew != nullptr) {
    call.call = WithLocalId(*renew, local_id);
  } else if (const lease_revoke* revoke = std::get_if<lease_revoke>(&action); revoke != nullptr) {
    call.call = WithLocalId(*revoke, local_id);
  } else {
    return;
  }
  store_calls_[call.id] = {shard, local_id};
  actions_.emplace_back(std::move(call));
}

}  // namespace bamboowing
