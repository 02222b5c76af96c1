#include "bamboowing/entry/agent_sessions.h"

#include <utility>

namespace bamboowing {
namespace {

bool CarriesWork(const entry_batch& batch) { return !batch.starts.empty() || !batch.cancels.empty(); }

bool CarriesWork(const agent_batch& batch) { return !batch.answers.empty() || !batch.refusals.empty(); }

}  // namespace

std::optional<session_id> agent_sessions::Open(session_id id, std::string agent, instant now) {
  std::optional<session_id> replaced;
  const std::map<std::string, session_id, std::less<>>::iterator older = by_agent_.find(agent);
  if (older != by_agent_.end()) {
    replaced = older->second;
    sessions_.erase(older->second);
  }
  by_agent_[agent] = id;
  agent_session& added = sessions_[id];
  added.id = id;
  added.agent = std::move(agent);
  added.last_received_at = now;
  added.last_sent_at = now;
  return replaced;
}

std::optional<std::string> agent_sessions::Close(session_id id) {
  const std::map<session_id, agent_session>::iterator found = sessions_.find(id);
  if (found == sessions_.end()) {
    return std::nullopt;
  }
  std::string agent = std::move(found->second.agent);
  sessions_.erase(found);
  by_agent_.erase(agent);
  return agent;
}

agent_session* agent_sessions::OnBatch(session_id id, const agent_batch& batch, instant now) {
  agent_session* session = Find(id);
  if (session == nullptr) {
    return nullptr;
  }
  heartbeats_received_ += CarriesWork(batch) ? 0 : 1;
  session->incarnation = batch.header.incarnation;
  session->last_received_at = now;
  session->highest_epoch = std::max(session->highest_epoch, batch.header.shard_epoch);
  session->config = batch.header.config;
  session->peer_clock = std::max(session->peer_clock, batch.header.sent_at);
  if (batch.header.echo_incarnation == self_.incarnation) {
    session->last_echo = std::max(session->last_echo, batch.header.echo);
  }
  if (batch.target) {
    session->target = batch.target;
  }
  return session;
}

agent_session* agent_sessions::Find(session_id id) {
  const std::map<session_id, agent_session>::iterator found = sessions_.find(id);
  return found == sessions_.end() ? nullptr : &found->second;
}

agent_session* agent_sessions::FindAgent(std::string_view agent) {
  const std::map<std::string, session_id, std::less<>>::iterator found = by_agent_.find(agent);
  return found == by_agent_.end() ? nullptr : Find(found->second);
}

entry_batch& agent_sessions::OutgoingBatch(agent_session& session) {
  session.dirty = true;
  return session.pending;
}

void agent_sessions::Flush(instant now, config_version config, const std::map<shard_id, epoch>& epochs,
                           duration idle_interval, std::vector<entry_action>& out) {
  for (std::pair<const session_id, agent_session>& item : sessions_) {
    agent_session& session = item.second;
    if (!session.dirty) {
      continue;
    }
    session.dirty = false;
    session.last_sent_at = now;
    entry_batch batch = std::exchange(session.pending, entry_batch());
    heartbeats_sent_ += CarriesWork(batch) ? 0 : 1;
    batch.shard = session.shard;
    batch.draining = session.excluded;
    if (idle_interval != session.announced_interval) {
      batch.heartbeat_interval = idle_interval;
      session.announced_interval = idle_interval;
    }
    batch.header.sender = self_.id;
    batch.header.incarnation = self_.incarnation;
    batch.header.sent_at = now;
    batch.header.echo = session.peer_clock;
    batch.header.echo_incarnation = session.incarnation;
    batch.header.config = config;
    const std::map<shard_id, epoch>::const_iterator known = epochs.find(session.shard);
    batch.header.shard_epoch = known == epochs.end() ? 0 : known->second;
    out.emplace_back(send_to_agent{session.id, std::move(batch)});
  }
}

}  // namespace bamboowing
