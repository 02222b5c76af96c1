#include "bamboowing/service/store_client.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "bamboowing/transport/key_value_store.h"

namespace bamboowing {
namespace {

constexpr std::string_view kKeyPrefix = "bamboowing/";
constexpr duration kCallTimeout = std::chrono::seconds(1);

std::string WithPrefix(const std::string& key) { return std::string(kKeyPrefix) + key; }

std::string WithoutPrefix(const std::string& key) { return key.substr(std::min(key.size(), kKeyPrefix.size())); }

/// Maps the error of a failed call to its outcome.
store_outcome FailedOutcome(const failure& error) {
  return error.kind == error_kind::kNotFound ? store_outcome::kLeaseGone : store_outcome::kUnavailable;
}

void AddItems(const std::vector<key_value>& from, directory_update& to) {
  for (const key_value& item : from) {
    to.items.push_back({WithoutPrefix(item.key), item.value, item.version});
  }
}

/// Starts a call of each kind. The callbacks are shared, so that they outlive the client while calls are pending.
class store_call_visitor {
 public:
  store_call_visitor(key_value_store& store, std::shared_ptr<store_client::result_callbacks> callbacks,
                     std::uint64_t id)
      : store_(store), callbacks_(std::move(callbacks)), id_(id) {}

  void operator()(const store_read& call) const {
    store_.Get(WithPrefix(call.key),
               [out = callbacks_, id = id_](const std::optional<get_result>& got, const failure& error) {
                 store_result result;
                 result.outcome = got ? store_outcome::kOk : FailedOutcome(error);
                 if (got && got->item) {
                   result.value = got->item->value;
                   result.version = got->item->version;
                   result.lease = got->item->lease;
                 }
                 out->on_result(id, std::move(result));
               });
  }

  void operator()(const store_swap& call) const {
    const put_request request{WithPrefix(call.key), call.value, call.expected, call.lease};
    store_.Put(request, [out = callbacks_, id = id_](const std::optional<put_result>& put, const failure& error) {
      store_result result;
      result.outcome = put ? (put->written ? store_outcome::kOk : store_outcome::kConflict) : FailedOutcome(error);
      result.version = put ? put->version : kAbsentVersion;
      out->on_result(id, std::move(result));
    });
  }

  void operator()(const lease_grant& call) const { store_.LeaseGrant(call.time_to_live, LeaseCallback()); }
  void operator()(const lease_renew& call) const { store_.LeaseRenew(call.lease, LeaseCallback()); }
  void operator()(const lease_revoke& call) const { store_.LeaseRevoke(call.lease, LeaseCallback()); }

  void operator()(const store_watch& call) const {
    const std::string prefix = WithPrefix(call.prefix);
    if (call.after_revision == 0) {
      // Without a revision to start from, the complete state is listed; a watch returns only changes.
      store_.List(prefix, [out = callbacks_, id = id_](const std::optional<list_result>& list, const failure&) {
        directory_update update;
        if (list) {
          update.answered = true;
          update.complete = true;
          update.revision = list->revision;
          AddItems(list->items, update);
        }
        out->on_watch_update(id, std::move(update));
      });
      return;
    }
    store_.Watch(prefix, call.after_revision, call.wait,
                 [out = callbacks_, id = id_](const std::optional<watch_result>& changed, const failure&) {
                   directory_update update;
                   if (changed) {
                     update.answered = true;
                     update.revision = changed->revision;
                     AddItems(changed->items, update);
                     for (const std::string& key : changed->deleted) {
                       update.deleted.push_back(WithoutPrefix(key));
                     }
                   }
                   out->on_watch_update(id, std::move(update));
                 });
  }

 private:
  key_value_store::callback<key_value_store::lease_result> LeaseCallback() const {
    return
        [out = callbacks_, id = id_](const std::optional<key_value_store::lease_result>& lease, const failure& error) {
          store_result result;
          result.outcome = lease ? store_outcome::kOk : FailedOutcome(error);
          result.lease = lease ? lease->lease : 0;
          out->on_result(id, std::move(result));
        };
  }

  key_value_store& store_;
  std::shared_ptr<store_client::result_callbacks> callbacks_;
  std::uint64_t id_;
};

class store_client_impl final : public store_client {
 public:
  store_client_impl(std::unique_ptr<key_value_store> store, result_callbacks callbacks)
      : store_(std::move(store)), callbacks_(std::make_shared<result_callbacks>(std::move(callbacks))) {}

  void Call(const call_store& call) override {
    std::visit(store_call_visitor(*store_, callbacks_, call.id), call.call);
  }

 private:
  std::unique_ptr<key_value_store> store_;
  std::shared_ptr<result_callbacks> callbacks_;
};

}  // namespace

std::unique_ptr<store_client> store_client::Open(std::string_view address, result_callbacks callbacks, failure& error) {
  std::unique_ptr<key_value_store> store = OpenHttpKeyValueStore(address, kCallTimeout, error);
  if (!store) {
    return nullptr;
  }
  return Open(std::move(store), std::move(callbacks));
}

std::unique_ptr<store_client> store_client::Open(std::unique_ptr<key_value_store> store, result_callbacks callbacks) {
  return std::make_unique<store_client_impl>(std::move(store), std::move(callbacks));
}

}  // namespace bamboowing
