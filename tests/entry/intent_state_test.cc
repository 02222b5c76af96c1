#include "bamboowing/entry/intent_state.h"

#include <gtest/gtest.h>

namespace bamboowing {
namespace {

constexpr std::string_view kDocument = R"(
services: [{name: line, task_time_limit_ms: 2000, deadline_max_ms: 60000, teams: [crew]}]
teams: [{name: crew, weight: 3, quota_percent: 25}, {name: office}]
retry_budget: {share_percent: 20, attempts_max: 2}
limits: {waiting_tasks: 4000, tasks_per_job: 10}
drains: {targets: [agent-7]}
)";

job_spec MakeJob(const std::string& team, const std::string& service, std::size_t tasks) {
  job_spec job;
  job.job_id = "j";
  job.team = team;
  job.service = service;
  job.deadline = std::chrono::seconds(5);
  job.tasks.resize(tasks);
  return job;
}

// Guards against a configuration that is reverted by an older or repeated document that arrives late.
TEST(IntentState, OnlyAHigherVersionReplacesTheDocument) {
  intent_state state;
  ASSERT_TRUE(state.Apply(5, kDocument));
  EXPECT_FALSE(state.Apply(5, "services: []"));
  EXPECT_FALSE(state.Apply(4, "services: []"));
  EXPECT_EQ(state.version(), 5U);
  EXPECT_EQ(state.ShardCount("line"), 1U);
  EXPECT_FALSE(state.Apply(6, "services: 3"));
  EXPECT_TRUE(state.last_error());
  EXPECT_EQ(state.version(), 5U);
}

// Guards against settings in the document that have no effect.
TEST(IntentState, EveryLimitReachesTheDispatcher) {
  intent_state state;
  ASSERT_TRUE(state.Apply(1, kDocument));
  const dispatch_limits limits = state.DispatchLimits();
  EXPECT_EQ(limits.max_waiting_tasks, 4000U);
  EXPECT_DOUBLE_EQ(limits.retry_share, 0.2);
  EXPECT_EQ(limits.max_attempts, 2U);
  EXPECT_EQ(state.TaskTimeLimit("line"), std::chrono::seconds(2));
  const std::vector<team_share> shares = state.TeamShares();
  ASSERT_EQ(shares.size(), 2U);
  EXPECT_EQ(shares[0].weight, 3U);
  EXPECT_DOUBLE_EQ(shares[0].queue_share, 0.25);
  EXPECT_TRUE(state.IsExcluded("line", "agent-7", "hobart"));
  EXPECT_FALSE(state.IsExcluded("line", "agent-8", "hobart"));
}

// Guards against jobs that are accepted although the document does not allow them.
TEST(IntentState, RefusesWhatTheDocumentDoesNotAllow) {
  intent_state state;
  EXPECT_FALSE(state.CheckJob(MakeJob("anyone", "anything", 1)));
  ASSERT_TRUE(state.Apply(1, kDocument));
  EXPECT_FALSE(state.CheckJob(MakeJob("crew", "line", 10)));
  EXPECT_EQ(state.CheckJob(MakeJob("crew", "line", 11))->kind, error_kind::kTooLarge);
  EXPECT_EQ(state.CheckJob(MakeJob("office", "line", 1))->kind, error_kind::kInvalidField);
  EXPECT_EQ(state.CheckJob(MakeJob("nobody", "line", 1))->kind, error_kind::kInvalidField);
  EXPECT_EQ(state.CheckJob(MakeJob("crew", "other", 1))->kind, error_kind::kNotFound);
}

}  // namespace
}  // namespace bamboowing
