/// @file
/// Client of the key-value service for the entry and agent cores.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "bamboowing/base/error.h"
#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/transport/key_value_store.h"

namespace bamboowing {

/// Executes the call_store actions of a core through key_value_store and reports their results. Adds the prefix
/// "bamboowing/" to all keys.
class store_client {
 public:
  /// Receive results, on threads of the store implementation. Must return promptly.
  struct result_callbacks {
    std::function<void(std::uint64_t call, store_result result)> on_result;
    std::function<void(std::uint64_t call, directory_update result)> on_watch_update;
  };

  /// @param address "IP:PORT" of the service. No connection is opened yet. Returns nullptr and sets @p error if the
  /// address is malformed.
  static std::unique_ptr<store_client> Open(std::string_view address, result_callbacks callbacks, failure& error);

  /// Uses @p store for the calls.
  static std::unique_ptr<store_client> Open(std::unique_ptr<key_value_store> store, result_callbacks callbacks);

  virtual ~store_client() = default;

  /// Starts one call. Its result is reported once, within one second beyond the wait time of a watch.
  virtual void Call(const call_store& call) = 0;
};

}  // namespace bamboowing
