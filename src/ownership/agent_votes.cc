#include "bamboowing/ownership/agent_votes.h"

#include <algorithm>

namespace bamboowing {

agent_vote& agent_votes::Attach(const std::string& id, incarnation_id life) {
  agent_vote& vote = agents_[id];
  if (vote.life != life) {
    vote = agent_vote{};
    vote.life = life;
  }
  vote.attached = true;
  vote.leaving = false;
  vote.announced = false;
  vote.claim_due = instant{};
  return vote;
}

void agent_votes::Detach(const std::string& id, instant now) {
  const std::map<std::string, agent_vote>::iterator found = agents_.find(id);
  if (found != agents_.end()) {
    found->second.attached = false;
    found->second.detached_at = now;
  }
}

void agent_votes::Note(const agent_batch& batch, incarnation_id own_life, epoch own_epoch) {
  const std::map<std::string, agent_vote>::iterator found = agents_.find(batch.header.sender);
  if (found == agents_.end() || found->second.life != batch.header.life || own_epoch == 0) {
    return;
  }
  agent_vote& vote = found->second;
  if (batch.header.echo_life == own_life && batch.header.shard_epoch == own_epoch) {
    vote.confirmed = std::max(vote.confirmed, batch.header.echo);
  }
  if (batch.inventory_of == own_epoch) {
    vote.acknowledged = own_epoch;
  }
}

void agent_votes::StartEpoch(span<const recorded_agent> recorded, instant now) {
  for (const recorded_agent& agent : recorded) {
    agents_.try_emplace(agent.id);
  }
  for (auto& [id, vote] : agents_) {
    vote.acknowledged = 0;
    vote.confirmed = instant{};
    vote.claim_due = instant{};
    vote.announced = false;
    vote.detached_at = std::max(vote.detached_at, now);
  }
}

void agent_votes::Prune(span<const recorded_agent> recorded) {
  for (auto it = agents_.begin(); it != agents_.end();) {
    const std::string& id = it->first;
    const bool member =
        std::any_of(recorded.begin(), recorded.end(), [&id](const recorded_agent& agent) { return agent.id == id; });
    it = it->second.attached || member ? std::next(it) : agents_.erase(it);
  }
}

bool agent_votes::MajorityAcknowledged(span<const recorded_agent> agents, epoch claimed) const {
  std::size_t votes = 0;
  for (const recorded_agent& agent : agents) {
    const agent_vote* vote = Find(agent.id);
    votes += vote != nullptr && vote->acknowledged == claimed ? 1 : 0;
  }
  return 2 * votes > agents.size();
}

bool agent_votes::MajorityConfirmed(span<const recorded_agent> agents, instant since) const {
  std::size_t votes = 0;
  for (const recorded_agent& agent : agents) {
    const agent_vote* vote = Find(agent.id);
    votes += vote != nullptr && vote->life == agent.life && vote->confirmed > since ? 1 : 0;
  }
  return 2 * votes > agents.size();
}

const agent_vote* agent_votes::Find(const std::string& id) const {
  const std::map<std::string, agent_vote>::const_iterator found = agents_.find(id);
  return found == agents_.end() ? nullptr : &found->second;
}

}  // namespace bamboowing
