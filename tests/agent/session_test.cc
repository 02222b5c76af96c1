// Sessions: silence, reconnects, reports on fresh sessions; and the bounds of the ledger.
#include <gtest/gtest.h>

#include "agent_fixture.h"

namespace bamboowing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an agent that does not announce its target on a new session.
TEST(Session, OpensAndAnnounces) {
  agent_rig rig;
  rig.Run(milliseconds(200));
  ASSERT_EQ(rig.opens.size(), 2U);
  ASSERT_TRUE(rig.LastTo(kOther).target.has_value());
  EXPECT_EQ(rig.LastTo(kOther).target->slots, 2U);
  EXPECT_EQ(rig.LastTo(kOther).target->failure_domain, "hobart");
}

// Guards against work that hangs on a silent connection: a fresh one comes within bounded time and first reports what
// the agent holds; nothing is sent again blindly.
TEST(Session, SilentHomeIsReplacedAndReportedTo) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 0, 0}));
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 1, 0}));
  rig.End({"a", 0, 0});
  rig.opens.clear();
  rig.sent.clear();
  const instant silent = rig.now;
  while (rig.opens.empty() && rig.now < silent + seconds(10)) {
    rig.Run(milliseconds(10), false);
  }
  ASSERT_FALSE(rig.opens.empty());
  EXPECT_EQ(rig.opens[0].second, kHome);
  EXPECT_LE(rig.opens[0].first - silent, seconds(2) + milliseconds(200));
  EXPECT_TRUE(rig.AnswersTo(kHome).empty());
  EXPECT_TRUE(rig.LastTo(kHome).status_reply);
  EXPECT_EQ(rig.LastTo(kHome).inventory.size(), 2U);
}

// Guards against a start that was sent on the silent session and runs after the report said that it does not.
TEST(Session, StartsFromBeforeTheReportAreRefused) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.Run(milliseconds(10));
  const entry_batch before = rig.StartBatch(kHome, 3, {"a", 0, 0});
  rig.Break(kHome);
  rig.Run(milliseconds(150));
  ASSERT_TRUE(rig.LastTo(kHome).status_reply);
  rig.Deliver(kHome, before);
  EXPECT_TRUE(rig.runs.empty());
  ASSERT_EQ(rig.Refusals().size(), 1U);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 1, 0}));
  EXPECT_EQ(rig.runs.size(), 1U) << "the home has the report";
}

// Guards against a start that was under way while the agent answered a status query: the answer does not list it, so
// the home may start it elsewhere.
TEST(Session, StartsFromBeforeAStatusReplyAreRefused) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  entry_batch query = rig.Batch(kHome, 3);
  query.status_query = true;
  const entry_batch start = rig.StartBatch(kHome, 3, {"a", 0, 0});
  rig.now += milliseconds(1);
  rig.Deliver(kHome, query);
  ASSERT_TRUE(rig.LastTo(kHome).status_reply);
  EXPECT_LT(start.header.echo, rig.LastTo(kHome).header.sent_at);
  rig.Deliver(kHome, start);
  EXPECT_TRUE(rig.runs.empty());
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 0, 1}));
  EXPECT_EQ(rig.runs.size(), 1U);
}

// Guards against a claim that waits for a silent session of an entry that was not home: a takeover takes about 5 s.
TEST(Session, SilentSessionOfAnotherEntryIsReplaced) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.Run(milliseconds(500));
  rig.opens.clear();
  const instant silent = rig.now;
  rig.Run(seconds(5), false);
  std::vector<instant> reopened;
  for (const std::pair<instant, std::string>& open : rig.opens) {
    if (open.second == kOther) {
      reopened.push_back(open.first);
    }
  }
  ASSERT_FALSE(reopened.empty());
  EXPECT_LE(reopened[0] - silent, 2 * seconds(2) + milliseconds(200));
}

// Guards against a storm of connections, to an entry that refuses them and to one that accepts them and stays silent.
TEST(Session, AttemptsBecomeRare) {
  for (const bool accept : {false, true}) {
    agent_rig rig;
    rig.accept = accept;
    rig.Run(seconds(60), false);
    // At most two quick attempts a second at first, then one in half of backoff_max, for each of two entries.
    EXPECT_LE(rig.opens.size(), 2U * (5 + 60 / 2)) << accept;
    EXPECT_GE(rig.opens.size(), 2U * 3) << accept;
  }
}

// Guards against a storm of connections to a home that is silent while tasks run.
TEST(Session, BusyAgentDoesNotFloodASilentHome) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 0, 0}));
  rig.opens.clear();
  rig.Run(seconds(60), false);
  std::size_t opens = 0;
  for (const std::pair<instant, std::string>& open : rig.opens) {
    opens += open.second == kHome ? 1 : 0;
  }
  // Six attempts while the pause doubles to 5 s; then one in silence_limit and at least half of the pause.
  EXPECT_LE(opens, 6U + 60000 / (2000 + 2500));
  EXPECT_GE(opens, 60U / (2 + 5));
}

// Guards against agents that reconnect in the same instant after an entry restarts.
TEST(Session, AgentsSpreadTheirAttempts) {
  std::set<instant> times;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    agent_rig rig(RigSettings(), seed);
    rig.Run(milliseconds(200));
    rig.opens.clear();
    rig.Break(kHome);
    rig.Run(milliseconds(200));
    ASSERT_EQ(rig.opens.size(), 1U);
    times.insert(rig.opens[0].first);
  }
  EXPECT_GE(times.size(), 4U) << "50 ms of jitter seen in steps of 10 ms";
}

// Guards against an agent that knows only the entries of its settings, and against unbounded growth of the list.
TEST(Session, LearnsEntries) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  entry_batch batch = rig.Batch(kHome, 3);
  batch.entries = {kHome, "127.0.0.1:7003"};
  rig.Deliver(kHome, batch);
  rig.opens.clear();
  rig.Run(milliseconds(200));
  ASSERT_EQ(rig.opens.size(), 1U);
  EXPECT_EQ(rig.opens[0].second, "127.0.0.1:7003");
  for (int i = 0; i < 1000; ++i) {
    batch.entries.push_back("127.0.0.1:" + std::to_string(10000 + i));
  }
  rig.Deliver(kHome, batch);
  rig.opens.clear();
  rig.Run(milliseconds(200));
  EXPECT_EQ(rig.opens.size(), session_table::kMaxSessions - 3);
}

// Guards against heartbeats that exceed an entry's budget, and against an idle agent whose clock is too old for the
// first start.
TEST(Session, HeartbeatsFollowTheRole) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  entry_batch other = rig.Batch(kOther, 3);
  other.heartbeat_interval = seconds(20);
  rig.Deliver(kOther, other);
  rig.sent.clear();
  rig.Run(seconds(60));
  std::size_t home = 0;
  std::size_t idle = 0;
  for (const send_batch& message : rig.sent) {
    (message.peer == kHome ? home : idle) += 1;
  }
  EXPECT_GE(home, 100U);
  EXPECT_LE(idle, 4U);
}

// Guards against a home that loses its authority because its agents confirm too late.
TEST(Session, BatchOfTheHomeIsConfirmedAtOnce) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.Run(milliseconds(300));
  rig.now += milliseconds(10);
  rig.sent.clear();
  rig.Deliver(kHome, rig.Batch(kHome, 3));
  ASSERT_EQ(rig.sent.size(), 1U);
  EXPECT_EQ(rig.sent[0].batch.header.echo, rig.now);
  EXPECT_EQ(rig.sent[0].batch.header.echo_life, 1U);
  rig.Deliver(kHome, rig.Batch(kHome, 3));
  EXPECT_EQ(rig.sent.size(), 1U) << "no second confirmation within a quarter of the limit";
}

// Guards against unbounded memory of answers and records, and against forgetting a start with its answer.
TEST(Ledger, BoundsAnswersInBytesAndTime) {
  const ledger_limits limits{seconds(10), seconds(20), 10000, 1000};
  task_ledger ledger(limits);
  const instant start{seconds(1)};
  for (std::uint32_t i = 0; i < 500; ++i) {
    ledger.Start({"job", i, 0});
    ledger.End({{"job", i, 0}, task_status::kSucceeded, std::string(100, 'x'), duration(1)}, start);
    EXPECT_LE(ledger.retained_bytes(), limits.bytes);
  }
  EXPECT_EQ(ledger.records(), 500U);
  EXPECT_EQ(ledger.Find("job", 0)->state, held_state::kReleased);
  EXPECT_EQ(ledger.Find("job", 499)->state, held_state::kAnswered);
  ledger.Expire(start + seconds(10));
  EXPECT_EQ(ledger.retained_bytes(), 0U);
  EXPECT_EQ(ledger.retained(), 0U);
  EXPECT_EQ(ledger.Inventory(true).size(), 500U);
  EXPECT_TRUE(ledger.Inventory(false).empty());
  ledger.Expire(start + seconds(20));
  EXPECT_EQ(ledger.records(), 0U);
  EXPECT_FALSE(ledger.next_expiry().has_value());
}

// Guards against a start that is accepted without a record of it.
TEST(Ledger, FullLedgerRefusesStarts) {
  agent_settings settings = RigSettings();
  settings.record_limit = 3;
  agent_rig rig(settings);
  rig.ClaimBy(kHome, 3);
  for (std::uint32_t i = 0; i < 5; ++i) {
    rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"job", i, 0}));
    rig.End({"job", i, 0});
  }
  EXPECT_EQ(rig.runs.size(), 3U);
  EXPECT_EQ(rig.Refusals().size(), 2U);
}

// Guards against an answer of a released job that stays in memory because the task was still running.
TEST(Ledger, AnswerOfAReleasedJobIsSentAndNotRetained) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"a", 0, 0}));
  entry_batch release = rig.Batch(kHome, 3);
  release.released_jobs = {"a"};
  rig.Deliver(kHome, release);
  rig.End({"a", 0, 0});
  EXPECT_EQ(rig.AnswersTo(kHome).size(), 1U);
  EXPECT_EQ(rig.agent.ledger().retained(), 0U);
  EXPECT_EQ(rig.agent.ledger().records(), 1U);
}

}  // namespace
}  // namespace bamboowing
