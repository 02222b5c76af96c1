#include <array>

#include "bamboowing/observe/metrics.h"

namespace bamboowing {
namespace {

using type = metric_type;

constexpr std::array<metric_row, kMetricCount> kTable = {{
    {metric::kResponseOverIdeal, "bamboowing_response_over_ideal_ratio", type::kSummary, "ratio", "service",
     "Response time of complete jobs divided by the longest run time among their tasks.",
     "If p99 rises, compare the queue depth with the slots of the service's targets: add targets when the queue is "
     "long, otherwise look for slow targets with 'bamboowingctl target list'."},
    {metric::kMessagesNecessary, "bamboowing_messages_necessary_total", type::kCounter, "messages", "cause",
     "Messages that the accepted work needs, by cause.", "None; the base for the share of wasted messages."},
    {metric::kMessagesWasted, "bamboowing_messages_wasted_total", type::kCounter, "messages", "cause",
     "Messages that brought no job closer to its answer, by cause.",
     "If they exceed 1 % of the necessary ones for several minutes, look at the most frequent cause and at the "
     "timeline of "
     "one job with 'bamboowingctl timeline'."},
    {metric::kQueueDepth, "bamboowing_queue_depth_tasks", type::kGauge, "tasks", "shard",
     "Tasks queued at this shard leader for a free slot.",
     "If it keeps growing, add targets to the service or lower the quotas of the team that submits most."},
    {metric::kTasksInFlight, "bamboowing_tasks_in_flight", type::kGauge, "tasks", "shard",
     "Tasks that this shard leader has sent and that are not yet answered.",
     "If it stays at the number of slots while nothing completes, look for targets that accept work and never answer."},
    {metric::kJobs, "bamboowing_jobs_total", type::kCounter, "jobs", "outcome",
     "Jobs that ended at this entry, by outcome: complete, failed, cancelled or refused.",
     "If failures rise, read the reasons in the event log; see docs/errors.md."},
    {metric::kRefusals, "bamboowing_refusals_total", type::kCounter, "refusals", "kind",
     "Refusals of jobs and of starts, by error kind.",
     "overloaded and deadline_infeasible: add targets. quota_exceeded: raise the quota or contact the team. "
     "stale_epoch and stale_message for more than a minute: look for a paused entry."},
    {metric::kEjections, "bamboowing_target_ejections_total", type::kCounter, "ejections", "service",
     "Targets taken out of use because they failed tasks of several jobs.",
     "Replace a target that is ejected again and again; if many are ejected at once, look for a common cause in their "
     "failure domain."},
    {metric::kRetryBudgetLeft, "bamboowing_retry_budget_left_ratio", type::kGauge, "ratio", "service",
     "Share of the retry budget that is left; at 0 no request is retried.",
     "If it stays at 0, find out why first attempts fail before raising the budget."},
    {metric::kConfigVersion, "bamboowing_config_version", type::kGauge, "version", "",
     "Version of the configuration that this process applies.",
     "If processes differ for more than 5 s, look at the one that lags: it has lost its peers or the store."},
    {metric::kConfigAge, "bamboowing_config_age_seconds", type::kGauge, "seconds", "",
     "Time since this process last confirmed with a peer or the store that its configuration is the newest.",
     "If it grows on all entries the store is down; on one, that entry is partitioned."},
    {metric::kControlCpu, "bamboowing_control_cpu_seconds_total", type::kCounter, "seconds", "",
     "CPU time of this process.",
     "Above 1.3 % of a core on a node without work, report it with the timeline of one minute."},
    {metric::kControlBytes, "bamboowing_control_bytes_total", type::kCounter, "bytes", "direction",
     "Bytes of control messages that carry no task, by direction: in or out.",
     "Above 5 KB/s, look for sessions that are opened and closed repeatedly."},
    {metric::kSessions, "bamboowing_sessions", type::kGauge, "sessions", "peer_role",
     "Open sessions with other processes, by their role.",
     "If an entry has fewer agents than 'bamboowingctl target list' shows, look for a network fault between them."},
    {metric::kShardEpoch, "bamboowing_shard_epoch", type::kGauge, "epoch", "shard",
     "Highest epoch of the shard known to this process.",
     "If it rises repeatedly, entries lose their lease: look for pauses and for a slow store."},
    {metric::kShardHome, "bamboowing_shard_home", type::kGauge, "boolean", "shard",
     "1 when this entry may dispatch work of the shard, otherwise 0.",
     "If no entry reports 1 for more than 10 s, check the store, then the majority of the shard's agents."},
    {metric::kReady, "bamboowing_ready", type::kGauge, "boolean", "",
     "1 when the process is ready for work, otherwise 0.",
     "If it stays 0 after a start, the process has never received a configuration: check the store and the peers."},
    {metric::kEventsDropped, "bamboowing_events_dropped_total", type::kCounter, "events", "",
     "Events that were overwritten in the bounded event log before anyone read them.",
     "Fetch the events more often, or raise the size of the event log, when a complete timeline is needed."},
    {metric::kResponseTime, "bamboowing_response_seconds", type::kSummary, "seconds", "outcome",
     "Time from the arrival of a best-effort job to its answer, by outcome.",
     "If p99 of completed jobs rises, compare bamboowing_run_ends_total with the job's log lines: "
     "no_room means load, "
     "lost or stopped means faulty targets."},
    {metric::kRunEnds, "bamboowing_run_ends_total", type::kCounter, "runs", "outcome",
     "Finished runs of best-effort jobs at targets, by outcome.",
     "If lost or failed rise, find the target in the log lines run_ended and target_lost."},
    {metric::kClaims, "bamboowing_claims_total", type::kCounter, "claims", "outcome",
     "Claims of best-effort jobs at their registrars, by outcome: granted, denied, lapsed or unavailable.",
     "denied: copies of jobs arrive at several entries. lapsed and unavailable: too few registrars answer; look at the "
     "log lines entry_unreachable and registrar_view, and at the network between the entries."},
    {metric::kEvacuatedDomains, "bamboowing_evacuated_failure_domains", type::kGauge, "failure domains", "",
     "Failure domains that the operators have evacuated: no task is started there.",
     "If it differs between entries for more than a few seconds, some don't reach the store: compare the revisions in "
     "their log lines evacuation_changed."},
    {metric::kOverloadDecisions, "bamboowing_overload_decisions_total", type::kCounter, "jobs", "decision",
     "Best-effort jobs by priority and decision while capacity was short, with overload_order: cost. deferred: behind "
     "the "
     "jobs that are in time; refused: at arrival; displaced: after it; expired: not started in time.",
     "If the highest priority is refused or displaced, its demand alone exceeds the capacity: add targets. For one "
     "job, "
     "see the log lines job_deferred, job_refused and job_answered."},
}};

}  // namespace

span<const metric_row> MetricTable() { return kTable; }

const metric_row& MetricRow(metric id) { return kTable.at(static_cast<std::size_t>(id)); }

std::string_view MetricTypeName(metric_type type) {
  switch (type) {
    case metric_type::kCounter:
      return "counter";
    case metric_type::kGauge:
      return "gauge";
    case metric_type::kSummary:
      break;
  }
  return "summary";
}

}  // namespace bamboowing
