#include "bamboowing/entry/job_table.h"

#include <gtest/gtest.h>

namespace bamboowing {
namespace {

constexpr duration kWait = std::chrono::seconds(10);

instant At(std::int64_t ms) { return instant(std::chrono::milliseconds(ms)); }

job_spec MakeJob(const std::string& id, std::size_t tasks) {
  job_spec job;
  job.job_id = id;
  job.team = "crew";
  job.service = "line";
  job.deadline = std::chrono::seconds(5);
  for (std::size_t i = 0; i < tasks; ++i) {
    job.tasks.push_back({"payload " + std::to_string(i), std::nullopt, 0});
  }
  return job;
}

std::vector<routed_reply> Replies(job_table& table) {
  std::vector<routed_reply> replies;
  table.TakeReplies(replies);
  return replies;
}

reply_route Call(std::uint64_t id) { return {false, id}; }

// Guards against a partial answer and against results in the order of arrival.
TEST(JobTable, AnswersOnceWithAllResultsInTaskOrder) {
  job_table table(job_table_limits{});
  table.Add(MakeJob("a", 3), Call(1), kWait, At(0));
  EXPECT_FALSE(table.SetResult("a", 2, "two", duration(5), At(1)));
  EXPECT_FALSE(table.SetResult("a", 0, "zero", duration(9), At(2)));
  EXPECT_TRUE(Replies(table).empty());
  EXPECT_TRUE(table.SetResult("a", 1, "one", duration(5), At(3)));
  const std::vector<routed_reply> replies = Replies(table);
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply.state, job_state::kComplete);
  EXPECT_EQ(replies[0].reply.results, (std::vector<std::string>{"zero", "one", "two"}));
  EXPECT_EQ(replies[0].reply.ideal_time, duration(9));
  EXPECT_EQ(replies[0].reply.response_time, std::chrono::milliseconds(3));
}

// Guards against a second result of a task that replaces the first or is counted twice.
TEST(JobTable, IgnoresRepeatedAndLateResults) {
  job_table table(job_table_limits{});
  table.Add(MakeJob("a", 2), Call(1), kWait, At(0));
  table.SetResult("a", 0, "first", duration(1), At(1));
  EXPECT_FALSE(table.SetResult("a", 0, "second", duration(1), At(1)));
  EXPECT_FALSE(table.SetResult("a", 7, "no such task", duration(1), At(1)));
  EXPECT_TRUE(table.SetResult("a", 1, "other", duration(1), At(2)));
  EXPECT_FALSE(table.SetResult("a", 1, "late", duration(1), At(3)));
  EXPECT_EQ(Replies(table).at(0).reply.results, (std::vector<std::string>{"first", "other"}));
}

// Guards against an answer that holds results of a failed job.
TEST(JobTable, FailedJobHasAReasonAndNoResults) {
  job_table table(job_table_limits{});
  table.Add(MakeJob("a", 2), Call(1), kWait, At(0));
  table.SetResult("a", 0, "done", duration(1), At(1));
  EXPECT_EQ(table.ExecutionStatus("a"), not_run_state::kNo);
  EXPECT_TRUE(table.Fail("a", failure(error_kind::kTargetFailed, "broken"), At(2)));
  EXPECT_FALSE(table.SetResult("a", 1, "late", duration(1), At(3)));
  const std::vector<routed_reply> replies = Replies(table);
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply.state, job_state::kFailed);
  EXPECT_TRUE(replies[0].reply.results.empty());
  EXPECT_EQ(replies[0].reply.error->kind, error_kind::kTargetFailed);
}

// Guards against a resubmission that starts the job again, and against an answer that reaches only one of two callers.
TEST(JobTable, ResubmissionJoinsAndBothCallersAreAnswered) {
  job_table table(job_table_limits{});
  const job_spec job = MakeJob("a", 1);
  EXPECT_EQ(table.JoinExisting(job, Call(1), kWait, At(0)), submission_result::kNew);
  table.Add(job, Call(1), kWait, At(0));
  job_spec again = job;
  again.deadline = std::chrono::seconds(1);
  again.first_sent_ago = std::chrono::seconds(3);
  EXPECT_EQ(table.JoinExisting(again, {true, 1}, kWait, At(1)), submission_result::kJoined);
  table.SetResult("a", 0, "x", duration(1), At(2));
  EXPECT_EQ(Replies(table).size(), 2U);
  EXPECT_EQ(table.JoinExisting(again, Call(3), kWait, At(5)), submission_result::kJoined);
  EXPECT_EQ(Replies(table).at(0).reply.results.at(0), "x");
}

// Guards against a caller who receives the answer of another job that reuses the id.
TEST(JobTable, OtherContentUnderTheSameIdIsAConflict) {
  job_table table(job_table_limits{});
  table.Add(MakeJob("a", 1), Call(1), kWait, At(0));
  EXPECT_EQ(table.JoinExisting(MakeJob("a", 2), Call(2), kWait, At(1)), submission_result::kConflict);
  const std::vector<routed_reply> replies = Replies(table);
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].route.id, 2U);
  EXPECT_EQ(replies[0].reply.error->kind, error_kind::kConflict);
  EXPECT_EQ(replies[0].reply.error->not_run, not_run_state::kYes);
}

// Guards against a call that waits beyond its limit, and against a job that ends with it.
TEST(JobTable, WaitLimitReportsTheStateAndTheJobContinues) {
  job_table table(job_table_limits{});
  table.Add(MakeJob("a", 1), Call(1), std::chrono::milliseconds(50), At(0));
  table.OnTick(At(49));
  EXPECT_TRUE(Replies(table).empty());
  table.OnTick(At(50));
  EXPECT_EQ(Replies(table).at(0).reply.state, job_state::kQueued);
  EXPECT_TRUE(table.IsOpen("a"));
}

// Guards against memory that grows with the number of answered jobs, and against a second run after the answer is gone.
TEST(JobTable, DropsOldAnswersButKeepsTheRecord) {
  job_table_limits limits;
  limits.retained_bytes = 100;
  job_table table(limits);
  for (int i = 0; i < 3; ++i) {
    const std::string id = "job" + std::to_string(i);
    table.Add(MakeJob(id, 1), Call(i), kWait, At(i));
    table.SetResult(id, 0, std::string(60, 'x'), duration(1), At(i));
  }
  EXPECT_LE(table.retained_bytes(), 100U);
  Replies(table);
  EXPECT_EQ(table.JoinExisting(MakeJob("job0", 1), Call(9), kWait, At(10)), submission_result::kJoined);
  EXPECT_EQ(Replies(table).at(0).reply.error->kind, error_kind::kOutcomeUnknown);
  EXPECT_EQ(table.JoinExisting(MakeJob("job2", 1), Call(9), kWait, At(10)), submission_result::kJoined);
  EXPECT_EQ(Replies(table).at(0).reply.state, job_state::kComplete);
}

// Guards against an answer to a caller who has disconnected: its route may have been reused.
TEST(JobTable, RemovedRouteGetsNoAnswer) {
  job_table table(job_table_limits{});
  table.Add(MakeJob("a", 1), Call(1), kWait, At(0));
  table.RemoveRoute(Call(1));
  table.SetResult("a", 0, "x", duration(1), At(1));
  EXPECT_TRUE(Replies(table).empty());
}

// Guards against a refusal that claims "not run" after a task was sent.
TEST(JobTable, ExecutionStatusFollowsTheSentTasks) {
  job_table table(job_table_limits{});
  table.Add(MakeJob("a", 2), Call(1), kWait, At(0));
  EXPECT_EQ(table.ExecutionStatus("a"), not_run_state::kYes);
  table.MarkStarted("a");
  EXPECT_EQ(table.ExecutionStatus("a"), not_run_state::kUnknown);
  table.SetResult("a", 0, "x", duration(1), At(1));
  EXPECT_EQ(table.ExecutionStatus("a"), not_run_state::kNo);
}

}  // namespace
}  // namespace bamboowing
