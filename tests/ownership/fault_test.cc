// Each fault of design section 3 that touches ownership. owner_rig checks at every step that one owner at most has
// authority.
#include <gtest/gtest.h>

#include <functional>

#include "owner_fixture.h"

namespace bamboowing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A fault of the home while two other entries and five agents are up.
struct fault_row {
  const char* name;
  std::function<void(owner_rig&, owner_node&, std::size_t)> start;
  std::function<void(owner_rig&, owner_node&, std::size_t)> end;
  duration length;
  bool home_changes;        ///< whether another entry must become home while the fault lasts
  duration longest_gap{0};  ///< longest time without any home
};

void CutFromAgents(owner_rig& rig, std::size_t home, bool cut) {
  for (std::size_t a = 0; a < rig.agents.size(); ++a) {
    rig.CutAgent(home, a, cut);
  }
}

// Lease, one poll, majority, wait, and some calls of the store.
constexpr duration kTakeover = seconds(3) + seconds(1) + milliseconds(1200) + milliseconds(500);

const std::vector<fault_row>& Rows() {
  using node = owner_node;
  static const std::vector<fault_row> rows = {
      {"kill", [](owner_rig&, node& n, std::size_t) { n.alive = false; }, [](owner_rig&, node&, std::size_t) {},
       seconds(20), true, kTakeover},
      {"restart", [](owner_rig& rig, node&, std::size_t home) { rig.Restart(home); },
       [](owner_rig&, node&, std::size_t) {}, seconds(20), true, kTakeover},
      {"short pause", [](owner_rig&, node& n, std::size_t) { n.paused = true; },
       [](owner_rig&, node& n, std::size_t) { n.paused = false; }, milliseconds(1500), false, duration(0)},
      {"long pause", [](owner_rig&, node& n, std::size_t) { n.paused = true; },
       [](owner_rig&, node& n, std::size_t) { n.paused = false; }, seconds(20), true, kTakeover},
      {"pause ends during the takeover", [](owner_rig&, node& n, std::size_t) { n.paused = true; },
       [](owner_rig&, node& n, std::size_t) { n.paused = false; }, milliseconds(4300), false, kTakeover},
      {"cut from the store", [](owner_rig&, node& n, std::size_t) { n.store_cut = true; },
       [](owner_rig&, node& n, std::size_t) { n.store_cut = false; }, seconds(20), true, kTakeover},
      {"cut from all agents", [](owner_rig& rig, node&, std::size_t home) { CutFromAgents(rig, home, true); },
       [](owner_rig& rig, node&, std::size_t home) { CutFromAgents(rig, home, false); }, seconds(20), false,
       duration(0)},
      {"cut from store and agents",
       [](owner_rig& rig, node& n, std::size_t home) {
         n.store_cut = true;
         CutFromAgents(rig, home, true);
       },
       [](owner_rig& rig, node& n, std::size_t home) {
         n.store_cut = false;
         CutFromAgents(rig, home, false);
       },
       seconds(20), true, kTakeover},
      {"store down", [](owner_rig& rig, node&, std::size_t) { rig.store.down = true; },
       [](owner_rig& rig, node&, std::size_t) { rig.store.down = false; }, seconds(60), false, duration(0)},
      {"store down twice",
       [](owner_rig& rig, node&, std::size_t) {
         rig.store.down = true;
         rig.Run(seconds(10));
         rig.store.down = false;
         rig.Run(milliseconds(150));
         rig.store.down = true;
       },
       [](owner_rig& rig, node&, std::size_t) { rig.store.down = false; }, seconds(20), false, duration(0)},
      {"store slow", [](owner_rig& rig, node&, std::size_t) { rig.store_latency = milliseconds(1500); },
       [](owner_rig& rig, node&, std::size_t) { rig.store_latency = milliseconds(5); }, seconds(60), false,
       duration(0)},
      {"store down and a minority of agents dead",
       [](owner_rig& rig, node&, std::size_t) {
         rig.store.down = true;
         rig.KillAgent(0);
         rig.KillAgent(1);
       },
       [](owner_rig& rig, node&, std::size_t) { rig.store.down = false; }, seconds(20), false, duration(0)},
  };
  return rows;
}

// Guards against two homes, against a home that loses its place without need, and against a slow takeover.
TEST(OwnerFaults, OneHomeThroughEachFault) {
  for (const fault_row& row : Rows()) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      SCOPED_TRACE(std::string(row.name) + ", seed " + std::to_string(seed));
      owner_rig rig(3, 5, seed);
      const int first = rig.RunUntilHome(seconds(5));
      ASSERT_GE(first, 0);
      rig.Run(seconds(3));
      const std::size_t home = static_cast<std::size_t>(first);
      row.start(rig, rig.nodes[home], home);
      const instant begin = rig.now;
      instant last_home = begin;
      duration gap{0};
      bool changed = false;
      bool ended = false;
      while (rig.now < begin + row.length + seconds(15)) {
        rig.Run(owner_rig::kStep);
        const int current = rig.Authority();
        changed = changed || (current >= 0 && current != first);
        if (current >= 0) {
          gap = std::max(gap, duration(rig.now - last_home));
          last_home = rig.now;
        }
        if (!ended && rig.now >= begin + row.length) {
          row.end(rig, rig.nodes[home], home);
          ended = true;
        }
      }
      gap = std::max(gap, duration(rig.now - last_home));
      EXPECT_LE(gap.count(), std::max(row.longest_gap, owner_rig::kStep).count());
      if (row.home_changes) {
        EXPECT_TRUE(changed);
      } else if (row.longest_gap == duration(0)) {
        EXPECT_FALSE(changed);
      }
    }
  }
}

// Guards against a takeover on belief alone: without the store nobody may replace a dead home.
TEST(OwnerFaults, NoTakeoverWhileTheStoreIsDown) {
  owner_rig rig(3, 5);
  const int first = rig.RunUntilHome(seconds(5));
  rig.Run(seconds(3));
  rig.store.down = true;
  rig.nodes[static_cast<std::size_t>(first)].alive = false;
  rig.Run(seconds(60));
  EXPECT_EQ(rig.Authority(), -1);
  rig.store.down = false;
  // Time-out of the call under way, pause, wait for the former home, poll, majority, wait for its authority.
  EXPECT_GE(rig.RunUntilHome(milliseconds(2500) + seconds(1) + seconds(2) + seconds(1) + milliseconds(1700)), 0);
}

// Guards against calls that all time out when the store is slow but works.
TEST(OwnerFaults, SlowStoreStillAllowsAClaim) {
  owner_rig rig(3, 3);
  rig.store_latency = milliseconds(1500);
  EXPECT_GE(rig.RunUntilHome(seconds(30)), 0);
}

// Guards against a home that goes on after it lost both the store and the majority: others could replace it.
TEST(OwnerFaults, HomeStopsWithoutStoreAndMajority) {
  owner_rig rig(1, 5);
  rig.RunUntilHome(seconds(5));
  rig.Run(seconds(3));
  rig.store.down = true;
  for (std::size_t a = 0; a < 3; ++a) {
    rig.CutAgent(0, a, true);
  }
  rig.Run(seconds(3));
  EXPECT_EQ(rig.Authority(), -1);
  rig.CutAgent(0, 0, false);
  rig.Run(seconds(1));
  EXPECT_EQ(rig.Authority(), 0) << "three of five agents confirm again";
}

// Guards against an agent that is used while no later home could know it.
TEST(OwnerFaults, NewAgentWaitsWhileTheStoreIsDown) {
  owner_rig rig(1, 3);
  rig.Run(seconds(3));
  rig.store.down = true;
  rig.agents.push_back({{"agent-9", 9}, true, 0, {}});
  rig.Attach(0, 3);
  rig.Run(seconds(30));
  EXPECT_FALSE(rig.nodes[0].owner->IsUsable("agent-9"));
  rig.store.down = false;
  rig.Run(seconds(10));
  EXPECT_TRUE(rig.nodes[0].owner->IsUsable("agent-9"));
}

// Guards against an owner that takes its own write for that of a rival, or claims twice: the answer of each call of
// the claim and of the first changes of the record is lost in turn.
TEST(OwnerFaults, OwnWriteIsRecognisedAfterALostAnswer) {
  for (int lost = 1; lost <= 12; ++lost) {
    SCOPED_TRACE("lost answer of call " + std::to_string(lost));
    owner_rig rig(1, 3);
    rig.lose_call = lost;
    rig.Run(seconds(12));
    EXPECT_EQ(rig.Authority(), 0);
    EXPECT_EQ(rig.nodes[0].homes.size(), 1U);
    EXPECT_EQ(rig.nodes[0].lost, 0);
    // First jitter, one time-out, one pause and some calls: the claim goes on where it was.
    EXPECT_LE(rig.nodes[0].home_at - instant(seconds(1000)), milliseconds(250 + 1000 + 100 + 250));
    EXPECT_EQ(rig.store.Record(kShard)->shard_epoch, 1U);
    EXPECT_EQ(rig.store.Record(kShard)->agents.size(), 3U);
    EXPECT_TRUE(rig.nodes[0].owner->IsUsable("agent-2"));
  }
}

// Guards against a confirmation by a restarted agent, which has forgotten the epoch that it acknowledged to another
// entry.
TEST(OwnerFaults, RestartedAgentsDoNotConfirmTheOldHome) {
  owner_rig rig(1, 3);
  rig.Run(seconds(3));
  rig.store.down = true;
  rig.RestartAgent(0);
  rig.RestartAgent(1);
  rig.Run(seconds(4));
  EXPECT_EQ(rig.Authority(), -1);
}

// Guards against acting on old belief: one report of a higher epoch ends the authority at once.
TEST(OwnerFaults, HigherEpochEndsAuthorityAtOnce) {
  owner_rig rig(1, 3);
  rig.Run(seconds(3));
  ASSERT_EQ(rig.Authority(), 0);
  agent_batch batch;
  batch.header.sender = "agent-0";
  batch.header.life = 100;
  batch.header.shard_epoch = 2;
  batch.shard = {"defects", 1};
  rig.nodes[0].owner->OnAgentBatch(batch, rig.now);
  EXPECT_TRUE(rig.nodes[0].owner->has_authority(rig.now)) << "the epoch of another shard does not matter";
  batch.shard = kShard;
  rig.nodes[0].owner->OnAgentBatch(batch, rig.now);
  EXPECT_FALSE(rig.nodes[0].owner->has_authority(rig.now));
}

// Lets only owner @p i run until it writes the record; returns that write, which is not carried out.
std::optional<store_swap> HoldBackRecordWrite(owner_rig& rig, std::size_t i) {
  shard_owner& claimant = *rig.nodes[i].owner;
  for (const instant end = rig.now + seconds(10); rig.now < end;) {
    rig.now += owner_rig::kStep;
    claimant.OnTick(rig.now);
    const std::vector<owner_action> actions(claimant.actions().begin(), claimant.actions().end());
    claimant.ClearActions();
    for (const owner_action& action : actions) {
      if (std::holds_alternative<store_swap>(action) && std::get<store_swap>(action).key == ShardRecordKey(kShard)) {
        return std::get<store_swap>(action);
      }
      const std::optional<store_result> result = rig.store.Apply(action, rig.now);
      if (result.has_value()) {
        claimant.OnStoreResult(*result, rig.now);
      }
    }
  }
  return std::nullopt;
}

// Carries out a write that was held back and returns its outcome to the owner.
store_outcome ApplyLate(owner_rig& rig, std::size_t i, const store_swap& late) {
  const std::optional<store_result> result = rig.store.Apply(late, rig.now);
  rig.nodes[i].owner->OnStoreResult(*result, rig.now);
  return result->outcome;
}

// Guards against a claimant whose write of the record arrives after its lease ended and another entry has claimed.
TEST(OwnerFaults, LateWriteOfAPausedClaimantHasNoEffect) {
  owner_rig rig(2, 0);
  const std::optional<store_swap> late = HoldBackRecordWrite(rig, 0);
  ASSERT_TRUE(late.has_value());
  rig.nodes[0].paused = true;
  rig.Run(seconds(10));
  ASSERT_EQ(rig.Authority(), 1);
  EXPECT_EQ(ApplyLate(rig, 0, *late), store_outcome::kConflict);
  rig.nodes[0].paused = false;
  rig.Run(seconds(5));
  EXPECT_EQ(rig.Authority(), 1);
}

// Guards against two leases that count: the home takes a new lease after an outage, while the write of a claimant that
// held the key in between is still under way.
TEST(OwnerFaults, NewLeaseOfTheHomeDefeatsAClaimUnderWay) {
  owner_rig rig(2, 0);
  const int first = rig.RunUntilHome(seconds(5));
  ASSERT_GE(first, 0);
  const std::size_t home = static_cast<std::size_t>(first);
  rig.nodes[home].paused = true;
  rig.Run(milliseconds(2000));
  const std::optional<store_swap> late = HoldBackRecordWrite(rig, 1 - home);
  ASSERT_TRUE(late.has_value());
  rig.nodes[1 - home].paused = true;
  rig.Run(seconds(4));
  rig.nodes[home].paused = false;
  rig.Run(seconds(2));
  ASSERT_EQ(rig.Authority(), first);
  EXPECT_EQ(ApplyLate(rig, 1 - home, *late), store_outcome::kConflict);
}

// Guards against a lease that is counted from the answer of the renewal: the store counts from its own receipt.
TEST(OwnerFaults, LeaseIsCountedFromTheSendTime) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    owner_rig rig(3, 3, seed);
    const int first = rig.RunUntilHome(seconds(5));
    ASSERT_GE(first, 0);
    rig.Run(seconds(3));
    const std::size_t home = static_cast<std::size_t>(first);
    rig.store_latency = milliseconds(2900);
    rig.Run(seconds(1));
    rig.store_latency = milliseconds(5);
    rig.nodes[home].store_cut = true;
    CutFromAgents(rig, home, true);
    rig.Run(seconds(15));
    EXPECT_GE(rig.Authority(), 0);
    EXPECT_NE(rig.Authority(), first);
  }
}

// Guards against a claimant that was paused after it had its majority and wakes when another entry is home.
TEST(OwnerFaults, PausedClaimantDoesNotBecomeHome) {
  owner_rig rig(3, 3);
  const int first = rig.RunUntilHome(seconds(5));
  rig.Run(seconds(3));
  rig.nodes[static_cast<std::size_t>(first)].alive = false;
  owner_node* claimant = nullptr;
  for (const instant end = rig.now + seconds(10); claimant == nullptr && rig.now < end;) {
    rig.Run(owner_rig::kStep);
    for (owner_node& node : rig.nodes) {
      claimant = node.alive && node.owner->role() == owner_role::kSettling ? &node : claimant;
    }
  }
  ASSERT_NE(claimant, nullptr);
  claimant->paused = true;
  rig.Run(seconds(15));
  claimant->paused = false;
  rig.Run(seconds(5));
  EXPECT_TRUE(claimant->homes.empty());
  EXPECT_EQ(claimant->owner->role(), owner_role::kStandby);
}

// Guards against a majority of the former list of agents while a longer list may already be in the store, from which
// another entry could gather a majority.
TEST(OwnerFaults, UndecidedWriteNeedsTheMajorityOfBothLists) {
  owner_rig rig(1, 3);
  rig.Run(seconds(3));
  rig.lose_answers = true;
  for (std::size_t a = 3; a < 10; ++a) {
    rig.agents.push_back({{"agent-" + std::to_string(a), 100 + a}, true, 0, {}});
    rig.Attach(0, a);
  }
  rig.Run(seconds(1));
  rig.store.down = true;
  ASSERT_EQ(rig.store.Record(kShard)->agents.size(), 10U);
  for (std::size_t a = 3; a < 10; ++a) {
    rig.CutAgent(0, a, true);
  }
  rig.Run(seconds(4));
  EXPECT_EQ(rig.Authority(), -1) << "three of ten";
  for (std::size_t a = 3; a < 6; ++a) {
    rig.CutAgent(0, a, false);
  }
  rig.Run(seconds(1));
  EXPECT_EQ(rig.Authority(), 0) << "three of three and six of ten";
}

}  // namespace
}  // namespace bamboowing
