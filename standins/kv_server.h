/// @file
/// HTTP server of the stand-in for the platform's key-value service.
///
/// Endpoints: `GET|PUT|DELETE /v1/kv/KEY`, `GET /v1/list`, `POST /v1/lease`, `POST /v1/lease/ID/renew`,
/// `DELETE /v1/lease/ID`, `GET /v1/watch`, `GET /v1/stats`, `POST /v1/fault`. PUT and DELETE take `expected_version`,
/// PUT takes `lease`. A watch responds at once if something has changed after `after_revision`, otherwise at the next
/// change or after `wait_ms`.
#pragma once

#include <algorithm>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "bamboowing/transport/http_server.h"
#include "standins/kv_state.h"
#include "standins/timer_queue.h"

namespace bamboowing::standin {

/// Settings of a kv_server.
struct kv_options {
  std::string address = "127.0.0.1:0";  ///< port 0 picks a free one
  double reads_per_second = 0;          ///< 0 means no limit
  double writes_per_second = 0;         ///< 0 means no limit
};

/// Injected fault, set by `POST /v1/fault`.
enum class kv_fault : std::uint8_t {
  kNone,
  kDown,        ///< every call gets the status 503 and has no effect
  kSlow,        ///< every call takes effect after `delay_ms`
  kLoseAnswer,  ///< writes take effect but get the status 502 and an empty body
};

/// Token bucket. The burst is one second's worth of calls, at least one call; a rate of 0 means no limit.
class rate_limiter {
 public:
  explicit rate_limiter(double per_second)
      : per_second_(per_second), burst_(std::max(1.0, per_second)), tokens_(burst_) {}
  bool TryAcquire(instant now);

 private:
  const double per_second_;
  const double burst_;
  double tokens_;
  instant refilled_at_;
};

/// A running server.
class kv_server {
 public:
  /// Returns null and sets @p error if the address can't be used.
  static std::unique_ptr<kv_server> Open(const kv_options& options, failure& error);

  kv_server(const kv_server&) = delete;
  kv_server& operator=(const kv_server&) = delete;
  ~kv_server();

  int port() const { return server_->port(); }

  /// Ends all pending watches with the error kind `draining` and stops.
  void Close();

 private:
  struct watch {
    std::string prefix;
    std::uint64_t after_revision = 0;
    http_server::responder answer;
  };

  explicit kv_server(const kv_options& options);
  void HandleRequest(const http_request& request, const http_server::responder& answer);
  void ApplyRequest(const http_request& request, const http_server::responder& answer);
  http_response ExecuteCall(const http_request& request);
  http_response HandleKey(const http_request& request);
  http_response PutKey(const http_request& request, const std::string& key);
  http_response GrantLease(const http_request& request);
  http_response RenewOrRevokeLease(const http_request& request);
  http_response SetFault(const http_request& request);
  void StartWatch(const http_request& request, const http_server::responder& answer);
  void ExpireWatch(std::uint64_t id);
  void NotifyWatches();
  void ScheduleExpiry();
  kv_fault ConsumeFault(bool write);
  nlohmann::json ChangesAfter(const std::string& prefix, std::uint64_t after_revision) const;

  std::mutex mutex_;
  kv_state state_;
  rate_limiter read_limiter_;
  rate_limiter write_limiter_;
  std::map<std::string, std::uint64_t> call_counts_;
  std::map<std::uint64_t, watch> watches_;
  std::uint64_t last_watch_id_ = 0;
  kv_fault fault_ = kv_fault::kNone;
  std::uint64_t remaining_faults_ = 0;  // calls that are still affected; 0 means all
  duration fault_delay_{0};
  bool closing_ = false;
  std::unique_ptr<http_server> server_;
  timer_queue timers_;
};

}  // namespace bamboowing::standin
