#include "bamboowing/service/prefix_watch.h"

#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace bamboowing {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::seconds kCallWait{5};
// Less than the timeout of a call, which a watch without an answer takes.
constexpr std::chrono::milliseconds kExitLimit{500};

/// Holds the callbacks of calls that the service has not answered. It outlives the store.
struct silent_calls {
  std::mutex mutex;
  std::condition_variable changed;
  key_value_store::callback<watch_result> watch;
  key_value_store::callback<list_result> list;

  template <typename Callback>
  bool WaitFor(Callback silent_calls::*call) {
    std::unique_lock<std::mutex> lock(mutex);
    return changed.wait_for(lock, kCallWait, [this, call] { return this->*call != nullptr; });
  }
};

/// Answers no watch, and lists only if it was told to.
class silent_store final : public key_value_store {
 public:
  silent_store(silent_calls& calls, bool lists) : calls_(calls), lists_(lists) {}

  void Get(const std::string&, callback<get_result>) override {}
  void Put(const put_request&, callback<put_result>) override {}
  void Delete(const std::string&, key_version, callback<put_result>) override {}
  void LeaseGrant(duration, callback<lease_result>) override {}
  void LeaseRenew(lease_id, callback<lease_result>) override {}
  void LeaseRevoke(lease_id, callback<lease_result>) override {}

  void List(const std::string&, callback<list_result> done) override {
    if (lists_) {
      list_result listed;
      listed.revision = 1;
      done(std::move(listed), failure());
      return;
    }
    Keep(&silent_calls::list, std::move(done));
  }

  void Watch(const std::string&, std::uint64_t, duration, callback<watch_result> done) override {
    Keep(&silent_calls::watch, std::move(done));
  }

 private:
  template <typename Callback>
  void Keep(Callback silent_calls::*call, Callback done) {
    const std::lock_guard<std::mutex> lock(calls_.mutex);
    calls_.*call = std::move(done);
    calls_.changed.notify_all();
  }

  silent_calls& calls_;
  const bool lists_;
};

std::unique_ptr<prefix_watch> StartWatch(silent_calls& calls, bool lists) {
  return prefix_watch::Start(
      std::make_unique<silent_store>(calls, lists), prefix_watch_settings{"op/"}, [](const prefix_update&) {},
      [](bool, const std::string&) {});
}

// Guards against a process that exits late, or not at all, because a connection to the service went silent.
TEST(prefix_watch, EndsWhileAWatchIsUnanswered) {
  silent_calls calls;
  std::unique_ptr<prefix_watch> watch = StartWatch(calls, true);
  ASSERT_TRUE(calls.WaitFor(&silent_calls::watch));
  const steady_clock::time_point before = steady_clock::now();
  // The service answers in the end, so that a watch that waits for it fails the test instead of blocking it.
  std::thread late([&calls] {
    std::this_thread::sleep_for(2 * kExitLimit);
    calls.watch(std::nullopt, failure(error_kind::kStoreUnavailable, "no response"));
  });
  watch.reset();
  EXPECT_LT(steady_clock::now() - before, kExitLimit);
  late.join();
}

// Guards against the same with a list, which is called after the watch has failed.
TEST(prefix_watch, EndsWhileAListIsUnanswered) {
  silent_calls calls;
  std::unique_ptr<prefix_watch> watch = StartWatch(calls, false);
  ASSERT_TRUE(calls.WaitFor(&silent_calls::list));
  const steady_clock::time_point before = steady_clock::now();
  std::thread late([&calls] {
    std::this_thread::sleep_for(2 * kExitLimit);
    calls.list(std::nullopt, failure(error_kind::kStoreUnavailable, "no response"));
  });
  watch.reset();
  EXPECT_LT(steady_clock::now() - before, kExitLimit);
  late.join();
}

}  // namespace
}  // namespace bamboowing
