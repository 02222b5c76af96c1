// Claiming a shard without faults, and the steps of a takeover.
#include <gtest/gtest.h>

#include "owner_fixture.h"

namespace bamboowing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a new shard that waits for agents that do not exist yet.
TEST(Claim, NewShardIsClaimedWithoutWaiting) {
  owner_rig rig(3, 0);
  ASSERT_GE(rig.RunUntilHome(seconds(1)), 0);
  EXPECT_EQ(rig.store.Record(kShard)->shard_epoch, 1U);
}

// Guards against two homes when several entries start together, whatever their jitter.
TEST(Claim, OneOfSeveralEntriesBecomesHome) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    owner_rig rig(5, 3, seed);
    rig.Run(seconds(5));
    std::size_t homes = 0;
    for (const owner_node& node : rig.nodes) {
      homes += node.homes.size();
    }
    EXPECT_EQ(homes, 1U) << "seed " << seed;
    EXPECT_GE(rig.Authority(), 0);
  }
}

// Guards against starting tasks on an agent that a later home would not ask for its inventory.
TEST(Claim, AgentIsUsableOnlyAfterItIsInTheRecord) {
  owner_rig rig(1, 1);
  while (rig.nodes[0].usable.empty() && rig.Millis() < 1010000) {
    rig.Run(owner_rig::kStep);
    if (rig.nodes[0].owner->IsUsable("agent-0")) {
      ASSERT_EQ(rig.store.Record(kShard)->agents.size(), 1U);
    }
  }
  ASSERT_EQ(rig.nodes[0].usable.size(), 1U);
  EXPECT_EQ(rig.nodes[0].usable[0], rig.agents[0].who);
}

// Guards against a home that starts while confirmations of the previous home are still valid.
TEST(Takeover, WaitsForAuthorityTimeoutAfterTheMajority) {
  owner_rig rig(1, 0);
  shard_record old{"entry-9", 9, {}, 4, false, {}, {}, "w"};
  rig.agents = {{{"agent-0", 100}, true, 4, {}}, {{"agent-1", 101}, true, 4, {}}, {{"agent-2", 102}, true, 4, {}}};
  for (const stub_agent& agent : rig.agents) {
    old.agents.push_back(agent.who);
  }
  rig.store.Put(kShard, old);
  rig.Attach(0, 0);
  rig.Run(seconds(10));
  EXPECT_TRUE(rig.nodes[0].homes.empty()) << "one of three agents is no majority";
  EXPECT_EQ(rig.nodes[0].owner->role(), owner_role::kGathering);
  const instant second = rig.now;
  rig.Attach(0, 1);
  ASSERT_EQ(rig.RunUntilHome(seconds(5)), 0);
  EXPECT_GE(rig.nodes[0].home_at - second, seconds(1) + milliseconds(200));
  EXPECT_LE(rig.nodes[0].home_at - second, milliseconds(1500));
  EXPECT_EQ(rig.nodes[0].homes, std::vector<epoch>{5});
  EXPECT_EQ(rig.nodes[0].to_account.size(), 3U);
}

// Guards against a slow handover: a home that released the shard has no authority that must be waited out.
TEST(Takeover, ReleasedShardNeedsNoWait) {
  owner_rig rig(2, 3);
  const int home = rig.RunUntilHome(seconds(5));
  ASSERT_GE(home, 0);
  rig.Run(seconds(5));
  rig.nodes[static_cast<std::size_t>(home)].owner->Release(rig.now);
  EXPECT_FALSE(rig.nodes[static_cast<std::size_t>(home)].owner->has_authority(rig.now));
  const instant released = rig.now;
  EXPECT_EQ(rig.RunUntilHome(seconds(5)), 1 - home);
  EXPECT_LE(rig.now - released, milliseconds(1300)) << "one poll and a few calls";
  EXPECT_EQ(rig.nodes[static_cast<std::size_t>(home)].owner->role(), owner_role::kStopped);
}

// Guards against an entry that claims a shard while it shuts down.
TEST(Takeover, StoppedEntryDoesNotClaim) {
  owner_rig rig(1, 0);
  rig.nodes[0].owner->Release(rig.now);
  rig.Run(seconds(5));
  EXPECT_TRUE(rig.nodes[0].homes.empty());
  EXPECT_FALSE(rig.store.Record(kShard).has_value());
}

// Guards against the loss of what a dead agent had started: its former life stays in the record for the recovery
// window, so that the next home counts it as missing.
TEST(Record, RestartedAgentIsANewMember) {
  owner_rig rig(1, 2);
  rig.Run(seconds(3));
  const recorded_agent former = rig.agents[0].who;
  rig.RestartAgent(0);
  rig.Run(seconds(3));
  shard_record record = *rig.store.Record(kShard);
  EXPECT_EQ(record.agents, (std::vector<recorded_agent>{rig.agents[0].who, rig.agents[1].who}));
  EXPECT_EQ(record.lost, std::vector<recorded_agent>{former});
  EXPECT_EQ(rig.nodes[0].usable.back(), rig.agents[0].who);
  rig.Run(seconds(121));
  EXPECT_TRUE(rig.store.Record(kShard)->lost.empty());
}

// Guards against a record that grows for ever, and against a dead agent that counts towards the majority for ever.
TEST(Record, MissingAgentLeavesAfterTheRecoveryWindow) {
  owner_rig rig(1, 2);
  rig.Run(seconds(3));
  rig.KillAgent(1);
  rig.Run(seconds(110));
  EXPECT_EQ(rig.store.Record(kShard)->agents.size(), 2U);
  rig.Run(seconds(15));
  EXPECT_EQ(rig.store.Record(kShard)->agents.size(), 1U);
}

// Guards against a drained agent that takes part in majorities, and against forgetting that it started tasks.
TEST(Record, DrainedAgentMovesToTheLost) {
  owner_rig rig(1, 3);
  rig.Run(seconds(3));
  rig.agents[2].alive = false;
  rig.nodes[0].owner->OnAgentLeft("agent-2", rig.now);
  EXPECT_FALSE(rig.nodes[0].owner->IsUsable("agent-2"));
  rig.Run(seconds(1));
  EXPECT_EQ(rig.store.Record(kShard)->agents.size(), 2U);
  EXPECT_EQ(rig.store.Record(kShard)->lost.size(), 1U);
}

}  // namespace
}  // namespace bamboowing
