/// @file
/// Content of the stand-in for the platform's key-value service.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/types.h"

namespace bamboowing::standin {

/// One key. Its version is the revision of the store at its last change, so it also grows over a deletion.
struct kv_item {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  std::uint64_t lease = 0;  ///< 0 for none
};

/// The outcome of a change with an expected version.
struct kv_change {
  bool applied = false;
  std::optional<kv_item> current;  ///< the key after the change, or as it was found
};

/// Keys, versions and leases. Times are arguments. Not safe for use from several threads.
class kv_state {
 public:
  std::optional<kv_item> Get(std::string_view key) const;

  /// Writes @p item when the key has the version @p expected; 0 means that it must not exist, nullopt means any. A
  /// lease that is not 0 must exist.
  kv_change Put(kv_item item, std::optional<std::uint64_t> expected);

  kv_change Delete(std::string_view key, std::optional<std::uint64_t> expected);

  /// Keys that start with @p prefix and were changed after @p revision.
  std::vector<kv_item> List(std::string_view prefix, std::uint64_t after_revision) const;

  /// Keys that start with @p prefix and were deleted after @p revision.
  std::vector<std::string> Deleted(std::string_view prefix, std::uint64_t after_revision) const;

  std::uint64_t GrantLease(duration time_to_live, instant now);

  /// Returns false when the lease has expired.
  bool RenewLease(std::uint64_t lease, instant now);

  void RevokeLease(std::uint64_t lease);

  /// Deletes the keys of all leases that have expired; returns whether there were any.
  bool ExpireLeases(instant now);

  /// When the next lease expires.
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
