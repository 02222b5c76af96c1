// Which starts run, which are refused, and what a repeated start gets.
#include <gtest/gtest.h>

#include <functional>

#include "agent_fixture.h"

namespace bamboowing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const task_key kTask{"job", 0, 0};

struct start_row {
  const char* name;
  std::function<void(agent_rig&, entry_batch&)> change;  ///< applied to a good start just before it arrives
  std::optional<error_kind> refusal;                     ///< nullopt: it runs
};

const std::vector<start_row>& StartRows() {
  static const std::vector<start_row> rows = {
      {"good", [](agent_rig&, entry_batch&) {}, std::nullopt},
      {"higher epoch", [](agent_rig&, entry_batch& b) { b.header.shard_epoch = 4; }, std::nullopt},
      {"lower epoch", [](agent_rig&, entry_batch& b) { b.header.shard_epoch = 2; }, error_kind::kStaleEpoch},
      {"no epoch", [](agent_rig&, entry_batch& b) { b.header.shard_epoch = 0; }, error_kind::kStaleEpoch},
      {"other shard", [](agent_rig&, entry_batch& b) { b.shard.index = 1; }, error_kind::kStaleEpoch},
      {"delayed within the limit", [](agent_rig& r, entry_batch&) { r.now += milliseconds(900); }, std::nullopt},
      {"delayed", [](agent_rig& r, entry_batch&) { r.now += milliseconds(1300); }, error_kind::kStaleMessage},
      {"delayed by a pause of the agent", [](agent_rig& r, entry_batch&) { r.now += seconds(30); },
       error_kind::kStaleMessage},
      {"echo of an earlier life", [](agent_rig&, entry_batch& b) { b.header.echo_life = 6; },
       error_kind::kStaleMessage},
      {"no echo", [](agent_rig&, entry_batch& b) { b.header.echo = instant{}; }, error_kind::kStaleMessage},
      {"echo of the future", [](agent_rig&, entry_batch& b) { b.header.echo += seconds(9); },
       error_kind::kStaleMessage},
      {"target left", [](agent_rig& r, entry_batch&) { r.agent.OnTargetLeft(r.now); }, error_kind::kDraining},
      {"agent drains", [](agent_rig& r, entry_batch&) { r.agent.OnDrain(r.now); }, error_kind::kDraining},
      {"operators drain",
       [](agent_rig&, entry_batch& b) {
         b.header.config = 5;
         b.draining = true;
       },
       error_kind::kDraining},
      {"no slot",
       [](agent_rig& r, entry_batch&) {
         r.Deliver(kHome, r.StartBatch(kHome, 3, {"other", 0, 0}));
         r.Deliver(kHome, r.StartBatch(kHome, 3, {"other", 1, 0}));
       },
       error_kind::kNoSlot},
      {"target of another service",
       [](agent_rig& r, entry_batch&) {
         r.agent.OnTargetAnnounced({"bench", "", 2, false}, r.now);
       },
       error_kind::kNoTarget},
  };
  return rows;
}

// Guards against a start by an entry that is no longer home, against a delayed start, and against a refusal that is
// untrue: a refused start never runs, and its copy does not either.
TEST(Start, RunsOrIsRefusedForGood) {
  for (const start_row& row : StartRows()) {
    SCOPED_TRACE(row.name);
    agent_rig rig;
    rig.ClaimBy(kHome, 3);
    entry_batch batch = rig.StartBatch(kHome, 3, kTask);
    row.change(rig, batch);
    const std::size_t before = rig.runs.size();
    rig.Deliver(kHome, batch);
    const std::vector<task_refusal> refusals = rig.Refusals();
    ASSERT_EQ(refusals.size(), row.refusal.has_value() ? 1U : 0U);
    if (row.refusal.has_value()) {
      EXPECT_EQ(refusals[0].kind, *row.refusal);
      EXPECT_EQ(refusals[0].key, kTask);
      EXPECT_EQ(ErrorRow(*row.refusal).ran, not_run::kYes);
    }
    EXPECT_EQ(rig.runs.size() - before, row.refusal.has_value() ? 0U : 1U);
    // The reason goes away; a copy of the message arrives late.
    rig.agent.OnTargetAnnounced({"defects", "", 9, false}, rig.now);
    rig.now += milliseconds(50);
    rig.Deliver(kHome, batch);
    EXPECT_EQ(rig.runs.size() - before, row.refusal.has_value() ? 0U : 1U);
  }
}

// Guards against a refused start that runs from a copy, when more refusals are remembered than there is space for.
TEST(Start, ManyRefusalsStayTrue) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.agent.OnTargetAnnounced({"defects", "", 0, false}, rig.now);
  rig.Collect();
  entry_batch batch = rig.Batch(kHome, 3);
  for (std::uint32_t i = 0; i < 3 * agent_core::kMaxRefused; ++i) {
    batch.starts.push_back({{"job" + std::to_string(i / 100), i % 100, 0}, "", seconds(1), false});
  }
  rig.Deliver(kHome, batch);
  EXPECT_EQ(rig.Refusals().size(), batch.starts.size());
  rig.agent.OnTargetAnnounced({"defects", "", 100000, false}, rig.now);
  rig.Deliver(kHome, batch);
  EXPECT_TRUE(rig.runs.empty());
  rig.Run(milliseconds(100));
  rig.agent.OnTargetAnnounced({"defects", "", 100000, false}, rig.now);
  rig.Collect();
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"fresh", 0, 0}));
  EXPECT_EQ(rig.runs.size(), 1U) << "starts sent after the refusals run";
}

struct repeat_row {
  const char* name;
  std::uint32_t attempt;
  epoch from;           ///< epoch of the repeated start
  std::string address;  ///< entry that repeats it
  bool ended;
  bool released;
};

// Guards against a second run of a task, whatever the attempt, the epoch or the entry of the repetition, and against
// calling a started task not run.
TEST(Start, RepetitionNeverRunsAgain) {
  const repeat_row rows[] = {
      {"same message, running", 0, 3, kHome, false, false}, {"next attempt, running", 1, 3, kHome, false, false},
      {"same message, answered", 0, 3, kHome, true, false}, {"next attempt, answered", 1, 3, kHome, true, false},
      {"new home, answered", 0, 4, kOther, true, false},    {"new home, running", 2, 4, kOther, false, false},
      {"former home, answered", 0, 2, kOther, true, false}, {"released", 1, 3, kHome, true, true},
      {"new home, released", 1, 4, kOther, true, true},
  };
  for (const repeat_row& row : rows) {
    SCOPED_TRACE(row.name);
    agent_rig rig;
    rig.ClaimBy(kHome, 3);
    rig.Deliver(kHome, rig.StartBatch(kHome, 3, kTask));
    if (row.ended) {
      rig.End(kTask);
    }
    if (row.released) {
      entry_batch release = rig.Batch(kHome, 3);
      release.released_jobs = {kTask.job_id};
      rig.Deliver(kHome, release);
    }
    rig.sent.clear();
    const task_key again{kTask.job_id, kTask.task, row.attempt};
    rig.Deliver(row.address, rig.StartBatch(row.address, row.from, again));
    EXPECT_EQ(rig.runs.size(), 1U);
    EXPECT_TRUE(rig.Refusals().empty());
    if (!row.ended) {
      rig.End(kTask);
    }
    const std::vector<task_answer> answers = rig.AnswersTo(row.address);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].key, again);
    EXPECT_EQ(answers[0].status, row.released ? task_status::kLost : task_status::kSucceeded);
  }
}

// Guards against a refused start whose copy runs after the home moved the task to another target.
TEST(Start, CancelledBeforeItArrivesDoesNotRun) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  const entry_batch start = rig.StartBatch(kHome, 3, kTask);
  entry_batch cancel = rig.Batch(kHome, 3);
  cancel.cancels = {kTask};
  rig.Deliver(kHome, cancel);
  rig.Deliver(kHome, start);
  EXPECT_TRUE(rig.runs.empty());
  ASSERT_EQ(rig.Refusals().size(), 2U);
  EXPECT_EQ(rig.Refusals()[0].kind, error_kind::kCancelled);
}

// Guards against a cancellation that is lost, or that stops a task on behalf of an entry that is no longer home.
TEST(Start, CancelStopsTheRunningTask) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, kTask));
  rig.Deliver(kHome, rig.StartBatch(kHome, 3, {kTask.job_id, kTask.task, 1}));
  entry_batch cancel = rig.Batch(kOther, 2);
  cancel.cancels = {kTask};
  rig.Deliver(kOther, cancel);
  EXPECT_TRUE(rig.stops.empty());
  cancel = rig.Batch(kHome, 3);
  cancel.cancels = {{kTask.job_id, kTask.task, 1}};
  rig.Deliver(kHome, cancel);
  ASSERT_EQ(rig.stops.size(), 1U);
  EXPECT_EQ(rig.stops[0].key, kTask) << "the key under which the target runs it";
  rig.End(kTask, task_status::kCancelled);
  EXPECT_EQ(rig.AnswersTo(kHome).back().status, task_status::kCancelled);
}

// Guards against a slot that is counted twice or never given back.
TEST(Start, SlotIsFreeAfterTheAnswer) {
  agent_rig rig;
  rig.ClaimBy(kHome, 3);
  for (std::uint32_t i = 0; i < 10; ++i) {
    rig.Deliver(kHome, rig.StartBatch(kHome, 3, {"job", i, 0}));
    EXPECT_EQ(rig.runs.size(), i + 1);
    rig.End({"job", i, 0});
    rig.End({"job", i, 0});
    EXPECT_EQ(rig.LastTo(kHome).busy_slots, 0U);
  }
  EXPECT_EQ(rig.AnswersTo(kHome).size(), 10U) << "the second report of an end is ignored";
}

}  // namespace
}  // namespace bamboowing
