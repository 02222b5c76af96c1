/// @file
/// Settings of the dispatcher. The defaults suit both deployments; docs/decisions gives the measurements behind them.
#pragma once

#include <cstdint>
#include <string>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// The share of a shard that the operators give to one team.
struct team_share {
  std::string name;
  std::uint32_t weight = 1;    ///< share of the slots relative to the other teams that have work; at least 1
  std::uint32_t priority = 0;  ///< a higher number goes first while the team is within its share
  double queue_share = 1.0;    ///< largest part of `max_waiting_tasks` that the team may hold, in (0, 1]
};

/// Order of waiting work.
struct order_settings {
  /// A job's place is its arrival time plus this multiple of the time in which the whole fleet would do its waiting
  /// work. 0 is first come, first served; large values approach shortest job first.
  double work_share = 24;
  /// The work of a job is put off while the job has a longer task running: its place is not before the end of that
  /// task less this multiple of the time in which the whole fleet would do its waiting work. 0 turns this off.
  double slack_share = 4;
  /// A job's place is at the latest this part of its deadline after its arrival.
  double deadline_share = 0.3;
  /// A task is left waiting for a faster target if the free one would end it later than this multiple of the job's
  /// expected end. 0 starts every task on the fastest free target.
  double hold_back = 1;
  /// Standard deviations of the estimate that are added to a task's expected work where it is compared with the rest of
  /// its job: for the longest task first, and for holding back.
  double risk_share = 0.5;
  /// A target slower than this multiple of the mean takes the youngest of several jobs for which it is good enough: an
  /// unexpectedly long task there delays a job that has not waited yet least.
  double slow_speed = 0.6;
  /// Number of jobs among which a slow target chooses.
  int slow_choice = 8;
  /// A held task starts on any free target when no task ended for this long, in case the faster targets hang.
  duration hold_limit{250'000};
};

/// Fair shares of teams.
struct share_settings {
  /// Work that a team may run ahead of its share before it loses its place to others, as time at its share.
  duration burst_credit{20'000'000};
  /// A team within its share goes ahead of work that arrived up to this time earlier, for each step of priority. Being
  /// bounded, it delays teams of lower priority but never stops them.
  duration priority_lead{1'000'000};
  /// Bound of the time at its share that a team's past use counts against it.
  duration longest_debt{30'000'000};
};

/// Admission by deadline.
struct admission_settings {
  /// Part of a job's deadline that the work queued before it may take.
  double backlog_share = 0.25;
  /// Multiple of the expected run time of the longest task that must fit into the deadline.
  double run_time_margin = 1.5;
};

/// Ejection of failing targets.
struct health_settings {
  /// Failure rate that counts as a broken target.
  double broken_failure_rate = 0.9;
  /// Smallest failure rate assumed for a sound target, so that a rare failure is not overrated.
  double healthy_failure_rate = 0.01;
  /// A target is ejected when its failures are this many times likelier for a broken target than for a sound one.
  double evidence = 1e4;
  /// Largest part of the targets that may be ejected at the same time.
  double ejected_share = 0.34;
  duration first_ejection{5'000'000};  ///< doubled with every ejection in a row
  duration max_ejection{300'000'000};  ///< bound of the doubling
};

/// Retries of idempotent single requests.
struct retry_settings {
  double budget_share = 0.1;  ///< retries earned by each admitted idempotent request
  double max_budget = 100;    ///< bound of the retries saved up
  std::uint32_t max_attempts = 3;
};

/// Limits and parameters of a dispatcher.
struct dispatch_settings {
  /// Attempt of the first start of a task. A new home begins above the attempts of earlier ones, so that a late refusal
  /// of an old start can't match a new one.
  std::uint32_t first_attempt = 0;

  std::uint32_t max_waiting_tasks = 1'000'000;  ///< bound of the queue, in tasks
  std::uint32_t max_jobs = 1'000'000;           ///< bound of the jobs known at the same time
  std::uint32_t max_targets = 4'096;            ///< bound of the targets known at the same time
  std::uint32_t max_teams = 256;                ///< further teams share the estimates and the share of one team
  std::uint32_t max_tasks_per_job = 180;        ///< a larger job is refused
  std::uint32_t max_slots_per_target = 1'024;   ///< a larger announcement is cut to this number
  duration default_run_time{400'000};           ///< run time assumed when nothing is declared and nothing was learned
  order_settings order;
  share_settings share;
  admission_settings admission;
  health_settings health;
  retry_settings retry;
};

/// What the operators may change while a dispatcher runs.
struct dispatch_limits {
  std::uint32_t max_waiting_tasks = 1'000'000;  ///< bound of the queue, in tasks; what waits already stays
  double retry_share = 0.1;                     ///< retries earned by each admitted idempotent request
  std::uint32_t max_attempts = 3;               ///< of an idempotent request
};

}  // namespace bamboowing
