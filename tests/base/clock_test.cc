#include "bamboowing/base/clock.h"

#include <dlfcn.h>
#include <gtest/gtest.h>

#include <ctime>

namespace {

using clock_gettime_function = int (*)(clockid_t, timespec*);

// Time for which the machine has been suspended, as the replaced clock_gettime() reports it.
std::chrono::seconds suspended{0};

}  // namespace

// Replaces the C library's function in this program: adds `suspended` to the clock that counts suspensions.
extern "C" int clock_gettime(clockid_t clock, timespec* time) {
  static const clock_gettime_function original =
      reinterpret_cast<clock_gettime_function>(dlsym(RTLD_NEXT, "clock_gettime"));
  const int result = original(clock, time);
  if (clock == CLOCK_BOOTTIME) {
    time->tv_sec += suspended.count();
  }
  return result;
}

namespace bamboowing {
namespace {

// Guards against two runs of one task: with a clock that stops while the machine is suspended, an agent that resumes
// takes old contacts, starts and leases as recent, while its entries have started the tasks elsewhere.
TEST(clock, CountsTheTimeForWhichTheMachineIsSuspended) {
  const instant before = Now();
  suspended = std::chrono::seconds(5);
  const instant after = Now();
  suspended = std::chrono::seconds(0);
  EXPECT_GE(after - before, std::chrono::seconds(5));
}

}  // namespace
}  // namespace bamboowing
