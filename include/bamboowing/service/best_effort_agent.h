/// @file
/// The daemon of an agent that keeps runs of best-effort jobs at a leased target.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "bamboowing/besteffort/leased_target.h"
#include "bamboowing/besteffort/run_manager.h"
#include "bamboowing/service/daemon.h"
#include "bamboowing/service/settings.h"
#include "bamboowing/transport/key_value_store.h"

namespace bamboowing {

/// An agent beside one leased target.
class best_effort_agent : public daemon {
 public:
  /// Opens the target at an announced address; null if the address is malformed.
  using target_opener = std::function<std::unique_ptr<leased_target>(const std::string& address)>;

  /// Starts all duties. @p store holds the entries' registrations.
  static std::unique_ptr<best_effort_agent> Start(const daemon_settings& settings,
                                                  std::unique_ptr<key_value_store> store, target_opener open);

  /// The target announced itself. Any thread.
  virtual void Announce(target_life life, std::string address, target_description target,
                        std::optional<target_time> clock) = 0;

  /// The target says that it has ended. Any thread.
  virtual void Leave(std::string id) = 0;
};

}  // namespace bamboowing
