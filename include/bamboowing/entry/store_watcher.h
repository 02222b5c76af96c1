/// @file
/// Keeps one watch on the key-value service.
#pragma once

#include <cstdint>
#include <vector>

#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/entry/entry_settings.h"

namespace bamboowing {

/// Repeats the watch call from the revision that was seen last. After a call that was not answered it starts again with
/// the complete state, because changes may have been missed.
class store_watcher {
 public:
  explicit store_watcher(const entry_settings& settings) : settings_(settings) {}

  /// Handles the result of its call. Returns false if the call is not its own.
  bool OnResult(std::uint64_t call, const directory_update& result, instant now) {
    if (call == 0 || call != call_) {
      return false;
    }
    call_ = 0;
    answered_ = result.answered;
    revision_ = result.answered ? result.revision : 0;
    seen_ = seen_ || result.answered;
    seen_at_ = result.answered ? now : seen_at_;
    due_ = result.answered ? now : now + settings_.watch_retry;
    return true;
  }

  /// Appends the watch call if none is under way. @p next_id gives ids to calls.
  void OnTick(instant now, std::uint64_t& next_id, std::vector<entry_action>& out) {
    if (call_ != 0 || now < due_) {
      return;
    }
    call_ = ++next_id;
    out.emplace_back(call_store{call_, store_watch{"", revision_, settings_.watch_wait}});
  }

  instant next_wakeup() const { return call_ != 0 ? instant::max() : due_; }

  /// Whether the state of the store was seen at least once.
  bool seen() const { return seen_; }
  /// When the store answered last.
  instant seen_at() const { return seen_at_; }
  /// Whether the last call was answered.
  bool answered() const { return answered_; }

 private:
  entry_settings settings_;
  std::uint64_t call_ = 0;
  std::uint64_t revision_ = 0;
  instant due_;
  instant seen_at_;
  bool seen_ = false;
  bool answered_ = false;
};

}  // namespace bamboowing
