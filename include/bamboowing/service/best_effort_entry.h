/// @file
/// Entry daemon that dispatches best-effort jobs.
#pragma once

#include <memory>

#include "bamboowing/service/daemon.h"
#include "bamboowing/service/job_gateway.h"
#include "bamboowing/service/settings.h"
#include "bamboowing/transport/key_value_store.h"

namespace bamboowing {

/// Entry for best-effort jobs. It does not serve callers itself: a front end submits their jobs through job_gateway.
class best_effort_entry : public daemon, public job_gateway {
 public:
  /// Starts all threads. @p store holds the entry's registration; @p listener must outlive the entry. Returns nullptr
  /// and sets @p error if an address cannot be bound.
  static std::unique_ptr<best_effort_entry> Start(const daemon_settings& settings,
                                                  std::unique_ptr<key_value_store> store, job_listener& listener,
                                                  failure& error);

  /// Applies the configuration if its version is higher than the current one; ignores it otherwise. Thread-safe.
  virtual void SetQueues(std::shared_ptr<const queue_table> queues) = 0;

  /// Applies the evacuations that the store shows, if they are newer than those that are known. Thread-safe.
  virtual void SetEvacuation(evacuation_state state) = 0;
};

}  // namespace bamboowing
