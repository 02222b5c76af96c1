#include "bamboowing/transport/key_value_store.h"

#include <gtest/gtest.h>

#include <future>

#include "bamboowing/transport/http_client.h"
#include "standins/kv_server.h"

namespace bamboowing {
namespace {

constexpr duration kTimeout = std::chrono::seconds(5);

template <typename Result>
struct outcome {
  std::optional<Result> result;
  failure error;
};

// Waits for the callback of one call.
template <typename Result>
class waiter {
 public:
  key_value_store::callback<Result> Callback() {
    return [promise = promise_](std::optional<Result> result, failure error) {
      promise->set_value({std::move(result), std::move(error)});
    };
  }
  outcome<Result> Wait() { return promise_->get_future().get(); }

 private:
  std::shared_ptr<std::promise<outcome<Result>>> promise_ = std::make_shared<std::promise<outcome<Result>>>();
};

class KeyValueStore : public testing::Test {
 protected:
  void SetUp() override { Start({}, kTimeout); }

  void Start(const standin::kv_options& options, duration timeout) {
    failure error;
    server_ = standin::kv_server::Open(options, error);
    ASSERT_NE(server_, nullptr) << error.reason;
    const std::string address = "127.0.0.1:" + std::to_string(server_->port());
    store_ = OpenHttpKeyValueStore(address, timeout, error);
    control_ = http_client::Open(address, error);
    ASSERT_NE(store_, nullptr) << error.reason;
  }

  void SetFault(const std::string& body) {
    failure error;
    const std::optional<http_response> response = control_->Send({"POST", "/v1/fault", {}, body, ""}, kTimeout, error);
    ASSERT_TRUE(response);
    ASSERT_EQ(response->status, 200) << response->body;
  }

  outcome<get_result> Get(const std::string& key) {
    waiter<get_result> wait;
    store_->Get(key, wait.Callback());
    return wait.Wait();
  }

  outcome<put_result> Put(const put_request& request) {
    waiter<put_result> wait;
    store_->Put(request, wait.Callback());
    return wait.Wait();
  }

  lease_id Grant(duration time_to_live) {
    waiter<key_value_store::lease_result> wait;
    store_->LeaseGrant(time_to_live, wait.Callback());
    return wait.Wait().result.value().lease;
  }

  outcome<key_value_store::lease_result> Renew(lease_id lease) {
    waiter<key_value_store::lease_result> wait;
    store_->LeaseRenew(lease, wait.Callback());
    return wait.Wait();
  }

  outcome<watch_result> Watch(std::uint64_t after, duration time) {
    waiter<watch_result> wait;
    store_->Watch("shards/", after, time, wait.Callback());
    return wait.Wait();
  }

  std::unique_ptr<standin::kv_server> server_;
  std::unique_ptr<key_value_store> store_;
  std::unique_ptr<http_client> control_;
};

// Guards against two leaders of one shard caused by a write based on an outdated version.
TEST_F(KeyValueStore, WritesOnlyOnTheExpectedVersion) {
  EXPECT_FALSE(Get("shards/s/0").result.value().item);
  const put_result first = Put({"shards/s/0", "a\"\\ü", kAbsentVersion, 0}).result.value();
  EXPECT_TRUE(first.written);
  const put_result second = Put({"shards/s/0", "b", kAbsentVersion, 0}).result.value();
  EXPECT_FALSE(second.written);
  EXPECT_EQ(second.version, first.version);
  EXPECT_EQ(second.current_value, "a\"\\ü");
  const put_result third = Put({"shards/s/0", "c", first.version, 0}).result.value();
  EXPECT_TRUE(third.written);
  EXPECT_GT(third.version, first.version);
  EXPECT_EQ(Get("shards/s/0").result.value().item->value, "c");
  waiter<put_result> removed;
  store_->Delete("shards/s/0", first.version, removed.Callback());
  EXPECT_FALSE(removed.Wait().result.value().written);
  waiter<put_result> removed_again;
  store_->Delete("shards/s/0", third.version, removed_again.Callback());
  EXPECT_TRUE(removed_again.Wait().result.value().written);
  EXPECT_GT(Put({"shards/s/0", "d", kAbsentVersion, 0}).result.value().version, third.version);
}

// Guards against a list that includes other prefixes, and a watch that misses or repeats a change.
TEST_F(KeyValueStore, ListAndWatchReportEveryChangeOnce) {
  Put({"shards/s/0", "a", kAbsentVersion, 0});
  Put({"config/document", "x", kAbsentVersion, 0});
  waiter<list_result> listed;
  store_->List("shards/", listed.Callback());
  const list_result list = listed.Wait().result.value();
  ASSERT_EQ(list.items.size(), 1U);
  waiter<watch_result> pending;
  store_->Watch("shards/", list.revision, kTimeout, pending.Callback());
  Put({"config/other", "y", kAbsentVersion, 0});
  Put({"shards/s/1", "b", kAbsentVersion, 0});
  const watch_result changed = pending.Wait().result.value();
  ASSERT_EQ(changed.items.size(), 1U);
  EXPECT_EQ(changed.items[0].key, "shards/s/1");
  const watch_result quiet = Watch(changed.revision, std::chrono::milliseconds(20)).result.value();
  EXPECT_TRUE(quiet.items.empty());
  EXPECT_TRUE(quiet.deleted.empty());
}

// Guards against keys that outlive the lease of a failed process, and against a renewal that succeeds after expiry.
TEST_F(KeyValueStore, KeysAreDeletedWhenTheirLeaseExpires) {
  const lease_id lease = Grant(std::chrono::milliseconds(50));
  const std::uint64_t written = Put({"shards/s/0", "a", kAbsentVersion, lease}).result.value().version;
  EXPECT_TRUE(Renew(lease).result);
  const watch_result expired = Watch(written, kTimeout).result.value();
  ASSERT_EQ(expired.deleted.size(), 1U);
  EXPECT_EQ(expired.deleted[0], "shards/s/0");
  EXPECT_EQ(Renew(lease).error.kind, error_kind::kNotFound);
  EXPECT_EQ(Put({"shards/s/0", "b", kAbsentVersion, lease}).error.not_run, not_run_state::kYes);
}

// Guards against wrongly reporting whether a write took effect, which decides whether a shard may be claimed again.
TEST_F(KeyValueStore, ErrorsReportWhetherAWriteTookEffect) {
  struct test_case {
    const char* fault;
    duration timeout;
    error_kind kind;
    not_run_state ran;
    bool written;
  };
  const test_case cases[] = {
      {R"({"mode":"down"})", kTimeout, error_kind::kStoreUnavailable, not_run_state::kUnknown, false},
      {R"({"mode":"lose_answer"})", kTimeout, error_kind::kStoreUnavailable, not_run_state::kUnknown, true},
      {R"({"mode":"slow","delay_ms":150})", std::chrono::milliseconds(50), error_kind::kStoreUnavailable,
       not_run_state::kUnknown, true},
  };
  for (const test_case& each : cases) {
    Start({}, each.timeout);
    SetFault(each.fault);
    const outcome<put_result> put = Put({"shards/s/0", "a", kAbsentVersion, 0});
    EXPECT_FALSE(put.result) << each.fault;
    EXPECT_EQ(put.error.kind, each.kind) << each.fault;
    EXPECT_EQ(put.error.not_run, each.ran) << each.fault;
    SetFault(R"({"mode":"none"})");
    // A delayed write completes this watch; without a write the watch ends after its wait.
    const watch_result seen =
        Watch(0, each.written ? kTimeout : std::chrono::milliseconds(20)).result.value_or(watch_result());
    EXPECT_EQ(!seen.items.empty(), each.written) << each.fault;
  }
}

// Guards against reporting a possible write when the service is stopped or its rate limit is exceeded.
TEST_F(KeyValueStore, RefusedConnectionsAndRateLimitsAreReportedAsNotWritten) {
  standin::kv_options options;
  options.writes_per_second = 0.001;
  Start(options, kTimeout);
  EXPECT_TRUE(Put({"a", "1", kAbsentVersion, 0}).result);
  const outcome<put_result> limited = Put({"b", "1", kAbsentVersion, 0});
  EXPECT_EQ(limited.error.kind, error_kind::kOverloaded);
  EXPECT_EQ(limited.error.not_run, not_run_state::kYes);
  server_->Close();
  // A new client has no pooled connections; a request on one that the service just closed has an unknown outcome.
  failure error;
  store_ = OpenHttpKeyValueStore("127.0.0.1:" + std::to_string(server_->port()), kTimeout, error);
  const outcome<put_result> refused = Put({"c", "1", kAbsentVersion, 0});
  EXPECT_EQ(refused.error.kind, error_kind::kStoreUnavailable);
  EXPECT_EQ(refused.error.not_run, not_run_state::kYes);
}

// Guards against a request size limit below the documented maximum size of a value.
TEST_F(KeyValueStore, StoresValuesOfOneMegabyte) {
  const std::string value(1U << 20U, '\x01');
  EXPECT_TRUE(Put({"big", value, kAbsentVersion, 0}).result);
  EXPECT_EQ(Get("big").result.value().item->value, value);
  EXPECT_EQ(Put({"bigger", value + "x", kAbsentVersion, 0}).error.kind, error_kind::kTooLarge);
}

}  // namespace
}  // namespace bamboowing
