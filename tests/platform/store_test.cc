#include "store.h"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <nlohmann/json.hpp>

#include "bamboowing/transport/http_server.h"

namespace bamboowing::platform {
namespace {

/// A store that answers each call with the same body, and its client.
class scripted_store {
 public:
  scripted_store() {
    failure error;
    server_ = http_server::Open(
        "127.0.0.1:0",
        [this](const http_request&, const http_server::responder& answer) {
          ++calls;
          answer({200, "application/json", body, std::nullopt});
        },
        http_limits(), error);
    store_ = OpenStore("127.0.0.1:" + std::to_string(server_->port()), std::chrono::seconds(5), error);
  }

  std::optional<list_result> List() {
    return Call<list_result>([this](key_value_store::callback<list_result> done) { store_->List("", done); });
  }
  std::optional<watch_result> Watch() {
    return Call<watch_result>([this](key_value_store::callback<watch_result> done) {
      store_->Watch("", 1, std::chrono::milliseconds(1), done);
    });
  }
  std::optional<get_result> Get() {
    return Call<get_result>([this](key_value_store::callback<get_result> done) { store_->Get("k", done); });
  }

  std::string body;
  std::atomic<int> calls{0};

 private:
  template <typename Result, typename Function>
  static std::optional<Result> Call(Function call) {
    std::promise<std::optional<Result>> answered;
    call([&answered](std::optional<Result> result, const failure&) { answered.set_value(std::move(result)); });
    return answered.get_future().get();
  }

  std::unique_ptr<http_server> server_;
  std::unique_ptr<key_value_store> store_;
};

constexpr const char* kOddItems =
    R"(7,null,[],{},{"key":7},{"key":"a"},{"key":"b","value":"%%%%","revision":3},{"key":"c","value":"YQ==","revision":-1},)"
    R"({"key":"d","value":"YQ==","revision":1e300},{"key":"e","value":"YQ==","revision":"9"},)"
    R"({"key":"f","value":{"x":1},"revision":9},{"key":"g","value":"YQ==","revision":1.5},)"
    R"({"key":7,"tombstone":true},{"key":"h","tombstone":1},)";
constexpr const char* kGoodItem = R"({"key":"good","value":"aGVsbG8=","revision":12})";

// Guards against an agent that stops following the list of entries because of one odd item.
TEST(StoreItems, OddItemsOfAListAreSkipped) {
  scripted_store store;
  store.body = std::string(R"({"store_revision":20,"items":[)") + kOddItems + kGoodItem + "]}";
  const std::optional<list_result> listed = store.List();
  ASSERT_TRUE(listed.has_value());
  EXPECT_EQ(listed->revision, 20U);
  ASSERT_EQ(listed->items.size(), 1U);
  EXPECT_EQ(listed->items[0].key, "good");
  EXPECT_EQ(listed->items[0].value, "hello");
}

// Guards against a watch that fails again and again because of one odd event.
TEST(StoreItems, OddEventsOfAWatchAreSkipped) {
  scripted_store store;
  store.body = std::string(R"({"store_revision":20,"events":[)") + kOddItems + R"({"key":"gone","tombstone":true},)" +
               kGoodItem + "]}";
  const std::optional<watch_result> changed = store.Watch();
  ASSERT_TRUE(changed.has_value());
  EXPECT_EQ(changed->deleted, std::vector<std::string>{"gone"});
  ASSERT_EQ(changed->items.size(), 1U);
}

// Guards against an entry that never registers again because another writer left bytes at its key: the key can only be
// Guards against a key that was deleted and created again, or the reverse, and is taken as it was in between.
TEST(StoreItems, TheLastEventOfAKeyCounts) {
  scripted_store store;
  store.body =
      R"({"store_revision":9,"events":[{"key":"a","revision":4,"tombstone":true},{"key":"a","value":"","revision":5},)"
      R"({"key":"b","value":"","revision":6},{"key":"b","revision":7,"tombstone":true}]})";
  const std::optional<watch_result> changed = store.Watch();
  ASSERT_TRUE(changed);
  ASSERT_EQ(changed->items.size(), 1U);
  EXPECT_EQ(changed->items[0].key, "a");
  EXPECT_EQ(changed->deleted, std::vector<std::string>({"b"}));
}

// replaced with its revision.
TEST(StoreItems, AKeyWithAnUnreadableValueHasARevision) {
  scripted_store store;
  for (const char* value : {R"("%%%%")", R"("YQ")", "7", "null"}) {
    store.body = std::string(R"({"key":"k","revision":12,"value":)") + value + "}";
    const std::optional<get_result> read = store.Get();
    ASSERT_TRUE(read.has_value() && read->item.has_value()) << value;
    EXPECT_EQ(read->item->version, 12U);
    EXPECT_EQ(read->item->value, "");
  }
}

// Guards against a list whose pages don't advance and are requested forever.
TEST(StoreItems, AListThatDoesNotAdvanceEnds) {
  scripted_store store;
  store.body = std::string(R"({"store_revision":20,"more_pages":true,"items":[)") + kGoodItem + "]}";
  EXPECT_TRUE(store.List().has_value());
  EXPECT_LE(store.calls.load(), 2);
}

// Guards against an exception or a wrapped number in the callback thread.
TEST(StoreItems, AnOddResponseIsAnError) {
  scripted_store store;
  const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
  for (const std::string& odd :
       {std::string("[]"), std::string("\xff"), std::string(R"({"store_revision":-1,"items":[],"events":[]})"),
        std::string(R"({"store_revision":1e300,"items":[],"events":[]})"), std::string(R"({"store_revision":1})"),
        R"({"store_revision":1,"items":)" + deep + R"(,"events":)" + deep + "}"}) {
    store.body = odd;
    EXPECT_FALSE(store.List().has_value()) << odd.substr(0, 60);
    EXPECT_FALSE(store.Watch().has_value()) << odd.substr(0, 60);
  }
}

}  // namespace
}  // namespace bamboowing::platform
