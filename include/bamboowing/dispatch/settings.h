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
  /// A job's order key is its arrival time plus this multiple of the time in which the whole fleet would do its waiting
  /// work. 0 gives first come, first served; large values approach shortest job first.
  double work_share = 24;
  /// A job is deferred while one of its tasks runs longer than the rest needs: its order key is not before the expected
  /// end of that task minus this multiple of the time in which the whole fleet would do its waiting work. 0 disables
  /// this.
  double slack_share = 4;
  /// A job's order key is at most its arrival time plus this fraction of its deadline.
  double deadline_share = 0.3;
  /// A task waits for a faster target if the free one would end it later than this multiple of the job's expected end.
  /// 0 starts every task on the fastest free target.
  double hold_back = 1;
  /// Number of standard deviations that are added to a task's expected work where it is compared with the rest of its
  /// job: in the order of the job's tasks, longest first, and in the decision to hold a task back.
  double risk_share = 0.5;
  /// A target slower than this multiple of the mean speed takes the newest of several jobs for which it is fast enough,
  /// because an unexpectedly long task costs least to a job that has not waited yet.
  double slow_speed = 0.6;
  /// Number of jobs among which a slow target chooses.
  int slow_choice = 8;
  /// A held-back task starts on any free target when no task ended for this long, in case the faster targets hang.
  duration hold_limit{250'000};
};

/// Fair shares of teams.
struct share_settings {
  /// Work that a team may run ahead of its share before its jobs are ordered behind those of others, as time at its
  /// share.
  duration burst_credit{20'000'000};
  /// For each step of priority, a team within its share goes ahead of work that arrived up to this time earlier. The
  /// bound ensures that teams of lower priority are delayed but never starved.
  duration priority_lead{1'000'000};
  /// Bound of the past use that counts against a team, as time at its share.
  duration longest_debt{30'000'000};
};

/// Admission by deadline.
struct admission_settings {
  /// Fraction of a job's deadline that the job and the work queued before it may take.
  double backlog_share = 0.25;
  /// Multiple of the expected run time of the longest task that must fit into the deadline.
  double run_time_margin = 1.5;
};

/// Ejection of failing targets.
struct health_settings {
  /// Failure rate assumed for a broken target.
  double broken_failure_rate = 0.9;
  /// Smallest failure rate assumed for a healthy target, so that a rare failure is not given too much weight.
  double healthy_failure_rate = 0.01;
  /// A target is ejected when its failures are this many times likelier for a broken target than for a healthy one.
  double evidence = 1e4;
  /// Largest fraction of the targets that may be ejected at the same time.
  double ejected_share = 0.34;
  duration first_ejection{5'000'000};  ///< doubled with every consecutive ejection
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
  /// Attempt of the first start of a task. A new leader begins above the attempts of earlier leaders, so that a delayed
  /// refusal of an old start cannot match a new start.
  std::uint32_t first_attempt = 0;

  std::uint32_t max_waiting_tasks = 1'000'000;  ///< bound of the queue, in tasks
  std::uint32_t max_jobs = 1'000'000;           ///< bound of the jobs queued or in flight
  std::uint32_t max_targets = 4'096;            ///< bound of the registered targets
  std::uint32_t max_teams = 256;                ///< further teams share the estimates and the share of one team
  std::uint32_t max_tasks_per_job = 180;        ///< a larger job is refused
  std::uint32_t max_slots_per_target = 1'024;   ///< a larger announced number is reduced to this
  duration default_run_time{400'000};  ///< run time assumed when nothing is declared and there are no observations
  order_settings order;
  share_settings share;
  admission_settings admission;
  health_settings health;
  retry_settings retry;
};

/// Limits that operators may change while a dispatcher runs.
struct dispatch_limits {
  std::uint32_t max_waiting_tasks = 1'000'000;  ///< bound of the queue, in tasks; tasks that are queued already stay
  double retry_share = 0.1;                     ///< retries earned by each admitted idempotent request
  std::uint32_t max_attempts = 3;               ///< of an idempotent request
};

}  // namespace bamboowing
