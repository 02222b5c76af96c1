/// @file
/// Maintains one key of the key-value service under a lease.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/entry/entry_actions.h"

namespace bamboowing {

struct leased_record_settings {
  std::string key;
  duration lease_time{0};
  duration renew_interval{0};
  duration retry_interval{0};  ///< after a call that the service has not answered
};

/// Writes a key under a lease and renews the lease. What an earlier process has left under the key is overwritten.
/// Calls that are not answered are repeated.
class leased_record {
 public:
  explicit leased_record(const leased_record_settings& settings) : settings_(settings) {}

  /// Sets the value, which is written if it differs. Nothing is written before the first call.
  void Set(const std::string& value, instant now);
  /// The key has this value under this lease of an earlier process, which is renewed from now on.
  void Adopt(const std::string& value, lease_id lease, instant now);

  /// Handles the result of a store call. Returns false if this object did not make the call.
  bool OnResult(std::uint64_t call, const store_result& result, instant now);

  /// Appends the call that is due. @p next_id gives ids to calls.
  void OnTick(instant now, std::uint64_t& next_id, std::vector<entry_action>& out);
  instant next_wakeup() const { return due_; }

  /// Whether the service has confirmed that the key has the value that was set last.
  bool IsWritten() const { return step_ == step::kRenew && !changed_; }

  /// When the service is known to show the key without a break; nullopt if it does not.
  struct listed_time {
    instant since;  ///< the answer to the first write
    instant until;  ///< earliest end of the lease, by a clock that may run slower than that of the service
  };
  std::optional<listed_time> Listed() const;

  /// Revokes the lease, which removes the key.
  void Revoke(std::uint64_t& next_id, std::vector<entry_action>& out);

 private:
  enum class step : std::uint8_t { kIdle, kGrant, kRead, kWrite, kRenew, kEnded };

  leased_record_settings settings_;
  std::string value_;
  step step_ = step::kIdle;
  std::uint64_t call_ = 0;  ///< pending call; 0 if none
  instant sent_at_;
  instant due_ = instant::max();
  lease_id lease_ = 0;
  std::optional<instant> listed_since_;  ///< with the current lease
  instant lease_until_;                  ///< earliest end of the lease
  store_version version_ = 0;
  bool changed_ = false;  ///< the value differs from what was written
};

}  // namespace bamboowing
