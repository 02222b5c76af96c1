// Several shard_owners, a store and stub agents in virtual time. At every step at most one owner may have authority.
#pragma once

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bamboowing/ownership/shard_owner.h"
#include "fake_store.h"

namespace bamboowing {

inline const shard_id kShard{"defects", 0};

// An agent that only keeps the highest epoch and answers claims and probes.
struct stub_agent {
  recorded_agent who;
  bool alive = true;
  epoch highest = 0;
  std::map<std::size_t, instant> echo;
};

struct owner_node {
  std::unique_ptr<shard_owner> owner;
  incarnation life = 0;
  bool alive = true;
  bool paused = false;
  bool store_cut = false;
  std::set<std::size_t> agents_cut;
  std::deque<std::pair<instant, store_result>> results;
  std::deque<std::pair<instant, agent_batch>> batches;
  std::vector<epoch> homes;
  std::vector<recorded_agent> usable;
  std::vector<recorded_agent> to_account;
  instant home_at;
  int lost = 0;
};

class owner_rig {
 public:
  static constexpr duration kStep = std::chrono::milliseconds(10);
  static constexpr duration kHeartbeat = std::chrono::milliseconds(200);

  fake_store store;
  instant now{std::chrono::seconds(1000)};
  std::vector<owner_node> nodes;
  std::vector<stub_agent> agents;
  duration store_latency = std::chrono::milliseconds(5);
  int lose_call = 0;  ///< ordinal of the store call whose answer is lost; 0 for none
  int store_calls = 0;
  bool lose_answers = false;  ///< all calls take effect without an answer

  owner_rig(std::size_t owners, std::size_t agent_count, std::uint64_t seed = 1) : seed_(seed) {
    for (std::size_t i = 0; i < agent_count; ++i) {
      agents.push_back({{"agent-" + std::to_string(i), 100 + i}, true, 0, {}});
    }
    nodes.resize(owners);
    for (std::size_t i = 0; i < owners; ++i) {
      Restart(i);
    }
  }

  // Starts a new life of an owner that knows nothing.
  void Restart(std::size_t i) {
    nodes[i] = {};
    nodes[i].life = ++lives_;
    owner_settings settings;
    settings.shard = kShard;
    settings.entry_id = "entry-" + std::to_string(i);
    settings.life = nodes[i].life;
    nodes[i].owner = std::make_unique<shard_owner>(settings, seed_ * 100 + i, now);
    for (std::size_t a = 0; a < agents.size(); ++a) {
      Attach(i, a);
    }
  }

  void RestartAgent(std::size_t a) {
    agents[a] = {{agents[a].who.id, 1000 + ++lives_}, true, 0, {}};
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      Attach(i, a);
    }
  }

  void KillAgent(std::size_t a) {
    agents[a].alive = false;
    for (owner_node& node : nodes) {
      node.owner->OnAgentDetached(agents[a].who.id, now);
    }
  }

  void Attach(std::size_t i, std::size_t a) {
    if (Reachable(i, a)) {
      nodes[i].owner->OnAgentAttached(agents[a].who.id, agents[a].who.life, now);
    }
  }

  // Separates an owner from an agent or joins them again with a fresh session.
  void CutAgent(std::size_t i, std::size_t a, bool cut) {
    if (cut) {
      nodes[i].agents_cut.insert(a);
      nodes[i].owner->OnAgentDetached(agents[a].who.id, now);
    } else {
      nodes[i].agents_cut.erase(a);
      agents[a].echo.erase(i);
      Attach(i, a);
    }
  }

  void Run(duration time) {
    const instant end = now + time;
    while (now < end) {
      now += kStep;
      Step();
    }
  }

  // The owner with authority, or -1.
  int Authority() const {
    int found = -1;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].alive && nodes[i].owner->has_authority(now)) {
        EXPECT_EQ(found, -1) << "two owners have authority at " << Millis();
        found = static_cast<int>(i);
      }
    }
    return found;
  }

  // Runs until some owner has authority; returns it, or -1 after @p limit.
  int RunUntilHome(duration limit) {
    const instant end = now + limit;
    while (now < end && Authority() < 0) {
      Run(kStep);
    }
    return Authority();
  }

  std::int64_t Millis() const { return now.time_since_epoch().count() / 1000; }

 private:
  bool Reachable(std::size_t i, std::size_t a) const {
    return nodes[i].alive && agents[a].alive && nodes[i].agents_cut.count(a) == 0;
  }

  void Step() {
    const bool beat = (now.time_since_epoch() % kHeartbeat).count() == 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      for (std::size_t a = 0; beat && a < agents.size(); ++a) {
        Reply(i, a, 0);
      }
      if (nodes[i].alive && !nodes[i].paused) {
        Deliver(nodes[i]);
        nodes[i].owner->OnTick(now);
        Act(i);
      }
    }
    Authority();
  }

  void Deliver(owner_node& node) {
    while (!node.results.empty() && node.results.front().first <= now) {
      const store_result result = node.results.front().second;
      node.results.pop_front();
      node.owner->OnStoreResult(result, now);
    }
    while (!node.batches.empty() && node.batches.front().first <= now) {
      const agent_batch batch = node.batches.front().second;
      node.batches.pop_front();
      node.owner->OnAgentBatch(batch, now);
    }
  }

  void Act(std::size_t i) {
    owner_node& node = nodes[i];
    const std::vector<owner_action> actions(node.owner->actions().begin(), node.owner->actions().end());
    node.owner->ClearActions();
    for (const owner_action& action : actions) {
      if (std::holds_alternative<claim_agent>(action)) {
        Message(i, std::get<claim_agent>(action).agent, std::get<claim_agent>(action).shard_epoch);
      } else if (std::holds_alternative<probe_agent>(action)) {
        Message(i, std::get<probe_agent>(action).agent, 0);
      } else if (std::holds_alternative<claimed_shard>(action)) {
        node.to_account = std::get<claimed_shard>(action).to_account;
      } else if (std::holds_alternative<became_home>(action)) {
        node.homes.push_back(std::get<became_home>(action).shard_epoch);
        node.home_at = now;
      } else if (std::holds_alternative<lost_home>(action)) {
        ++node.lost;
      } else if (std::holds_alternative<agent_usable>(action)) {
        node.usable.push_back(std::get<agent_usable>(action).agent);
      } else if (!node.store_cut) {
        Store(node, action);
      }
    }
  }

  void Store(owner_node& node, const owner_action& action) {
    store.lose_answer = ++store_calls == lose_call || lose_answers;
    const std::optional<store_result> result = store.Apply(action, now);
    if (result.has_value()) {
      node.results.emplace_back(now + store_latency, *result);
    }
  }

  void Message(std::size_t i, const std::string& id, epoch claimed) {
    for (std::size_t a = 0; a < agents.size(); ++a) {
      if (agents[a].who.id == id && Reachable(i, a)) {
        agents[a].echo[i] = now;
        const bool accepted = claimed > 0 && claimed >= agents[a].highest;
        agents[a].highest = std::max(agents[a].highest, claimed);
        Reply(i, a, accepted ? claimed : 0);
      }
    }
  }

  void Reply(std::size_t i, std::size_t a, epoch acknowledged) {
    if (!Reachable(i, a)) {
      return;
    }
    agent_batch batch;
    const bool known = agents[a].echo.count(i) != 0;
    batch.header = {
        agents[a].who.id, agents[a].who.life, now, known ? agents[a].echo[i] : instant{}, known ? nodes[i].life : 0, 0,
        agents[a].highest};
    batch.shard = kShard;
    batch.inventory_of = acknowledged;
    nodes[i].batches.emplace_back(now + std::chrono::milliseconds(1), batch);
  }

  std::uint64_t seed_;
  std::uint64_t lives_ = 0;
};

}  // namespace bamboowing
