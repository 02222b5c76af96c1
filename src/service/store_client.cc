#include "bamboowing/service/store_client.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "bamboowing/transport/key_value_store.h"

namespace bamboowing {
namespace {

constexpr std::string_view kPrefix = "bamboowing/";
constexpr duration kCallTimeout = std::chrono::seconds(1);

std::string WithPrefix(const std::string& key) { return std::string(kPrefix) + key; }

std::string WithoutPrefix(const std::string& key) { return key.substr(std::min(key.size(), kPrefix.size())); }

/// The outcome of a call that the service did not carry out.
store_outcome FailedOutcome(const failure& why) {
  return why.kind == error_kind::kNotFound ? store_outcome::kLeaseGone : store_outcome::kUnavailable;
}

void AddItems(const std::vector<key_value>& from, directory_update& to) {
  for (const key_value& item : from) {
    to.items.push_back({WithoutPrefix(item.key), item.value, item.version});
  }
}

/// Makes each kind of call; results go to the shared sinks, which outlive the duty while calls are under way.
class caller {
 public:
  caller(key_value_store& store, std::shared_ptr<store_duty::sinks> out, std::uint64_t id)
      : store_(store), out_(std::move(out)), id_(id) {}

  void operator()(const store_read& what) const {
    store_.Get(WithPrefix(what.key), [out = out_, id = id_](const std::optional<get_result>& got, const failure& why) {
      store_result result;
      result.outcome = got ? store_outcome::kOk : FailedOutcome(why);
      if (got && got->item) {
        result.value = got->item->value;
        result.version = got->item->version;
      }
      out->result(id, std::move(result));
    });
  }

  void operator()(const store_swap& what) const {
    const put_request request{WithPrefix(what.key), what.value, what.expected, what.lease};
    store_.Put(request, [out = out_, id = id_](const std::optional<put_result>& put, const failure& why) {
      store_result result;
      result.outcome = put ? (put->written ? store_outcome::kOk : store_outcome::kConflict) : FailedOutcome(why);
      result.version = put ? put->version : kAbsentVersion;
      out->result(id, std::move(result));
    });
  }

  void operator()(const lease_grant& what) const { store_.LeaseGrant(what.time_to_live, LeaseSink()); }
  void operator()(const lease_renew& what) const { store_.LeaseRenew(what.lease, LeaseSink()); }
  void operator()(const lease_revoke& what) const { store_.LeaseRevoke(what.lease, LeaseSink()); }

  void operator()(const store_watch& what) const {
    const std::string prefix = WithPrefix(what.prefix);
    if (what.after_revision == 0) {
      // Without a revision to start from, a list gives the complete state; a watch gives only what changed.
      store_.List(prefix, [out = out_, id = id_](const std::optional<list_result>& list, const failure&) {
        directory_update update;
        if (list) {
          update.answered = true;
          update.complete = true;
          update.revision = list->revision;
          AddItems(list->items, update);
        }
        out->watch(id, std::move(update));
      });
      return;
    }
    store_.Watch(prefix, what.after_revision, what.wait,
                 [out = out_, id = id_](const std::optional<watch_result>& changed, const failure&) {
                   directory_update update;
                   if (changed) {
                     update.answered = true;
                     update.revision = changed->revision;
                     AddItems(changed->items, update);
                     for (const std::string& key : changed->deleted) {
                       update.deleted.push_back(WithoutPrefix(key));
                     }
                   }
                   out->watch(id, std::move(update));
                 });
  }

 private:
  key_value_store::callback<key_value_store::lease_result> LeaseSink() const {
    return [out = out_, id = id_](const std::optional<key_value_store::lease_result>& lease, const failure& why) {
      store_result result;
      result.outcome = lease ? store_outcome::kOk : FailedOutcome(why);
      result.lease = lease ? lease->lease : 0;
      out->result(id, std::move(result));
    };
  }

  key_value_store& store_;
  std::shared_ptr<store_duty::sinks> out_;
  std::uint64_t id_;
};

class store_duty_impl final : public store_duty {
 public:
  store_duty_impl(std::unique_ptr<key_value_store> store, sinks out)
      : store_(std::move(store)), out_(std::make_shared<sinks>(std::move(out))) {}

  void Call(const call_store& what) override { std::visit(caller(*store_, out_, what.id), what.call); }

 private:
  std::unique_ptr<key_value_store> store_;
  std::shared_ptr<sinks> out_;
};

}  // namespace

std::unique_ptr<store_duty> store_duty::Open(std::string_view address, sinks out, failure& why) {
  std::unique_ptr<key_value_store> store = OpenHttpKeyValueStore(address, kCallTimeout, why);
  if (!store) {
    return nullptr;
  }
  return Open(std::move(store), std::move(out));
}

std::unique_ptr<store_duty> store_duty::Open(std::unique_ptr<key_value_store> store, sinks out) {
  return std::make_unique<store_duty_impl>(std::move(store), std::move(out));
}

}  // namespace bamboowing
