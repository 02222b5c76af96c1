/// @file
/// An entry's view of the targets that it can start tasks on.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/besteffort/expiring_jobs.h"
#include "bamboowing/dispatch/target_health.h"
#include "bamboowing/dispatch/target_table.h"
#include "bamboowing/evacuation/evacuation_view.h"
#include "bamboowing/message/batch.h"

namespace bamboowing {

/// A run that has ended although a start request of it had no response.
struct released_start {
  run_key key;
  incarnation_id agent_incarnation = 0;  ///< of the agent that has reported the run
  instant until;                         ///< the request is not executed later than this
};

/// The end of a target that it has announced.
struct announced_end {
  std::string target;
  std::uint64_t start_id = 0;   ///< of its incarnation
  incarnation_id reporter = 0;  ///< the agent process that has reported it
  instant until;                ///< announcements from before the end may arrive until then
};

/// An entry's view of one agent and its target.
struct fleet_target {
  std::string agent;
  target_index index = kNoTarget;        ///< stable while the target exists; indexes of evicted targets are reused
  incarnation_id agent_incarnation = 0;  ///< 0 until the agent's first report
  session_id session = 0;                ///< 0 if there is no open session
  target_description description;
  bool described = false;           ///< whether `description` was received in this session
  resource_amount reported_amount;  ///< committed amount in the newest report
  /// Starts sent in this session that the newest report does not include yet, by sequence number.
  std::deque<std::pair<std::uint64_t, resource_amount>> unreported_starts;
  resource_amount unreported_sum;
  std::uint64_t starts_sent = 0;  ///< in this session
  /// Runs of this entry that no report has shown to be settled, with the number of the start in its session; 0 if it
  /// was sent in an earlier session.
  std::vector<std::pair<run_key, std::uint64_t>> unsettled_starts;
  std::uint64_t results_received = 0;        ///< number of the newest result from this incarnation of the agent
  std::optional<instant> earlier_report_at;  ///< when the newest report of an earlier incarnation of the agent arrived
  instant last_report_at;   ///< when the newest report arrived; set to the opening time by a new session
  instant agent_clock;      ///< agent's clock in the newest report, echoed to the agent
  instant last_sent_at;     ///< when the newest batch was sent
  instant last_success_at;  ///< when a run of this entry last succeeded at the target
  instant backoff_until;    ///< no starts before this time, after the target rejected one
  speed_estimate speed;
  std::uint32_t own_runs = 0;                    ///< runs of this entry at the target
  std::uint32_t own_exclusive_runs = 0;          ///< those of them that share the target with no other run
  bool replies_are_contact = false;              ///< whether the agent takes the reply to a report as contact
  bool exclusive = false;                        ///< the newest report shows an exclusive run of any entry
  std::uint64_t crash_revision_sent = 0;         ///< revision of the crash ledger that was sent in this session
  std::uint64_t unrepeatable_revision_sent = 0;  ///< revision of the unrepeatable jobs that was sent in this session
  std::uint64_t evacuation_version_sent = 0;     ///< set version of the evacuations that was sent in this session
  announced_end end;                             ///< of the target or an earlier one; the target receives no starts
  target_description known_target;               ///< newest described target with an id
  std::uint64_t target_generation = 0;           ///< increases with each other incarnation of `known_target`
  /// Tasks whose runs at `known_target` were taken as lost because the agent was silent or has restarted.
  std::vector<crashed_task> unconfirmed_tasks;
  run_requests pending_requests;
  std::vector<released_start> released_starts;  ///< of runs of this entry
  expiring_jobs unanswered_jobs;                ///< jobs of any entry with a start request that had no response
  bool silence_handled = false;                 ///< since the newest report

  /// Committed amount of the newest report plus the starts that it does not include.
  resource_amount Committed() const {
    resource_amount sum = reported_amount;
    AddTo(sum, unreported_sum);
    return sum;
  }

  /// Share of the CPU capacity that is committed; 1 if the capacity is unknown.
  double Utilization() const {
    const double capacity = description.capacity.cpu_millicores;
    return capacity > 0 ? Committed().cpu_millicores / capacity : 1;
  }
};

/// Targets of all services, indexed by agent.
class target_fleet {
 public:
  target_fleet(const health_settings& health, std::uint64_t seed) : health_(health, seed) {}

  /// Registers a new session. Returns the agent's previous session, if any, which the caller must close.
  std::optional<session_id> OpenSession(session_id session, const std::string& agent, instant now);

  /// Removes a session. Returns its target, or nullptr if the session is not the agent's current one.
  fleet_target* CloseSession(session_id session);

  fleet_target* Find(session_id session);
  fleet_target* FindAgent(const std::string& agent);
  /// Returns the target with this index, or nullptr.
  fleet_target* FindByIndex(target_index index);

  /// Applies the load and description of a report. Returns whether the agent has restarted since its previous report.
  bool OnReport(fleet_target& target, const agent_batch& batch, instant now);

  /// Adds a start that is being sent to the committed amount.
  void CountStart(fleet_target& target, const resource_amount& need);

  /// Adopts the evacuations if they are newer than those that are known.
  evacuation_change MergeEvacuation(const evacuation_state& state) { return evacuation_.Merge(state); }
  const evacuation_view& evacuation() const { return evacuation_; }
  /// Whether the target's failure domain is evacuated, so that it receives no new runs.
  bool IsEvacuated(const fleet_target& target) const { return evacuation_.Contains(target.description.failure_domain); }

  /// Whether there is another target outside of evacuated failure domains.
  bool HasOtherTarget(const fleet_target& target) const;

  /// Whether the target accepts new runs, regardless of its free capacity and of evacuations.
  bool AcceptsRuns(const fleet_target& target, instant now) const;
  /// Whether new runs may be sent to the target, regardless of its free capacity.
  bool IsUsable(const fleet_target& target, instant now) const {
    return !IsEvacuated(target) && AcceptsRuns(target, now);
  }

  /// Speed relative to the mean of the targets of all services; 1 is the mean.
  double RelativeSpeed(const fleet_target& target) const;
  void ObserveSpeed(fleet_target& target, double log_ratio);

  /// Removes targets without a session whose last report was received before @p before and that have no runs of this
  /// entry.
  void EvictSilent(instant before);

  /// Number of agents with an open session.
  std::size_t sessions() const { return sessions_.size(); }

  target_health& health() { return health_; }
  std::map<std::string, fleet_target>& all() { return by_agent_; }
  const std::map<std::string, fleet_target>& all() const { return by_agent_; }

 private:
  /// Upper bound of the delay of an announcement by a partition.
  static constexpr duration kMaxAnnouncementDelay = std::chrono::seconds(15);
  /// A target without a report for this long receives no new runs.
  static constexpr duration kSuspectAfter = std::chrono::milliseconds(450);

  static void RecordAnnouncedEnd(fleet_target& target, const agent_batch& batch, instant now);

  std::map<std::string, fleet_target> by_agent_;
  std::map<session_id, std::string> sessions_;
  std::vector<std::string> by_index_;  ///< agent id by target index; empty if the index is unused
  target_health health_;
  evacuation_view evacuation_;
  double log_speeds_ = 0;  ///< sum of the log speeds of all targets
};

}  // namespace bamboowing
