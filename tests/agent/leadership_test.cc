// Claims, inventories, fetched answers, changes of home, and draining.
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

// Guards against an inventory that misses a started task: the new home would start it again.
TEST(Home, ClaimIsAcknowledgedWithEverythingStarted) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 0, 0}));
  rig.End({"a", 0, 0});
  entry_batch release = rig.Batch(kHome, 3);
  release.released_jobs = {"a"};
  rig.Deliver(kHome, release);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"b", 0, 0}));
  rig.End({"b", 0, 0});
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"b", 1, 0}));
  rig.ClaimBy(kOther, 4);
  const agent_batch reply = rig.LastTo(kOther);
  EXPECT_EQ(reply.inventory_of, 4U);
  EXPECT_EQ(reply.header.shard_epoch, 4U);
  EXPECT_EQ(reply.shard, kShard);
  EXPECT_EQ(reply.inventory.size(), 3U);
  EXPECT_EQ(StateOf(reply, {"a", 0, 0}), held_state::kReleased);
  EXPECT_EQ(StateOf(reply, {"b", 0, 0}), held_state::kAnswered);
  EXPECT_EQ(StateOf(reply, {"b", 1, 0}), held_state::kRunning);
}

// Guards against a claim by an entry that lost its place: it must learn the higher epoch and get no inventory.
TEST(Home, LowerClaimIsAnsweredWithTheHigherEpoch) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.sent.clear();
  rig.ClaimBy(kOther, 2);
  EXPECT_EQ(rig.LastTo(kOther).inventory_of, 0U);
  EXPECT_EQ(rig.LastTo(kOther).header.shard_epoch, 3U);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 0, 0}));
  EXPECT_EQ(rig.runs.size(), 1U);
}

// Guards against an entry that fences the home with an epoch that was never claimed.
TEST(Home, KnowingAnEpochDoesNotRaiseIt) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.Deliver(kOther, rig.Batch(kOther, 9));
  EXPECT_EQ(rig.agent.highest_epoch(), 3U);
}

// Guards against answers that go to an entry that is no longer home, and against their loss.
TEST(Home, AnswerGoesToTheHomeOfTheHighestEpoch) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 0, 0}));
  rig.ClaimBy(kOther, 4);
  rig.End({"a", 0, 0});
  EXPECT_TRUE(rig.AnswersTo(kHome).empty());
  EXPECT_EQ(rig.AnswersTo(kOther).size(), 1U);
  entry_batch fetch = rig.Batch(kOther, 4);
  fetch.fetch_jobs = {"a"};
  rig.Deliver(kOther, fetch);
  EXPECT_EQ(rig.AnswersTo(kOther).size(), 2U) << "the answer is retained";
}

// Guards against an answer that counts as sent to the home but went to its next life, which knows nothing of the job.
TEST(Home, RestartedEntryIsNotHome) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 0, 0}));
  rig.Break(kHome);
  rig.lives[kHome] = 50;
  rig.Run(milliseconds(200));
  rig.Deliver(kHome, rig.Batch(kHome, 0));
  rig.End({"a", 0, 0});
  EXPECT_TRUE(rig.AnswersTo(kHome).empty());
  rig.ClaimBy(kHome, 4);
  EXPECT_EQ(StateOf(rig.LastTo(kHome), {"a", 0, 0}), held_state::kAnswered);
}

// Guards against a home that waits for ever for an answer that is no longer retained.
TEST(Home, FetchOfADroppedAnswerSaysSo) {
  agent_settings settings = RigSettings();
  settings.retained_bytes_limit = 1;
  agent_rig rig(settings);
  rig.ClaimBy(kHome, 3);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 0, 0}));
  rig.End({"a", 0, 0});
  EXPECT_EQ(rig.agent.ledger().retained_bytes(), 0U);
  entry_batch fetch = rig.Batch(kHome, 3);
  fetch.fetch_jobs = {"a", "unknown"};
  rig.Deliver(kHome, fetch);
  ASSERT_EQ(rig.AnswersTo(kHome).size(), 2U);
  EXPECT_EQ(rig.AnswersTo(kHome)[0].status, task_status::kSucceeded);
  EXPECT_EQ(rig.AnswersTo(kHome)[1].status, task_status::kLost);
}

// Guards against a home that waits for an answer which the agent sent before the home knew the job: the inventory said
// "running", the task ended, and the job was submitted again after that. Found by seed 41 of Cluster.RandomFaults.
TEST(Home, FetchFindsAnAnswerThatWasSentBefore) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 0, 0}));
  rig.ClaimBy(kOther, 4);
  EXPECT_EQ(StateOf(rig.LastTo(kOther), {"a", 0, 0}), held_state::kRunning);
  rig.End({"a", 0, 0});
  rig.sent.clear();
  entry_batch fetch = rig.Batch(kOther, 4);
  fetch.fetch_jobs = {"a"};
  rig.Deliver(kOther, fetch);
  EXPECT_EQ(rig.AnswersTo(kOther).size(), 1U);
}

// Guards against a shard's home that takes an agent away from another shard while tasks run or may be under way.
TEST(Home, OtherShardClaimsOnlyAFreeAgent) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  entry_batch claim = rig.Batch(kOther, 9);
  claim.claim = true;
  claim.shard.index = 1;
  rig.Deliver(kOther, claim);
  EXPECT_EQ(rig.agent.highest_epoch(), 3U);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 0, 0}));
  rig.Run(seconds(6));
  rig.Deliver(kOther, claim);
  EXPECT_EQ(rig.agent.highest_epoch(), 3U) << "a task runs";
  rig.End({"a", 0, 0});
  rig.Deliver(kOther, claim);
  EXPECT_EQ(rig.agent.highest_epoch(), 9U);
  EXPECT_EQ(rig.LastTo(kOther).shard.index, 1U);
  rig.Run(seconds(6));
  rig.ClaimBy(kHome, 2);
  EXPECT_EQ(rig.agent.highest_epoch(), 3U) << "the epoch of the first shard is remembered";
}

// Guards against an older configuration that takes back a drain of the operators.
TEST(Home, DrainByOperatorsFollowsTheNewestConfiguration) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  entry_batch newer = rig.Batch(kHome, 3);
  newer.header.config = 5;
  newer.draining = true;
  rig.Deliver(kHome, newer);
  EXPECT_TRUE(rig.LastTo(kOther).target.value_or(target_announcement{}).draining) << "every entry hears of it";
  entry_batch older = rig.Batch(kOther, 3);
  older.header.config = 4;
  rig.Deliver(kOther, older);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 0, 0}));
  EXPECT_TRUE(rig.runs.empty());
  newer.header.config = 6;
  newer.draining = false;
  rig.Deliver(kHome, newer);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"b", 0, 0}));
  EXPECT_EQ(rig.runs.size(), 1U);
}

// Guards against an exit before running work has ended and its answer has arrived.
TEST(Drain, EndsAfterAnswersAreDelivered) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 0, 0}));
  rig.agent.OnDrain(rig.now);
  rig.Collect();
  EXPECT_TRUE(rig.LastTo(kHome).target->draining);
  rig.Run(seconds(20));
  EXPECT_FALSE(rig.agent.drained()) << "a task runs";
  rig.End({"a", 0, 0});
  rig.Run(seconds(4));
  EXPECT_FALSE(rig.agent.drained()) << "the job is not released";
  entry_batch release = rig.Batch(kHome, 3);
  release.released_jobs = {"a"};
  rig.Deliver(kHome, release);
  EXPECT_TRUE(rig.agent.drained());
}

// Guards against an agent that waits for ever for the release of a job that was cancelled or failed.
TEST(Drain, EndsWithoutReleaseAfterTheHomeHasTheAnswer) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 0, 0}));
  rig.agent.OnDrain(rig.now);
  rig.End({"a", 0, 0});
  rig.Run(seconds(6));
  EXPECT_TRUE(rig.agent.drained());
}

// Guards against an exit with an answer that no home has received.
TEST(Drain, WaitsForAHomeThatIsAway) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 0, 0}));
  rig.agent.OnDrain(rig.now);
  rig.accept = false;
  rig.Break(kHome);
  rig.Break(kOther);
  rig.End({"a", 0, 0});
  rig.Run(seconds(60));
  EXPECT_FALSE(rig.agent.drained());
  rig.accept = true;
  rig.Run(seconds(5));
  EXPECT_FALSE(rig.agent.drained()) << "the new home has not claimed yet";
  rig.ClaimBy(kOther, 4);
  rig.Run(seconds(4));
  EXPECT_FALSE(rig.agent.drained()) << "the home may still fetch";
  rig.Run(seconds(2));
  EXPECT_TRUE(rig.agent.drained());
}

// Guards against new work for a target that died without saying that it leaves.
TEST(Drain, SilentTargetCountsAsLeft) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.target_announces = false;
  rig.Run(seconds(6));
  EXPECT_TRUE(rig.LastTo(kHome).target->draining || !rig.LastTo(kHome).target.has_value());
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 0, 0}));
  EXPECT_TRUE(rig.runs.empty());
}

}  // namespace
}  // namespace bamboowing
