/// @file
/// Stand-in for a minion: an HTTP server that runs tasks.
///
/// `POST /run` with `{"job_id", "task", "payload", "idempotent"}` responds with `{"result"}` when the run has
/// ended. `GET /stats` responds with `{"runs", "doubled", "running", "waiting"}`, where "doubled" lists the tasks that
/// ran more than once. `POST /fault` with `{"mode", "share"}` switches between the modes "none", "fail_all",
/// "fail_share" and "silent".
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bamboowing/transport/http_server.h"
#include "standins/timer_queue.h"

namespace bamboowing::standin {

/// The result of running @p payload: "r-" and its 64-bit FNV-1a hash in 16 hexadecimal digits. All minions return
/// the same result, so that a client can verify each answer.
std::string MinionResult(std::string_view payload);

/// The run time at speed 1: `work_ms` if the payload is a JSON object with this field. Otherwise drawn from the job
/// id, the task and the seed: 19 of 20 tasks take 50 ms to 1 s, the others 2 s to 8 s.
duration RunTime(std::string_view payload, std::string_view job_id, std::uint64_t task, std::uint64_t seed);

/// Injected fault.
enum class minion_fault : std::uint8_t {
  kNone,
  kFailAll,    ///< every run fails at once
  kFailShare,  ///< a fraction of the runs fails at the end of the run time
  kSilent,     ///< runs are accepted and never answered
};

/// Settings of a minion.
struct minion_options {
  std::string address = "127.0.0.1:0";
  unsigned slots = 8;         ///< concurrent runs; further ones are queued
  unsigned connections = 64;  ///< running, queued and unanswered runs; further ones are refused
  double speed = 1;           ///< run times are divided by this
  std::uint64_t seed = 1;
  minion_fault fault = minion_fault::kNone;
  double fail_share = 0;           ///< fraction of runs that fail under kFailShare, 0 to 1
  std::uint64_t silent_after = 0;  ///< later runs are never answered; 0 for no limit
};

/// A running server.
class minion {
 public:
  /// Returns null and sets @p error if the address can't be used.
  static std::unique_ptr<minion> Open(const minion_options& options, failure& error);

  minion(const minion&) = delete;
  minion& operator=(const minion&) = delete;
  ~minion();

  int port() const { return server_->port(); }

  /// Finishes the runs and stops. The unanswered runs of kSilent get the error kind `draining`.
  void Close();

 private:
  struct run {
    std::string job_id;
    std::uint64_t task = 0;
    std::string payload;
    http_server::responder answer;
  };

  struct run_count {
    std::uint64_t runs = 0;
    bool idempotent = false;
  };

  explicit minion(const minion_options& options);
  void HandleRequest(const http_request& request, const http_server::responder& answer);
  void HandleRun(const http_request& request, const http_server::responder& answer);
  http_response SetFault(const http_request& request);
  http_response Stats() const;
  void StartRun(run started);
  void FinishRun(const run& ended, bool failed);
  bool DrawsFailure(const run& started) const;

  const minion_options options_;
  mutable std::mutex mutex_;
  minion_fault fault_;
  double fail_share_;
  std::uint64_t accepted_runs_ = 0;
  unsigned running_ = 0;
  std::deque<run> waiting_;
  std::vector<run> unanswered_;
  std::map<std::pair<std::string, std::uint64_t>, run_count> run_counts_;
  std::unique_ptr<http_server> server_;
  timer_queue timers_;
};

}  // namespace bamboowing::standin
