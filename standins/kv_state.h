/// @file
/// State of the stand-in for the platform's key-value service.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/types.h"

namespace bamboowing::standin {

/// One key. Its version is the store's revision at its last change, so versions keep growing when a key is deleted and
/// created again.
struct kv_item {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  std::uint64_t lease = 0;  ///< 0 for none
};

/// Result of a change with an expected version.
struct kv_change {
  bool applied = false;
  std::optional<kv_item> current;  ///< the key after the change, or as found if it was not applied
};

/// Keys, versions and leases. Callers pass the current time. Not thread-safe.
class kv_state {
 public:
  std::optional<kv_item> Get(std::string_view key) const;

  /// Writes @p item if the key has the version @p expected; 0 requires that the key doesn't exist, nullopt accepts any
  /// version. The item's lease must exist unless it is 0.
  kv_change Put(kv_item item, std::optional<std::uint64_t> expected);

  /// Deletes the key if it exists and has the version @p expected; nullopt accepts any version.
  kv_change Delete(std::string_view key, std::optional<std::uint64_t> expected);

  /// Keys that start with @p prefix and changed after @p after_revision.
  std::vector<kv_item> List(std::string_view prefix, std::uint64_t after_revision) const;

  /// Keys that start with @p prefix and were deleted after @p after_revision.
  std::vector<std::string> ListDeleted(std::string_view prefix, std::uint64_t after_revision) const;

  /// Returns the id of the new lease.
  std::uint64_t GrantLease(duration time_to_live, instant now);

  /// Extends the lease by its time to live from @p now. Returns false if it has expired.
  bool RenewLease(std::uint64_t lease, instant now);

  /// Ends the lease and deletes its keys.
  void RevokeLease(std::uint64_t lease);

  /// Revokes all leases that have expired; returns whether there were any.
  bool ExpireLeases(instant now);

  /// When the next lease expires; nullopt if there are no leases.
  std::optional<instant> NextExpiry() const;

  bool HasLease(std::uint64_t lease) const { return leases_.count(lease) > 0; }

  std::uint64_t revision() const { return revision_; }

 private:
  struct lease_record {
    duration time_to_live{0};
    instant expires_at;
  };

  std::uint64_t revision_ = 0;
  std::uint64_t last_lease_id_ = 0;
  std::map<std::string, kv_item, std::less<>> items_;
  std::map<std::string, std::uint64_t, std::less<>> deletion_revisions_;
  std::map<std::uint64_t, lease_record> leases_;
};

}  // namespace bamboowing::standin
