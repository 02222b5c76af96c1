#include "bamboowing/service/pause_log.h"

#include <gtest/gtest.h>

namespace bamboowing {
namespace {

constexpr duration kMaxWait = std::chrono::seconds(1);

instant At(int ms) { return instant(std::chrono::milliseconds(ms)); }

TEST(pause_detector, IgnoresRoundsWithinTheWait) {
  pause_detector detector;
  EXPECT_FALSE(detector.OnRound(At(1000), At(5000), kMaxWait));
  EXPECT_FALSE(detector.OnRound(At(2100), At(6100), kMaxWait));
}

TEST(pause_detector, ReportsAPauseThatTheSteadyClockCounts) {
  pause_detector detector;
  detector.OnRound(At(1000), At(5000), kMaxWait);
  const std::optional<process_pause> pause = detector.OnRound(At(4000), At(8000), kMaxWait);
  ASSERT_TRUE(pause);
  EXPECT_EQ(pause->paused, std::chrono::milliseconds(3000));
  EXPECT_EQ(pause->suspended, duration(0));
}

// Guards against a suspension of the machine that leaves no trace in the log, because the steady clock does not count
// it.
TEST(pause_detector, ReportsASuspensionThatTheSteadyClockMisses) {
  pause_detector detector;
  detector.OnRound(At(1000), At(5000), kMaxWait);
  const std::optional<process_pause> pause = detector.OnRound(At(1100), At(8100), kMaxWait);
  ASSERT_TRUE(pause);
  EXPECT_EQ(pause->paused, std::chrono::milliseconds(3100));
  EXPECT_EQ(pause->suspended, std::chrono::milliseconds(3000));
}

}  // namespace
}  // namespace bamboowing
