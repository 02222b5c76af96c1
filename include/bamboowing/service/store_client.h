/// @file
/// The entry's duty for the key-value service.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "bamboowing/base/error.h"
#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/transport/key_value_store.h"

namespace bamboowing {

/// Makes the calls that the decisions ask for through key_value_store and hands their results back. All keys get the
/// prefix "bamboowing/".
class store_duty {
 public:
  /// Receives results. Called from threads of the HTTP client's pool; must not wait long.
  struct sinks {
    std::function<void(std::uint64_t call, store_result result)> result;
    std::function<void(std::uint64_t call, directory_update result)> watch;
  };

  /// @param address "IP:PORT" of the service. Opens no connection yet. Returns nullptr and fills @p why if the address
  /// is malformed.
  static std::unique_ptr<store_duty> Open(std::string_view address, sinks out, failure& why);

  /// Makes the calls through @p store.
  static std::unique_ptr<store_duty> Open(std::unique_ptr<key_value_store> store, sinks out);

  virtual ~store_duty() = default;

  /// Makes one call; its result comes once, after at most a second beyond the wait of a watch.
  virtual void Call(const call_store& what) = 0;
};

}  // namespace bamboowing
