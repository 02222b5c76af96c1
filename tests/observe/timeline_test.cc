#include "bamboowing/observe/timeline.h"

#include <gtest/gtest.h>

#include "bamboowing/base/random.h"
#include "bamboowing/observe/clock_offsets.h"
#include "timeline_builder.h"

namespace bamboowing {
namespace {

using kind = event_kind;

constexpr int kEntries = 3;
constexpr int kAgents = 12;
constexpr int kTasks = 400;
constexpr std::int64_t kDelay = 1500;  // one-way delay between failure domains, in microseconds

std::string Entry(std::uint64_t n) { return "entry-" + std::to_string(n); }
std::string Agent(std::uint64_t n) { return "agent-" + std::to_string(n); }

/// Tasks that entries send to agents whose clocks differ by up to an hour.
log_builder RandomRun(std::uint64_t seed) {
  seeded_random random(seed);
  log_builder log;
  for (int i = 0; i < kEntries; ++i) {
    log.AddProcess(Entry(i), "entry", duration(random.Below(3'600'000'000)));
  }
  for (int i = 0; i < kAgents; ++i) {
    log.AddProcess(Agent(i), "agent", duration(random.Below(3'600'000'000)));
  }
  for (int i = 0; i < kTasks; ++i) {
    const std::string entry = Entry(random.Below(kEntries));
    const std::string agent = Agent(random.Below(kAgents));
    const std::string job = "job-" + std::to_string(i);
    std::int64_t at = static_cast<std::int64_t>(i) * 2000;
    log.At(at, entry, kind::kTaskSent, job, 0).peer = agent;
    at += kDelay + static_cast<std::int64_t>(random.Below(300));
    log.At(at, agent, kind::kTaskStarted, job, 0).peer = entry;
    at += static_cast<std::int64_t>(random.Below(50'000));
    log.At(at, agent, kind::kTaskAnswered, job, 0);
    at += kDelay + static_cast<std::int64_t>(random.Below(300));
    log.At(at, entry, kind::kTaskAnswered, job, 0).peer = agent;
  }
  return log;
}

std::size_t Find(const timeline& merged, event_kind wanted, const std::string& process) {
  for (std::size_t i = 0; i < merged.entries.size(); ++i) {
    const timeline_entry& entry = merged.entries[i];
    if (entry.record.kind == wanted && merged.processes[entry.process].identity.id == process) {
      return i;
    }
  }
  ADD_FAILURE() << EventName(wanted) << " of " << process << " is missing";
  return 0;
}

// Guards against an effect that is listed or timed before its cause when the clocks of the processes differ.
TEST(Timeline, NoEffectPrecedesItsCause) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const timeline merged = RandomRun(seed).Merge();
    EXPECT_TRUE(merged.contradictions.empty()) << seed;
    EXPECT_EQ(merged.links.size(), 2U * kTasks);
    for (const timeline_link& link : merged.links) {
      EXPECT_LT(link.cause, link.effect) << seed;
      EXPECT_LE(merged.entries[link.cause].at, merged.entries[link.effect].at) << seed;
    }
  }
}

// Guards against offsets at the edge of what the bounds allow: with equal delays in both directions, the estimate is
// within the spread of the delays (300 us).
TEST(Timeline, EstimatesTheOffsets) {
  const timeline merged = RandomRun(7).Merge();
  for (const timeline_link& link : merged.links) {
    const duration delay = merged.entries[link.effect].at - merged.entries[link.cause].at;
    EXPECT_NEAR(static_cast<double>(delay.count()), kDelay + 150.0, 300.0);
  }
}

// Guards against sorting the events of one process by time instead of by their recorded order.
TEST(Timeline, KeepsTheRecordedOrderOfAProcess) {
  log_builder log;
  log.AddProcess("entry-1", "entry");
  log.At(100, "entry-1", kind::kJobAccepted, "a").sequence = 1;
  log.At(90, "entry-1", kind::kTaskSent, "a", 0).sequence = 2;
  log.At(90, "entry-1", kind::kTaskSent, "a", 1).sequence = 3;
  std::vector<recorded_event> events = log.events();
  std::swap(events[0], events[2]);
  events.push_back(events[1]);
  const timeline merged = MergeTimeline(events);
  ASSERT_EQ(merged.entries.size(), 3U);
  EXPECT_EQ(merged.entries[0].record.kind, kind::kJobAccepted);
  EXPECT_EQ(merged.entries[1].record.task, 0);
  EXPECT_EQ(merged.entries[2].record.task, 1);
}

// Guards against drifting clocks, or logs of different runs, that are merged without a warning.
TEST(Timeline, ReportsContradictions) {
  log_builder log;
  log.AddProcess("entry-1", "entry");
  log.AddProcess("agent-1", "agent");
  log.At(0, "entry-1", kind::kTaskSent, "a", 0);
  log.At(1000, "agent-1", kind::kTaskStarted, "a", 0);
  log.At(2000, "agent-1", kind::kTaskAnswered, "a", 0);
  log.At(900, "entry-1", kind::kTaskAnswered, "a", 0);
  const timeline merged = log.Merge();
  ASSERT_EQ(merged.contradictions.size(), 1U);
  EXPECT_NE(merged.contradictions[0].find("agent-1, entry-1"), std::string::npos) << merged.contradictions[0];
  EXPECT_NE(merged.contradictions[0].find(" 100 us"), std::string::npos) << merged.contradictions[0];
  for (const timeline_link& link : merged.links) {
    EXPECT_LT(link.cause, link.effect);
  }
}

// Guards against ambiguous pairs, which would shift the clock of a whole process.
TEST(Timeline, UsesUnambiguousPairsOnly) {
  log_builder log;
  log.AddProcess("entry-1", "entry");
  log.AddProcess("entry-2", "entry");
  log.AddProcess("agent-1", "agent");
  log.AddProcess("agent-2", "agent");
  log.At(0, "entry-1", kind::kTaskSent, "lost", 0).peer = "agent-1";
  log.At(5, "agent-1", kind::kTaskStarted, "lost", 0);
  log.At(10, "entry-1", kind::kTaskAnswered, "lost", 0).error = error_kind::kTargetLost;
  log.At(900, "agent-1", kind::kTaskAnswered, "lost", 0);
  log.At(1000, "entry-1", kind::kTaskSent, "moved", 0).peer = "agent-1";
  log.At(1001, "entry-2", kind::kTaskSent, "moved", 0);
  log.At(1005, "agent-2", kind::kTaskStarted, "moved", 0);
  const timeline merged = log.Merge();
  ASSERT_EQ(merged.links.size(), 2U);
  EXPECT_EQ(merged.entries[merged.links[0].effect].record.kind, kind::kTaskStarted);
  EXPECT_EQ(merged.entries[merged.links[1].effect].record.kind, kind::kTaskStarted);
  EXPECT_EQ(merged.processes[merged.entries[merged.links[1].cause].process].label, "entry-2");
}

// Guards against entries whose clocks stay unbounded because a shard leader does not name the entry that relayed the
// job.
TEST(Timeline, PairsARelayThatOnlyTheCallShows) {
  log_builder log;
  log.AddProcess("entry-1", "entry", duration(5'000'000));
  log.AddProcess("entry-2", "entry");
  log.At(0, "entry-1", kind::kCallReceived, "a").number = 1;
  log.At(1, "entry-1", kind::kJobRelayed, "a").peer = "127.0.0.1:7";
  log.At(10, "entry-2", kind::kJobAccepted, "a");
  log.At(20, "entry-2", kind::kCallReceived, "b").number = 1;
  log.At(21, "entry-1", kind::kJobRelayed, "b").peer = "127.0.0.1:7";
  log.At(22, "entry-2", kind::kJobAccepted, "b");
  const timeline merged = log.Merge();
  ASSERT_EQ(merged.links.size(), 1U);
  EXPECT_EQ(merged.entries[merged.links[0].effect].record.job_id, "a");
}

// Guards against a contradiction from the answer to a call that does not wait for the end of its job.
TEST(Timeline, AnAnswerWithoutResultsMayPrecedeTheEndOfTheJob) {
  log_builder log;
  log.AddProcess("entry-1", "entry");
  log.AddProcess("entry-2", "entry");
  log.At(0, "entry-1", kind::kCallReceived, "a").number = 1;
  log.At(1, "entry-1", kind::kJobRelayed, "a");
  log.At(2, "entry-2", kind::kJobAccepted, "a");
  log.At(3, "entry-1", kind::kCallAnswered, "a").number = 1;
  log.At(900, "entry-2", kind::kJobCompleted, "a");
  const timeline merged = log.Merge();
  EXPECT_TRUE(merged.contradictions.empty());
  EXPECT_EQ(merged.links.size(), 1U);
}

// Guards against an agent whose clock stays unbounded because it refuses every task.
TEST(Timeline, PairsRefusals) {
  log_builder log;
  log.AddProcess("entry-1", "entry", duration(5'000'000));
  log.AddProcess("agent-1", "agent");
  log.At(0, "entry-1", kind::kTaskSent, "a", 0).attempt = 3;
  log.At(10, "agent-1", kind::kTaskRefused, "a", 0).attempt = 3;
  log.At(20, "entry-1", kind::kTaskRefused, "a", 0).attempt = 3;
  const timeline merged = log.Merge();
  EXPECT_EQ(merged.links.size(), 2U);
  EXPECT_EQ(merged.entries[1].at, duration(10));
  EXPECT_EQ(merged.processes[merged.entries[1].process].label, "agent-1");
}

// Guards against relays and sessions that do not bound the clocks of entries.
TEST(Timeline, PairsRelaysAndSessions) {
  log_builder log;
  log.AddProcess("entry-1", "entry", duration(5'000'000));
  log.AddProcess("entry-2", "entry");
  log.AddProcess("agent-1", "agent", duration(9'000'000));
  log.At(0, "entry-1", kind::kJobRelayed, "a").peer = "entry-2";
  log.At(10, "entry-2", kind::kJobAccepted, "a").peer = "entry-1";
  log.At(20, "entry-2", kind::kJobCompleted, "a").count = 1;
  log.At(30, "entry-1", kind::kCallAnswered, "a").count = 1;
  log.At(40, "agent-1", kind::kSessionOpened).number = 77;
  event& opened = log.At(50, "entry-2", kind::kSessionOpened);
  opened.number = 77;
  opened.peer = "agent-1";
  const timeline merged = log.Merge();
  EXPECT_EQ(merged.links.size(), 3U);
  EXPECT_LT(Find(merged, kind::kJobRelayed, "entry-1"), Find(merged, kind::kJobAccepted, "entry-2"));
  EXPECT_LT(Find(merged, kind::kJobCompleted, "entry-2"), Find(merged, kind::kCallAnswered, "entry-1"));
  EXPECT_LT(Find(merged, kind::kSessionOpened, "agent-1"), Find(merged, kind::kSessionOpened, "entry-2"));
}

// Guards against a missed contradiction among three clocks, which no pair shows, and against an endless search.
TEST(ClockOffsets, WidensALongCycle) {
  const std::vector<offset_bound> bounds = {
      {0, 1, duration(-10)}, {1, 2, duration(-10)}, {2, 0, duration(5)}, {1, 0, duration(50)}};
  const offset_solution solution = SolveOffsets(3, bounds);
  ASSERT_EQ(solution.conflicts.size(), 1U);
  EXPECT_EQ(solution.conflicts[0].excess, duration(15));
  EXPECT_EQ(solution.conflicts[0].clocks.size(), 3U);
}

// Guards against an uncertainty that is reported for a clock bounded from one side only.
TEST(ClockOffsets, StatesTheUncertainty) {
  const std::vector<offset_bound> bounds = {{0, 1, duration(300)}, {1, 0, duration(100)}, {0, 2, duration(-7)}};
  const offset_solution solution = SolveOffsets(4, bounds);
  EXPECT_TRUE(solution.conflicts.empty());
  EXPECT_EQ(solution.reference, 0U);
  EXPECT_EQ(solution.offsets[1], duration(-100));
  EXPECT_EQ(solution.uncertainty[1], duration(200));
  EXPECT_GE(solution.offsets[2], duration(7));
  EXPECT_FALSE(solution.uncertainty[2].has_value());
  EXPECT_FALSE(solution.uncertainty[3].has_value());
}

// Guards against a truncated line, or one of another format, that aborts the merge or is not reported.
TEST(EventLog, SkipsAndReportsBadLines) {
  event record;
  record.job_id = "a";
  const std::string good = FormatEvent(record, {"entry-1", 1, "entry", ""});
  event_collection out;
  AppendEventLog(good + "\n\n{\"what\":\"listening\"}\n" + good + "\n" + good.substr(0, 20), "entry.log", out);
  EXPECT_EQ(out.events.size(), 2U);
  ASSERT_EQ(out.skipped.size(), 2U);
  EXPECT_EQ(out.skipped[0].line, 3U);
  EXPECT_EQ(out.skipped[1].line, 5U);
  EXPECT_EQ(out.skipped[1].source, "entry.log");
}

}  // namespace
}  // namespace bamboowing
