/// @file
/// The entry's duty for the key-value service.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "bamboowing/base/error.h"
#include "bamboowing/entry/io.h"
#include "bamboowing/transport/key_value_store.h"

namespace bamboowing {

/// Makes the calls that the decisions ask for through key_value_store and hands their results back. All keys get the
/// prefix "bamboowing/".
class store_client {
 public:
  /// Receives results. Called from threads of the HTTP client's pool; must not wait long.
  struct result_callbacks {
    std::function<void(std::uint64_t call, store_result result)> on_result;
    std::function<void(std::uint64_t call, directory_update result)> on_watch_update;
  };

  /// @param address "IP:PORT" of the service. Opens no connection yet. Returns nullptr and fills @p why if the address
  /// is malformed.
  static std::unique_ptr<store_client> Open(std::string_view address, result_callbacks callbacks, failure& error);

  /// Makes the calls through @p store.
  static std::unique_ptr<store_client> Open(std::unique_ptr<key_value_store> store, result_callbacks callbacks);

  virtual ~store_client() = default;

  /// Makes one call; its result comes once, after at most a second beyond the wait of a watch.
  virtual void Call(const call_store& call) = 0;
};

}  // namespace bamboowing
