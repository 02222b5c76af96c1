/// @file
/// All decisions of an agent about runs of best-effort jobs.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bamboowing/agent/agent_settings.h"
#include "bamboowing/agent/session_table.h"
#include "bamboowing/besteffort/entry_selection.h"
#include "bamboowing/besteffort/leased_target.h"
#include "bamboowing/message/batch.h"

namespace bamboowing {

/// Settings of a run_keeper.
struct run_keeper_settings {
  agent_settings agent;           ///< identity and sessions; entries are learned by OnEntries
  std::uint64_t first_token = 1;  ///< fencing token of this life; raised when the target has seen a higher one
  duration lease{1'000'000};      ///< of everything that runs at the target
  duration renew_after{250'000};  ///< a lease is renewed when it is this old
  duration hold_wait{200'000};    ///< how long the target may wait for an end before it answers
  /// A target that answers nothing while an order has been waiting for this long gets no starts and no renewals.
  duration silent_after{120'000};
  duration look_interval{50'000};  ///< pause between looks at a target that is silent
  /// A hold that waits for ends may have lost its answer. With runs at the target, it is asked again after this time.
  duration look_overdue{45'000};
  duration stop_retry{60'000};  ///< pause between repeated stops of the same run
  /// A start that has no answer after this time is sent again. The target takes the second as the first.
  duration start_retry{12'000};
  std::uint32_t most_starts = 3;    ///< orders to start one run, the first included
  duration owner_timeout{700'000};  ///< runs of an entry that has not been heard for this long are stopped
  /// A start is refused when its entry answers only reports that are this old. Heartbeats and a slow processor must
  /// fit.
  duration stale_after{500'000};
  /// Shortest pause between reports to one entry that only tell a change of load, while there are at most
  /// `report_entries`. It grows with their number, so that the reports of all agents together do not.
  duration report_interval{15'000};
  std::size_t report_entries = 4;
  entry_selection_settings selection;
  /// An entry without a session is replaced by another one after this time.
  duration substitute_after{200'000};
  /// An entry that is not listed is forgotten when it has been without a session for this long.
  duration forget_after{30'000'000};
  /// A session that is no longer needed is closed this long after its entry was told to send no more starts.
  duration release_linger{1'000'000};
  /// Part by which the target's clock may be slower than ours.
  double clock_drift = 0.02;
};

/// A life of the target, as it announces itself.
struct target_life {
  std::string id;
  std::uint64_t born = 0;  ///< tells lives with the same id apart; 0 if the target doesn't say

  friend bool operator==(const target_life& a, const target_life& b) { return a.id == b.id && a.born == b.born; }
  friend bool operator!=(const target_life& a, const target_life& b) { return !(a == b); }
};

/// Orders for the target. `call` names the call in the answer.
struct call_start {
  std::uint64_t call = 0;
  start_order order;
};
struct call_stop {
  std::uint64_t call = 0;
  stop_order order;
};
struct call_hold {
  std::uint64_t call = 0;
  hold_order order;
};

/// A change of what the agent believes, for the log.
struct note_decision {
  std::string what;    ///< name of the decision
  std::string job_id;  ///< empty if it concerns no job
  std::string detail;  ///< the inputs that decided it
};

using run_action =
    std::variant<send_batch, open_session, close_session, call_start, call_stop, call_hold, note_decision>;

/// Keeps the runs that entries ask for at the target beside the agent: admits what fits, holds the lease while their
/// entries are alive, and reports each end once it is certain. Nothing is reported as lost or stopped while it may
/// still run. Does no I/O and reads no clock; each input carries the time and may append actions.
class run_keeper {
 public:
  run_keeper(const run_keeper_settings& settings, std::uint64_t seed, instant now);

  /// The target announced itself. @p clock is its clock, if it says.
  void OnTarget(const target_life& life, const target_description& target, std::optional<target_time> clock,
                instant now);
  /// The target says that it has ended.
  void OnTargetLeft(const std::string& id, instant now);

  void OnSessionOpened(const std::string& entry, instant now);
  void OnSessionClosed(const std::string& entry, const std::string& why, instant now);
  void OnBatch(const std::string& entry, const entry_batch& batch, instant now);
  /// All entries that are registered or named in the settings. Attaches to a part of them; see entry_selection. An
  /// entry that is no longer listed stays a candidate while it can be reached.
  void OnEntries(span<const entry_place> entries, instant now);

  void OnStartAnswer(std::uint64_t call, const order_answer& answer, instant now);
  void OnStopAnswer(std::uint64_t call, const order_answer& answer, instant now);
  void OnHoldAnswer(std::uint64_t call, const hold_answer& answer, instant now);

  /// The process is asked to exit: admits nothing more.
  void OnDrain(instant now);
  /// Whether the process may exit: draining, nothing runs, and every end was received by its entry.
  bool drained() const;

  /// Does what is due and completes the reports. Call once after a group of inputs.
  void Advance(instant now);
  std::optional<instant> next_wakeup() const;

  /// Actions in order. Valid until the next call that is not const.
  span<const run_action> actions() const { return actions_; }
  void ClearActions() { actions_.clear(); }

  std::size_t runs() const { return runs_.size(); }
  bool accepting() const { return phase_ == phase::kServing && !target_.draining && !draining_; }

 private:
  /// What the agent knows of its target.
  enum class phase : std::uint8_t {
    kUnknown,    ///< no announcement yet, or the target has left
    kSurveying,  ///< it is not known what runs there; nothing is started and no lease renewed
    kServing,
  };

  enum class run_state : std::uint8_t {
    kWaiting,   ///< for room
    kOrdered,   ///< the start is under way
    kDoubtful,  ///< the start was not answered
    kRunning,
    kStopping,  ///< a stop is under way or accepted
  };

  struct kept_run {
    run_start start;
    std::string owner;  ///< address of the entry
    run_state state = run_state::kWaiting;
    instant since;                  ///< when the state began
    std::uint32_t starts_sent = 0;  ///< orders to start it
    instant start_sent;             ///< when the newest of them was sent
    instant started;                ///< when the target was first known to have accepted it
    instant unanswered;             ///< when a start was given up last that had no answer
    /// Kept while the target's life changed. The next life may take an order of the earlier one at any later time, and
    /// reads its lease on another clock.
    bool crosses_lives = false;
    std::optional<instant> stop_sent;    ///< newest stop
    std::optional<instant> stop_agreed;  ///< when the target accepted a stop
  };

  /// An entry for which the agent keeps runs.
  struct owner {
    incarnation life = 0;
    instant fresh;  ///< our clock in the newest message that the entry is known to have answered
    std::uint64_t starts_received = 0;
    std::uint64_t last_end = 0;
    std::deque<run_end> ends;     ///< not yet received by the entry
    std::uint64_t ends_sent = 0;  ///< newest end sent in this session
    bool introduced = false;      ///< whether target and inventory were sent in this session
    bool target_changed = false;
    std::optional<instant> released_at;  ///< when the session was found to be needless
    resource_amount reported;            ///< committed amount in the newest report
    instant reported_at;
  };

  using run_map = std::map<run_key, kept_run>;
  /// A start or stop that has not been answered.
  struct pending_order {
    run_key key;
    instant sent;
  };
  struct pending_hold {
    instant sent;
    bool waits = false;
    std::uint64_t acknowledged = 0;
  };

  void Note(std::string what, const std::string& job_id, std::string detail);
  order_context Context() const { return {life_.id, token_}; }
  std::optional<target_time> LeaseEnd(instant now) const;
  void SampleClock(const std::optional<target_time>& clock, instant now);
  void TakeStartAnswer(run_map::iterator run, order_result result, instant now);
  /// Whether a start of the run is under way.
  bool StartUnderWay(const run_key& key) const;
  static void NoteStarted(kept_run& run, instant now);
  void TakeUnansweredStart(run_map::iterator run, instant now);
  void TakeAnswer(const order_answer& answer, instant now);
  void NoteOrder(instant now);
  void NoteAnswer(instant now);
  void RaiseToken();
  /// Another life with another id is there, so nothing of the earlier one goes on.
  void ReplaceTarget(const std::string& why, instant now);
  /// Nothing listened when an order was sent at @p refused_at. The target may come back under its id and then accept a
  /// start that is under way, so only runs whose starts were settled before are certain to be over.
  void LoseTarget(const std::string& why, instant refused_at, instant now);
  /// The target has started again under its id. What it had may be over, and starts that are under way may be accepted
  /// by the new life: its list of runs decides.
  void BeginNextLife(const target_life& life, instant now);
  void BeginSurvey();
  /// Ends the waiting runs and tells all entries that the target takes no starts.
  void SuspendAdmission(instant now);
  void MarkCrossing();
  bool KnowsAll(span<const run_key> listed) const;
  void Admit(const std::string& entry, const run_start& start, instant now);
  void EndRun(run_map::iterator run, run_outcome outcome, instant now);
  void EndAll(run_outcome outcome, instant now);
  void RequestStop(kept_run& run, instant now);
  void SendStop(const run_key& key, instant now);
  void DropOwner(const std::string& entry, const std::string& why, instant now);
  void ExpireOwners(instant now);
  void ExpireWaiting(instant now);
  void StartWaiting(instant now);
  void SendStart(const run_key& key, kept_run& run, target_time lease_end, instant now);
  void RepeatStarts(instant now);
  bool MayRepeatStart(const kept_run& run) const;
  void RepeatStops(instant now);
  void ScheduleHold(instant now);
  void SendHold(duration wait, instant now);
  /// When the target is asked again although an answer is still awaited.
  instant LookDue() const;
  /// When the run has ended for want of a lease, if the target answers nothing.
  instant LeaseBound(const kept_run& run) const;
  void CheckLeaseBound(instant now);
  void TakeEnds(const hold_answer& answer, instant now);
  void TakeRunning(const hold_answer& answer, instant sent, instant now);
  void SettleAbsent(run_map::iterator run, instant sent, instant now);
  void KeepSessions(instant now);
  void SelectEntries(instant now);
  void ForgetUnlisted(instant now);
  void UpdateCandidates();
  void CloseReleased(instant now);
  bool HasRuns(const std::string& entry) const;
  void SendReports(instant now);
  void SendReport(entry_session& session, owner& to, instant now);
  duration ReportInterval() const;
  bool ReportDue(const entry_session& session, const owner& to, instant now) const;
  bool AnythingThere() const;
  /// Whether the target has answered an order lately, or was not asked.
  bool TargetAnswers(instant now) const;

  run_keeper_settings settings_;
  session_table sessions_;
  std::vector<entry_place> listed_;              ///< newest list of entries
  std::map<std::string, entry_place> unlisted_;  ///< entries of earlier lists, by address
  entry_selection selection_;
  instant selected_at_;
  std::map<std::string, instant> attempts_;    ///< start of the newest attempt to connect, by address
  std::map<std::string, instant> down_since_;  ///< entries without a session, by address
  std::map<std::string, owner> owners_;        ///< by address
  run_map runs_;
  std::deque<run_key> waiting_;  ///< in the order of arrival; may name runs that are gone
  resource_amount at_target_;    ///< of runs in all states but kWaiting
  resource_amount waiting_amount_;

  phase phase_ = phase::kUnknown;
  target_life life_;
  target_description target_;
  bool described_ = false;  ///< whether target_ is what this life said of itself
  std::uint64_t token_ = 0;
  std::uint64_t token_step_ = 1;
  std::optional<target_time> clock_;  ///< newest sample of the target's clock
  instant clock_at_;                  ///< when it was taken
  std::uint64_t last_listed_ = 0;     ///< number of the newest end taken from the target
  std::uint64_t acknowledged_ = 0;    ///< newest end acknowledged in an accepted hold
  instant looked_at_;                 ///< when a hold was sent last
  instant leased_at_;                 ///< when an order with a lease was sent last
  instant heard_at_;                  ///< when the target answered an order last
  /// When the oldest order was sent to which no later answer is known.
  std::optional<instant> unanswered_since_;
  instant survey_due_;
  bool draining_ = false;

  std::uint64_t last_call_ = 0;
  std::map<std::uint64_t, pending_order> start_calls_;
  std::map<std::uint64_t, pending_order> stop_calls_;
  std::map<std::uint64_t, pending_hold> holds_;
  bool look_now_ = false;  ///< a hold without a wait is needed
  instant last_now_;
  std::vector<run_action> actions_;
};

}  // namespace bamboowing
