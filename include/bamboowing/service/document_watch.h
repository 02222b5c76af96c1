/// @file
/// The duty that keeps a document of the key-value service up to date.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "bamboowing/transport/key_value_store.h"

namespace bamboowing {

/// What a document_watch follows.
struct document_location {
  std::string key;
  std::string watch_prefix;  ///< of the watch; the key begins with it
};

/// Reads one key and follows its changes with one thread.
class document_watch {
 public:
  /// Receives the value when it was read first and after each change. Called on the duty's thread.
  using value_callback = std::function<void(const std::string& value)>;
  /// Told when the service stops answering (false) and when it answers again (true).
  using health_callback = std::function<void(bool answers, const std::string& reason)>;

  static std::unique_ptr<document_watch> Start(std::unique_ptr<key_value_store> store, document_location place,
                                               value_callback on_value, health_callback on_health);

  document_watch() = default;
  document_watch(const document_watch&) = delete;
  document_watch& operator=(const document_watch&) = delete;
  /// Waits for the call under way.
  virtual ~document_watch() = default;
};

}  // namespace bamboowing
