/// @file
/// Maintains this entry's registration in the key-value service.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/entry/directory.h"
#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/entry/entry_settings.h"

namespace bamboowing {

/// Writes `entries/ID` under a lease and renews the lease. An older registration of the same id, left by an earlier
/// incarnation, is overwritten. While the store is down the calls are repeated at the renewal interval.
class registration {
 public:
  explicit registration(const entry_settings& settings) : settings_(settings) {}

  /// Handles the result of a store call. Returns false if this object did not make the call.
  bool OnResult(std::uint64_t call, const store_result& result, instant now);

  /// Appends the call that is due. @p next_id gives ids to calls.
  void OnTick(instant now, std::uint64_t& next_id, std::vector<entry_action>& out);
  instant next_wakeup() const { return due_; }

  /// When the service is known to list this process without a break; nullopt if it does not.
  struct listed_time {
    instant since;  ///< the answer to the first write
    instant until;  ///< earliest end of the lease, by a clock that may run slower than that of the service
  };
  std::optional<listed_time> Listed() const;

  /// Sets whether more agents should attach, and updates the registration; see entry_identity::wants_agents.
  void SetWantsAgents(bool wanted, instant now);

  /// Revokes the lease, which removes the registration.
  void Revoke(std::uint64_t& next_id, std::vector<entry_action>& out);

 private:
  enum class step : std::uint8_t { kGrant, kRead, kWrite, kRenew, kEnded };

  entry_settings settings_;
  step step_ = step::kGrant;
  std::uint64_t call_ = 0;  ///< pending call; 0 if none
  instant sent_at_;
  instant due_;
  lease_id lease_ = 0;
  std::optional<instant> listed_since_;  ///< with the current lease
  instant lease_until_;                  ///< earliest end of the lease
  store_version version_ = 0;
  bool changed_ = false;  ///< the registration differs from what was written
};

}  // namespace bamboowing
