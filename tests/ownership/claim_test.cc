// Claiming a shard without faults, and the steps of a takeover.
#include <gtest/gtest.h>

#include "owner_fixture.h"

namespace bamboowing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a new shard that waits for agents that do not exist yet.
TEST(Claim, NewShardIsClaimedWithoutWaiting) {
  owner_fixture fixture(3, 0);
  ASSERT_GE(fixture.RunUntilLeader(seconds(1)), 0);
  EXPECT_EQ(fixture.store.Record(kShard)->shard_epoch, 1U);
}

// Guards against two leaders when several entries start at the same time, with different jitter.
TEST(Claim, OneOfSeveralEntriesBecomesLeader) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    owner_fixture fixture(5, 3, seed);
    fixture.Run(seconds(5));
    std::size_t leaders = 0;
    for (const owner_node& node : fixture.nodes) {
      leaders += node.leader_epochs.size();
    }
    EXPECT_EQ(leaders, 1U) << "seed " << seed;
    EXPECT_GE(fixture.AuthorityHolder(), 0);
  }
}

// Guards against starting tasks on an agent that is not in the record, which a later leader would not ask for its
// inventory.
TEST(Claim, AgentIsUsableOnlyAfterItIsInTheRecord) {
  owner_fixture fixture(1, 1);
  while (fixture.nodes[0].usable.empty() && fixture.Millis() < 1010000) {
    fixture.Run(owner_fixture::kStep);
    if (fixture.nodes[0].owner->IsUsable("agent-0")) {
      ASSERT_EQ(fixture.store.Record(kShard)->agents.size(), 1U);
    }
  }
  ASSERT_EQ(fixture.nodes[0].usable.size(), 1U);
  EXPECT_EQ(fixture.nodes[0].usable[0], fixture.agents[0].identity);
}

// Guards against a new leader that acts while confirmations of the previous leader are still valid.
TEST(Takeover, WaitsForAuthorityTimeoutAfterMajority) {
  owner_fixture fixture(1, 0);
  shard_record old{"entry-9", 9, {}, 4, false, {}, {}, "w"};
  fixture.agents = {{{"agent-0", 100}, true, 4, {}}, {{"agent-1", 101}, true, 4, {}}, {{"agent-2", 102}, true, 4, {}}};
  for (const stub_agent& agent : fixture.agents) {
    old.agents.push_back(agent.identity);
  }
  fixture.store.Put(kShard, old);
  fixture.Attach(0, 0);
  fixture.Run(seconds(10));
  EXPECT_TRUE(fixture.nodes[0].leader_epochs.empty()) << "one of three agents is no majority";
  EXPECT_EQ(fixture.nodes[0].owner->role(), owner_role::kAwaitingMajority);
  const instant second = fixture.now;
  fixture.Attach(0, 1);
  ASSERT_EQ(fixture.RunUntilLeader(seconds(5)), 0);
  EXPECT_GE(fixture.nodes[0].leader_at - second, seconds(1) + milliseconds(200));
  EXPECT_LE(fixture.nodes[0].leader_at - second, milliseconds(1500));
  EXPECT_EQ(fixture.nodes[0].leader_epochs, std::vector<epoch>{5});
  EXPECT_EQ(fixture.nodes[0].awaited_agents.size(), 3U);
}

// Guards against a slow handover: after a release the previous leader has no authority whose expiry must be awaited.
TEST(Takeover, ReleasedShardNeedsNoWait) {
  owner_fixture fixture(2, 3);
  const int leader = fixture.RunUntilLeader(seconds(5));
  ASSERT_GE(leader, 0);
  fixture.Run(seconds(5));
  fixture.nodes[static_cast<std::size_t>(leader)].owner->Release(fixture.now);
  EXPECT_FALSE(fixture.nodes[static_cast<std::size_t>(leader)].owner->has_authority(fixture.now));
  const instant released = fixture.now;
  EXPECT_EQ(fixture.RunUntilLeader(seconds(5)), 1 - leader);
  EXPECT_LE(fixture.now - released, milliseconds(1300)) << "one poll and a few calls";
  EXPECT_EQ(fixture.nodes[static_cast<std::size_t>(leader)].owner->role(), owner_role::kStopped);
}

// Guards against an entry that claims a shard while it is shutting down.
TEST(Takeover, StoppedEntryDoesNotClaim) {
  owner_fixture fixture(1, 0);
  fixture.nodes[0].owner->Release(fixture.now);
  fixture.Run(seconds(5));
  EXPECT_TRUE(fixture.nodes[0].leader_epochs.empty());
  EXPECT_FALSE(fixture.store.Record(kShard).has_value());
}

// Guards against losing track of tasks that an agent started before it restarted: its earlier incarnation stays in the
// record for the recovery window, so that the next leader considers it missing.
TEST(Record, RestartedAgentIsANewMember) {
  owner_fixture fixture(1, 2);
  fixture.Run(seconds(3));
  const recorded_agent former = fixture.agents[0].identity;
  fixture.RestartAgent(0);
  fixture.Run(seconds(3));
  shard_record record = *fixture.store.Record(kShard);
  EXPECT_EQ(record.agents, (std::vector<recorded_agent>{fixture.agents[0].identity, fixture.agents[1].identity}));
  EXPECT_EQ(record.lost, std::vector<recorded_agent>{former});
  EXPECT_EQ(fixture.nodes[0].usable.back(), fixture.agents[0].identity);
  fixture.Run(seconds(121));
  EXPECT_TRUE(fixture.store.Record(kShard)->lost.empty());
}

// Guards against a record that grows without bound, and against a dead agent that counts towards the majority forever.
TEST(Record, MissingAgentLeavesAfterTheRecoveryWindow) {
  owner_fixture fixture(1, 2);
  fixture.Run(seconds(3));
  fixture.KillAgent(1);
  fixture.Run(seconds(110));
  EXPECT_EQ(fixture.store.Record(kShard)->agents.size(), 2U);
  fixture.Run(seconds(15));
  EXPECT_EQ(fixture.store.Record(kShard)->agents.size(), 1U);
}

// Guards against a drained agent that counts towards majorities, and against losing track of tasks that it started.
TEST(Record, DrainedAgentMovesToLostAgents) {
  owner_fixture fixture(1, 3);
  fixture.Run(seconds(3));
  fixture.agents[2].alive = false;
  fixture.nodes[0].owner->OnAgentLeft("agent-2", fixture.now);
  EXPECT_FALSE(fixture.nodes[0].owner->IsUsable("agent-2"));
  fixture.Run(seconds(1));
  EXPECT_EQ(fixture.store.Record(kShard)->agents.size(), 2U);
  EXPECT_EQ(fixture.store.Record(kShard)->lost.size(), 1U);
}

}  // namespace
}  // namespace bamboowing
