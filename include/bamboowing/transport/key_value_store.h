/// @file
/// The platform's key-value service as entries see it.
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

/// The version of a key. It grows with every change of the key, also over a deletion.
using key_version = std::uint64_t;

/// The version of a key that does not exist.
inline constexpr key_version kAbsentVersion = 0;

/// Names a lease; 0 for none.
using lease_id = std::uint64_t;

/// One key with its value.
struct key_value {
  std::string key;
  std::string value;
  key_version version = kAbsentVersion;
};

/// Outcome of a read that the service answered.
struct get_result {
  std::optional<key_value> item;  ///< nullopt when the key does not exist
};

/// Outcome of a write that the service answered.
struct put_result {
  bool written = false;
  key_version version = kAbsentVersion;  ///< the new version, or the one found instead of the expected one
  std::string current_value;             ///< for a write that was not done: the value found
};

/// All keys with a prefix.
struct list_result {
  std::uint64_t revision = 0;  ///< where a watch continues without a gap
  std::vector<key_value> items;
};

/// What changed since a revision.
struct watch_result {
  std::uint64_t revision = 0;  ///< where the next watch continues
  std::vector<key_value> items;
  std::vector<std::string> deleted;
};

/// A write with the version on which it is based.
struct put_request {
  std::string key;
  std::string value;
  key_version expected_version = kAbsentVersion;  ///< the write is done only on this version
  lease_id lease = 0;                             ///< the key is deleted when this lease expires
};

/// Access to the key-value service. All functions are safe for use from several threads and return at once; callbacks
/// come once each from threads of the implementation and must not block.
///
/// Every result is nullopt when the service did not answer. The failure's `ran` then says for writes whether they took
/// effect: `kYes` means certainly not written, `kUnknown` that the answer may have been lost after the write. Its kind
/// is `store_unavailable`, `overloaded` for an exceeded rate limit, `not_found` for an expired lease, or `too_large`.
class key_value_store {
 public:
  template <typename Result>
  using callback = std::function<void(std::optional<Result>, failure)>;

  /// Confirms that a lease is granted or renewed.
  struct lease_result {
    lease_id lease = 0;
  };

  key_value_store() = default;
  key_value_store(const key_value_store&) = delete;
  key_value_store& operator=(const key_value_store&) = delete;
  virtual ~key_value_store() = default;

  virtual void Get(const std::string& key, callback<get_result> done) = 0;

  /// Writes by compare-and-swap. A value has at most 1 MB.
  virtual void Put(const put_request& request, callback<put_result> done) = 0;

  /// Deletes @p key if it has the version @p expected.
  virtual void Delete(const std::string& key, key_version expected_version, callback<put_result> done) = 0;

  virtual void List(const std::string& prefix, callback<list_result> done) = 0;

  /// Answers when a key with @p prefix changed after @p after_revision, or after @p wait without a change. Counts as
  /// one call.
  virtual void Watch(const std::string& prefix, std::uint64_t after_revision, duration wait,
                     callback<watch_result> done) = 0;

  virtual void LeaseGrant(duration time_to_live, callback<lease_result> done) = 0;

  /// Fails with `not_found` when the lease has expired.
  virtual void LeaseRenew(lease_id lease, callback<lease_result> done) = 0;

  /// Ends the lease and deletes its keys.
  virtual void LeaseRevoke(lease_id lease, callback<lease_result> done) = 0;
};

/// Opens the service at @p address ("127.0.0.1:2379"). Each call waits for its answer for at most @p timeout, a watch
/// for that time beyond its own wait. Returns null and fills @p why when the address is malformed.
std::unique_ptr<key_value_store> OpenHttpKeyValueStore(std::string_view address, duration timeout, failure& error);

}  // namespace bamboowing
