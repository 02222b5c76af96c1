#include <gtest/gtest.h>

#include "bamboowing/dispatch/dispatcher.h"

namespace bamboowing {
namespace {

// Guards against a target that never gets work: a leader adds it before the number of free slots is known.
TEST(UsableSlots, SlotsAddedAfterTheTargetAreUsed) {
  dispatcher queue(dispatch_settings{}, 1);
  const instant now{};
  queue.AddTarget("a", 0, now);
  job_spec job;
  job.job_id = "j";
  job.team = "crew";
  job.service = "line";
  job.deadline = std::chrono::minutes(1);
  job.tasks.resize(3);
  ASSERT_FALSE(queue.Admit(job, now));
  std::vector<assignment> starts;
  queue.NextStarts(now, starts);
  EXPECT_TRUE(starts.empty());
  queue.SetUsableSlots("a", 2, now);
  queue.SetTargetDraining("a", false, now);
  queue.NextStarts(now, starts);
  EXPECT_EQ(starts.size(), 2U);
}

}  // namespace
}  // namespace bamboowing
