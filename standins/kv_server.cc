#include "standins/kv_server.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>

#include "standins/json_http.h"

namespace bamboowing::standin {
namespace {

constexpr std::size_t kMaxValueBytes = 1U << 20U;
// JSON escapes take up to six bytes for each byte of a value.
constexpr std::size_t kMaxBodyBytes = 6 * kMaxValueBytes + 1024;
constexpr std::size_t kMaxOpenRequests = 10000;
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

http_response Conflict(const std::optional<kv_item>& current) {
  if (!current) {
    return JsonResponse(409, {{"version", 0}});
  }
  return JsonResponse(409, {{"version", current->version}, {"value", current->value}});
}

// Key of the call's counter in the response of /v1/stats.
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

bool rate_limiter::TryAcquire(instant now) {
  if (per_second_ <= 0) {
    return true;
  }
  const double elapsed = std::chrono::duration<double>(now - refilled_at_).count();
  tokens_ = std::min(burst_, tokens_ + elapsed * per_second_);
  refilled_at_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

kv_server::kv_server(const kv_options& options)
    : read_limiter_(options.reads_per_second), write_limiter_(options.writes_per_second) {}

std::unique_ptr<kv_server> kv_server::Open(const kv_options& options, failure& error) {
  std::unique_ptr<kv_server> result(new kv_server(options));
  http_limits limits;
  limits.max_body_bytes = kMaxBodyBytes;
  limits.max_open_requests = kMaxOpenRequests;
  limits.max_connections = kMaxOpenRequests;
  kv_server* const self = result.get();
  result->server_ = http_server::Open(
      options.address,
      [self](const http_request& request, const http_server::responder& answer) {
        self->HandleRequest(request, answer);
      },
      limits, error);
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
    each.second.answer(ErrorResponse(failure(error_kind::kDraining, "the service is shutting down")));
  }
  if (server_) {
    server_->Close();
  }
}

void kv_server::HandleRequest(const http_request& request, const http_server::responder& answer) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (request.path == "/v1/fault") {
    answer(SetFault(request));
    return;
  }
  if (request.path == "/v1/stats") {
    answer(JsonResponse(
        200, {{"calls", call_counts_}, {"pending_watches", watches_.size()}, {"revision", state_.revision()}}));
    return;
  }
  ++call_counts_[CallKind(request)];
  const bool write = request.method != "GET";
  if (!(write ? write_limiter_ : read_limiter_).TryAcquire(Now())) {
    ++call_counts_["rate_limited"];
    answer(JsonResponse(429, {{"kind", "overloaded"}, {"reason", "the rate limit is exceeded"}, {"not_run", "yes"}}));
    return;
  }
  const kv_fault fault = ConsumeFault(write);
  if (fault == kv_fault::kDown) {
    answer(ErrorResponse(failure(error_kind::kStoreUnavailable, not_run_state::kYes, "the service is down")));
  } else if (fault == kv_fault::kSlow) {
    timers_.ScheduleAt(Now() + fault_delay_, [this, request, answer] {
      const std::lock_guard<std::mutex> delayed(mutex_);
      ApplyRequest(request, answer);
    });
  } else if (fault == kv_fault::kLoseAnswer) {
    ApplyRequest(request, [answer](const http_response&) { answer({502, "text/plain", "", std::nullopt}); });
  } else {
    ApplyRequest(request, answer);
  }
}

void kv_server::ApplyRequest(const http_request& request, const http_server::responder& answer) {
  if (state_.ExpireLeases(Now())) {
    NotifyWatches();
  }
  if (request.path == "/v1/watch") {
    StartWatch(request, answer);
    return;
  }
  const std::uint64_t revision = state_.revision();
  answer(ExecuteCall(request));
  if (state_.revision() != revision) {
    NotifyWatches();
  }
}

http_response kv_server::ExecuteCall(const http_request& request) {
  if (StartsWith(request.path, kKeyPath) && request.path.size() > kKeyPath.size()) {
    return HandleKey(request);
  }
  if (request.path == "/v1/list" && request.method == "GET") {
    return JsonResponse(200, ChangesAfter(QueryText(request, "prefix"), 0));
  }
  if (request.path == "/v1/lease" && request.method == "POST") {
    return GrantLease(request);
  }
  if (StartsWith(request.path, kLeasePath)) {
    return RenewOrRevokeLease(request);
  }
  return ErrorResponse(failure(error_kind::kNotFound, "no such call: " + request.method + " " + request.path));
}

http_response kv_server::HandleKey(const http_request& request) {
  const std::string key = request.path.substr(kKeyPath.size());
  if (request.method == "PUT") {
    return PutKey(request, key);
  }
  const std::optional<kv_item> current = state_.Get(key);
  if (!current) {
    return ErrorResponse(failure(error_kind::kNotFound, "no such key: " + key));
  }
  if (request.method == "DELETE") {
    const kv_change change = state_.Delete(key, ExpectedVersion(request));
    return change.applied ? JsonResponse(200, {{"version", 0}}) : Conflict(change.current);
  }
  return JsonResponse(200, {{"key", key}, {"value", current->value}, {"version", current->version}});
}

http_response kv_server::PutKey(const http_request& request, const std::string& key) {
  const nlohmann::json body = ParseJsonBody(request);
  const nlohmann::json::const_iterator value = body.find("value");
  if (value == body.end() || !value->is_string()) {
    return ErrorResponse(failure(error_kind::kInvalidField, "expected a body with the string field 'value'"));
  }
  kv_item item{key, value->get<std::string>(), 0, QueryNumber(request, "lease", 0)};
  if (item.value.size() > kMaxValueBytes) {
    return ErrorResponse(failure(error_kind::kTooLarge, "the value exceeds 1 MB"));
  }
  if (item.lease != 0 && !state_.HasLease(item.lease)) {
    return ErrorResponse(failure(error_kind::kNotFound, "the lease has expired"));
  }
  const kv_change change = state_.Put(std::move(item), ExpectedVersion(request));
  return change.applied ? JsonResponse(200, {{"version", change.current->version}}) : Conflict(change.current);
}

http_response kv_server::GrantLease(const http_request& request) {
  const std::uint64_t ttl = QueryNumber(request, "ttl_ms", 0);
  if (ttl == 0) {
    return ErrorResponse(failure(error_kind::kInvalidField, "expected the query parameter ttl_ms"));
  }
  const std::uint64_t lease = state_.GrantLease(Milliseconds(ttl), Now());
  ScheduleExpiry();
  return JsonResponse(200, {{"lease", lease}});
}

http_response kv_server::RenewOrRevokeLease(const http_request& request) {
  const std::uint64_t lease = std::strtoull(request.path.c_str() + kLeasePath.size(), nullptr, 10);
  if (!state_.HasLease(lease)) {
    return ErrorResponse(failure(error_kind::kNotFound, "the lease has expired"));
  }
  if (request.method == "DELETE") {
    state_.RevokeLease(lease);
  } else {
    state_.RenewLease(lease, Now());
  }
  return JsonResponse(200, {{"lease", lease}});
}

http_response kv_server::SetFault(const http_request& request) {
  static constexpr std::array<std::string_view, 4> kModes = {"none", "down", "slow", "lose_answer"};
  const nlohmann::json body = ParseJsonBody(request);
  const std::string mode = body.value("mode", "");
  const std::array<std::string_view, 4>::const_iterator found = std::find(kModes.begin(), kModes.end(), mode);
  if (found == kModes.end()) {
    return ErrorResponse(failure(error_kind::kInvalidField, "expected mode none, down, slow or lose_answer"));
  }
  fault_ = static_cast<kv_fault>(found - kModes.begin());
  fault_delay_ = Milliseconds(body.value("delay_ms", std::uint64_t{0}));
  remaining_faults_ = body.value("count", std::uint64_t{0});
  if (fault_ == kv_fault::kDown) {
    std::map<std::uint64_t, watch> broken;
    broken.swap(watches_);
    for (const std::pair<const std::uint64_t, watch>& each : broken) {
      each.second.answer(ErrorResponse(failure(error_kind::kStoreUnavailable, "the service is down")));
    }
  }
  return JsonResponse(200, {{"mode", mode}});
}

kv_fault kv_server::ConsumeFault(bool write) {
  if (fault_ == kv_fault::kNone || (fault_ == kv_fault::kLoseAnswer && !write)) {
    return kv_fault::kNone;
  }
  const kv_fault fault = fault_;
  if (remaining_faults_ > 0 && --remaining_faults_ == 0) {
    fault_ = kv_fault::kNone;
  }
  return fault;
}

void kv_server::StartWatch(const http_request& request, const http_server::responder& answer) {
  const watch new_watch{QueryText(request, "prefix"), QueryNumber(request, "after_revision", 0), answer};
  const nlohmann::json changes = ChangesAfter(new_watch.prefix, new_watch.after_revision);
  if (!changes["items"].empty() || !changes["deleted"].empty()) {
    answer(JsonResponse(200, changes));
    return;
  }
  if (closing_) {
    answer(ErrorResponse(failure(error_kind::kDraining, "the service is shutting down")));
    return;
  }
  const std::uint64_t id = ++last_watch_id_;
  watches_.emplace(id, new_watch);
  timers_.ScheduleAt(Now() + Milliseconds(QueryNumber(request, "wait_ms", 0)), [this, id] { ExpireWatch(id); });
}

void kv_server::ExpireWatch(std::uint64_t id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::map<std::uint64_t, watch>::const_iterator found = watches_.find(id);
  if (found != watches_.end()) {
    found->second.answer(JsonResponse(200, ChangesAfter(found->second.prefix, found->second.after_revision)));
    watches_.erase(found);
  }
}

void kv_server::NotifyWatches() {
  for (std::map<std::uint64_t, watch>::iterator it = watches_.begin(); it != watches_.end();) {
    const nlohmann::json changes = ChangesAfter(it->second.prefix, it->second.after_revision);
    if (changes["items"].empty() && changes["deleted"].empty()) {
      ++it;
      continue;
    }
    it->second.answer(JsonResponse(200, changes));
    it = watches_.erase(it);
  }
}

void kv_server::ScheduleExpiry() {
  const std::optional<instant> next = state_.NextExpiry();
  if (!next) {
    return;
  }
  timers_.ScheduleAt(*next, [this] {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (state_.ExpireLeases(Now())) {
      NotifyWatches();
    }
    ScheduleExpiry();
  });
}

nlohmann::json kv_server::ChangesAfter(const std::string& prefix, std::uint64_t after_revision) const {
  nlohmann::json items = nlohmann::json::array();
  for (const kv_item& item : state_.List(prefix, after_revision)) {
    items.push_back({{"key", item.key}, {"value", item.value}, {"version", item.version}});
  }
  return {{"revision", state_.revision()}, {"items", items}, {"deleted", state_.ListDeleted(prefix, after_revision)}};
}

}  // namespace bamboowing::standin
