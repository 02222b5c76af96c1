#include "standins/kv_server.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>

#include "standins/json_http.h"

namespace bamboowing::standin {
namespace {

constexpr std::size_t kValueBytes = 1U << 20U;
// A value of the largest size can take six bytes for each byte as JSON text.
constexpr std::size_t kBodyBytes = 6 * kValueBytes + 1024;
constexpr std::size_t kOpenRequests = 10000;
constexpr std::string_view kKeyPath = "/v1/kv/";
constexpr std::string_view kLeasePath = "/v1/lease/";

bool StartsWith(std::string_view text, std::string_view prefix) { return text.substr(0, prefix.size()) == prefix; }

duration Milliseconds(std::uint64_t count) { return std::chrono::milliseconds(count); }

std::optional<std::uint64_t> ExpectedVersion(const http_request& request) {
  if (request.query.count("expected_version") == 0) {
    return std::nullopt;
  }
  return QueryNumber(request, "expected_version", 0);
}

http_response Conflict(const std::optional<kv_item>& present) {
  if (!present) {
    return JsonAnswer(409, {{"version", 0}});
  }
  return JsonAnswer(409, {{"version", present->version}, {"value", present->value}});
}

// The kind under which a call is counted.
std::string CallKind(const http_request& request) {
  if (StartsWith(request.path, kKeyPath)) {
    return request.method == "GET" ? "get" : request.method == "PUT" ? "put" : "delete";
  }
  if (StartsWith(request.path, "/v1/lease")) {
    return StartsWith(request.path, kLeasePath) && request.method == "POST" ? "lease_renew" : "lease";
  }
  return request.path == "/v1/watch" ? "watch" : request.path == "/v1/list" ? "list" : "other";
}

}  // namespace

bool rate_limit::Take(instant now) {
  if (per_second_ <= 0) {
    return true;
  }
  const double elapsed = std::chrono::duration<double>(now - last_).count();
  tokens_ = std::min(burst_, tokens_ + elapsed * per_second_);
  last_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

kv_server::kv_server(const kv_options& options)
    : reads_(options.reads_per_second), writes_(options.writes_per_second) {}

std::unique_ptr<kv_server> kv_server::Open(const kv_options& options, failure& why) {
  std::unique_ptr<kv_server> result(new kv_server(options));
  http_limits limits;
  limits.max_body_bytes = kBodyBytes;
  limits.max_open_requests = kOpenRequests;
  kv_server* const self = result.get();
  result->server_ = http_server::Open(
      options.address,
      [self](const http_request& request, const http_server::responder& answer) { self->Take(request, answer); },
      limits, why);
  return result->server_ ? std::move(result) : nullptr;
}

kv_server::~kv_server() { Close(); }

void kv_server::Close() {
  std::map<std::uint64_t, watch> watches;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    closing_ = true;
    watches.swap(watches_);
  }
  for (const std::pair<const std::uint64_t, watch>& each : watches) {
    each.second.answer(ErrorResponse(failure(error_kind::kDraining, "the service stops")));
  }
  if (server_) {
    server_->Close();
  }
}

void kv_server::Take(const http_request& request, const http_server::responder& answer) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (request.path == "/v1/fault") {
    answer(SetFault(request));
    return;
  }
  if (request.path == "/v1/stats") {
    answer(JsonAnswer(200, {{"calls", calls_}, {"pending_watches", watches_.size()}, {"revision", state_.revision()}}));
    return;
  }
  ++calls_[CallKind(request)];
  const bool write = request.method != "GET";
  if (!(write ? writes_ : reads_).Take(Now())) {
    ++calls_["rate_limited"];
    answer(JsonAnswer(429, {{"kind", "overloaded"}, {"reason", "the rate limit is exceeded"}, {"not_run", "yes"}}));
    return;
  }
  const kv_fault fault = TakeFault(write);
  if (fault == kv_fault::kDown) {
    answer(ErrorResponse(failure(error_kind::kStoreUnavailable, not_run::kYes, "the service is down")));
  } else if (fault == kv_fault::kSlow) {
    timers_.At(Now() + delay_, [this, request, answer] {
      const std::lock_guard<std::mutex> delayed(mutex_);
      Serve(request, answer);
    });
  } else if (fault == kv_fault::kLoseAnswer) {
    Serve(request, [answer](const http_response&) { answer({502, "text/plain", "", std::nullopt}); });
  } else {
    Serve(request, answer);
  }
}

void kv_server::Serve(const http_request& request, const http_server::responder& answer) {
  if (state_.Expire(Now())) {
    AfterChange();
  }
  if (request.path == "/v1/watch") {
    Watch(request, answer);
    return;
  }
  const std::uint64_t revision = state_.revision();
  answer(Run(request));
  if (state_.revision() != revision) {
    AfterChange();
  }
}

http_response kv_server::Run(const http_request& request) {
  if (StartsWith(request.path, kKeyPath) && request.path.size() > kKeyPath.size()) {
    return Key(request);
  }
  if (request.path == "/v1/list" && request.method == "GET") {
    return JsonAnswer(200, Changes(QueryText(request, "prefix"), 0));
  }
  if (request.path == "/v1/lease" && request.method == "POST") {
    return Lease(request);
  }
  if (StartsWith(request.path, kLeasePath)) {
    return LeaseById(request);
  }
  return ErrorResponse(failure(error_kind::kNotFound, "no call " + request.method + " " + request.path));
}

http_response kv_server::Key(const http_request& request) {
  const std::string key = request.path.substr(kKeyPath.size());
  if (request.method == "PUT") {
    return Put(request, key);
  }
  const std::optional<kv_item> present = state_.Get(key);
  if (!present) {
    return ErrorResponse(failure(error_kind::kNotFound, "no key " + key));
  }
  if (request.method == "DELETE") {
    const kv_change change = state_.Delete(key, ExpectedVersion(request));
    return change.done ? JsonAnswer(200, {{"version", 0}}) : Conflict(change.present);
  }
  return JsonAnswer(200, {{"key", key}, {"value", present->value}, {"version", present->version}});
}

http_response kv_server::Put(const http_request& request, const std::string& key) {
  const nlohmann::json body = BodyObject(request);
  const nlohmann::json::const_iterator value = body.find("value");
  if (value == body.end() || !value->is_string()) {
    return ErrorResponse(failure(error_kind::kInvalidField, "expected a body with the text 'value'"));
  }
  kv_item item{key, value->get<std::string>(), 0, QueryNumber(request, "lease", 0)};
  if (item.value.size() > kValueBytes) {
    return ErrorResponse(failure(error_kind::kTooLarge, "the value exceeds 1 MB"));
  }
  if (item.lease != 0 && !state_.HasLease(item.lease)) {
    return ErrorResponse(failure(error_kind::kNotFound, "the lease has expired"));
  }
  const kv_change change = state_.Put(std::move(item), ExpectedVersion(request));
  return change.done ? JsonAnswer(200, {{"version", change.present->version}}) : Conflict(change.present);
}

http_response kv_server::Lease(const http_request& request) {
  const std::uint64_t ttl = QueryNumber(request, "ttl_ms", 0);
  if (ttl == 0) {
    return ErrorResponse(failure(error_kind::kInvalidField, "expected ttl_ms"));
  }
  const std::uint64_t lease = state_.Grant(Milliseconds(ttl), Now());
  ScheduleExpiry();
  return JsonAnswer(200, {{"lease", lease}});
}

http_response kv_server::LeaseById(const http_request& request) {
  const std::uint64_t lease = std::strtoull(request.path.c_str() + kLeasePath.size(), nullptr, 10);
  if (!state_.HasLease(lease)) {
    return ErrorResponse(failure(error_kind::kNotFound, "the lease has expired"));
  }
  if (request.method == "DELETE") {
    state_.Revoke(lease);
  } else {
    state_.Renew(lease, Now());
  }
  return JsonAnswer(200, {{"lease", lease}});
}

http_response kv_server::SetFault(const http_request& request) {
  static constexpr std::array<std::string_view, 4> kModes = {"none", "down", "slow", "lose_answer"};
  const nlohmann::json body = BodyObject(request);
  const std::string mode = body.value("mode", "");
  const std::array<std::string_view, 4>::const_iterator found = std::find(kModes.begin(), kModes.end(), mode);
  if (found == kModes.end()) {
    return ErrorResponse(failure(error_kind::kInvalidField, "expected mode none, down, slow or lose_answer"));
  }
  fault_ = static_cast<kv_fault>(found - kModes.begin());
  delay_ = Milliseconds(body.value("delay_ms", std::uint64_t{0}));
  fault_count_ = body.value("count", std::uint64_t{0});
  if (fault_ == kv_fault::kDown) {
    std::map<std::uint64_t, watch> broken;
    broken.swap(watches_);
    for (const std::pair<const std::uint64_t, watch>& each : broken) {
      each.second.answer(ErrorResponse(failure(error_kind::kStoreUnavailable, "the service is down")));
    }
  }
  return JsonAnswer(200, {{"mode", mode}});
}

kv_fault kv_server::TakeFault(bool write) {
  if (fault_ == kv_fault::kNone || (fault_ == kv_fault::kLoseAnswer && !write)) {
    return kv_fault::kNone;
  }
  const kv_fault fault = fault_;
  if (fault_count_ > 0 && --fault_count_ == 0) {
    fault_ = kv_fault::kNone;
  }
  return fault;
}

void kv_server::Watch(const http_request& request, const http_server::responder& answer) {
  const watch added{QueryText(request, "prefix"), QueryNumber(request, "after_revision", 0), answer};
  const nlohmann::json changes = Changes(added.prefix, added.after);
  if (!changes["items"].empty() || !changes["deleted"].empty()) {
    answer(JsonAnswer(200, changes));
    return;
  }
  if (closing_) {
    answer(ErrorResponse(failure(error_kind::kDraining, "the service stops")));
    return;
  }
  const std::uint64_t id = ++last_watch_;
  watches_.emplace(id, added);
  timers_.At(Now() + Milliseconds(QueryNumber(request, "wait_ms", 0)), [this, id] { EndWatch(id); });
}

void kv_server::EndWatch(std::uint64_t id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::map<std::uint64_t, watch>::const_iterator found = watches_.find(id);
  if (found != watches_.end()) {
    found->second.answer(JsonAnswer(200, Changes(found->second.prefix, found->second.after)));
    watches_.erase(found);
  }
}

void kv_server::AfterChange() {
  for (std::map<std::uint64_t, watch>::iterator at = watches_.begin(); at != watches_.end();) {
    const nlohmann::json changes = Changes(at->second.prefix, at->second.after);
    if (changes["items"].empty() && changes["deleted"].empty()) {
      ++at;
      continue;
    }
    at->second.answer(JsonAnswer(200, changes));
    at = watches_.erase(at);
  }
}

void kv_server::ScheduleExpiry() {
  const std::optional<instant> next = state_.NextExpiry();
  if (!next) {
    return;
  }
  timers_.At(*next, [this] {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (state_.Expire(Now())) {
      AfterChange();
    }
    ScheduleExpiry();
  });
}

nlohmann::json kv_server::Changes(const std::string& prefix, std::uint64_t after) const {
  nlohmann::json items = nlohmann::json::array();
  for (const kv_item& item : state_.List(prefix, after)) {
    items.push_back({{"key", item.key}, {"value", item.value}, {"version", item.version}});
  }
  return {{"revision", state_.revision()}, {"items", items}, {"deleted", state_.Deleted(prefix, after)}};
}

}  // namespace bamboowing::standin
