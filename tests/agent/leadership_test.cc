// Claims, inventories, fetched answers, changes of leader, and draining.
#include <gtest/gtest.h>

#include "agent_fixture.h"

namespace bamboowing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

held_state StateOf(const agent_batch& batch, const task_key& key) {
  for (const held_task& held : batch.inventory) {
    if (held.key == key) {
      return held.state;
    }
  }
  ADD_FAILURE() << "task " << key.task << " is not in the inventory";
  return held_state::kReleased;
}

// Guards against an inventory that misses a started task, which the new leader would start again.
TEST(Leadership, ClaimIsAcknowledgedWithAllStartedTasks) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0}));
  fixture.EndTask({"a", 0, 0});
  entry_batch release = fixture.MakeBatch(kLeader, 3);
  release.released_jobs = {"a"};
  fixture.Deliver(kLeader, release);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"b", 0, 0}));
  fixture.EndTask({"b", 0, 0});
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"b", 1, 0}));
  fixture.ClaimBy(kOther, 4);
  const agent_batch reply = fixture.LastTo(kOther);
  EXPECT_EQ(reply.inventory_of, 4U);
  EXPECT_EQ(reply.header.shard_epoch, 4U);
  EXPECT_EQ(reply.shard, kShard);
  EXPECT_EQ(reply.inventory.size(), 3U);
  EXPECT_EQ(StateOf(reply, {"a", 0, 0}), held_state::kReleased);
  EXPECT_EQ(StateOf(reply, {"b", 0, 0}), held_state::kAnswered);
  EXPECT_EQ(StateOf(reply, {"b", 1, 0}), held_state::kRunning);
}

// Guards against a claim by an entry that lost leadership: it must receive the higher epoch and no inventory.
TEST(Leadership, LowerClaimIsAnsweredWithTheHigherEpoch) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.sent.clear();
  fixture.ClaimBy(kOther, 2);
  EXPECT_EQ(fixture.LastTo(kOther).inventory_of, 0U);
  EXPECT_EQ(fixture.LastTo(kOther).header.shard_epoch, 3U);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0}));
  EXPECT_EQ(fixture.runs.size(), 1U);
}

// Guards against an entry that fences the leader with an epoch that was never claimed.
TEST(Leadership, EpochWithoutClaimIsNotAdopted) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.Deliver(kOther, fixture.MakeBatch(kOther, 9));
  EXPECT_EQ(fixture.agent.highest_epoch(), 3U);
}

// Guards against answers that go to an entry that is no longer leader, and against their loss.
TEST(Leadership, AnswerGoesToTheLeaderOfTheHighestEpoch) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0}));
  fixture.ClaimBy(kOther, 4);
  fixture.EndTask({"a", 0, 0});
  EXPECT_TRUE(fixture.AnswersTo(kLeader).empty());
  EXPECT_EQ(fixture.AnswersTo(kOther).size(), 1U);
  entry_batch fetch = fixture.MakeBatch(kOther, 4);
  fetch.fetch_jobs = {"a"};
  fixture.Deliver(kOther, fetch);
  EXPECT_EQ(fixture.AnswersTo(kOther).size(), 2U) << "the answer is retained";
}

// Guards against an answer that counts as sent to the leader but went to its next incarnation, which has no record of
// the job.
TEST(Leadership, RestartedEntryIsNotLeader) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0}));
  fixture.BreakSession(kLeader);
  fixture.incarnations[kLeader] = 50;
  fixture.RunFor(milliseconds(200));
  fixture.Deliver(kLeader, fixture.MakeBatch(kLeader, 0));
  fixture.EndTask({"a", 0, 0});
  EXPECT_TRUE(fixture.AnswersTo(kLeader).empty());
  fixture.ClaimBy(kLeader, 4);
  EXPECT_EQ(StateOf(fixture.LastTo(kLeader), {"a", 0, 0}), held_state::kAnswered);
}

// Guards against a leader that waits forever for an answer that is no longer retained.
TEST(Leadership, FetchOfADroppedAnswerReturnsLost) {
  agent_settings settings = FixtureSettings();
  settings.retained_bytes_limit = 1;
  agent_fixture fixture(settings);
  fixture.ClaimBy(kLeader, 3);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0}));
  fixture.EndTask({"a", 0, 0});
  EXPECT_EQ(fixture.agent.ledger().retained_bytes(), 0U);
  entry_batch fetch = fixture.MakeBatch(kLeader, 3);
  fetch.fetch_jobs = {"a", "unknown"};
  fixture.Deliver(kLeader, fetch);
  ASSERT_EQ(fixture.AnswersTo(kLeader).size(), 2U);
  EXPECT_EQ(fixture.AnswersTo(kLeader)[0].status, task_status::kSucceeded);
  EXPECT_EQ(fixture.AnswersTo(kLeader)[1].status, task_status::kLost);
}

// Guards against a leader that waits for an answer which the agent sent before the job was resubmitted: the inventory
// listed the task as running, the task ended, and only then was the job submitted again. Found by seed 41 of
// Cluster.RandomFaults.
TEST(Leadership, FetchReturnsAnAnswerThatWasSentBefore) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0}));
  fixture.ClaimBy(kOther, 4);
  EXPECT_EQ(StateOf(fixture.LastTo(kOther), {"a", 0, 0}), held_state::kRunning);
  fixture.EndTask({"a", 0, 0});
  fixture.sent.clear();
  entry_batch fetch = fixture.MakeBatch(kOther, 4);
  fetch.fetch_jobs = {"a"};
  fixture.Deliver(kOther, fetch);
  EXPECT_EQ(fixture.AnswersTo(kOther).size(), 1U);
}

// Guards against a leader that takes an agent from another shard while tasks run or starts may be in transit.
TEST(Leadership, OtherShardClaimsOnlyAnIdleAgent) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  entry_batch claim = fixture.MakeBatch(kOther, 9);
  claim.claim = true;
  claim.shard.index = 1;
  fixture.Deliver(kOther, claim);
  EXPECT_EQ(fixture.agent.highest_epoch(), 3U);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0}));
  fixture.RunFor(seconds(6));
  fixture.Deliver(kOther, claim);
  EXPECT_EQ(fixture.agent.highest_epoch(), 3U) << "a task runs";
  fixture.EndTask({"a", 0, 0});
  fixture.Deliver(kOther, claim);
  EXPECT_EQ(fixture.agent.highest_epoch(), 9U);
  EXPECT_EQ(fixture.LastTo(kOther).shard.index, 1U);
  fixture.RunFor(seconds(6));
  fixture.ClaimBy(kLeader, 2);
  EXPECT_EQ(fixture.agent.highest_epoch(), 3U) << "the epoch of the first shard is retained";
}

// Guards against an older configuration that reverts a drain by the operators.
TEST(Leadership, DrainByOperatorsFollowsTheNewestConfiguration) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  entry_batch newer = fixture.MakeBatch(kLeader, 3);
  newer.header.config = 5;
  newer.draining = true;
  fixture.Deliver(kLeader, newer);
  EXPECT_TRUE(fixture.LastTo(kOther).target.value_or(target_announcement{}).draining) << "every entry is notified";
  entry_batch older = fixture.MakeBatch(kOther, 3);
  older.header.config = 4;
  fixture.Deliver(kOther, older);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0}));
  EXPECT_TRUE(fixture.runs.empty());
  newer.header.config = 6;
  newer.draining = false;
  fixture.Deliver(kLeader, newer);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"b", 0, 0}));
  EXPECT_EQ(fixture.runs.size(), 1U);
}

// Guards against an exit before running work has ended and its answer has arrived.
TEST(Drain, EndsAfterAnswersAreDelivered) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0}));
  fixture.agent.OnDrain(fixture.now);
  fixture.Collect();
  EXPECT_TRUE(fixture.LastTo(kLeader).target->draining);
  fixture.RunFor(seconds(20));
  EXPECT_FALSE(fixture.agent.drained()) << "a task runs";
  fixture.EndTask({"a", 0, 0});
  fixture.RunFor(seconds(4));
  EXPECT_FALSE(fixture.agent.drained()) << "the job is not released";
  entry_batch release = fixture.MakeBatch(kLeader, 3);
  release.released_jobs = {"a"};
  fixture.Deliver(kLeader, release);
  EXPECT_TRUE(fixture.agent.drained());
}

// Guards against an agent that waits forever for the release of a job that was cancelled or failed.
TEST(Drain, EndsWithoutReleaseAfterTheLeaderHasTheAnswer) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0}));
  fixture.agent.OnDrain(fixture.now);
  fixture.EndTask({"a", 0, 0});
  fixture.RunFor(seconds(6));
  EXPECT_TRUE(fixture.agent.drained());
}

// Guards against an exit with an answer that no leader has received.
TEST(Drain, WaitsForAnUnreachableLeader) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0}));
  fixture.agent.OnDrain(fixture.now);
  fixture.accept_connections = false;
  fixture.BreakSession(kLeader);
  fixture.BreakSession(kOther);
  fixture.EndTask({"a", 0, 0});
  fixture.RunFor(seconds(60));
  EXPECT_FALSE(fixture.agent.drained());
  fixture.accept_connections = true;
  fixture.RunFor(seconds(5));
  EXPECT_FALSE(fixture.agent.drained()) << "the new leader has not claimed yet";
  fixture.ClaimBy(kOther, 4);
  fixture.RunFor(seconds(4));
  EXPECT_FALSE(fixture.agent.drained()) << "the leader may still fetch";
  fixture.RunFor(seconds(2));
  EXPECT_TRUE(fixture.agent.drained());
}

// Guards against new work for a target that died without announcing that it leaves.
TEST(Drain, SilentTargetCountsAsLeft) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.target_announces = false;
  fixture.RunFor(seconds(6));
  EXPECT_TRUE(fixture.LastTo(kLeader).target->draining || !fixture.LastTo(kLeader).target.has_value());
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0}));
  EXPECT_TRUE(fixture.runs.empty());
}

}  // namespace
}  // namespace bamboowing
