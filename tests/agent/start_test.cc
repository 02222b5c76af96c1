// Which starts run, which are refused, and how a repeated start is answered.
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
  std::function<void(agent_fixture&, entry_batch&)> change;  ///< applied to a valid start just before it arrives
  std::optional<error_kind> refusal;                         ///< nullopt: it runs
};

const std::vector<start_row>& StartRows() {
  static const std::vector<start_row> rows = {
      {"good", [](agent_fixture&, entry_batch&) {}, std::nullopt},
      {"higher epoch", [](agent_fixture&, entry_batch& b) { b.header.shard_epoch = 4; }, std::nullopt},
      {"lower epoch", [](agent_fixture&, entry_batch& b) { b.header.shard_epoch = 2; }, error_kind::kStaleEpoch},
      {"no epoch", [](agent_fixture&, entry_batch& b) { b.header.shard_epoch = 0; }, error_kind::kStaleEpoch},
      {"other shard", [](agent_fixture&, entry_batch& b) { b.shard.index = 1; }, error_kind::kStaleEpoch},
      {"delayed within the limit", [](agent_fixture& r, entry_batch&) { r.now += milliseconds(900); }, std::nullopt},
      {"delayed", [](agent_fixture& r, entry_batch&) { r.now += milliseconds(1300); }, error_kind::kStaleMessage},
      {"delayed by a pause of the agent", [](agent_fixture& r, entry_batch&) { r.now += seconds(30); },
       error_kind::kStaleMessage},
      {"echo of an earlier incarnation", [](agent_fixture&, entry_batch& b) { b.header.echo_incarnation = 6; },
       error_kind::kStaleMessage},
      {"no echo", [](agent_fixture&, entry_batch& b) { b.header.echo = instant{}; }, error_kind::kStaleMessage},
      {"echo from the future", [](agent_fixture&, entry_batch& b) { b.header.echo += seconds(9); },
       error_kind::kStaleMessage},
      {"target left", [](agent_fixture& r, entry_batch&) { r.agent.OnTargetLeft(r.now); }, error_kind::kDraining},
      {"agent drains", [](agent_fixture& r, entry_batch&) { r.agent.OnDrain(r.now); }, error_kind::kDraining},
      {"operators drain",
       [](agent_fixture&, entry_batch& b) {
         b.header.config = 5;
         b.draining = true;
       },
       error_kind::kDraining},
      {"no slot",
       [](agent_fixture& r, entry_batch&) {
         r.Deliver(kLeader, r.MakeStartBatch(kLeader, 3, {"other", 0, 0}));
         r.Deliver(kLeader, r.MakeStartBatch(kLeader, 3, {"other", 1, 0}));
       },
       error_kind::kNoSlot},
      {"target of another service",
       [](agent_fixture& r, entry_batch&) {
         r.agent.OnTargetAnnounced({"bench", "", 2, false}, r.now);
       },
       error_kind::kNoTarget},
  };
  return rows;
}

// Guards against a start by an entry that is no longer leader, against a delayed start, and against a refused start
// that runs later, itself or as a duplicate.
TEST(Start, RunsOrIsRefusedPermanently) {
  for (const start_row& row : StartRows()) {
    SCOPED_TRACE(row.name);
    agent_fixture fixture;
    fixture.ClaimBy(kLeader, 3);
    entry_batch batch = fixture.MakeStartBatch(kLeader, 3, kTask);
    row.change(fixture, batch);
    const std::size_t before = fixture.runs.size();
    fixture.Deliver(kLeader, batch);
    const std::vector<task_refusal> refusals = fixture.Refusals();
    ASSERT_EQ(refusals.size(), row.refusal.has_value() ? 1U : 0U);
    if (row.refusal.has_value()) {
      EXPECT_EQ(refusals[0].kind, *row.refusal);
      EXPECT_EQ(refusals[0].key, kTask);
      EXPECT_EQ(ErrorRow(*row.refusal).not_run, not_run_state::kYes);
    }
    EXPECT_EQ(fixture.runs.size() - before, row.refusal.has_value() ? 0U : 1U);
    // The reason for the refusal disappears, and a copy of the message arrives late.
    fixture.agent.OnTargetAnnounced({"defects", "", 9, false}, fixture.now);
    fixture.now += milliseconds(50);
    fixture.Deliver(kLeader, batch);
    EXPECT_EQ(fixture.runs.size() - before, row.refusal.has_value() ? 0U : 1U);
  }
}

// Guards against a refused start that runs from a duplicate after the bound of recorded refusals was exceeded.
TEST(Start, RefusedStartsNeverRunAfterTheRecordsOverflow) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.agent.OnTargetAnnounced({"defects", "", 0, false}, fixture.now);
  fixture.Collect();
  entry_batch batch = fixture.MakeBatch(kLeader, 3);
  for (std::uint32_t i = 0; i < 3 * agent_core::kMaxRefusals; ++i) {
    batch.starts.push_back({{"job" + std::to_string(i / 100), i % 100, 0}, "", seconds(1), false});
  }
  fixture.Deliver(kLeader, batch);
  EXPECT_EQ(fixture.Refusals().size(), batch.starts.size());
  fixture.agent.OnTargetAnnounced({"defects", "", 100000, false}, fixture.now);
  fixture.Deliver(kLeader, batch);
  EXPECT_TRUE(fixture.runs.empty());
  fixture.RunFor(milliseconds(100));
  fixture.agent.OnTargetAnnounced({"defects", "", 100000, false}, fixture.now);
  fixture.Collect();
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"fresh", 0, 0}));
  EXPECT_EQ(fixture.runs.size(), 1U) << "starts sent after the refusals run";
}

struct repeat_row {
  const char* name;
  std::uint32_t attempt;
  epoch from;           ///< epoch of the repeated start
  std::string address;  ///< entry that repeats it
  bool ended;
  bool released;
};

// Guards against a second run of a task for any attempt, epoch or entry of the repeated start, and against reporting a
// started task as not run.
TEST(Start, RepeatedStartNeverRunsAgain) {
  const repeat_row rows[] = {
      {"same message, running", 0, 3, kLeader, false, false}, {"next attempt, running", 1, 3, kLeader, false, false},
      {"same message, answered", 0, 3, kLeader, true, false}, {"next attempt, answered", 1, 3, kLeader, true, false},
      {"new leader, answered", 0, 4, kOther, true, false},    {"new leader, running", 2, 4, kOther, false, false},
      {"former leader, answered", 0, 2, kOther, true, false}, {"released", 1, 3, kLeader, true, true},
      {"new leader, released", 1, 4, kOther, true, true},
  };
  for (const repeat_row& row : rows) {
    SCOPED_TRACE(row.name);
    agent_fixture fixture;
    fixture.ClaimBy(kLeader, 3);
    fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, kTask));
    if (row.ended) {
      fixture.EndTask(kTask);
    }
    if (row.released) {
      entry_batch release = fixture.MakeBatch(kLeader, 3);
      release.released_jobs = {kTask.job_id};
      fixture.Deliver(kLeader, release);
    }
    fixture.sent.clear();
    const task_key again{kTask.job_id, kTask.task, row.attempt};
    fixture.Deliver(row.address, fixture.MakeStartBatch(row.address, row.from, again));
    EXPECT_EQ(fixture.runs.size(), 1U);
    EXPECT_TRUE(fixture.Refusals().empty());
    if (!row.ended) {
      fixture.EndTask(kTask);
    }
    const std::vector<task_answer> answers = fixture.AnswersTo(row.address);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].key, again);
    EXPECT_EQ(answers[0].status, row.released ? task_status::kLost : task_status::kSucceeded);
  }
}

// Guards against a cancelled start that arrives late and runs after the leader moved the task to another target.
TEST(Start, CancelledBeforeItArrivesDoesNotRun) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  const entry_batch start = fixture.MakeStartBatch(kLeader, 3, kTask);
  entry_batch cancel = fixture.MakeBatch(kLeader, 3);
  cancel.cancels = {kTask};
  fixture.Deliver(kLeader, cancel);
  fixture.Deliver(kLeader, start);
  EXPECT_TRUE(fixture.runs.empty());
  ASSERT_EQ(fixture.Refusals().size(), 2U);
  EXPECT_EQ(fixture.Refusals()[0].kind, error_kind::kCancelled);
}

// Guards against a cancellation that is lost, or that stops a task on behalf of an entry that is no longer leader.
TEST(Start, CancelStopsTheRunningTask) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, kTask));
  fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {kTask.job_id, kTask.task, 1}));
  entry_batch cancel = fixture.MakeBatch(kOther, 2);
  cancel.cancels = {kTask};
  fixture.Deliver(kOther, cancel);
  EXPECT_TRUE(fixture.stops.empty());
  cancel = fixture.MakeBatch(kLeader, 3);
  cancel.cancels = {{kTask.job_id, kTask.task, 1}};
  fixture.Deliver(kLeader, cancel);
  ASSERT_EQ(fixture.stops.size(), 1U);
  EXPECT_EQ(fixture.stops[0].key, kTask) << "the key under which the target runs it";
  fixture.EndTask(kTask, task_status::kCancelled);
  EXPECT_EQ(fixture.AnswersTo(kLeader).back().status, task_status::kCancelled);
}

// Guards against a slot that is counted twice or never released.
TEST(Start, SlotIsFreeAfterTheAnswer) {
  agent_fixture fixture;
  fixture.ClaimBy(kLeader, 3);
  for (std::uint32_t i = 0; i < 10; ++i) {
    fixture.Deliver(kLeader, fixture.MakeStartBatch(kLeader, 3, {"job", i, 0}));
    EXPECT_EQ(fixture.runs.size(), i + 1);
    fixture.EndTask({"job", i, 0});
    fixture.EndTask({"job", i, 0});
    EXPECT_EQ(fixture.LastTo(kLeader).busy_slots, 0U);
  }
  EXPECT_EQ(fixture.AnswersTo(kLeader).size(), 10U) << "the second report of an end is ignored";
}

}  // namespace
}  // namespace bamboowing
