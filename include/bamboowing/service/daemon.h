/// @file
/// Daemons of both roles. One thread owns the core state; I/O threads pass their input to it through a bounded queue.
#pragma once

#include <memory>

#include "bamboowing/base/error.h"
#include "bamboowing/service/settings.h"

namespace bamboowing {

/// Running daemon of either role.
class daemon {
 public:
  /// Starts all threads. Returns nullptr and sets @p error if an address cannot be bound or a file cannot be read.
  static std::unique_ptr<daemon> Start(const daemon_settings& settings, failure& error);

  virtual ~daemon() = default;

  /// Begins a graceful shutdown: new work is refused, accepted work is finished.
  virtual void Drain() = 0;

  /// Waits up to @p limit for the shutdown to complete. Returns whether it completed.
  virtual bool WaitDrained(duration limit) = 0;
};

namespace detail {
std::unique_ptr<daemon> StartEntry(const daemon_settings& settings, failure& error);
std::unique_ptr<daemon> StartAgent(const daemon_settings& settings, failure& error);
}  // namespace detail

}  // namespace bamboowing
