/// @file
/// Maintains this entry's registration in the key-value service.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "bamboowing/entry/directory.h"
#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/entry/entry_settings.h"
#include "bamboowing/entry/leased_record.h"

namespace bamboowing {

/// Writes `entries/ID` under a lease and renews the lease. An older registration of the same id, left by an earlier
/// incarnation, is overwritten. While the store is down the calls are repeated at the renewal interval.
class registration {
 public:
  explicit registration(const entry_settings& settings);

  /// Handles the result of a store call. Returns false if this object did not make the call.
  bool OnResult(std::uint64_t call, const store_result& result, instant now) {
    return record_.OnResult(call, result, now);
  }

  /// Appends the call that is due. @p next_id gives ids to calls.
  void OnTick(instant now, std::uint64_t& next_id, std::vector<entry_action>& out) {
    record_.OnTick(now, next_id, out);
  }
  instant next_wakeup() const { return record_.next_wakeup(); }

  /// When the service is known to list this process without a break; nullopt if it does not.
  std::optional<leased_record::listed_time> Listed() const { return record_.Listed(); }

  /// Sets whether more agents should attach, and updates the registration; see entry_identity::wants_agents.
  void SetWantsAgents(bool wanted, instant now);

  /// Revokes the lease, which removes the registration.
  void Revoke(std::uint64_t& next_id, std::vector<entry_action>& out) { record_.Revoke(next_id, out); }

 private:
  entry_identity self_;
  leased_record record_;
};

}  // namespace bamboowing
