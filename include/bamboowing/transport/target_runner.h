/// @file
/// Runs tasks on the target that an agent manages.
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

/// Client of one target: a minion or a worker. All functions are thread-safe and do not block. Callbacks are called
/// from threads of the implementation and must not block.
class target_runner {
 public:
  /// Receives the outcome of a task; called once. If the answer is nullopt, the task was not started, and the error's
  /// kind is `no_slot`, `overloaded`, `no_target` or `target_lost`. Status `kLost` means that the task may have run.
  using run_callback = std::function<void(std::optional<task_answer>, failure)>;

  /// Receives the text of a checkpoint, or nullopt and the error.
  using checkpoint_callback = std::function<void(std::optional<std::string>, failure)>;

  target_runner() = default;
  target_runner(const target_runner&) = delete;
  target_runner& operator=(const target_runner&) = delete;

  /// Callbacks of tasks in flight are still called after destruction.
  virtual ~target_runner() = default;

  /// Starts @p task at most once. After its time limit the task ends with status `kTimeLimit`.
  virtual void Run(const start_task& task, run_callback done) = 0;

  /// Stops a task, whose callback receives `kCancelled`. A minion cannot stop a task: its response is dropped and the
  /// connection stays in use until the run has ended. Does nothing for a task that is not running.
  virtual void Stop(const task_key& key) = 0;

  /// Slows a running task down to @p speed_fraction (0 to 1) of its full speed. Returns false if the target does not
  /// support throttling or the task is not running.
  virtual bool Throttle(const task_key& key, double speed_fraction) = 0;

  /// Requests a checkpoint of a running task. Fails with `not_found` if the target does not support checkpoints.
  virtual void Checkpoint(const task_key& key, checkpoint_callback done) = 0;
};

/// Maximum number of connections that a minion accepts. Further tasks are refused with `no_slot` without being sent.
inline constexpr std::size_t kMaxMinionConnections = 64;

/// Creates a client of the minion with the announced @p run_url ("http://127.0.0.1:9000/run"). Returns null and sets
/// @p error if the URL is malformed.
std::unique_ptr<target_runner> OpenMinionRunner(std::string_view run_url, failure& error);

/// Resources and timing of tasks on a worker.
struct worker_settings {
  resource_size capacity;                             ///< total capacity of the worker
  resource_size task_size;                            ///< resources declared for each task
  duration lease_duration = std::chrono::seconds(3);  ///< lease of a task; renewed every third of this time
  duration usage_interval = std::chrono::seconds(1);  ///< minimum time between two usage requests while tasks run
};

/// Creates a client of the worker with the announced @p run_url ("http://127.0.0.1:9000/v1/tasks"). A task that exceeds
/// the worker's uncommitted capacity is refused with `no_slot`. Returns null and sets @p error if the URL is malformed.
std::unique_ptr<target_runner> OpenWorkerRunner(std::string_view run_url, const worker_settings& settings,
                                                failure& error);

}  // namespace bamboowing
