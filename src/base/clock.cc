#include "bamboowing/base/clock.h"

#include <ctime>

namespace bamboowing {

instant Now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  const std::chrono::nanoseconds since_start =
      std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  return instant(std::chrono::duration_cast<duration>(since_start));
}

instant SteadyNow() { return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now()); }

}  // namespace bamboowing
