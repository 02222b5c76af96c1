/// @file
/// Stand-in for a minion: an HTTP service instance that runs tasks.
///
/// `POST /run` with `{"job_id", "task", "payload", "idempotent"}` answers `{"result"}` when the run has ended.
/// `GET /stats` answers `{"runs", "doubled", "running", "waiting"}`. `POST /fault` with `{"mode", "share"}` switches
/// between the modes "none", "fail_all", "fail_share" and "silent".
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

/// The result of running @p payload: "r-" and its 64-bit FNV-1a hash in 16 hexadecimal digits. Every minion gives the
/// same result, so that a client can check each answer.
std::string MinionResult(std::string_view payload);

/// The run time at speed 1: `work_ms` when the payload is a JSON object that states it. Otherwise drawn from the job
/// id, the task and the seed: 19 of 20 tasks take 50 ms to 1 s, the others 2 s to 8 s.
duration RunTime(std::string_view payload, std::string_view job_id, std::uint64_t task, std::uint64_t seed);

/// What a minion does wrong.
enum class minion_fault : std::uint8_t {
  kNone,
  kFailAll,    ///< every run fails at once
  kFailShare,  ///< a share of runs fails at the end of the run time
  kSilent,     ///< runs are accepted and never answered
};

/// Settings of a minion.
struct minion_options {
  std::string address = "127.0.0.1:0";
  unsigned slots = 8;         ///< runs at the same time; further ones wait
  unsigned connections = 64;  ///< runs that are running or waiting; further ones are refused
  double speed = 1;           ///< run times are divided by this
  std::uint64_t seed = 1;
  minion_fault fault = minion_fault::kNone;
  double fail_share = 0;
  std::uint64_t silent_after = 0;  ///< silent after this number of runs; 0 for never
};

/// The running service.
class minion {
 public:
  /// Returns null and fills @p why when the address can't be used.
  static std::unique_ptr<minion> Open(const minion_options& options, failure& why);

  minion(const minion&) = delete;
  minion& operator=(const minion&) = delete;
  ~minion();

  int port() const { return server_->port(); }

  /// Finishes the runs and stops.
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
