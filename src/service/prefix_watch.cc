#include "bamboowing/service/prefix_watch.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace bamboowing {
namespace {

/// Shared with the pending call, so that the watch can end before the call returns: the service may be silent for the
/// whole timeout of the call.
struct watch_state {
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
};

template <typename Result>
struct outcome {
  bool complete = false;  ///< guarded by the mutex of the state
  std::optional<Result> result;
  failure error;
};

class prefix_watch_impl final : public prefix_watch {
 public:
  prefix_watch_impl(std::unique_ptr<key_value_store> store, prefix_watch_settings settings, update_callback on_update,
                    health_callback on_health)
      : store_(std::move(store)),
        settings_(std::move(settings)),
        on_update_(std::move(on_update)),
        on_health_(std::move(on_health)),
        thread_([this] { Run(); }) {}

  prefix_watch_impl(const prefix_watch_impl&) = delete;
  prefix_watch_impl& operator=(const prefix_watch_impl&) = delete;

  ~prefix_watch_impl() override {
    {
      const std::lock_guard<std::mutex> lock(state_->mutex);
      state_->stopping = true;
    }
    state_->changed.notify_all();
    thread_.join();
  }

 private:
  void Run() {
    while (!Stopping()) {
      const bool answered = revision_ == 0 ? ReadAll() : WatchChanges();
      if (!answered) {
        WaitBeforeRetry();
      }
    }
  }

  bool Stopping() {
    const std::lock_guard<std::mutex> lock(state_->mutex);
    return state_->stopping;
  }

  void WaitBeforeRetry() {
    std::unique_lock<std::mutex> lock(state_->mutex);
    state_->changed.wait_for(lock, settings_.retry_delay, [this] { return state_->stopping; });
  }

  /// The callback that stores the result of a call in @p to.
  template <typename Result>
  key_value_store::callback<Result> StoreIn(const std::shared_ptr<outcome<Result>>& to) const {
    return [state = state_, to](std::optional<Result> result, const failure& error) {
      {
        const std::lock_guard<std::mutex> lock(state->mutex);
        to->result = std::move(result);
        to->error = error;
        to->complete = true;
      }
      state->changed.notify_all();
    };
  }

  /// Waits for the result of a call. Returns false if the watch is ending.
  template <typename Result>
  bool WaitFor(const outcome<Result>& call) {
    std::unique_lock<std::mutex> lock(state_->mutex);
    state_->changed.wait(lock, [this, &call] { return state_->stopping || call.complete; });
    return !state_->stopping;
  }

  bool ReadAll() {
    const std::shared_ptr<outcome<list_result>> listed = std::make_shared<outcome<list_result>>();
    store_->List(settings_.prefix, StoreIn(listed));
    if (!WaitFor(*listed)) {
      return false;
    }
    NotifyHealth(listed->result.has_value(), listed->error);
    if (!listed->result) {
      return false;
    }
    revision_ = listed->result->revision;
    on_update_({true, revision_, listed->result->items, {}});
    return true;
  }

  bool WatchChanges() {
    const std::shared_ptr<outcome<watch_result>> changed = std::make_shared<outcome<watch_result>>();
    store_->Watch(settings_.prefix, revision_, settings_.wait, StoreIn(changed));
    if (!WaitFor(*changed)) {
      return false;
    }
    NotifyHealth(changed->result.has_value(), changed->error);
    if (!changed->result) {
      revision_ = 0;  // changes may have been missed
      return false;
    }
    revision_ = changed->result->revision;
    if (!changed->result->items.empty() || !changed->result->deleted.empty()) {
      on_update_({false, revision_, changed->result->items, changed->result->deleted});
    }
    return true;
  }

  void NotifyHealth(bool available, const failure& error) {
    if (available_ != available) {
      available_ = available;
      on_health_(available, available ? "" : error.reason);
    }
  }

  const std::unique_ptr<key_value_store> store_;
  const prefix_watch_settings settings_;
  const update_callback on_update_;
  const health_callback on_health_;
  std::uint64_t revision_ = 0;
  std::optional<bool> available_;
  const std::shared_ptr<watch_state> state_ = std::make_shared<watch_state>();
  std::thread thread_;
};

}  // namespace

std::unique_ptr<prefix_watch> prefix_watch::Start(std::unique_ptr<key_value_store> store,
                                                  prefix_watch_settings settings, update_callback on_update,
                                                  health_callback on_health) {
  return std::make_unique<prefix_watch_impl>(std::move(store), std::move(settings), std::move(on_update),
                                             std::move(on_health));
}

}  // namespace bamboowing
