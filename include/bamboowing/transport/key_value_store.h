/// @file
/// Client interface of the platform's key-value service.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/error.h"
#include "bamboowing/base/types.h"

namespace bamboowing {

/// The version of a key. Increases with every change of the key and continues to increase after a deletion.
using key_version = std::uint64_t;

/// The version of a key that does not exist.
inline constexpr key_version kAbsentVersion = 0;

/// Identifies a lease; 0 means no lease.
using lease_id = std::uint64_t;

/// One key with its value and version.
struct key_value {
  std::string key;
  std::string value;
  key_version version = kAbsentVersion;
  lease_id lease = 0;  ///< that the key is attached to; 0 if there is none or the service does not tell it
};

/// Result of a read that the service answered.
struct get_result {
  std::optional<key_value> item;  ///< nullopt if the key does not exist
};

/// Result of a conditional write or deletion that the service answered.
struct put_result {
  bool written = false;
  key_version version = kAbsentVersion;  ///< the new version, or the current one on a version conflict
  std::string current_value;             ///< on a version conflict, the value that the key has
};

/// All keys with a prefix.
struct list_result {
  std::uint64_t revision = 0;  ///< pass to Watch() to receive every later change
  std::vector<key_value> items;
};

/// Changes since a revision.
struct watch_result {
  std::uint64_t revision = 0;  ///< pass to the next Watch()
  std::vector<key_value> items;
  std::vector<std::string> deleted;
};

/// A conditional write (compare-and-swap on the key's version).
struct put_request {
  std::string key;
  std::string value;
  key_version expected_version = kAbsentVersion;  ///< the write is applied only if the key has this version
  lease_id lease = 0;                             ///< the key is deleted when this lease expires
};

/// Asynchronous client of the key-value service. All functions are thread-safe and do not block. Each callback is
/// called once, from a thread of the implementation, and must not block.
///
/// A result is nullopt if the call failed. For writes the error's `ran` then states whether the write took effect:
/// `kYes` means that it did not, `kUnknown` that the response may have been lost after the write. The error's kind is
/// `store_unavailable`, `overloaded` for an exceeded rate limit, `not_found` for an expired lease, `too_large`, or
/// `internal` for a request that the service rejects as malformed.
class key_value_store {
 public:
  template <typename Result>
  using callback = std::function<void(std::optional<Result>, failure)>;

  /// Result of granting, renewing or revoking a lease.
  struct lease_result {
    lease_id lease = 0;
  };

  key_value_store() = default;
  key_value_store(const key_value_store&) = delete;
  key_value_store& operator=(const key_value_store&) = delete;
  virtual ~key_value_store() = default;

  virtual void Get(const std::string& key, callback<get_result> done) = 0;

  /// Writes by compare-and-swap. Values are limited to 1 MB.
  virtual void Put(const put_request& request, callback<put_result> done) = 0;

  /// Deletes @p key if it has the version @p expected_version.
  virtual void Delete(const std::string& key, key_version expected_version, callback<put_result> done) = 0;

  virtual void List(const std::string& prefix, callback<list_result> done) = 0;

  /// Long poll: completes when a key with @p prefix has changed after @p after_revision, or after @p wait without a
  /// change. Counts as one call.
  virtual void Watch(const std::string& prefix, std::uint64_t after_revision, duration wait,
                     callback<watch_result> done) = 0;

  virtual void LeaseGrant(duration time_to_live, callback<lease_result> done) = 0;

  /// Fails with `not_found` when the lease has expired.
  virtual void LeaseRenew(lease_id lease, callback<lease_result> done) = 0;

  /// Revokes the lease and deletes the keys attached to it.
  virtual void LeaseRevoke(lease_id lease, callback<lease_result> done) = 0;
};

/// Creates a client of the service at @p address ("127.0.0.1:2379"). Each call times out after @p timeout, a watch
/// after its wait plus @p timeout. Returns null and sets @p error if the address is malformed.
std::unique_ptr<key_value_store> OpenHttpKeyValueStore(std::string_view address, duration timeout, failure& error);

}  // namespace bamboowing
