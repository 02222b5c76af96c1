// Sessions: time-outs, reconnects and reports on new sessions; and the bounds of task_ledger.
#include <gtest/gtest.h>

#include "agent_fixture.h"

namespace bamboowing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an agent that does not announce its target on a new session.
TEST(Session, OpensAndAnnounces) {
  agent_fixture fixture;
  fixture.RunFor(milliseconds(200));
  ASSERT_EQ(fixture.opens.size(), 2U);
  ASSERT_TRUE(fixture.LastTo(kOther).target.has_value());
  EXPECT_EQ(fixture.LastTo(kOther).target->slots, 2U);
  EXPECT_EQ(fixture.LastTo(kOther).target->failure_domain, "hobart");
}

// Guards against work that hangs on a silent connection: a new session opens within bounded time and starts with a
// report of the started tasks; no answer is sent again without a request.
TEST(Session, SilentLeaderSessionIsReplacedWithAReport) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0}));
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 1, 0}));
  fixture.EndTask({"a", 0, 0});
  fixture.opens.clear();
  fixture.sent.clear();
  const instant silent = fixture.now;
  while (fixture.opens.empty() && fixture.now < silent + seconds(10)) {
    fixture.RunFor(milliseconds(10), false);
  }
  ASSERT_FALSE(fixture.opens.empty());
  EXPECT_EQ(fixture.opens[0].second, kLeader);
  EXPECT_LE(fixture.opens[0].first - silent, seconds(2) + milliseconds(200));
  EXPECT_TRUE(fixture.AnswersTo(kLeader).empty());
  EXPECT_TRUE(fixture.LastTo(kLeader).status_reply);
  EXPECT_EQ(fixture.LastTo(kLeader).inventory.size(), 2U);
}

// Guards against a start that was sent on the silent session and runs after a report without it.
TEST(Session, StartsSentBeforeTheReportAreRefused) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.RunFor(milliseconds(10));
  const entry_batch before = fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0});
  fixture.BreakSession(kLeader);
  fixture.RunFor(milliseconds(150));
  ASSERT_TRUE(fixture.LastTo(kLeader).status_reply);
  fixture.Deliver(kLeader, before);
  EXPECT_TRUE(fixture.runs.empty());
  ASSERT_EQ(fixture.Refusals().size(), 1U);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 1, 0}));
  EXPECT_EQ(fixture.runs.size(), 1U) << "the leader has the report";
}

// Guards against a start that was in transit while the agent answered a status query: the reply does not list it, so
// the leader may start it on another target.
TEST(Session, StartsSentBeforeAStatusReplyAreRefused) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  entry_batch query = fixture.MakeBatch(kLeader, 3);
  query.status_query = true;
  const entry_batch start = fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0});
  fixture.now += milliseconds(1);
  fixture.Deliver(kLeader, query);
  ASSERT_TRUE(fixture.LastTo(kLeader).status_reply);
  EXPECT_LT(start.header.echo, fixture.LastTo(kLeader).header.sent_at);
  fixture.Deliver(kLeader, start);
  EXPECT_TRUE(fixture.runs.empty());
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 0, 1}));
  EXPECT_EQ(fixture.runs.size(), 1U);
}

// Guards against a claim that is delayed by a silent session of an entry that is not leader: a takeover takes about 5
// s.
TEST(Session, SilentSessionOfAnotherEntryIsReplaced) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.RunFor(milliseconds(500));
  fixture.opens.clear();
  const instant silent = fixture.now;
  fixture.RunFor(seconds(5), false);
  std::vector<instant> reopened;
  for (const std::pair<instant, std::string>& open : fixture.opens) {
    if (open.second == kOther) {
      reopened.push_back(open.first);
    }
  }
  ASSERT_FALSE(reopened.empty());
  EXPECT_LE(reopened[0] - silent, 2 * seconds(2) + milliseconds(200));
}

// Guards against a flood of connections, to an entry that refuses them and to one that accepts them and never sends.
TEST(Session, ConnectionAttemptsBackOff) {
  for (const bool accept : {false, true}) {
    agent_fixture fixture;
    fixture.accept_connections = accept;
    fixture.RunFor(seconds(60), false);
    // For each of two entries: at most two attempts a second at first, then one per half of backoff_max.
    EXPECT_LE(fixture.opens.size(), 2U * (5 + 60 / 2)) << accept;
    EXPECT_GE(fixture.opens.size(), 2U * 3) << accept;
  }
}

// Guards against a flood of connections to a leader that is silent while tasks run.
TEST(Session, BusyAgentDoesNotFloodASilentLeader) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0}));
  fixture.opens.clear();
  fixture.RunFor(seconds(60), false);
  std::size_t opens = 0;
  for (const std::pair<instant, std::string>& open : fixture.opens) {
    opens += open.second == kLeader ? 1 : 0;
  }
  // Six attempts while the backoff doubles to 5 s; then one per silence_limit plus at least half of the backoff.
  EXPECT_LE(opens, 6U + 60000 / (2000 + 2500));
  EXPECT_GE(opens, 60U / (2 + 5));
}

// Guards against agents that reconnect in the same instant after an entry restarts.
TEST(Session, ReconnectsAreSpreadByJitter) {
  std::set<instant> times;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    agent_fixture fixture(FixtureSettings(), seed);
    fixture.RunFor(milliseconds(200));
    fixture.opens.clear();
    fixture.BreakSession(kLeader);
    fixture.RunFor(milliseconds(200));
    ASSERT_EQ(fixture.opens.size(), 1U);
    times.insert(fixture.opens[0].first);
  }
  EXPECT_GE(times.size(), 4U) << "50 ms of jitter seen in steps of 10 ms";
}

// Guards against an agent that connects only to the entries in its settings, and against unbounded growth of the list.
TEST(Session, ConnectsToAnnouncedEntries) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  entry_batch batch = fixture.MakeBatch(kLeader, 3);
  batch.entries = {kLeader, "127.0.0.1:7003"};
  fixture.Deliver(kLeader, batch);
  fixture.opens.clear();
  fixture.RunFor(milliseconds(200));
  ASSERT_EQ(fixture.opens.size(), 1U);
  EXPECT_EQ(fixture.opens[0].second, "127.0.0.1:7003");
  for (int i = 0; i < 1000; ++i) {
    batch.entries.push_back("127.0.0.1:" + std::to_string(10000 + i));
  }
  fixture.Deliver(kLeader, batch);
  fixture.opens.clear();
  fixture.RunFor(milliseconds(200));
  EXPECT_EQ(fixture.opens.size(), session_table::kMaxSessions - 3);
}

// Guards against more frequent heartbeats than an entry requested, and against an idle agent whose echoed clock is too
// old for the first start.
TEST(Session, HeartbeatIntervalDependsOnTheRole) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  entry_batch other = fixture.MakeBatch(kOther, 3);
  other.heartbeat_interval = seconds(20);
  fixture.Deliver(kOther, other);
  fixture.sent.clear();
  fixture.RunFor(seconds(60));
  std::size_t leader = 0;
  std::size_t idle = 0;
  for (const send_batch& message : fixture.sent) {
    (message.peer == kLeader ? leader : idle) += 1;
  }
  EXPECT_GE(leader, 100U);
  EXPECT_LE(idle, 4U);
}

// Guards against a leader that loses its authority because its agents acknowledge too late.
TEST(Session, BatchOfTheLeaderIsAcknowledgedAtOnce) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.RunFor(milliseconds(300));
  fixture.now += milliseconds(10);
  fixture.sent.clear();
  fixture.Deliver(kLeader, fixture.MakeBatch(kLeader, 3));
  ASSERT_EQ(fixture.sent.size(), 1U);
  EXPECT_EQ(fixture.sent[0].batch.header.echo, fixture.now);
  EXPECT_EQ(fixture.sent[0].batch.header.echo_incarnation, 1U);
  fixture.Deliver(kLeader, fixture.MakeBatch(kLeader, 3));
  EXPECT_EQ(fixture.sent.size(), 1U) << "no second acknowledgement within a quarter of authority_timeout";
}

// Guards against unbounded memory of answers and records, and against dropping the record of a start together with its
// answer.
TEST(Ledger, BoundsAnswersInBytesAndTime) {
  const ledger_limits limits{seconds(10), seconds(20), 10000, 1000};
  task_ledger ledger(limits);
  const instant start{seconds(1)};
  for (std::uint32_t i = 0; i < 500; ++i) {
    ledger.RecordStart({"job", i, 0});
    ledger.RecordAnswer({{"job", i, 0}, task_status::kSucceeded, std::string(100, 'x'), duration(1)}, start);
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
  agent_settings settings = FixtureSettings();
  settings.record_limit = 3;
  agent_fixture fixture(settings);
  fixture.ClaimBy(kLeader, 3);
  for (std::uint32_t i = 0; i < 5; ++i) {
    fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"job", i, 0}));
    fixture.EndTask({"job", i, 0});
  }
  EXPECT_EQ(fixture.runs.size(), 3U);
  EXPECT_EQ(fixture.Refusals().size(), 2U);
}

// Guards against an answer of a released job that stays in memory because the task was still running.
TEST(Ledger, AnswerOfAReleasedJobIsSentAndNotRetained) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"a", 0, 0}));
  entry_batch release = fixture.MakeBatch(kLeader, 3);
  release.released_jobs = {"a"};
  fixture.Deliver(kLeader, release);
  fixture.EndTask({"a", 0, 0});
  EXPECT_EQ(fixture.AnswersTo(kLeader).size(), 1U);
  EXPECT_EQ(fixture.agent.ledger().retained(), 0U);
  EXPECT_EQ(fixture.agent.ledger().records(), 1U);
}

}  // namespace
}  // namespace bamboowing
