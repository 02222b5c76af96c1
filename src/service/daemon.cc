#include "bamboowing/service/daemon.h"

namespace bamboowing {

std::unique_ptr<daemon> daemon::Start(const daemon_settings& settings, failure& why) {
  if (settings.role == daemon_role::kAgent) {
    return detail::StartAgent(settings, why);
  }
  return detail::StartEntry(settings, why);
}

}  // namespace bamboowing
