/// @file
/// Admission, leases and result reporting of best-effort runs at an agent.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bamboowing/agent/agent_settings.h"
#include "bamboowing/agent/session_table.h"
#include "bamboowing/besteffort/crash_ledger.h"
#include "bamboowing/besteffort/entry_selection.h"
#include "bamboowing/besteffort/expiring_jobs.h"
#include "bamboowing/besteffort/leased_target.h"
#include "bamboowing/besteffort/mean_interval.h"
#include "bamboowing/besteffort/unsettled_starts.h"
#include "bamboowing/evacuation/evacuation_view.h"
#include "bamboowing/message/batch.h"

namespace bamboowing {

struct run_manager_settings {
  agent_settings agent;           ///< identity and sessions; the entries are set by OnEntries()
  std::uint64_t first_token = 1;  ///< fencing token of this agent process; raised when the target has seen a higher one
  duration lease{1'000'000};      ///< duration of the lease of all runs at the target
  duration max_lease{1'000'000};  ///< the target shortens longer leases to this, also those of late requests
  duration renew_after{250'000};  ///< age at which a lease is renewed
  duration poll_wait{200'000};    ///< how long the target may delay the response to a poll until a run finishes
  /// A target that leaves a request unanswered for this long receives no starts and no lease renewals.
  duration unresponsive_after{120'000};
  duration poll_interval{50'000};  ///< interval between polls of an unresponsive target
  /// Upper bound of the time from sending a request to its execution at a target that leaves it unanswered. Assumed:
  /// the targets state no bound.
  duration max_request_delay{15'000'000};
  /// Interval between polls of a lost or idle target while a start request without a response may still be executed:
  /// its next incarnation executes such a request at most until its first poll, which carries a higher fencing token.
  duration fence_poll_interval{60'000};
  /// The response to a long poll may be lost. While the target has runs, it is polled again after this time.
  duration poll_overdue_after{45'000};
  duration stop_retry_interval{60'000};  ///< interval between stop requests for the same run
  /// A start request without a response is repeated after this time. The target handles repeated starts of a run
  /// idempotently.
  duration start_retry_interval{12'000};
  std::uint32_t max_start_requests = 3;  ///< start requests for one run, including the first
  duration owner_timeout{700'000};       ///< runs of an entry without contact for this long are stopped
  /// No lease ends later than this after the last contact with an entry that owns runs, so that they end even if their
  /// stop requests are lost or the agent stands still. With the drift of the target's clock and the delay of a request,
  /// the bound must stay below the time after which callers of a lost entry submit their jobs to another one, 1.3 s.
  duration owner_lease_limit{1'150'000};
  /// A start is rejected if the newest report that its entry has echoed is this old. The bound must exceed the
  /// heartbeat interval plus scheduling delays of a slow processor.
  duration max_report_age{500'000};
  /// Minimum interval between reports to one entry whose only content is a change of load, with up to `report_entries`
  /// sessions. The interval grows with the number of sessions, so that the report rate of the agent does not.
  duration report_interval{15'000};
  std::size_t report_entries = 4;
  /// If the agent attaches to a subset of the entries, most of its load comes from other entries than the one that a
  /// report goes to. A change of load by less than this share of the capacity is then reported less often.
  double significant_load_share = 0.3;
  /// Interval between reports of smaller changes, as a multiple of the interval between reports.
  std::int64_t minor_report_factor = 4;
  entry_selection_settings selection;
  /// An entry without a session is replaced by another one after this time.
  duration replace_entry_after{200'000};
  /// An unlisted entry is evicted after this time without a session.
  duration evict_entry_after{30'000'000};
  /// An unneeded session is closed this long after its entry was notified to send no more starts.
  duration release_delay{1'000'000};
  /// A target that does not answer for this long is replaced by another one that has announced itself.
  duration replace_target_after{400'000};
  /// No run is admitted if the target's newest announcement was sent this long ago: its capacity may have shrunk since,
  /// and a target need not reject what exceeds it. It must exceed two announcement intervals, so that the loss of one
  /// announcement does not interrupt admission.
  duration max_capacity_age{4'400'000};
  /// The target is polled before a start if it has last confirmed its incarnation this long ago: another incarnation,
  /// with another capacity, may have replaced it. Shorter than the restart of a target.
  duration confirm_incarnation_after{1'000'000};
  /// Whether failure domains may be evacuated. The agent then accepts no starts until it knows which are.
  bool evacuation = false;
  /// Maximum fraction by which the target's clock may run slower than the agent's.
  double clock_drift = 0.02;
  /// Whether the target is recorded in the key-value service for the next process of this agent.
  bool record_target = false;
  /// Starts are accepted without the record after this time, as the service may be down.
  duration record_wait{500'000};
};

/// One incarnation of the target, as announced by it.
struct target_incarnation {
  std::string id;
  /// When the incarnation started, on the target's clock: distinguishes incarnations with the same id and increases
  /// from one to the next. 0 if the target does not send it.
  std::uint64_t start_id = 0;
  /// Where it accepts requests. Not part of the identity.
  std::string address;
  /// Increases with each announcement of the incarnation. 0 if the target does not send it.
  std::uint64_t sequence = 0;

  friend bool operator==(const target_incarnation& a, const target_incarnation& b) {
    return a.id == b.id && a.start_id == b.start_id;
  }
  friend bool operator!=(const target_incarnation& a, const target_incarnation& b) { return !(a == b); }
};

/// Requests to the target. The response carries the same `request_id`.
struct send_start_request {
  std::uint64_t request_id = 0;
  start_request request;
};
struct send_stop_request {
  std::uint64_t request_id = 0;
  stop_request request;
};
struct send_poll_request {
  std::uint64_t request_id = 0;
  poll_request request;
};

/// Further requests go to this address.
struct use_target {
  std::string address;
};

/// The key-value service is to show this target, so that the next process of this agent finds it, and entries know that
/// the agent exists.
struct record_target {
  target_incarnation target;
};

/// Logs a decision or a change of state.
struct log_run_event {
  std::string event;   ///< name of the logged event
  std::string job_id;  ///< empty if the event concerns no job
  std::string detail;  ///< the inputs of the decision
};

using run_action = std::variant<send_batch, open_session, close_session, send_start_request, send_stop_request,
                                send_poll_request, use_target, record_target, log_run_event>;

/// Manages the runs that entries request at the agent's target: admits what fits, renews the lease while the entries
/// are in contact, and reports each result once it is certain. A run is never reported as lost or stopped while it may
/// still run. If a start request without a response may be executed by a later incarnation of the target, the run is
/// reported as kUnknown. Does no I/O and reads no clock; each input carries the time and may append actions.
class run_manager {
 public:
  run_manager(const run_manager_settings& settings, std::uint64_t seed, instant now);

  /// A target announced itself. @p clock is the target's clock, if it sent one. An announcement may be late or come
  /// from another writer, so it neither ends runs nor replaces a target that still answers requests.
  void OnTargetAnnounced(const target_incarnation& announced, const target_description& target,
                         std::optional<target_time> clock, instant now);
  /// The key-value service showed the target that an earlier process of this agent has recorded; nullopt if it has
  /// none. The target may execute start requests of that process until it has seen a fencing token of this one, so it
  /// is polled before it announces itself.
  void OnRecordedTarget(const std::optional<target_incarnation>& recorded, instant now);
  /// The key-value service shows the target of the newest record_target.
  void OnTargetRecorded(instant now);
  /// The target announced that it stops. It accepts no more starts; its runs end when its process does.
  void OnTargetLeft(const std::string& id, instant now);

  void OnSessionOpened(const std::string& entry, instant now);
  void OnSessionClosed(const std::string& entry, const std::string& reason, instant now);
  void OnBatch(const std::string& entry, const entry_batch& batch, instant now);
  /// The entry's process has received the report that was sent at @p sent_at.
  void OnReportAcknowledged(const std::string& entry, instant sent_at, instant now);
  /// Sets all entries that are registered or named in the settings. The agent attaches to a subset; see
  /// entry_selection. An unlisted entry stays a candidate until it has been without a session for `evict_entry_after`.
  void OnEntries(span<const entry_endpoint> entries, instant now);

  /// The store shows these evacuations of failure domains.
  void OnEvacuation(const evacuation_state& state, instant now);

  void OnStartResponse(std::uint64_t request_id, const request_response& response, instant now);
  void OnStopResponse(std::uint64_t request_id, const request_response& response, instant now);
  void OnPollResponse(std::uint64_t request_id, const poll_response& response, instant now);

  /// The process was asked to exit: no more runs are admitted.
  void OnDrain(instant now);
  /// Whether the process may exit: it is draining, has no runs, and its entries have acknowledged all results.
  bool drained() const;
  /// Whether no start request of this process or an earlier one can be executed any more, unless further ones are sent.
  /// The next process then needs no record of the target.
  bool LeavesNoStarts(instant now);

  /// Handles everything that is due and sends reports. Call once after a group of inputs.
  void Advance(instant now);
  std::optional<instant> next_wakeup() const;

  /// Actions in order. Valid until the next non-const call.
  span<const run_action> actions() const { return actions_; }
  void ClearActions() { actions_.clear(); }

  std::size_t runs() const { return runs_.size(); }
  /// Whether a run that shares the target with no other one is active or waits.
  bool HasExclusiveRun() const;
  /// Whether starts are accepted. False until the evacuations are known; whether this failure domain is evacuated is
  /// not taken into account.
  bool accepting() const {
    return phase_ == phase::kServing && capacity_known_ && !target_.draining && !draining_ && EvacuationKnown() &&
           !awaits_record_since_;
  }
  /// Whether the target executes no more start requests of earlier processes of this agent, and runs none of their
  /// runs.
  bool earlier_starts_fenced() const { return earlier_starts_fenced_; }

 private:
  /// State of the agent's view of its target.
  enum class phase : std::uint8_t {
    kUnknown,      ///< no announcement yet
    kLost,         ///< the target refuses connections; it may return under its id
    kReconciling,  ///< the target may have unknown runs; no starts and no lease renewals are sent
    kServing,
  };

  enum class run_state : std::uint8_t {
    kWaiting,      ///< waits for free capacity
    kStarting,     ///< a start request was sent
    kUnconfirmed,  ///< no start request was answered; the run may have been started
    kRunning,
    kStopping,  ///< a stop request was sent or accepted
  };

  struct managed_run {
    run_start start;
    std::string owner;                    ///< address of the entry that requested the run
    std::uint64_t target_generation = 0;  ///< target that the start requests were sent to
    run_state state = run_state::kWaiting;
    instant state_since;                ///< when the current state was entered
    std::uint32_t start_requests = 0;   ///< number of start requests sent
    instant last_start_request_at;      ///< when the newest start request was sent
    std::uint64_t start_token = 0;      ///< fencing token of the newest start request
    std::uint32_t start_responses = 0;  ///< number of start requests with a response
    bool crash_counted = false;         ///< whether a crash was recorded since the target last showed the run
    instant accepted_at;                ///< when the target was first known to have accepted the run; zero if unknown
    instant start_unanswered_at;        ///< when a start request last timed out
    /// Set if the target was lost, restarted or replaced during this run: the run may be active until then even if no
    /// request reaches the target.
    std::optional<instant> may_run_until;
    /// Entries that have requested the same run since: the caller submitted the job again. They get a result when the
    /// run has ended.
    std::set<std::string> later_owners;
    std::optional<instant> last_stop_request_at;  ///< when the newest stop request was sent
    std::optional<instant> stop_accepted_at;      ///< when the target accepted a stop request
  };

  /// An entry that owns runs at the agent.
  struct owner {
    incarnation_id entry_incarnation = 0;
    instant last_contact_at;  ///< agent's clock in the newest message that the entry has certainly received
    std::uint64_t starts_received = 0;
    std::uint64_t last_result_number = 0;
    std::deque<run_result> unacknowledged_results;  ///< not yet acknowledged by the entry
    std::uint64_t last_result_sent = 0;             ///< number of the newest result sent in this session
    bool initial_report_sent = false;  ///< whether the target description and the inventory were sent in this session
    bool target_update_pending = false;
    std::optional<instant> released_at;  ///< when the session became unneeded
    resource_amount reported_amount;     ///< committed amount in the newest report to the entry
    std::uint64_t reported_starts = 0;   ///< number of received starts in the newest report to the entry
    std::size_t reported_unsettled = 0;  ///< number of unsettled runs in the newest report to the entry
    instant reported_at;
    std::uint64_t crash_revision_sent = 0;         ///< revision of the crash ledger that was sent in this session
    std::uint64_t unrepeatable_revision_sent = 0;  ///< the same of the unrepeatable jobs
    std::uint64_t unanswered_revision_sent = 0;    ///< the same of the jobs with an unanswered start
    std::uint64_t evacuation_version_sent = 0;     ///< set version of the evacuations that was sent in this session
  };

  /// Another target that announced itself.
  struct target_candidate {
    target_incarnation incarnation;
    target_description target;
    std::optional<target_time> clock;
    instant announced_at;
  };

  using run_map = std::map<run_key, managed_run>;
  /// A start or stop request without a response.
  struct pending_request {
    run_key key;
    instant sent_at;
    std::uint64_t token = 0;
    std::uint64_t target_generation = 0;
  };
  struct pending_poll {
    instant sent_at;
    std::uint64_t token = 0;
    bool waits_for_results = false;
    std::uint64_t acknowledged_sequence = 0;
  };

  void LogEvent(std::string event, const std::string& job_id, std::string detail);
  request_context RequestContext() const { return {target_incarnation_.id, token_}; }
  /// End of the lease that may be granted now; nullopt if there is none or the target's clock is unknown.
  std::optional<target_time> LeaseEnd(instant now) const;
  void SampleClock(const std::optional<target_time>& clock, instant now);
  /// The target showed @p clock: its newest announcement was sent when its clock showed `described_clock_`.
  void LimitCapacityTime(target_time clock, instant now);
  /// The description of the target was announced when its clock showed @p clock.
  void RecordDescription(const std::optional<target_time>& clock, instant now);
  /// Whether the target has confirmed within `confirm_incarnation_after` that it is still the same incarnation.
  bool IncarnationConfirmed(instant now) const;
  /// Updates whether the target's announcement is recent enough to admit runs by it, and notifies the entries.
  void UpdateCapacityKnown(instant now);
  void HandleStartResponse(run_map::iterator run, request_status status, instant now);
  /// Whether a start request for the run is unanswered and has not timed out.
  bool HasPendingStart(const run_key& key) const;
  /// Whether a start request without a response may still be executed.
  bool MayExecuteLateStart(instant now) const { return now < late_start_until_; }
  /// Whether the target is polled although it has no runs and refuses connections or is idle: its next incarnation must
  /// see a higher fencing token before it executes a late start request.
  bool NeedsFencePolls(instant now) const;
  /// Whether such a poll is due now.
  bool FencePollDue(instant now) const;
  static void MarkAccepted(managed_run& run, instant now);
  void HandleUnansweredStart(run_map::iterator run, instant now);
  /// Whether a start request of the run has had no response and may still be executed.
  bool IsUnsettled(const managed_run& run, instant now) const;
  /// Runs of the entry with a start request that will be sent, or has had no response and may still be executed.
  std::vector<run_key> UnsettledRunsOf(const std::string& entry, instant now) const;
  /// When the load, the unsettled runs or the jobs with an unanswered start are reported to the entry; nullopt if they
  /// are as in the newest report.
  std::optional<instant> LoadReportDue(const std::string& entry, const owner& to, instant now) const;
  /// Whether a change of load is reported without delay.
  bool IsSignificant(const resource_amount& load, const resource_amount& reported) const;
  /// Records a start request without a response for as long as it may be executed, whether or not its run has ended.
  void RecordUnansweredStart(const pending_request& start, instant now);
  /// Ends the runs of lost, replaced and silent restarted targets that may still be started there.
  void EndUnsettledRunsOfLostTargets(instant now);
  /// The target was lost, restarted or replaced: a later incarnation may execute start requests of ended runs.
  void ReportReleasedStarts(instant now);
  /// Reports to all entries that the run may still be started: its job may have been submitted to another one.
  void ReportUnknown(const run_key& key, instant now);
  /// Returns whether the response is that of the present target.
  bool HandleResponse(const request_response& response, const pending_request& request, instant now);
  /// The target refused a request with the fencing token @p token because it has seen a higher one.
  void HandleFenced(std::uint64_t token);
  void RecordRequestSent(instant now);
  void RecordResponse(instant now);
  void RaiseToken();
  /// Whether the announcement names another address for the present incarnation.
  bool IsMoved(const target_incarnation& announced) const;
  /// Whether the announcement is older than what is known of the target.
  bool IsOutdated(const target_incarnation& announced, instant now) const;
  /// The present target, or a later incarnation of it, announced itself.
  void UpdateDescription(const target_incarnation& announced, const target_description& target,
                         std::optional<target_time> clock, instant now);
  /// Another target than the present one announced itself. It is adopted if the present one does not answer a poll.
  void ConsiderTarget(const target_incarnation& announced, const target_description& target,
                      std::optional<target_time> clock, instant now);
  /// Adopts the target that announced itself, if the present one is lost or has not answered for too long.
  void AdoptCandidate(instant now);
  /// Sends further requests to the target, and starts with a reconciliation.
  void AdoptTarget(const target_incarnation& announced, const target_description& target,
                   std::optional<target_time> clock, instant now);
  /// Asks for the record of the present target.
  void RecordTarget();
  /// Accepts starts without the record of the target if it takes too long.
  void ExpireRecordWait(instant now);
  /// The present target has shown that it executes no start of an earlier process of this agent.
  void FenceEarlierStarts(std::string_view reason, instant now);
  /// Ends the runs of earlier targets at the address of the present one, which has answered a poll there.
  void EndRunsOfReplacedTargets(instant now);
  /// Another incarnation answered at the target's address, so no run of the target is active.
  void ReplaceTarget(const std::string& reason, instant now);
  /// The connection was refused for a request that was sent at @p refused_at. The target may return under its id and
  /// then execute a start request that got no response, so only runs without one are certain to have ended.
  void HandleTargetLoss(const std::string& reason, instant refused_at, instant now);
  /// The target restarted under its id. Its previous runs may have ended, and the new incarnation may accept start
  /// requests that were sent before: its list of runs decides, once it has seen a higher fencing token.
  void HandleTargetRestart(const target_incarnation& restarted, instant now);
  /// Polls the target until its list shows which runs are active. Raises the fencing token, so that a start request
  /// that was sent before and is not on the list is never executed.
  void BeginReconciliation();
  /// @p source names the process that the state came from, for the log.
  void MergeEvacuation(const evacuation_state& state, const std::string& source, instant now);
  bool EvacuationKnown() const { return !settings_.evacuation || evacuation_.known(); }
  /// Whether no task may be started because the agent's failure domain is evacuated, or it is unknown whether it is.
  bool StartsForbidden() const {
    return !EvacuationKnown() || evacuation_.Contains(settings_.agent.failure_domain) ||
           evacuation_.Contains(target_.failure_domain);
  }
  /// Ends all runs that wait for capacity as never started.
  void EndWaitingRuns(std::string_view reason, instant now);
  /// Ends the waiting runs and notifies all entries that the target accepts no starts.
  void SuspendAdmission(instant now);
  /// Sets how long the present target's runs may be active although it is lost, restarted or replaced.
  void ExtendRunsOverLoss(instant now);
  bool HasAllRuns(span<const run_key> listed) const;
  /// @p view_at is the agent's clock in the newest report that the entry knew when it sent the start.
  void Admit(const std::string& entry, const run_start& start, instant view_at, instant now);
  /// The entry requests a run that the agent already has.
  void HandleRepeatedRun(run_map::iterator run, const std::string& entry, instant now);
  /// Queues a result for an entry and gives it the next sequence number.
  void AddResult(const std::string& entry, run_result result);
  /// Reports the run as ended. @p reason says why, for the log.
  void EndRun(run_map::iterator run, run_outcome outcome, std::string_view reason, instant now);
  void EndRunsOfTarget(run_outcome outcome, std::string_view reason, instant now);
  static std::string_view RunStateName(run_state state);
  /// The state of a run and the ages of the facts that decide what becomes of it, for the log.
  std::string DescribeRun(const run_key& key, const managed_run& run, instant now) const;
  /// The agent's clock in the newest message that the entry has certainly received.
  instant LastContact(const std::string& entry) const;
  void RequestStop(managed_run& run, instant now);
  void SendStop(const run_key& key, instant now);
  void StopRunsOfOwner(const std::string& entry, const std::string& reason, instant now);
  void ExpireOwners(instant now);
  void ExpireWaitingRuns(instant now);
  /// Expected wait for capacity of a run that arrives now, if each end of a run makes room for one.
  duration ExpectedWait(const managed_run& arriving) const;
  /// Whether a run starts before another one that waits and has arrived earlier: by priority, then by latest start.
  static bool StartsBefore(const managed_run& run, const managed_run& other);
  /// Adds a run to those that wait for capacity.
  void InsertWaiting(const run_key& key, const managed_run& run);
  void StartWaitingRuns(instant now);
  /// Whether the run may start beside those that are at the target.
  bool FitsBesideOthers(const managed_run& run) const;
  /// Whether a run is at a target, whatever it needs: runs may need nothing.
  bool HasRunsAtTarget() const;
  /// Committed amount as reported to the entries: the whole capacity while there is an exclusive run.
  resource_amount ReportedAmount() const;
  /// Records that the present target has crashed with its runs, unless it had announced its end.
  void RecordCrash(instant now);
  void SendStart(const run_key& key, managed_run& run, target_time lease_end, instant now);
  void RetryStarts(instant now);
  bool MayRetryStart(const managed_run& run) const;
  void RetryStops(instant now);
  void SchedulePoll(instant now);
  void SendPoll(duration wait, instant now);
  /// When the target is polled again although a response is outstanding.
  instant NextPollAt() const;
  /// Longest lease at the target by the agent's clock, with the delay of the request that grants it.
  duration MaxLease() const;
  /// When the run has certainly ended because its lease expired, if the target does not respond.
  instant LeaseExpiryBound(const managed_run& run) const;
  void ExpireUnleasedRuns(instant now);
  void HandleFinishedRuns(const poll_response& response, instant now);
  void ReconcileRunning(const poll_response& response, const pending_poll& poll, instant now);
  void HandleUnlistedRun(run_map::iterator run, const pending_poll& poll, instant now);
  void MaintainSessions(instant now);
  void SelectEntries(instant now);
  void EvictUnlistedEntries(instant now);
  void UpdateCandidates();
  void CloseReleasedSessions(instant now);
  bool HasRuns(const std::string& entry) const;
  void SendReports(instant now);
  void SendReport(entry_session& session, owner& to, instant now);
  duration ReportInterval() const;
  bool ReportDue(const entry_session& session, const owner& to, instant now) const;
  /// Whether no request has been unanswered for `unresponsive_after`.
  bool TargetResponsive(instant now) const;

  run_manager_settings settings_;
  session_table sessions_;
  std::vector<entry_endpoint> listed_entries_;              ///< newest list passed to OnEntries()
  std::map<std::string, entry_endpoint> unlisted_entries_;  ///< entries that only earlier lists contain, by address
  entry_selection selection_;
  instant selected_at_;
  std::map<std::string, instant> disconnected_since_;  ///< when an entry was first seen without a session, by address
  std::map<std::string, owner> owners_;                ///< by address
  run_map runs_;
  std::deque<run_key> waiting_;          ///< in the order of their starts; may contain keys of ended runs
  resource_amount committed_at_target_;  ///< sum over runs in all states except kWaiting
  resource_amount waiting_amount_;
  mean_interval end_interval_;  ///< between the ends of runs at the target
  crash_ledger crashes_;

  phase phase_ = phase::kUnknown;
  target_incarnation target_incarnation_;
  std::uint64_t target_generation_ = 0;                    ///< increases when another target or address is adopted
  std::map<std::uint64_t, std::string> replaced_targets_;  ///< earlier targets that may have runs: their addresses
  std::optional<target_candidate> candidate_;
  target_description target_;
  bool target_described_ = false;               ///< whether target_ comes from the current incarnation
  instant described_at_;                        ///< when the newest announcement of the target was accepted
  std::optional<target_time> described_clock_;  ///< the target's clock in that announcement
  /// Latest time at which that announcement may have been sent.
  instant capacity_known_at_;
  bool capacity_known_ = false;  ///< whether that time is less than `max_capacity_age` ago
  std::uint64_t token_ = 0;
  std::uint64_t token_step_ = 1;
  std::uint64_t newest_start_token_ = 0;      ///< fencing token of the newest start request
  std::optional<target_time> target_clock_;   ///< newest sample of the target's clock
  instant clock_sampled_at_;                  ///< agent's clock at that sample
  std::uint64_t last_finished_sequence_ = 0;  ///< newest finished run that the target has reported
  std::uint64_t acknowledged_sequence_ = 0;   ///< newest finished run acknowledged by an accepted poll
  instant last_poll_at_;                      ///< when the newest poll was sent
  instant incarnation_confirmed_at_;          ///< when the newest poll was sent that the present incarnation accepted
  instant last_lease_sent_at_;                ///< when the newest request with a lease was sent
  instant last_response_at_;                  ///< when the target last responded
  /// When the oldest request was sent since the last response.
  std::optional<instant> unanswered_since_;
  instant next_reconcile_poll_;
  instant late_start_until_;  ///< until then, a start request without a response may be executed
  instant started_at_;
  bool earlier_starts_fenced_ = false;
  /// Target of an earlier process of this agent which has not shown that it executes no start of that process.
  std::optional<target_incarnation> recorded_target_;
  std::optional<instant> awaits_record_since_;  ///< set while the present target is not recorded
  unsettled_starts unsettled_starts_;
  expiring_jobs unanswered_jobs_;  ///< jobs of the runs in `unsettled_starts_`
  expiring_jobs unrepeatable_;     ///< jobs that must not be started again, relayed between entries
  instant target_ended_at_;        ///< when the target was last lost, restarted or replaced
  bool draining_ = false;
  evacuation_view evacuation_;

  std::uint64_t last_request_id_ = 0;
  std::map<std::uint64_t, pending_request> pending_starts_;
  std::map<std::uint64_t, pending_request> pending_stops_;
  std::map<std::uint64_t, pending_poll> pending_polls_;
  bool poll_now_ = false;  ///< an immediate poll without a wait is needed
  instant last_now_;
  std::vector<run_action> actions_;
};

}  // namespace bamboowing
