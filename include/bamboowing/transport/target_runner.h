/// @file
/// Runs tasks at the target beside an agent.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "bamboowing/base/error.h"
#include "bamboowing/base/types.h"
#include "bamboowing/message/batch.h"
#include "bamboowing/transport/worker_commitments.h"

namespace bamboowing {

/// Access to one target: a minion or a worker. All functions are safe for use from several threads and return at once;
/// callbacks come from threads of the implementation and must not block.
class target_runner {
 public:
  /// Receives the end of a task, once. Without an answer the task was certainly not started, and the failure says why:
  /// `no_slot`, `overloaded` or `target_lost`. Status `kLost` means that it may have run.
  using run_callback = std::function<void(std::optional<task_answer>, failure)>;

  /// Receives the text of a checkpoint, or the reason why there is none.
  using checkpoint_callback = std::function<void(std::optional<std::string>, failure)>;

  target_runner() = default;
  target_runner(const target_runner&) = delete;
  target_runner& operator=(const target_runner&) = delete;

  /// Tasks in flight still get their callbacks after the destruction.
  virtual ~target_runner() = default;

  /// Starts @p task at most once. It is abandoned after its time limit, with the status `kTimeLimit`.
  virtual void Run(const start_task& task, run_callback done) = 0;

  /// Stops a task; its callback comes with `kCancelled`. A minion can't stop: the answer is dropped, and the connection
  /// stays in use until the run has ended. Does nothing for a task that is not running.
  virtual void Stop(const task_key& key) = 0;

  /// Slows a running task to the share @p share (0 to 1) of its speed. Returns false if the target can't.
  virtual bool Throttle(const task_key& key, double speed_fraction) = 0;

  /// Asks a running task for a checkpoint. A target that can't answers with `not_found`.
  virtual void Checkpoint(const task_key& key, checkpoint_callback done) = 0;
};

/// Connections that a minion accepts; further tasks are refused here with `no_slot`.
inline constexpr std::size_t kMaxMinionConnections = 64;

/// Opens a minion by its announced @p run_url ("http://127.0.0.1:9000/run"). Returns null and fills @p why when the URL
/// is malformed.
std::unique_ptr<target_runner> OpenMinionRunner(std::string_view run_url, failure& error);

/// How tasks run at a worker.
struct worker_settings {
  resource_size capacity;                             ///< of the whole worker
  resource_size task_size;                            ///< declared for each task
  duration lease_duration = std::chrono::seconds(3);  ///< of a task; renewed every third of it while the task runs
  duration usage_interval = std::chrono::seconds(1);  ///< between two requests for a usage report while tasks run
};

/// Opens a worker by its announced @p run_url ("http://127.0.0.1:9000/v1/tasks"). A task that doesn't fit beside the
/// worker's commitments is refused with `no_slot`. Returns null and fills @p why when the URL is malformed.
std::unique_ptr<target_runner> OpenWorkerRunner(std::string_view run_url, const worker_settings& settings,
                                                failure& error);

}  // namespace bamboowing
