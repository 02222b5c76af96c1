#include "bamboowing/entry/entry_core.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <utility>
#include <variant>

namespace bamboowing {
namespace {

template <typename Call>
Call WithLocalId(Call call, store_call_id& local) {
  local = call.call;
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
      retry_due_(now) {}

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
  for (std::pair<const shard_id, std::unique_ptr<shard_home>>& item : shards_) {
    item.second->OnAgentDetached(*agent, now);
  }
}

void entry_core::OnAgentBatch(session_id id, const agent_batch& batch, instant now) {
  agent_session* session = sessions_.OnBatch(id, batch, now);
  if (session == nullptr) {
    return;
  }
  if (batch.header.config > config() && !watcher_.answered()) {
    const std::set<std::string> homes = OtherHomes();
    if (!homes.empty()) {
      NoteConfigOfPeer(batch.header.config, *homes.begin());
    }
  }
  AttachSession(*session, now);
  const std::map<shard_id, std::unique_ptr<shard_home>>::iterator home = shards_.find(session->shard);
  if (home != shards_.end()) {
    home->second->OnAgentBatch(*session, batch, now);
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
      TellEntries(item.second);
    }
  }
  if (result.answered && (result.complete || !result.deleted.empty())) {
    for (std::pair<const shard_id, std::unique_ptr<shard_home>>& item : shards_) {
      if (!directory_.Holder(item.first)) {
        item.second->OnShardChanged(now);
      }
    }
  }
  router_.Reroute(
      [this](const routed_call& relayed) {
        const std::optional<shard_holder> holder = directory_.Holder(ShardOfJob(relayed.request.job));
        return !holder || holder->incarnation == relayed.life;
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
  for (std::pair<const shard_id, std::unique_ptr<shard_home>>& item : shards_) {
    item.second->Release(now);
  }
}

bool entry_core::drained() const {
  const bool released = std::all_of(shards_.begin(), shards_.end(),
                                    [](const std::pair<const shard_id, std::unique_ptr<shard_home>>& item) {
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
  Collect(now);
  if (router_.waiting() > 0 && now >= retry_due_) {
    PlaceWaiting(now);
    Collect(now);
  }
  std::map<shard_id, epoch> epochs;
  for (const std::pair<const shard_id, std::unique_ptr<shard_home>>& item : shards_) {
    epochs[item.first] = item.second->known_epoch();
  }
  sessions_.MarkIdle(now, [this](const agent_session& session) { return SendInterval(session); });
  sessions_.Flush(now, config(), epochs, HeartbeatInterval(), actions_);
}

std::optional<instant> entry_core::next_wakeup() const {
  instant next = std::min(watcher_.next_wakeup(), registration_.next_wakeup());
  if (const std::optional<instant> due = config_writer_.next_wakeup(); due) {
    next = std::min(next, *due);
  }
  for (const std::pair<const shard_id, std::unique_ptr<shard_home>>& item : shards_) {
    if (const std::optional<instant> due = item.second->next_wakeup(); due) {
      next = std::min(next, *due);
    }
  }
  for (const std::pair<const session_id, agent_session>& item : sessions_.all()) {
    next = std::min(next, item.second.sent + SendInterval(item.second));
  }
  if (router_.waiting() > 0) {
    next = std::min(next, retry_due_);
  }
  return next;
}

shard_id entry_core::ShardOfJob(const job_spec& job) const {
  const std::uint64_t hash = XXH3_64bits(job.job_id.data(), job.job_id.size());
  return {job.service, static_cast<std::uint32_t>(hash % intent_.ShardCount(job.service))};
}

shard_home& entry_core::Shard(const shard_id& shard, instant now) {
  std::unique_ptr<shard_home>& home = shards_[shard];
  if (!home) {
    home = std::make_unique<shard_home>(shard, settings_, sessions_, random_.Next(), now);
    home->SetIntent(intent_);
  }
  return *home;
}

void entry_core::Collect(instant now) {
  for (std::pair<const shard_id, std::unique_ptr<shard_home>>& item : shards_) {
    item.second->Advance(now);
    CollectShard(*item.second, now);
  }
}

void entry_core::CollectShard(shard_home& home, instant) {
  std::vector<owner_action> store_calls;
  home.TakeStoreCalls(store_calls);
  for (const owner_action& action : store_calls) {
    AppendStoreCall(home.shard(), action);
  }
  std::vector<event> events;
  home.TakeEvents(events);
  for (event& what : events) {
    actions_.emplace_back(record_entry_event{std::move(what)});
  }
  std::vector<routed_reply> replies;
  home.TakeReplies(replies);
  for (routed_reply& reply : replies) {
    Reply(reply.route, std::move(reply.reply));
  }
  std::vector<displaced_job> displaced;
  home.TakeDisplaced(displaced);
  for (const displaced_job& job : displaced) {
    Displace(job);
  }
}

void entry_core::CloseSilentSessions(instant now) {
  constexpr int kMissedHeartbeats = 3;
  const duration idle_limit = std::max(settings_.close_after, kMissedHeartbeats * HeartbeatInterval());
  for (std::pair<const session_id, agent_session>& item : sessions_.all()) {
    agent_session& session = item.second;
    // An agent with tasks in flight sends every half second; an idle one may be silent for its heartbeat interval.
    const bool silent =
        IsBusy(session) ? now - SilentSince(session) >= settings_.close_after : now - session.heard >= idle_limit;
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
  const std::map<shard_id, std::unique_ptr<shard_home>>::iterator old = shards_.find(session.shard);
  if (old != shards_.end()) {
    old->second->OnAgentDetached(session.agent, now);
  }
  session.shard = shard;
  session.excluded = intent_.IsExcluded(service, session.agent, session.target->failure_domain);
  Shard(shard, now).OnAgentAttached(session, now);
  TellEntries(session);
}

void entry_core::ApplyConfig(config_version version, std::string_view text, instant now) {
  if (!intent_.Apply(version, text)) {
    return;
  }
  RecordEvent(event_kind::kConfigApplied, now, "", version, "");
  ApplyIntentToShards(now);
}

void entry_core::ApplyIntentToShards(instant now) {
  for (std::pair<const shard_id, std::unique_ptr<shard_home>>& item : shards_) {
    item.second->SetIntent(intent_);
  }
  for (std::pair<const session_id, agent_session>& item : sessions_.all()) {
    agent_session& session = item.second;
    if (!session.target) {
      continue;
    }
    const bool excluded = intent_.IsExcluded(session.target->service, session.agent, session.target->failure_domain);
    if (excluded == session.excluded) {
      continue;  // nothing changes for this agent; it learns the version with the next batch
    }
    session.excluded = excluded;
    sessions_.Outgoing(session);
    const std::map<shard_id, std::unique_ptr<shard_home>>::iterator home = shards_.find(session.shard);
    if (home != shards_.end()) {
      home->second->SetExcluded(session.agent, session.excluded, now);
    }
  }
}

void entry_core::NoteConfigOfPeer(config_version version, const std::string& address) {
  // While the store answers, the watch brings the document; asking peers too would only cost messages.
  if (version <= config() || watcher_.answered() || config_fetch_ != 0 || address.empty()) {
    return;
  }
  relay_request request;
  request.sender = settings_.self.id;
  request.incarnation = settings_.self.life;
  request.config = config();
  request.fetch_config = true;
  config_fetch_ = ++last_id_;
  actions_.emplace_back(send_relay{config_fetch_, address, std::move(request)});
}

void entry_core::TellEntries(agent_session& session) {
  std::vector<std::string> addresses;
  for (const std::pair<const std::string, entry_identity>& item : directory_.entries()) {
    addresses.push_back(item.second.peers_address);
  }
  if (addresses.empty()) {
    return;
  }
  entry_batch& batch = sessions_.Outgoing(session);
  batch.entries = std::move(addresses);
}

void entry_core::RecordEvent(event_kind kind, instant now, std::string peer, std::uint64_t number, std::string detail) {
  event what;
  what.kind = kind;
  what.at = now;
  what.peer = std::move(peer);
  what.number = number;
  what.detail = std::move(detail);
  actions_.emplace_back(record_entry_event{std::move(what)});
}

duration entry_core::HeartbeatInterval() const {
  const std::uint64_t bytes = sessions_.all().size() * settings_.heartbeat_bytes;
  const duration needed = duration(static_cast<std::int64_t>(bytes * 1'000'000 / settings_.heartbeat_bytes_per_second));
  return std::clamp(needed, settings_.idle_heartbeat_min, settings_.idle_heartbeat_max);
}

bool entry_core::IsBusy(const agent_session& session) const {
  const std::map<shard_id, std::unique_ptr<shard_home>>::const_iterator home = shards_.find(session.shard);
  return home != shards_.end() && home->second->HasTasksAt(session.agent);
}

duration entry_core::SendInterval(const agent_session& session) const {
  return IsBusy(session) ? settings_.busy_heartbeat : HeartbeatInterval();
}

void entry_core::AppendStoreCall(const shard_id& shard, const owner_action& action) {
  call_store call;
  call.id = ++last_id_;
  store_call_id local = 0;
  if (const store_read* read = std::get_if<store_read>(&action); read != nullptr) {
    call.call = WithLocalId(*read, local);
  } else if (const store_swap* swap = std::get_if<store_swap>(&action); swap != nullptr) {
    call.call = WithLocalId(*swap, local);
  } else if (const lease_grant* grant = std::get_if<lease_grant>(&action); grant != nullptr) {
    call.call = WithLocalId(*grant, local);
  } else if (const lease_renew* renew = std::get_if<lease_renew>(&action); renew != nullptr) {
    call.call = WithLocalId(*renew, local);
  } else if (const lease_revoke* revoke = std::get_if<lease_revoke>(&action); revoke != nullptr) {
    call.call = WithLocalId(*revoke, local);
  } else {
    return;
  }
  store_calls_[call.id] = {shard, local};
  actions_.emplace_back(std::move(call));
}

}  // namespace bamboowing
