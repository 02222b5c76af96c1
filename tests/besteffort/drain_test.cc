// Drain of an entry: each accepted job is answered before the process exits.
#include <gtest/gtest.h>

#include <string>

#include "bamboowing/besteffort/dispatch_core.h"

namespace bamboowing {
namespace {

constexpr instant kStart{std::chrono::seconds(1000)};

duration Ms(int time) { return std::chrono::milliseconds(time); }

best_effort_job MakeJob(const std::string& id, duration estimate) {
  best_effort_job job;
  job.id = id;
  job.steps.resize(1);
  job.steps[0].count = 1;
  job.steps[0].estimate = estimate;
  job.deadline = std::chrono::seconds(9);
  return job;
}

queue_rule Queue() {
  queue_rule queue;
  queue.name = "checks";
  queue.service = "inspect";
  queue.slack_factor = 20;
  return queue;
}

/// The answers among the actions of @p core, which are cleared.
std::vector<answer_job> TakeAnswers(dispatch_core& core) {
  std::vector<answer_job> answers;
  for (const dispatch_action& action : core.actions()) {
    if (const answer_job* answer = std::get_if<answer_job>(&action); answer != nullptr) {
      answers.push_back(*answer);
    }
  }
  core.ClearActions();
  return answers;
}

// Guards against a job that is still open when a draining entry exits: no target starts it, and its deadline lies after
// the exit.
TEST(drain, WaitingJobIsRefusedBeforeExit) {
  dispatch_core core(dispatch_core_settings(), 1, kStart);
  core.OnSubmit(1, MakeJob("job", Ms(200)), Queue(), kStart);
  core.OnDrain(kStart + Ms(1000));
  core.Advance(kStart + Ms(900));
  EXPECT_TRUE(TakeAnswers(core).empty());
  core.Advance(kStart + Ms(1000));
  const std::vector<answer_job> answers = TakeAnswers(core);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].verdict, job_verdict::kRefused);
  EXPECT_EQ(core.unanswered_jobs(), 0U);
}

// Guards against a job that a draining entry accepts although it can't complete before the exit.
TEST(drain, JobThatOutlastsDrainIsRefusedAtOnce) {
  dispatch_core core(dispatch_core_settings(), 1, kStart);
  core.OnDrain(kStart + Ms(100));
  core.OnSubmit(1, MakeJob("job", Ms(200)), Queue(), kStart);
  const std::vector<answer_job> answers = TakeAnswers(core);
  ASSERT_EQ(answers.size(), 1U);
  ASSERT_TRUE(answers[0].error);
  EXPECT_EQ(answers[0].error->kind, error_kind::kDraining);
  EXPECT_EQ(answers[0].error->not_run, not_run_state::kYes);
}

}  // namespace
}  // namespace bamboowing
