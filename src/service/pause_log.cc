#include "bamboowing/service/pause_log.h"

#include <string>
#include <utility>

#include "bamboowing/base/clock.h"
#include "bamboowing/service/log.h"

namespace bamboowing {
namespace {

// A round that exceeds its wait by this much counts as a pause. Shorter delays occur under load and expire no time
// limit.
constexpr duration kMinPause = std::chrono::milliseconds(250);

}  // namespace

std::optional<process_pause> pause_detector::OnRound(instant steady, instant boot, duration max_wait) {
  const std::optional<instant> last_steady = std::exchange(last_steady_, steady);
  const instant last_boot = std::exchange(last_boot_, boot);
  if (!last_steady || boot - last_boot < max_wait + kMinPause) {
    return std::nullopt;
  }
  return process_pause{boot - last_boot, (boot - last_boot) - (steady - *last_steady)};
}

void pause_log::OnRound(duration max_wait) {
  const std::optional<process_pause> pause = detector_.OnRound(SteadyNow(), Now(), max_wait);
  if (pause) {
    Log(log_level::kWarning, "process_paused",
        {{"paused_ms", std::to_string(pause->paused.count() / 1000)},
         {"suspended_ms", std::to_string(pause->suspended.count() / 1000)}});
  }
}

}  // namespace bamboowing
