/// @file
/// Stand-in for a worker: a machine that runs tasks under leases.
///
/// `POST /v1/tasks` with `{"task_id", "payload", "lease_ms", "cores", "memory_bytes"}` responds with `{"grant"}`, a
/// number that grows with every grant; 409 if the task id was used before, 503 if the declared sizes don't fit. `POST
/// /v1/tasks/ID/renew|checkpoint|throttle|stop`; throttle takes `{"share"}`. `GET /v1/tasks/ID?wait_ms=` responds with
/// `{"state", "result", "progress"}` at the end of the task or of the wait. `GET /v1/usage` responds with
/// `{"last_grant", "cores", "memory_bytes"}` as of `usage_lag` ago. A payload can set `work_ms`, and
/// `use_cores` and `use_memory_bytes` if it uses more or less than declared.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bamboowing/transport/http_server.h"
#include "standins/timer_queue.h"

namespace bamboowing::standin {

/// Settings of a worker.
struct worker_options {
  std::string address = "127.0.0.1:0";
  double cores = 30;
  std::uint64_t memory_bytes = 64ULL << 30U;
  double speed = 1;         ///< run times are divided by this
  std::uint64_t seed = 1;   ///< of random run times, for payloads without `work_ms`
  duration usage_lag{0};    ///< age of usage reports
  bool guards = true;       ///< stop tasks that use more than declared
  duration guard_delay{0};  ///< from the start of a task to the check of its usage
};

/// Resources that a task declares or uses.
struct worker_size {
  double cores = 0;
  std::uint64_t memory_bytes = 0;
};

/// A running server.
class worker {
 public:
  /// Returns null and sets @p error if the address can't be used.
  static std::unique_ptr<worker> Open(const worker_options& options, failure& error);

  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;
  ~worker();

  int port() const { return server_->port(); }

  /// Finishes the running tasks and stops.
  void Close();

 private:
  struct task {
    std::string payload;
    std::string state = "running";  // at the end succeeded, stopped, lease_expired or guard
    worker_size declared;
    worker_size used;
    duration lease_duration{0};
    instant lease_end;
    double share = 1;            // fraction of the full speed, set by throttle
    duration remaining_work{0};  // at full speed, as of `updated_at`
    duration total_work{0};
    instant updated_at;
    std::uint64_t end_timer_generation = 0;  // timers of earlier generations are ignored
    std::vector<http_server::responder> waiters;
  };

  struct usage_sample {
    instant sampled_at;
    std::uint64_t last_grant = 0;
    worker_size used;
  };

  explicit worker(const worker_options& options);
  void HandleRequest(const http_request& request, const http_server::responder& answer);
  http_response GrantTask(const http_request& request);
  http_response HandleAction(const std::string& id, const std::string& action, const nlohmann::json& body);
  void AwaitEnd(const std::string& id, duration max_wait, const http_server::responder& answer);
  http_response ReportUsage();
  bool Fits(const worker_size& size) const;
  void ScheduleEnd(const std::string& id, task& running);
  void ScheduleLeaseExpiry(const std::string& id, instant time);
  void ScheduleGuardCheck(const std::string& id);
  void Finish(const std::string& id, const std::string& state);
  void RecordUsage();
  duration RemainingWork(const task& running) const;
  nlohmann::json Describe(const std::string& id, const task& described) const;

  const worker_options options_;
  std::mutex mutex_;
  std::map<std::string, task> tasks_;
  std::deque<usage_sample> usage_history_;
  std::uint64_t last_grant_ = 0;
  std::unique_ptr<http_server> server_;
  timer_queue timers_;
};

}  // namespace bamboowing::standin
