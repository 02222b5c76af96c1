/// @file
/// The two daemons. Each joins its duties (threads) by bounded rings around one thread that owns the decisions.
#pragma once

#include <memory>

#include "bamboowing/base/error.h"
#include "bamboowing/service/settings.h"

namespace bamboowing {

/// A running daemon of either role.
class daemon {
 public:
  /// Starts all duties. Returns nullptr and fills @p why if an address can't be bound or a file can't be read.
  static std::unique_ptr<daemon> Start(const daemon_settings& settings, failure& error);

  virtual ~daemon() = default;

  /// Begins a graceful shutdown: nothing new is accepted, what was accepted is finished.
  virtual void Drain() = 0;

  /// Waits until the shutdown is complete, at most @p limit. Returns whether it is.
  virtual bool WaitDrained(duration limit) = 0;
};

namespace detail {
std::unique_ptr<daemon> StartEntry(const daemon_settings& settings, failure& error);
std::unique_ptr<daemon> StartAgent(const daemon_settings& settings, failure& error);
}  // namespace detail

}  // namespace bamboowing
