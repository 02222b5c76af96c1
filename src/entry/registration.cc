#include "bamboowing/entry/registration.h"

namespace bamboowing {

registration::registration(const entry_settings& settings)
    : self_(settings.self),
      record_(
          {RegistrationKey(settings.self.id), settings.lease_time, settings.renew_interval, settings.renew_interval}) {
  record_.Set(FormatRegistration(self_), instant{});
}

void registration::SetWantsAgents(bool wanted, instant now) {
  self_.wants_agents = wanted;
  record_.Set(FormatRegistration(self_), now);
}

}  // namespace bamboowing
