#include "bamboowing/service/store_duty.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "bamboowing/platform/http_client.h"

namespace bamboowing {
namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "bamboowing/";
constexpr duration kCallTimeout = std::chrono::seconds(1);

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;

std::uint64_t Number(const json& object, const char* key) {
  return object.is_object() && object.contains(key) && object[key].is_number_unsigned()
             ? object[key].get<std::uint64_t>()
             : 0;
}

std::string Text(const json& object, const char* key) {
  return object.is_object() && object.contains(key) && object[key].is_string() ? object[key].get<std::string>() : "";
}

/// The store names leases by a text or a number; the decisions use a number.
lease_id LeaseNumber(const json& body) {
  if (const std::uint64_t number = Number(body, "lease"); number != 0) {
    return number;
  }
  const std::string text = Text(body, "lease");
  const bool digits = !text.empty() && text.size() < 20 && text.find_first_not_of("0123456789") == std::string::npos;
  return digits ? std::stoull(text) : 0;
}

std::string WithoutPrefix(const std::string& key) { return key.substr(std::min(key.size(), kPrefix.size())); }

http_request KeyRequest(std::string method, const std::string& key) {
  http_request request;
  request.method = std::move(method);
  request.path = "/v1/kv/" + std::string(kPrefix) + key;
  return request;
}

/// Builds the HTTP request of each kind of call.
struct request_builder {
  http_request operator()(const store_read& what) const { return KeyRequest("GET", what.key); }

  http_request operator()(const store_swap& what) const {
    http_request request = KeyRequest("PUT", what.key);
    request.query["expected_version"] = std::to_string(what.expected);
    if (what.lease != 0) {
      request.query["lease"] = std::to_string(what.lease);
    }
    request.body = json{{"value", what.value}}.dump();
    return request;
  }

  http_request operator()(const lease_grant& what) const {
    http_request request;
    request.method = "POST";
    request.path = "/v1/lease";
    const std::chrono::milliseconds ttl = std::chrono::duration_cast<std::chrono::milliseconds>(what.time_to_live);
    request.query["ttl_ms"] = std::to_string(ttl.count());
    return request;
  }

  http_request operator()(const lease_renew& what) const {
    http_request request;
    request.method = "POST";
    request.path = "/v1/lease/" + std::to_string(what.lease) + "/renew";
    return request;
  }

  http_request operator()(const lease_revoke& what) const {
    http_request request;
    request.method = "DELETE";
    request.path = "/v1/lease/" + std::to_string(what.lease);
    return request;
  }

  http_request operator()(const store_watch& what) const {
    http_request request;
    request.method = "GET";
    // Without a revision to start from, a list gives the complete state; a watch gives only what changed.
    request.path = what.after_revision == 0 ? "/v1/list" : "/v1/watch";
    request.query["prefix"] = std::string(kPrefix) + what.prefix;
    if (what.after_revision != 0) {
      const std::chrono::milliseconds wait = std::chrono::duration_cast<std::chrono::milliseconds>(what.wait);
      request.query["after_revision"] = std::to_string(what.after_revision);
      request.query["wait_ms"] = std::to_string(wait.count());
    }
    return request;
  }
};

store_result ReadResult(const call_store& call, const std::optional<http_response>& response) {
  store_result result;
  if (!response) {
    return result;
  }
  const json body = json::parse(response->body, nullptr, false);
  const bool read = std::holds_alternative<store_read>(call.call);
  const bool swap = std::holds_alternative<store_swap>(call.call);
  result.version = Number(body, "version");
  if (response->status == kHttpOk) {
    result.outcome = store_outcome::kOk;
    if (read) {
      result.value = Text(body, "value");
    }
    result.lease = LeaseNumber(body);
    const bool granted = !std::holds_alternative<lease_grant>(call.call) || result.lease != 0;
    const bool versioned = !(read || swap) || result.version != 0;
    if (!granted || !versioned) {
      result.outcome = store_outcome::kUnavailable;
    }
  } else if (response->status == kHttpConflict && swap) {
    result.outcome = store_outcome::kConflict;
  } else if (response->status == kHttpNotFound) {
    result.outcome = read ? store_outcome::kOk : store_outcome::kLeaseGone;
  }
  return result;
}

watch_result ReadWatch(const store_watch& call, const std::optional<http_response>& response) {
  watch_result result;
  if (!response || response->status != kHttpOk) {
    return result;
  }
  const json body = json::parse(response->body, nullptr, false);
  if (!body.is_object() || !body.contains("revision")) {
    return result;
  }
  result.answered = true;
  result.complete = call.after_revision == 0;
  result.revision = Number(body, "revision");
  if (body.contains("items") && body["items"].is_array()) {
    for (const json& item : body["items"]) {
      result.items.push_back({WithoutPrefix(Text(item, "key")), Text(item, "value"), Number(item, "version")});
    }
  }
  if (body.contains("deleted") && body["deleted"].is_array()) {
    for (const json& key : body["deleted"]) {
      result.deleted.push_back(WithoutPrefix(key.is_string() ? key.get<std::string>() : Text(key, "key")));
    }
  }
  return result;
}

class http_store_duty final : public store_duty {
 public:
  http_store_duty(std::unique_ptr<http_client> calls, std::unique_ptr<http_client> watches, sinks out)
      : calls_(std::move(calls)), watches_(std::move(watches)), out_(std::make_shared<sinks>(std::move(out))) {}

  void Call(const call_store& what) override {
    const http_request request = std::visit(request_builder(), what.call);
    const std::shared_ptr<sinks> out = out_;
    if (const store_watch* watch = std::get_if<store_watch>(&what.call); watch != nullptr) {
      const duration timeout = kCallTimeout + (watch->after_revision == 0 ? duration(0) : watch->wait);
      watches_->SendAsync(
          request, timeout,
          [out, id = what.id, watch = *watch](const std::optional<http_response>& response, const failure&) {
            out->watch(id, ReadWatch(watch, response));
          });
      return;
    }
    calls_->SendAsync(request, kCallTimeout, [out, what](const std::optional<http_response>& response, const failure&) {
      out->result(what.id, ReadResult(what, response));
    });
  }

 private:
  std::unique_ptr<http_client> calls_;
  std::unique_ptr<http_client> watches_;  ///< apart, so that a waiting watch does not hold up other calls
  std::shared_ptr<sinks> out_;
};

}  // namespace

std::unique_ptr<store_duty> store_duty::Open(std::string_view address, sinks out, failure& why) {
  std::unique_ptr<http_client> calls = http_client::Open(address, why);
  std::unique_ptr<http_client> watches = http_client::Open(address, why);
  if (!calls || !watches) {
    return nullptr;
  }
  return std::make_unique<http_store_duty>(std::move(calls), std::move(watches), std::move(out));
}

}  // namespace bamboowing
