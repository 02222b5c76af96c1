#include "bamboowing/service/clock.h"

#include <sys/resource.h>

#include <random>

namespace bamboowing {

std::uint64_t RandomNumber() {
  std::random_device source;
  std::uint64_t number = 0;
  while (number == 0) {
    number = (static_cast<std::uint64_t>(source()) << 32U) | source();
  }
  return number;
}

duration ProcessCpuTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const std::int64_t seconds = usage.ru_utime.tv_sec + usage.ru_stime.tv_sec;
  const std::int64_t micros = usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
  return std::chrono::seconds(seconds) + duration(micros);
}

}  // namespace bamboowing
