/// @file
/// Calls to the platform's key-value service and their results, as the decision libraries see them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// What a call does.
enum class store_verb : std::uint8_t {
  kGet,
  kPut,         ///< writes `value` if the key's version is `expected_version` (0: the key must not exist)
  kDelete,      ///< deletes the key if its version is `expected_version`
  kGrantLease,  ///< grants a lease of `ttl`
  kRenewLease,
  kWatch,  ///< waits for a change after `after_revision` below the prefix `key`, at most `wait`
  kList,   ///< lists all items below the prefix `key`
};

/// A call to the key-value service.
struct store_call {
  std::uint64_t id = 0;  ///< repeated in the result
  store_verb verb = store_verb::kGet;
  std::string key;
  std::string value;
  std::uint64_t expected_version = 0;
  std::string lease;  ///< kPut: the key is deleted when this lease ends; kRenewLease: the lease
  duration ttl{0};
  duration wait{0};
  std::uint64_t after_revision = 0;
};

/// One key with its value.
struct store_item {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
};

/// How a call ended.
enum class store_outcome : std::uint8_t {
  kDone,
  kNotFound,  ///< no such key or lease
  kConflict,  ///< the version differs; `item` is the present state
  kNotDone,   ///< the call certainly had no effect, for example because the connection was refused
  kUnknown,   ///< no answer: a write may have taken effect
};

/// The result of a store_call.
struct store_result {
  std::uint64_t id = 0;
  store_verb verb = store_verb::kGet;
  store_outcome outcome = store_outcome::kUnknown;
  store_item item;                   ///< kGet, and kPut with the new version or the conflicting state
  std::string lease;                 ///< kGrantLease
  std::uint64_t revision = 0;        ///< kWatch and kList: the state of the store that `items` shows
  std::vector<store_item> items;     ///< kWatch: changed; kList: all
  std::vector<std::string> deleted;  ///< kWatch
};

}  // namespace bamboowing
