// Exchange of jobs that are known for a limited time.
#include "bamboowing/besteffort/expiring_jobs.h"

#include <gtest/gtest.h>

namespace bamboowing {
namespace {

constexpr instant kStart{std::chrono::seconds(1000)};
constexpr duration kTime = std::chrono::seconds(15);

// Guards against a job that may be started again before its time has passed, or never.
TEST(expiring_jobs, ContainsJobUntilItsTime) {
  expiring_jobs jobs;
  EXPECT_TRUE(jobs.Add("job", kStart + kTime));
  EXPECT_TRUE(jobs.Contains("job", kStart + kTime - duration(1)));
  EXPECT_FALSE(jobs.Contains("job", kStart + kTime));
  EXPECT_FALSE(jobs.Contains("jo", kStart));
  jobs.Expire(kStart + kTime);
  EXPECT_EQ(jobs.size(), 0U);
}

// Guards against processes that send each other the same job for ever, extended by the transmission delay each time.
TEST(expiring_jobs, ExchangeEndsAlthoughMessagesAreDelayed) {
  expiring_jobs sets[2];
  sets[0].Add("job", kStart + kTime);
  std::uint64_t sent[2] = {0, 0};
  int messages = 0;
  instant now = kStart;
  for (int round = 0; round < 100; ++round) {
    const int from = round % 2;
    const std::vector<job_expiry> changed = sets[from].Since(sent[from], now);
    sent[from] = sets[from].revision();
    messages += changed.empty() ? 0 : 1;
    now += std::chrono::milliseconds(40);
    sets[1 - from].Merge(changed, kTime, now);
  }
  EXPECT_EQ(messages, 2);
  EXPECT_TRUE(sets[1].Contains("job", kStart + kTime - duration(1)));
}

// Guards against a later event of the same job that other processes do not learn of.
TEST(expiring_jobs, LongerTimeIsSentAgain) {
  expiring_jobs jobs;
  jobs.Add("job", kStart + kTime);
  const std::uint64_t sent = jobs.revision();
  jobs.Add("job", kStart + 2 * kTime);
  const std::vector<job_expiry> changed = jobs.Since(sent, kStart);
  ASSERT_EQ(changed.size(), 1U);
  EXPECT_EQ(changed[0].remaining, 2 * kTime);
}

// Guards against a malformed time from another process that blocks a job for ever.
TEST(expiring_jobs, MergeLimitsTheTime) {
  expiring_jobs jobs;
  jobs.Merge({{"endless", duration::max() / 2}, {"negative", duration(-1)}}, kTime, kStart);
  EXPECT_TRUE(jobs.Contains("endless", kStart));
  EXPECT_FALSE(jobs.Contains("endless", kStart + kTime));
  EXPECT_FALSE(jobs.Contains("negative", kStart));
}

// Guards against a set that grows without bound during a long fault.
TEST(expiring_jobs, DropsTheJobThatExpiresFirst) {
  expiring_jobs jobs;
  for (std::size_t i = 0; i <= expiring_jobs::kMaxJobs; ++i) {
    jobs.Add("job" + std::to_string(i), kStart + kTime + std::chrono::milliseconds(i));
  }
  EXPECT_EQ(jobs.size(), expiring_jobs::kMaxJobs);
  EXPECT_FALSE(jobs.Contains("job0", kStart));
  EXPECT_TRUE(jobs.Contains("job1", kStart));
}

}  // namespace
}  // namespace bamboowing
