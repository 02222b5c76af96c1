#include "bamboowing/service/document_watch.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <future>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace bamboowing {
namespace {

// A half-open connection never returns data or an error. A short wait bounds the time until it is detected, during
// which changes are missed.
constexpr duration kWatchWait = std::chrono::milliseconds(700);
constexpr std::chrono::milliseconds kRetryDelay{100};

template <typename Result>
struct outcome {
  std::optional<Result> result;
  failure error;
};

class document_watch_impl final : public document_watch {
 public:
  document_watch_impl(std::unique_ptr<key_value_store> store, document_location location, value_callback on_value,
                      health_callback on_health)
      : store_(std::move(store)),
        location_(std::move(location)),
        on_value_(std::move(on_value)),
        on_health_(std::move(on_health)),
        thread_([this] { Run(); }) {}

  document_watch_impl(const document_watch_impl&) = delete;
  document_watch_impl& operator=(const document_watch_impl&) = delete;

  ~document_watch_impl() override {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_all();
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
    const std::lock_guard<std::mutex> lock(mutex_);
    return stopping_;
  }

  void WaitBeforeRetry() {
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait_for(lock, kRetryDelay, [this] { return stopping_; });
  }

  bool ReadAll() {
    std::promise<outcome<list_result>> promise;
    store_->List(location_.watch_prefix, [&promise](std::optional<list_result> result, failure error) {
      promise.set_value({std::move(result), std::move(error)});
    });
    const outcome<list_result> listed = promise.get_future().get();
    NotifyHealth(listed.result.has_value(), listed.error);
    if (!listed.result) {
      return false;
    }
    revision_ = listed.result->revision;
    DeliverNewVersions(listed.result->items);
    return true;
  }

  bool WatchChanges() {
    std::promise<outcome<watch_result>> promise;
    store_->Watch(location_.watch_prefix, revision_, kWatchWait,
                  [&promise](std::optional<watch_result> result, failure error) {
                    promise.set_value({std::move(result), std::move(error)});
                  });
    const outcome<watch_result> changed = promise.get_future().get();
    NotifyHealth(changed.result.has_value(), changed.error);
    if (!changed.result) {
      revision_ = 0;  // changes may have been missed
      return false;
    }
    revision_ = changed.result->revision;
    DeliverNewVersions(changed.result->items);
    return true;
  }

  void DeliverNewVersions(const std::vector<key_value>& items) {
    for (const key_value& item : items) {
      if (item.key == location_.key && item.version > version_) {
        version_ = item.version;
        on_value_(item.value);
      }
    }
  }

  void NotifyHealth(bool available, const failure& error) {
    if (available_ != available) {
      available_ = available;
      on_health_(available, available ? "" : error.reason);
    }
  }

  const std::unique_ptr<key_value_store> store_;
  const document_location location_;
  const value_callback on_value_;
  const health_callback on_health_;
  std::uint64_t revision_ = 0;
  key_version version_ = 0;
  std::optional<bool> available_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<document_watch> document_watch::Start(std::unique_ptr<key_value_store> store,
                                                      document_location location, value_callback on_value,
                                                      health_callback on_health) {
  return std::make_unique<document_watch_impl>(std::move(store), std::move(location), std::move(on_value),
                                               std::move(on_health));
}

}  // namespace bamboowing
