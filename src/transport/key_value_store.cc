#include "bamboowing/transport/key_value_store.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "bamboowing/base/json_reader.h"
#include "bamboowing/transport/http_client.h"

namespace bamboowing {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kTooManyRequests = 429;

constexpr int kBadRequest = 400;

std::string Milliseconds(duration time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

// Maps an unexpected response to an error. Only a rejection by the service itself proves that nothing was written;
// a 5xx response may come from any intermediary.
failure ErrorFromResponse(const http_response& response) {
  const std::string reason = "the key-value service answered with status " + std::to_string(response.status);
  failure error(error_kind::kStoreUnavailable, not_run_state::kUnknown, reason);
  if (response.status == kTooManyRequests) {
    error = failure(error_kind::kOverloaded, not_run_state::kYes, reason);
  } else if (response.status == kTooLarge) {
    error = failure(error_kind::kTooLarge, not_run_state::kYes, reason);
  } else if (response.status == kNotFound) {
    error = failure(error_kind::kNotFound, not_run_state::kYes, reason);
  } else if (response.status == kBadRequest) {
    error = failure(error_kind::kInternal, not_run_state::kYes, reason);
  }
  error.retry_after = response.retry_after;
  return error;
}

key_value ParseItem(const nlohmann::json& item) {
  return {item.at("key").get<std::string>(), item.at("value").get<std::string>(),
          WholeNumberAt(item, "version", UINT64_MAX)};
}

std::vector<key_value> ParseItems(const nlohmann::json& body) {
  std::vector<key_value> items;
  for (const nlohmann::json& item : body.at("items")) {
    items.push_back(ParseItem(item));
  }
  return items;
}

// The parsers return nullopt for an unexpected status and throw if the body does not conform to the service's API.
std::optional<get_result> ParseGet(int status, const nlohmann::json& body) {
  if (status == kNotFound) {
    return get_result();
  }
  return status == kOk ? std::optional<get_result>(get_result{ParseItem(body)}) : std::nullopt;
}

std::optional<put_result> ParsePut(int status, const nlohmann::json& body) {
  if (status != kOk && status != kConflict) {
    return std::nullopt;
  }
  return put_result{status == kOk, WholeNumberAt(body, "version", UINT64_MAX), body.value("value", std::string())};
}

std::optional<put_result> ParseDelete(int status, const nlohmann::json& body) {
  return status == kNotFound ? put_result() : ParsePut(status, body);
}

std::optional<list_result> ParseList(int status, const nlohmann::json& body) {
  if (status != kOk) {
    return std::nullopt;
  }
  return list_result{WholeNumberAt(body, "revision", UINT64_MAX), ParseItems(body)};
}

std::optional<watch_result> ParseWatch(int status, const nlohmann::json& body) {
  if (status != kOk) {
    return std::nullopt;
  }
  return watch_result{WholeNumberAt(body, "revision", UINT64_MAX), ParseItems(body),
                      body.at("deleted").get<std::vector<std::string>>()};
}

std::optional<key_value_store::lease_result> ParseLease(int status, const nlohmann::json& body) {
  if (status != kOk) {
    return std::nullopt;
  }
  return key_value_store::lease_result{WholeNumberAt(body, "lease", UINT64_MAX)};
}

template <typename Result>
using parser = std::optional<Result> (*)(int, const nlohmann::json&);

template <typename Result>
std::optional<Result> ParseResponse(const http_response& response, parser<Result> parse, failure& error) {
  std::string problem;
  try {
    failure malformed;
    const std::optional<nlohmann::json> body = ParseJson(response.body, malformed);
    if (body) {
      error = ErrorFromResponse(response);
      return parse(response.status, *body);
    }
    problem = malformed.reason;
  } catch (const std::exception& exception) {
    problem = exception.what();
  }
  // A truncated response does not show whether the write took effect.
  error = failure(error_kind::kStoreUnavailable,
                  response.status == kTooManyRequests ? not_run_state::kYes : not_run_state::kUnknown,
                  "malformed response from the key-value service: " + problem);
  return std::nullopt;
}

class http_key_value_store : public key_value_store {
 public:
  http_key_value_store(std::unique_ptr<http_client> client, duration timeout)
      : client_(std::move(client)), timeout_(timeout) {}

  void Get(const std::string& key, callback<get_result> done) override {
    SendRequest<get_result>({"GET", "/v1/kv/" + key, {}, "", ""}, timeout_, ParseGet, std::move(done));
  }

  void Put(const put_request& put, callback<put_result> done) override {
    http_request request{
        "PUT", "/v1/kv/" + put.key, {{"expected_version", std::to_string(put.expected_version)}}, "", ""};
    if (put.lease != 0) {
      request.query["lease"] = std::to_string(put.lease);
    }
    request.body = nlohmann::json{{"value", put.value}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    SendRequest<put_result>(request, timeout_, ParsePut, std::move(done));
  }

  void Delete(const std::string& key, key_version expected_version, callback<put_result> done) override {
    SendRequest<put_result>(
        {"DELETE", "/v1/kv/" + key, {{"expected_version", std::to_string(expected_version)}}, "", ""}, timeout_,
        ParseDelete, std::move(done));
  }

  void List(const std::string& prefix, callback<list_result> done) override {
    SendRequest<list_result>({"GET", "/v1/list", {{"prefix", prefix}}, "", ""}, timeout_, ParseList, std::move(done));
  }

  void Watch(const std::string& prefix, std::uint64_t after_revision, duration wait,
             callback<watch_result> done) override {
    http_request request{"GET", "/v1/watch", {{"prefix", prefix}}, "", ""};
    request.query["after_revision"] = std::to_string(after_revision);
    request.query["wait_ms"] = Milliseconds(wait);
    SendRequest<watch_result>(request, wait + timeout_, ParseWatch, std::move(done));
  }

  void LeaseGrant(duration time_to_live, callback<lease_result> done) override {
    SendRequest<lease_result>({"POST", "/v1/lease", {{"ttl_ms", Milliseconds(time_to_live)}}, "", ""}, timeout_,
                              ParseLease, std::move(done));
  }

  void LeaseRenew(lease_id lease, callback<lease_result> done) override {
    SendRequest<lease_result>({"POST", "/v1/lease/" + std::to_string(lease) + "/renew", {}, "", ""}, timeout_,
                              ParseLease, std::move(done));
  }

  void LeaseRevoke(lease_id lease, callback<lease_result> done) override {
    SendRequest<lease_result>({"DELETE", "/v1/lease/" + std::to_string(lease), {}, "", ""}, timeout_, ParseLease,
                              std::move(done));
  }

 private:
  template <typename Result>
  void SendRequest(const http_request& request, duration timeout, parser<Result> parse, callback<Result> done) {
    client_->SendAsync(request, timeout,
                       [parse, done = std::move(done)](const std::optional<http_response>& response, failure error) {
                         std::optional<Result> result;
                         if (response) {
                           result = ParseResponse<Result>(*response, parse, error);
                         } else {
                           error.kind = error_kind::kStoreUnavailable;
                         }
                         done(std::move(result), std::move(error));
                       });
  }

  const std::unique_ptr<http_client> client_;
  const duration timeout_;
};

}  // namespace

std::unique_ptr<key_value_store> OpenHttpKeyValueStore(std::string_view address, duration timeout, failure& error) {
  std::unique_ptr<http_client> client = http_client::Open(address, error);
  if (!client) {
    return nullptr;
  }
  return std::make_unique<http_key_value_store>(std::move(client), timeout);
}

}  // namespace bamboowing
