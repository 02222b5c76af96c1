// Faults of design section 3 that affect shard leadership. owner_fixture checks at every step that at most one owner
// has authority.
#include <gtest/gtest.h>

#include <functional>

#include "owner_fixture.h"

namespace bamboowing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A fault of the leader while two other entries and five agents are running.
struct fault_row {
  const char* name;
  std::function<void(owner_fixture&, owner_node&, std::size_t)> start;
  std::function<void(owner_fixture&, owner_node&, std::size_t)> end;
  duration length;
  bool leader_changes;      ///< whether another entry must become leader while the fault lasts
  duration longest_gap{0};  ///< longest time without a leader
};

void CutFromAgents(owner_fixture& fixture, std::size_t leader, bool cut) {
  for (std::size_t a = 0; a < fixture.agents.size(); ++a) {
    fixture.CutAgent(leader, a, cut);
  }
}

// Lease expiry, one poll, acknowledgements and wait for the previous leader, and some store calls.
constexpr duration kTakeover = seconds(3) + seconds(1) + milliseconds(1200) + milliseconds(500);

const std::vector<fault_row>& Rows() {
  using node = owner_node;
  static const std::vector<fault_row> rows = {
      {"kill", [](owner_fixture&, node& n, std::size_t) { n.alive = false; }, [](owner_fixture&, node&, std::size_t) {},
       seconds(20), true, kTakeover},
      {"restart", [](owner_fixture& fixture, node&, std::size_t leader) { fixture.Restart(leader); },
       [](owner_fixture&, node&, std::size_t) {}, seconds(20), true, kTakeover},
      {"short pause", [](owner_fixture&, node& n, std::size_t) { n.paused = true; },
       [](owner_fixture&, node& n, std::size_t) { n.paused = false; }, milliseconds(1500), false, duration(0)},
      {"long pause", [](owner_fixture&, node& n, std::size_t) { n.paused = true; },
       [](owner_fixture&, node& n, std::size_t) { n.paused = false; }, seconds(20), true, kTakeover},
      {"pause ends during the takeover", [](owner_fixture&, node& n, std::size_t) { n.paused = true; },
       [](owner_fixture&, node& n, std::size_t) { n.paused = false; }, milliseconds(4300), false, kTakeover},
      {"cut from the store", [](owner_fixture&, node& n, std::size_t) { n.store_cut = true; },
       [](owner_fixture&, node& n, std::size_t) { n.store_cut = false; }, seconds(20), true, kTakeover},
      {"cut from all agents",
       [](owner_fixture& fixture, node&, std::size_t leader) { CutFromAgents(fixture, leader, true); },
       [](owner_fixture& fixture, node&, std::size_t leader) { CutFromAgents(fixture, leader, false); }, seconds(20),
       false, duration(0)},
      {"cut from store and agents",
       [](owner_fixture& fixture, node& n, std::size_t leader) {
         n.store_cut = true;
         CutFromAgents(fixture, leader, true);
       },
       [](owner_fixture& fixture, node& n, std::size_t leader) {
         n.store_cut = false;
         CutFromAgents(fixture, leader, false);
       },
       seconds(20), true, kTakeover},
      {"store down", [](owner_fixture& fixture, node&, std::size_t) { fixture.store.down = true; },
       [](owner_fixture& fixture, node&, std::size_t) { fixture.store.down = false; }, seconds(60), false, duration(0)},
      {"store down twice",
       [](owner_fixture& fixture, node&, std::size_t) {
         fixture.store.down = true;
         fixture.Run(seconds(10));
         fixture.store.down = false;
         fixture.Run(milliseconds(150));
         fixture.store.down = true;
       },
       [](owner_fixture& fixture, node&, std::size_t) { fixture.store.down = false; }, seconds(20), false, duration(0)},
      {"store slow", [](owner_fixture& fixture, node&, std::size_t) { fixture.store_latency = milliseconds(1500); },
       [](owner_fixture& fixture, node&, std::size_t) { fixture.store_latency = milliseconds(5); }, seconds(60), false,
       duration(0)},
      {"store down and a minority of agents dead",
       [](owner_fixture& fixture, node&, std::size_t) {
         fixture.store.down = true;
         fixture.KillAgent(0);
         fixture.KillAgent(1);
       },
       [](owner_fixture& fixture, node&, std::size_t) { fixture.store.down = false; }, seconds(20), false, duration(0)},
  };
  return rows;
}

// Guards against two leaders, against an unnecessary change of leader, and against a slow takeover.
TEST(OwnerFaults, OneLeaderDuringEachFault) {
  for (const fault_row& row : Rows()) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      SCOPED_TRACE(std::string(row.name) + ", seed " + std::to_string(seed));
      owner_fixture fixture(3, 5, seed);
      const int first = fixture.RunUntilLeader(seconds(5));
      ASSERT_GE(first, 0);
      fixture.Run(seconds(3));
      const std::size_t leader = static_cast<std::size_t>(first);
      row.start(fixture, fixture.nodes[leader], leader);
      const instant begin = fixture.now;
      instant last_home = begin;
      duration gap{0};
      bool changed = false;
      bool ended = false;
      while (fixture.now < begin + row.length + seconds(15)) {
        fixture.Run(owner_fixture::kStep);
        const int current = fixture.AuthorityHolder();
        changed = changed || (current >= 0 && current != first);
        if (current >= 0) {
          gap = std::max(gap, duration(fixture.now - last_home));
          last_home = fixture.now;
        }
        if (!ended && fixture.now >= begin + row.length) {
          row.end(fixture, fixture.nodes[leader], leader);
          ended = true;
        }
      }
      gap = std::max(gap, duration(fixture.now - last_home));
      EXPECT_LE(gap.count(), std::max(row.longest_gap, owner_fixture::kStep).count());
      if (row.leader_changes) {
        EXPECT_TRUE(changed);
      } else if (row.longest_gap == duration(0)) {
        EXPECT_FALSE(changed);
      }
    }
  }
}

// Guards against a takeover without the store: no entry may replace a dead leader while the store is down.
TEST(OwnerFaults, NoTakeoverWhileTheStoreIsDown) {
  owner_fixture fixture(3, 5);
  const int first = fixture.RunUntilLeader(seconds(5));
  fixture.Run(seconds(3));
  fixture.store.down = true;
  fixture.nodes[static_cast<std::size_t>(first)].alive = false;
  fixture.Run(seconds(60));
  EXPECT_EQ(fixture.AuthorityHolder(), -1);
  fixture.store.down = false;
  // Timeout of the call in flight, backoff, wait for the previous leader's new lease, poll, acknowledgements, expiry of
  // its authority.
  EXPECT_GE(fixture.RunUntilLeader(milliseconds(2500) + seconds(1) + seconds(2) + seconds(1) + milliseconds(1700)), 0);
}

// Guards against a store that is slow but working and whose calls all time out.
TEST(OwnerFaults, SlowStoreStillAllowsAClaim) {
  owner_fixture fixture(3, 3);
  fixture.store_latency = milliseconds(1500);
  EXPECT_GE(fixture.RunUntilLeader(seconds(30)), 0);
}

// Guards against a leader that keeps its authority after it lost both the store and the majority: another entry could
// replace it.
TEST(OwnerFaults, LeaderStopsWithoutStoreAndMajority) {
  owner_fixture fixture(1, 5);
  fixture.RunUntilLeader(seconds(5));
  fixture.Run(seconds(3));
  fixture.store.down = true;
  for (std::size_t a = 0; a < 3; ++a) {
    fixture.CutAgent(0, a, true);
  }
  fixture.Run(seconds(3));
  EXPECT_EQ(fixture.AuthorityHolder(), -1);
  fixture.CutAgent(0, 0, false);
  fixture.Run(seconds(1));
  EXPECT_EQ(fixture.AuthorityHolder(), 0) << "three of five agents confirm again";
}

// Guards against starting tasks on an agent that a later leader could not find in the record.
TEST(OwnerFaults, NewAgentWaitsWhileTheStoreIsDown) {
  owner_fixture fixture(1, 3);
  fixture.Run(seconds(3));
  fixture.store.down = true;
  fixture.agents.push_back({{"agent-9", 9}, true, 0, {}});
  fixture.Attach(0, 3);
  fixture.Run(seconds(30));
  EXPECT_FALSE(fixture.nodes[0].owner->IsUsable("agent-9"));
  fixture.store.down = false;
  fixture.Run(seconds(10));
  EXPECT_TRUE(fixture.nodes[0].owner->IsUsable("agent-9"));
}

// Guards against an owner that mistakes its own write for that of another entry, or claims twice. The response to each
// call of the claim and of the first record changes is lost in turn.
TEST(OwnerFaults, OwnWriteIsRecognisedAfterALostAnswer) {
  for (int lost = 1; lost <= 12; ++lost) {
    SCOPED_TRACE("lost response to call " + std::to_string(lost));
    owner_fixture fixture(1, 3);
    fixture.lost_answer_call = lost;
    fixture.Run(seconds(12));
    EXPECT_EQ(fixture.AuthorityHolder(), 0);
    EXPECT_EQ(fixture.nodes[0].leader_epochs.size(), 1U);
    EXPECT_EQ(fixture.nodes[0].leadership_losses, 0);
    // Initial jitter, one timeout, one backoff and some calls: the claim resumes where it stopped.
    EXPECT_LE(fixture.nodes[0].leader_at - instant(seconds(1000)), milliseconds(250 + 1000 + 100 + 250));
    EXPECT_EQ(fixture.store.Record(kShard)->shard_epoch, 1U);
    EXPECT_EQ(fixture.store.Record(kShard)->agents.size(), 3U);
    EXPECT_TRUE(fixture.nodes[0].owner->IsUsable("agent-2"));
  }
}

// Guards against a confirmation by a restarted agent, which has lost the epoch that it acknowledged to another entry.
TEST(OwnerFaults, RestartedAgentsDoNotConfirmOldLeader) {
  owner_fixture fixture(1, 3);
  fixture.Run(seconds(3));
  fixture.store.down = true;
  fixture.RestartAgent(0);
  fixture.RestartAgent(1);
  fixture.Run(seconds(4));
  EXPECT_EQ(fixture.AuthorityHolder(), -1);
}

// Guards against a leader that acts on outdated state: one report of a higher epoch ends its authority at once.
TEST(OwnerFaults, HigherEpochEndsAuthorityAtOnce) {
  owner_fixture fixture(1, 3);
  fixture.Run(seconds(3));
  ASSERT_EQ(fixture.AuthorityHolder(), 0);
  agent_batch batch;
  batch.header.sender = "agent-0";
  batch.header.incarnation = 100;
  batch.header.shard_epoch = 2;
  batch.shard = {"defects", 1};
  fixture.nodes[0].owner->OnAgentBatch(batch, fixture.now);
  EXPECT_TRUE(fixture.nodes[0].owner->has_authority(fixture.now)) << "the epoch of another shard does not matter";
  batch.shard = kShard;
  fixture.nodes[0].owner->OnAgentBatch(batch, fixture.now);
  EXPECT_FALSE(fixture.nodes[0].owner->has_authority(fixture.now));
}

// Runs only owner @p i until it writes the record; returns that write without applying it.
std::optional<store_swap> HoldBackRecordWrite(owner_fixture& fixture, std::size_t i) {
  shard_owner& claimant = *fixture.nodes[i].owner;
  for (const instant end = fixture.now + seconds(10); fixture.now < end;) {
    fixture.now += owner_fixture::kStep;
    claimant.OnTick(fixture.now);
    const std::vector<owner_action> actions(claimant.actions().begin(), claimant.actions().end());
    claimant.ClearActions();
    for (const owner_action& action : actions) {
      if (std::holds_alternative<store_swap>(action) && std::get<store_swap>(action).key == ShardRecordKey(kShard)) {
        return std::get<store_swap>(action);
      }
      const std::optional<store_result> result = fixture.store.Apply(action, fixture.now);
      if (result.has_value()) {
        claimant.OnStoreResult(*result, fixture.now);
      }
    }
  }
  return std::nullopt;
}

// Applies a delayed write, passes its result to the owner and returns the outcome.
store_outcome ApplyLate(owner_fixture& fixture, std::size_t i, const store_swap& late) {
  const std::optional<store_result> result = fixture.store.Apply(late, fixture.now);
  fixture.nodes[i].owner->OnStoreResult(*result, fixture.now);
  return result->outcome;
}

// Guards against a claimant whose write of the record arrives after its lease ended and another entry has claimed.
TEST(OwnerFaults, LateWriteOfAPausedClaimantHasNoEffect) {
  owner_fixture fixture(2, 0);
  const std::optional<store_swap> late = HoldBackRecordWrite(fixture, 0);
  ASSERT_TRUE(late.has_value());
  fixture.nodes[0].paused = true;
  fixture.Run(seconds(10));
  ASSERT_EQ(fixture.AuthorityHolder(), 1);
  EXPECT_EQ(ApplyLate(fixture, 0, *late), store_outcome::kConflict);
  fixture.nodes[0].paused = false;
  fixture.Run(seconds(5));
  EXPECT_EQ(fixture.AuthorityHolder(), 1);
}

// Guards against two valid leases: the leader takes a new lease after an outage while the write of a claimant that held
// the key in between is still in flight.
TEST(OwnerFaults, NewLeaseOfLeaderDefeatsPendingClaim) {
  owner_fixture fixture(2, 0);
  const int first = fixture.RunUntilLeader(seconds(5));
  ASSERT_GE(first, 0);
  const std::size_t leader = static_cast<std::size_t>(first);
  fixture.nodes[leader].paused = true;
  fixture.Run(milliseconds(2000));
  const std::optional<store_swap> late = HoldBackRecordWrite(fixture, 1 - leader);
  ASSERT_TRUE(late.has_value());
  fixture.nodes[1 - leader].paused = true;
  fixture.Run(seconds(4));
  fixture.nodes[leader].paused = false;
  fixture.Run(seconds(2));
  ASSERT_EQ(fixture.AuthorityHolder(), first);
  EXPECT_EQ(ApplyLate(fixture, 1 - leader, *late), store_outcome::kConflict);
}

// Guards against a lease that is counted from the response to the renewal: the store counts from when it received the
// renewal.
TEST(OwnerFaults, LeaseIsCountedFromTheSendTime) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    owner_fixture fixture(3, 3, seed);
    const int first = fixture.RunUntilLeader(seconds(5));
    ASSERT_GE(first, 0);
    fixture.Run(seconds(3));
    const std::size_t leader = static_cast<std::size_t>(first);
    fixture.store_latency = milliseconds(2900);
    fixture.Run(seconds(1));
    fixture.store_latency = milliseconds(5);
    fixture.nodes[leader].store_cut = true;
    CutFromAgents(fixture, leader, true);
    fixture.Run(seconds(15));
    EXPECT_GE(fixture.AuthorityHolder(), 0);
    EXPECT_NE(fixture.AuthorityHolder(), first);
  }
}

// Guards against a claimant that is paused after it got its majority and resumes when another entry is leader.
TEST(OwnerFaults, PausedClaimantDoesNotBecomeLeader) {
  owner_fixture fixture(3, 3);
  const int first = fixture.RunUntilLeader(seconds(5));
  fixture.Run(seconds(3));
  fixture.nodes[static_cast<std::size_t>(first)].alive = false;
  owner_node* claimant = nullptr;
  for (const instant end = fixture.now + seconds(10); claimant == nullptr && fixture.now < end;) {
    fixture.Run(owner_fixture::kStep);
    for (owner_node& node : fixture.nodes) {
      claimant = node.alive && node.owner->role() == owner_role::kAwaitingExpiry ? &node : claimant;
    }
  }
  ASSERT_NE(claimant, nullptr);
  claimant->paused = true;
  fixture.Run(seconds(15));
  claimant->paused = false;
  fixture.Run(seconds(5));
  EXPECT_TRUE(claimant->leader_epochs.empty());
  EXPECT_EQ(claimant->owner->role(), owner_role::kStandby);
}

// Guards against authority from a majority of the old list of agents while a longer list may already be in the store,
// from which another entry could get a majority.
TEST(OwnerFaults, PendingWriteNeedsMajorityOfBothLists) {
  owner_fixture fixture(1, 3);
  fixture.Run(seconds(3));
  fixture.lose_answers = true;
  for (std::size_t a = 3; a < 10; ++a) {
    fixture.agents.push_back({{"agent-" + std::to_string(a), 100 + a}, true, 0, {}});
    fixture.Attach(0, a);
  }
  fixture.Run(seconds(1));
  fixture.store.down = true;
  ASSERT_EQ(fixture.store.Record(kShard)->agents.size(), 10U);
  for (std::size_t a = 3; a < 10; ++a) {
    fixture.CutAgent(0, a, true);
  }
  fixture.Run(seconds(4));
  EXPECT_EQ(fixture.AuthorityHolder(), -1) << "three of ten";
  for (std::size_t a = 3; a < 6; ++a) {
    fixture.CutAgent(0, a, false);
  }
  fixture.Run(seconds(1));
  EXPECT_EQ(fixture.AuthorityHolder(), 0) << "three of three and six of ten";
}

}  // namespace
}  // namespace bamboowing
