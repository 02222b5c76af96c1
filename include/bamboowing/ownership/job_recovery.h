/// @file
/// How a new shard leader handles each task of a resubmitted job (design section 6.3).
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "bamboowing/base/error.h"
#include "bamboowing/base/types.h"
#include "bamboowing/message/batch.h"
#include "bamboowing/message/job.h"
#include "bamboowing/ownership/shard_record.h"

namespace bamboowing {

struct recovery_settings {
  duration recovery_window = std::chrono::seconds(120);  ///< an agent that is missing for longer is considered lost
  /// A job whose tasks cannot be determined waits this long after the takeover for missing agents. Covers an agent's
  /// longest reconnect backoff.
  duration inventory_wait = std::chrono::seconds(6);
  /// Covers the network delay of a submission and the drift of the caller's clock.
  duration first_sent_margin = std::chrono::seconds(1);
  duration inventory_retention = std::chrono::minutes(10);  ///< inventories are discarded this long after the takeover
  std::size_t holding_limit = 500000;                       ///< largest number of tasks stored from inventories
};

/// The attempt number with which a leader of this epoch first starts a task. Attempts of different epochs differ, so
/// that a late refusal of a start from an earlier epoch is not mistaken for a refusal of the current start, after which
/// the task would run twice. The numbers repeat after 65,536 leader changes.
constexpr std::uint32_t FirstAttempt(epoch claimed) { return static_cast<std::uint32_t>(claimed & 0xFFFFU) << 16U; }

enum class recovery_step : std::uint8_t {
  kStart,        ///< certainly not started: add it to the queue
  kFetchAnswer,  ///< fetch the retained answer from `agent`
  /// It was running on `agent` at the time of the inventory: fetch the answer from `agent` as well. If the task has
  /// ended since, the agent sends the answer unasked only once, perhaps before the new leader had the job; if it is
  /// still running, the agent sends the answer when it ends.
  kAwaitAnswer,
};

/// Recovery of one task.
struct task_plan {
  recovery_step step = recovery_step::kStart;
  recorded_agent agent;       ///< not for kStart
  std::uint32_t attempt = 0;  ///< attempt with which the agent started it; for kStart see FirstAttempt()
};

enum class recovery_verdict : std::uint8_t {
  kProceed,  ///< follow the plans
  kDefer,    ///< outcome not known yet: decide again at `retry_at` or after the next inventory
  kFail,     ///< answer the job with `error`; start nothing
};

/// Recovery of one job.
struct recovery_decision {
  recovery_verdict verdict = recovery_verdict::kProceed;
  std::vector<task_plan> tasks;  ///< for kProceed: one for each task of the job
  instant retry_at;              ///< for kDefer
  failure error;                 ///< for kFail
};

/// Collects the inventories of one epoch and decides how to proceed with jobs that may have been started in an earlier
/// one.
///
/// Call Decide() for every job that is submitted to this leader and is not in its job table. `generated_id` and
/// `first_sent_ago` must be correct: a relay that resubmits a job, after it sent it to another leader, clears
/// `generated_id` and sets or raises `first_sent_ago`.
///
/// An idempotent request is restarted where any other job would fail.
///
/// Memory: at most `holding_limit` tasks of about 100 bytes and their job ids. Beyond this limit, the outcome of
/// unknown jobs is undetermined until the recovery window ends.
class job_recovery {
 public:
  explicit job_recovery(const recovery_settings& settings) : settings_(settings) {}

  /// Changes how long the outcome of unknown jobs stays undetermined because of a missing agent.
  void SetRecoveryWindow(duration window) { settings_.recovery_window = window; }

  /// A claim took effect: discards earlier inventories. @p awaited_agents are the agents that may hold tasks.
  void BeginEpoch(span<const recorded_agent> awaited_agents, instant now);

  /// This entry became leader: the recovery window starts.
  void OnBecameLeader(instant now);

  /// The inventory with which an agent acknowledged the claim, or a later status report of an agent in this epoch.
  void OnInventory(const recorded_agent& agent, span<const held_task> held, instant now);

  /// An agent is lost together with what it holds.
  void OnAgentLost(const recorded_agent& agent);

  /// Decides how to proceed with a job that arrived at @p now.
  recovery_decision Decide(const job_spec& job, instant now) const;

  /// Discards the inventories once `inventory_retention` has passed since the takeover.
  void OnTick(instant now);

  /// Agents that may hold tasks and have not sent an inventory, even after the recovery window.
  const std::set<recorded_agent>& missing() const { return missing_; }

 private:
  struct holding {
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    held_state state = held_state::kRunning;
    std::uint32_t agent = 0;  ///< index in agents_
  };

  void AddHolding(const held_task& task, std::uint32_t agent);
  static recovery_decision AnswerUnavailable(std::uint32_t task);
  std::uint32_t IndexOf(const recorded_agent& agent);
  const holding* BestHolding(const std::string& job_id, std::uint32_t task) const;
  bool IsCertainlyNew(const job_spec& job, instant now) const;
  recovery_decision DeferOrFail(instant now) const;

  recovery_settings settings_;
  std::set<recorded_agent> missing_;
  std::vector<recorded_agent> agents_;
  std::vector<bool> agent_lost_;
  std::unordered_map<std::string, std::vector<holding>> holdings_;
  std::size_t holding_count_ = 0;
  bool inventory_truncated_ = false;  ///< holding_limit was reached
  std::optional<instant> leader_since_;
};

}  // namespace bamboowing
