/// @file
/// Watches all keys with a prefix in the key-value service.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "bamboowing/transport/key_value_store.h"

namespace bamboowing {

/// What a prefix_watch watches, and how.
struct prefix_watch_settings {
  std::string prefix;
  /// Longest wait of one call. A half-open connection never returns data or an error; a short wait bounds the time
  /// until it is detected, during which changes are missed. Each call counts against the rate limit of the service.
  duration wait = std::chrono::milliseconds(700);
  duration retry_delay = std::chrono::milliseconds(100);  ///< after a call without an answer
};

/// The content or the changes of a watched prefix.
struct prefix_update {
  bool complete = false;       ///< `items` are all keys; keys that are not listed do not exist
  std::uint64_t revision = 0;  ///< the update includes every change up to this revision
  span<const key_value> items;
  span<const std::string> deleted;
};

/// Lists the keys with a prefix and watches them for changes, on its own thread. After a call without an answer, they
/// are listed again, because changes may have been missed.
class prefix_watch {
 public:
  /// Receives the complete content, then each change. Called on the watch thread.
  using update_callback = std::function<void(const prefix_update& update)>;
  /// Receives changes of the service's availability, with the reason when it is unavailable. The result of the first
  /// call is always reported. Called on the watch thread.
  using health_callback = std::function<void(bool available, const std::string& reason)>;

  static std::unique_ptr<prefix_watch> Start(std::unique_ptr<key_value_store> store, prefix_watch_settings settings,
                                             update_callback on_update, health_callback on_health);

  prefix_watch() = default;
  prefix_watch(const prefix_watch&) = delete;
  prefix_watch& operator=(const prefix_watch&) = delete;
  /// Blocks until a callback that is running returns, not for the pending call to the service.
  virtual ~prefix_watch() = default;
};

}  // namespace bamboowing
