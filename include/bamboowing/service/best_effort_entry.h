/// @file
/// The daemon of an entry that dispatches best-effort jobs.
#pragma once

#include <memory>

#include "bamboowing/service/daemon.h"
#include "bamboowing/service/job_gateway.h"
#include "bamboowing/service/settings.h"
#include "bamboowing/transport/key_value_store.h"

namespace bamboowing {

/// An entry for best-effort jobs. The front in front of it is not its concern.
class best_effort_entry : public daemon, public job_gateway {
 public:
  /// Starts all duties. @p store holds the entry's registration; @p answers must live longer than the entry. Returns
  /// nullptr and fills @p why if an address can't be bound.
  static std::unique_ptr<best_effort_entry> Start(const daemon_settings& settings,
                                                  std::unique_ptr<key_value_store> store, job_listener& listener,
                                                  failure& why);

  /// Puts a version of the configuration in force; an older one than the present is ignored. Any thread.
  virtual void SetQueues(std::shared_ptr<const queue_table> queues) = 0;
};

}  // namespace bamboowing
