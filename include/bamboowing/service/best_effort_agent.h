/// @file
/// Agent daemon that manages the runs of best-effort jobs on a leased target.
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

/// Agent of one leased target on the same machine.
class best_effort_agent : public daemon {
 public:
  /// Opens the target at an announced address; null if the address is malformed.
  using target_opener = std::function<std::unique_ptr<leased_target>(const std::string& address)>;

  /// Starts all threads. @p store holds the registrations of the entries.
  static std::unique_ptr<best_effort_agent> Start(const daemon_settings& settings,
                                                  std::unique_ptr<key_value_store> store, target_opener open);

  /// Handles an announcement of a target. Thread-safe.
  virtual void OnTargetAnnounced(target_incarnation incarnation, target_description target,
                                 std::optional<target_time> clock) = 0;

  /// Applies the evacuations that the store shows, if they are newer than those that are known. Thread-safe.
  virtual void SetEvacuation(evacuation_state state) = 0;

  /// Handles the announcement of the target @p id that it stops. Thread-safe.
  virtual void OnTargetLeft(std::string id) = 0;
};

}  // namespace bamboowing
