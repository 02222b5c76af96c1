#include "bamboowing/service/daemon.h"

namespace bamboowing {

std::unique_ptr<daemon> daemon::Start(const daemon_settings& settings, failure& error) {
  if (settings.role == daemon_role::kAgent) {
    return detail::StartAgent(settings, error);
  }
  return detail::StartEntry(settings, error);
}

}  // namespace bamboowing
