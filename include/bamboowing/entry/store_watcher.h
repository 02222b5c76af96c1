/// @file
/// Maintains a watch on the key-value service.
#pragma once

#include <cstdint>
#include <vector>

#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/entry/entry_settings.h"

namespace bamboowing {

/// Repeats the watch call from the last received revision. After an unanswered call it starts again with the complete
/// state, because changes may have been missed.
class store_watcher {
 public:
  explicit store_watcher(const entry_settings& settings) : settings_(settings) {}

  /// Handles the result of a watch call. Returns false if the call is not the current one.
  bool OnResult(std::uint64_t call, const directory_update& result, instant now) {
    if (call == 0 || call != call_) {
      return false;
    }
    call_ = 0;
    answered_ = result.answered;
    revision_ = result.answered ? result.revision : 0;
    has_synced_ = has_synced_ || result.answered;
    last_answered_at_ = result.answered ? now : last_answered_at_;
    due_ = result.answered ? now : now + settings_.watch_retry_delay;
    return true;
  }

  /// Appends the watch call if none is pending. @p next_id gives ids to calls.
  void OnTick(instant now, std::uint64_t& next_id, std::vector<entry_action>& out) {
    if (call_ != 0 || now < due_) {
      return;
    }
    call_ = ++next_id;
    out.emplace_back(call_store{call_, store_watch{settings_.watch_prefix, revision_, settings_.watch_wait}});
  }

  instant next_wakeup() const { return call_ != 0 ? instant::max() : due_; }

  /// Whether the state of the store was received at least once.
  bool has_synced() const { return has_synced_; }
  /// When the store last answered.
  instant last_answered_at() const { return last_answered_at_; }
  /// Whether the last call was answered.
  bool answered() const { return answered_; }

 private:
  entry_settings settings_;
  std::uint64_t call_ = 0;
  std::uint64_t revision_ = 0;
  instant due_;
  instant last_answered_at_;
  bool has_synced_ = false;
  bool answered_ = false;
};

}  // namespace bamboowing
