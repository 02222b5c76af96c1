/// @file
/// An entry's claims of jobs. A caller may submit a job at several entries, and a copy of a submission may arrive long
/// after its caller has gone; only one entry at a time may start tasks of the job.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bamboowing/base/random.h"
#include "bamboowing/base/types.h"
#include "bamboowing/claims/claim_registry.h"
#include "bamboowing/claims/registrar_quorum.h"
#include "bamboowing/message/job_claim.h"

namespace bamboowing {

struct job_claims_settings {
  std::string address;  ///< at which other entries reach this one; empty if there are no others
  incarnation_id own_incarnation = 0;
  /// Time from the end of an entry's process until none of its runs is active; see dispatch_core_settings.
  duration run_end_limit{1'200'000};
  /// Longest time for which agents take an entry as alive after its decision thread has stalled.
  duration stall_limit{400'000};
  /// Time for which the confirmation of a claim by a registrar counts, from the time the request for it was sent. A
  /// holder that a majority has not confirmed for this long stops its runs.
  duration lease{1'000'000};
  /// A registered registrar decides for this long after it has learned that its view is the one in the key-value
  /// service.
  duration view_freshness{6'000'000};
  /// A registrar also decides while it has heard within this time from all members that none has a newer view, which
  /// each request to a member shows.
  duration member_freshness{4'000'000};
  /// Time that a holder has for obtaining the grants of a new view's registrars.
  duration view_grace{1'000'000};
  /// How long it is known that a job has completed or is not repeatable. A copy of its submission that arrives within
  /// this time starts nothing.
  duration retention{15'000'000};
  /// Longest time from the end of a process until a target executes a start request that the process has sent.
  duration late_start_limit{12'000'000};
  /// An entry that has not answered for this long counts as unreachable: its grant is not waited for.
  duration answer_limit{500'000};
  duration retry_interval{40'000};  ///< until a claim that was denied or not decided is repeated for the first time
  duration max_retry_interval{320'000};
  duration min_retry_after{300'000};     ///< shortest time after which a refused job is worth another attempt
  duration probe_interval{250'000};      ///< between requests to an unreachable entry
  duration contact_interval{2'000'000};  ///< longest time between two requests to a member of the view
  duration release_delay{100'000};       ///< releases wait this long for a request that also has claims
  /// By which members collect the claims of the others one after the other, in the order of their addresses, until one
  /// of them has all.
  duration collection_delay{200'000};
  /// A cancel that a majority of the job's registrars has not recorded after this time is answered as unconfirmed.
  duration cancel_limit{900'000};
  /// How long the answer to a cancel waits for the confirmation of the job's holder after a majority has recorded it.
  duration holder_limit{300'000};
  duration cancel_retry_interval{50'000};  ///< until a cancel that an entry has not recorded is sent to it again

  /// Time from the last message of a holder to a registrar until none of the holder's runs is active, if it loses its
  /// registrars then.
  duration claim_end_limit() const { return lease + stall_limit + run_end_limit; }
  /// Time from the beginning of a change of the view until no claim rests on the previous members alone.
  duration view_change_limit() const { return view_freshness + view_grace + claim_end_limit(); }
};

/// Sends a request to the entry at an address.
struct send_claim_request {
  std::uint64_t exchange = 0;  ///< identifies the request for OnReply()
  std::string address;
  claim_request request;
};

/// Gives up a request without a reply, and the connection on which it was sent.
struct abandon_claim_request {
  std::uint64_t exchange = 0;
};

/// A claim was decided: granted, or ended by what is known of the job.
struct claim_decided {
  std::string job_id;
  claim_verdict verdict = claim_verdict::kGranted;  ///< not kHeld or kUndecided
  /// Set if start requests of the job that were sent before this time may be unknown to all running entries.
  std::optional<instant> starts_unknown_before = std::nullopt;
};

/// The lease of a granted claim has ended: no further task may be started, and the runs are to be stopped. When they
/// have ended, the job may be claimed again.
struct claim_lapsed {
  std::string job_id;
};

/// A majority of the job's registrars can't be reached, so that its claim can't be granted at present.
struct claim_unavailable {
  std::string job_id;
};

/// A caller has cancelled a job that this entry has claimed. Its runs are to be stopped and its claim released.
struct claim_cancelled {
  std::string job_id;
};

/// What became of a cancel.
enum class cancel_outcome : std::uint8_t {
  kCancelled,    ///< an entry had the job; no task of it is started any more
  kNotOpen,      ///< no entry had the job, or it had completed; a later submission of the job starts nothing
  kUnconfirmed,  ///< a majority of the job's registrars has not recorded it in time; the caller has to repeat it
};

/// Answers a cancel.
struct cancel_decided {
  call_id call = 0;
  cancel_outcome outcome = cancel_outcome::kUnconfirmed;
};

/// Logs a decision.
struct log_claim_event {
  std::string event;
  std::string job_id;  ///< empty if the event concerns no job
  std::string detail;
};

using claim_action = std::variant<send_claim_request, abandon_claim_request, claim_decided, claim_lapsed,
                                  claim_unavailable, claim_cancelled, cancel_decided, log_claim_event>;

/// Number of claims by what became of them, since the start of the process.
struct claim_totals {
  std::uint64_t granted = 0;
  std::uint64_t denied = 0;  ///< denials, several for a claim that is repeated
  std::uint64_t lapsed = 0;
  std::uint64_t unavailable = 0;
};

/// Claims each job at registrars: entries that a rendezvous hash of the job's id chooses from the members of an agreed
/// view. A majority must grant the claim, and no one may deny it. The holder renews the claim at a majority, and stops
/// the job's runs if it can't. This entry is a registrar as well if it is a member. Does no I/O and reads no clock.
class job_claims {
 public:
  job_claims(const job_claims_settings& settings, std::uint64_t seed, instant now);

  /// Replaces the list of the other entries.
  void OnPeers(const std::vector<std::string>& addresses, instant now);

  /// The key-value service holds this view, as is known since @p confirmed_at; nullopt if it may be outdated.
  void OnView(const registrar_view& view, std::optional<instant> confirmed_at, instant now);
  /// The newest list of entries is that of a time at which the key-value service held the view with this number.
  void OnListedView(std::uint64_t number) { listed_view_ = std::max(listed_view_, number); }
  /// The key-value service has listed this process without a break since @p since, and does so until @p until. While an
  /// entry is not listed, the others may change the view without it.
  void OnRegistered(instant since, instant until);
  /// The key-value service has never held a view, so that no job can have been claimed before.
  void OnNoView() { complete_ = true; }

  /// Claims a job. claim_decided follows unless the claim is released before; it is repeated until then. The caller
  /// releases it before @p hold has passed. Also claims a job again whose claim has lapsed, once its runs have ended.
  void Claim(const std::string& job_id, duration hold, instant now);
  /// Ends a claim: no run of the job is active. The end is remembered for @p retention.
  void Release(const std::string& job_id, claim_end end, duration retention, instant now);
  /// A caller cancels a job. cancel_decided follows. @p was_open is whether this entry has the job.
  void Cancel(call_id call, const std::string& job_id, bool was_open, instant now);
  /// The caller of a cancel is gone: the cancel goes on and is not answered.
  void ForgetCall(call_id call);
  /// Number of cancels without an answer.
  std::size_t unanswered_cancels() const;

  /// An earlier request may start a task of a job, also if this entry has released the job.
  void ForbidRepetition(const std::string& job_id, instant now);
  /// The entry that was last reported to hold a job which this one has claimed; empty if there is none.
  std::string HolderOf(const std::string& job_id) const;

  /// Answers a request of another entry.
  claim_reply OnRequest(const claim_request& request, instant now);
  /// @p reply is nullopt if the connection failed.
  void OnReply(std::uint64_t exchange, const std::optional<claim_reply>& reply, instant now);

  /// Asks all entries that can be reached for the agents that are in contact with them.
  void FetchAgents();

  /// Renews and repeats claims, gives up requests without a reply, and completes the requests. Call after each group of
  /// inputs, before tasks are started.
  void Advance(instant now);

  std::vector<claim_action> TakeActions();

  /// The process exits soon: it is not listed any more, the others are told, and releases are sent without delay.
  void OnDrain();
  /// Whether a release has not reached a reachable entry.
  bool has_open_releases() const;

  const job_claims_settings& settings() const { return settings_; }
  const registrar_view& view() const { return view_; }
  /// Newest time at which the key-value service is known to have held no newer view; nullopt if there is none.
  std::optional<instant> view_confirmed_at() const { return view_confirmed_at_; }
  const claim_totals& totals() const { return totals_; }
  /// Whether this entry knows all claims that were made before its process started.
  bool complete() const { return complete_; }
  /// Jobs may have been claimed before this time of which this entry does not know; nullopt if there can be none within
  /// the late start limit.
  std::optional<instant> LacksClaimsBefore(instant now) const { return complete_ ? MemorySince(now) : started_at_; }
  /// Whether most members of the view decide about claims and can be reached, and this entry knows the claims of most.
  bool IsServing(instant now) const;
  /// Whether the entry at @p address answers; this entry does.
  bool IsReachable(const std::string& address) const;
  /// Whether the entry at @p address may become a member: it answers and does not exit soon.
  bool CanJoin(const std::string& address) const;
  /// Whether the entry at @p address has said that its process exits soon.
  bool IsLeaving(const std::string& address) const;
  /// Whether this entry is a member of the view or one of its previous members.
  bool IsInView() const { return IsMember(settings_.address); }
  /// Whether the change of the view in progress can end, since all members know the claims that rest on the previous
  /// members alone, and this entry is the one that ends it.
  bool CanEndChange(instant now) const;
  /// Time after which a job that was refused for want of registrars is worth another attempt: until this entry knows
  /// all claims and nothing rests on the members that are gone, as far as this can be foreseen.
  duration RetryAfter(instant now) const;
  /// Whether the view must be read again for this registration.
  bool NeedsConfirmation() const;
  std::size_t open_claims() const { return claims_.size(); }
  /// Number of entries that answer, including this one.
  std::size_t reachable_entries() const;

 private:
  struct open_claim {
    std::uint64_t number = 0;
    instant claimed_at;
    instant until;                               ///< the claim ends at this time at the latest
    std::vector<std::vector<std::string>> sets;  ///< of registrars, a majority of each of which must grant the claim
    std::optional<instant> new_set_until;        ///< the first set need not have granted the claim before this time
    bool decided = false;                        ///< granted, or ended by what is known of the job
    bool granted = false;                        ///< tasks may be started
    bool lapsed = false;                         ///< not repeated before the next call of Claim()
    bool unavailable = false;                    ///< claim_unavailable was reported
    bool cancelled = false;                      ///< claim_cancelled was reported
    std::map<std::string, std::optional<claim_verdict>> registrars;  ///< newest answers by address; nullopt if pending
    std::set<std::string> told;                                      ///< entries that may have recorded the claim
    int retries = 0;
    std::optional<instant> retry_at;
    std::string holder;
    /// Newest of the grants; see claim_decided.
    std::optional<instant> starts_unknown_before;
  };

  /// How far an entry has been told of a cancel.
  struct told_entry {
    bool pending = false;    ///< a request is queued or sent
    bool recorded = false;   ///< it has recorded the cancel
    bool holds_job = false;  ///< according to a registrar
    instant next_request;
  };

  /// A cancel that this entry took or knows as a registrar. It is kept until it expires, since registrars may change.
  struct open_cancel {
    std::vector<call_id> calls;  ///< that wait for the answer
    bool was_open = false;
    bool completed = false;
    instant until;
    instant answer_by;
    std::optional<instant> holder_due;           ///< set when a majority has recorded it
    std::vector<std::vector<std::string>> sets;  ///< of registrars
    std::map<std::string, told_entry> told;      ///< registrars and holders by address
  };

  struct peer {
    bool listed = true;
    bool member = false;    ///< of the view or its previous members
    bool previous = false;  ///< one of the previous members
    bool reachable = true;
    entry_status status;                  ///< of its process, as far as it is known
    std::uint64_t handed_over_view = 0;   ///< newest view by which its process has handed its claims over
    std::optional<instant> contacted_at;  ///< when this entry has last answered a request of it
    /// Since when it has not been listed, by lists that are as new as the view.
    std::optional<instant> unlisted_since;
    incarnation_id process = 0;  ///< 0 before its first message
    instant process_since;       ///< when this process was heard of first
    // As of the newest reply of this process:
    bool decides = true;
    std::uint64_t view_number = 0;
    std::optional<instant> heard_at;      ///< when the newest request that it has answered was sent
    std::optional<instant> confirmed_at;  ///< the same for replies with `decides`
    bool transferred = false;             ///< it has sent all claims that it knows, and knew all
    std::optional<instant> started_at;    ///< at the latest; set when it has sent all claims that it knows
    std::optional<instant> memory_since;  ///< as this entry's MemorySince()
    int failed_exchanges = 0;             ///< successive requests that failed with their connections
    std::uint64_t failed_exchange = 0;    ///< last request sent before the newest of them failed
    int open_exchanges = 0;               ///< requests without a reply
    bool check = false;                   ///< a request is due although there is nothing to send
    bool fetch_agents = false;            ///< a request for the agents in contact with it is due
    std::vector<std::string> claims;      ///< ids of jobs to be claimed with the next request
    std::vector<std::string> cancels;     ///< ids of cancelled jobs for the next request
    std::vector<claim_release> releases;
    instant oldest_release;
    instant sent_at;
    instant next_probe;
  };

  struct exchange_state {
    std::string address;
    instant sent_at;
    instant answer_due;  ///< pauses of this process are added
    std::vector<claim_release> releases;
    std::vector<std::string> claims;
    std::vector<std::string> cancels;
    bool fetches_claims = false;
  };

  void LogEvent(std::string event, std::string job_id, std::string detail);
  bool IsMember(const std::string& address) const;
  /// Updates what the view says of the entry at @p address.
  void SetRole(const std::string& address, peer& entry) const;
  /// Adopts a newer view.
  void AdoptView(const registrar_view& view, instant now);
  /// At this time, the key-value service held no view newer than view_.
  void ConfirmView(instant confirmed_at);
  /// Whether this entry may decide about claims: no newer view can have been in force for long.
  bool IsFresh(instant now) const;
  bool IsRegistered(instant now) const;
  bool HasHeardAllMembers(instant now) const;

  bool IsChanging() const { return !view_.previous.empty(); }
  /// Whether this entry knows all claims that rest on the previous members alone.
  bool KnowsChange() const { return known_view_ >= view_.number; }
  /// Whether this entry collects the claims of the previous members, as one of them.
  bool CollectsClaims(instant now) const;
  /// Whether the entry has yet to hand its claims over to this one for the change in progress.
  bool AwaitsHandOver(const peer& from, instant now) const;
  /// Whether the previous member at @p address does not decide by an earlier view any more, and no claim rests on what
  /// it has confirmed by one.
  bool HasCeased(const std::string& address, instant now) const;
  /// When that holds for a member that is not listed, if it is not heard of any more.
  instant EndOfConfirmations(const peer& unlisted, instant now) const;
  /// Takes over the claims of an entry that has adopted the view. Those in progress may outlast what its reply says.
  void TakeHandOver(const exchange_state& ended, const claim_reply& reply, instant now);
  void UpdateKnownView(instant now);
  void SetKnownView(std::string detail, instant now);
  /// Notes which previous members are not listed.
  void TrackUnlisted(instant now);
  /// Advances the change of the view in progress.
  void MaintainChange(instant now);
  entry_status OwnStatus() const;
  /// Takes what an entry says of itself.
  void TakeStatus(peer& from, const entry_status& status);

  /// Whether this entry knows the claims of a job that were made before its process started.
  bool KnowsClaimsOf(const std::string& job_id) const;
  bool CanDecide(const std::string& job_id, instant now) const;
  /// Updates whether this entry knows all claims that were made before its process started.
  void UpdateComplete(instant now);
  /// Since when this entry knows the claims of all jobs, if it may lack earlier ones; nullopt if that was the late
  /// start limit ago, or it has always known them.
  std::optional<instant> MemorySince(instant now) const;
  /// Adds what this registrar does not know of a job to its grant.
  void AddMemoryLimit(claim_answer& answer, instant now) const;
  /// Whether all entries have sent the claims that they know, and the runs of their previous processes have ended. The
  /// claims that other registrars had recorded are then not needed, as when all entries restart together.
  bool HasHeardAllEntries(instant now) const;

  /// Whether a majority of each set of registrars has granted the claim.
  bool HasMajority(const open_claim& claim) const;
  /// Whether a majority of each set of registrars can be reached and decides.
  bool CanReachMajority(const std::string& job_id, const open_claim& claim, instant now) const;
  /// When the newest confirmations by a majority of @p set end.
  instant LeaseEnd(const open_claim& claim, const std::vector<std::string>& set) const;
  instant LeaseEnd(const open_claim& claim) const;
  /// Lets claims lapse whose lease has ended, and requests confirmations of the others.
  void MaintainLeases(instant now);
  void Lapse(const std::string& job_id, open_claim& claim);
  /// Reports a claim that can't be granted at present.
  void CheckAvailable(const std::string& job_id, open_claim& claim, instant now);

  job_claim Describe(const std::string& job_id, const open_claim& claim, instant now) const;
  /// Which registrars have granted the claim, for the log.
  std::string DescribeGrant(const open_claim& claim, instant now) const;
  /// Asks those registrars of the job that have not been asked.
  void AskRegistrars(const std::string& job_id, open_claim& claim, instant now);
  void Ask(const std::string& address, const std::string& job_id, open_claim& claim, instant now);
  void OnAnswer(const std::string& address, const claim_answer& answer, instant now);
  /// Notes which starts of the job the registrar that has granted the claim does not know.
  static void NoteUnknownStarts(open_claim& claim, const claim_answer& answer, instant now);
  /// Records which other entry holds a job that this one has claimed.
  void NoteHolder(const std::string& job_id, open_claim& claim, const std::string& holder);
  /// A claim was denied because of this holder, whose process may have ended. Sends it a request to find out.
  void CheckHolder(const std::string& holder);
  /// Decides the claim if the answers suffice.
  void Decide(const std::string& job_id, open_claim& claim, instant now);
  /// Ends the claim at all registrars that were asked, and repeats it later under a new number.
  void Withdraw(const std::string& job_id, open_claim& claim, instant now);
  void SendRelease(const std::string& address, const claim_release& release, instant now);
  /// Ends the claim at all entries that may have recorded it.
  void ReleaseEverywhere(const std::string& job_id, const open_claim& claim, claim_end end, duration retention,
                         instant now);
  /// Asks registrars that can be reached and were not asked before.
  void ReassignRegistrars(instant now);
  void RepeatClaims(instant now);

  /// Adds an entry that is not listed.
  void AddPeer(const std::string& address);
  /// A message of a process of the entry has arrived. The process runs at @p alive_at or later; nullopt if that is not
  /// known. Returns false if the message must have no effect.
  bool OnContact(const std::string& address, incarnation_id process, std::optional<instant> alive_at, instant now);
  /// Processes of which this one has heard for so short a time that grants of their predecessors may still count.
  std::vector<entry_process> NewProcesses(instant now) const;
  /// Another entry has heard of these processes. The grants of their predecessors do not count any more.
  void OnNewProcesses(const std::vector<entry_process>& processes, instant now);
  /// The entry may not know the claims that it has granted.
  void AskAgain(const std::string& address, instant now);
  /// Takes what a reply says of the process that sent it.
  void OnStatus(const exchange_state& ended, const claim_reply& reply, instant now);
  void OnFailedExchange(std::uint64_t exchange, const exchange_state& failed, instant now);
  void SetReachable(const std::string& address, instant now);
  void SetUnreachable(const std::string& address, const std::string& reason, instant now);
  /// Reports that a job which this entry has claimed was cancelled.
  void CancelOwnClaim(const std::string& job_id);
  cancel_answer AnswerCancel(const job_cancel& cancel, instant now);
  /// Adds a cancel, or renews it. Returns nullptr if no more can be kept.
  open_cancel* KeepCancel(const std::string& job_id, instant until);
  /// Chooses the registrars of a cancel by the current view.
  void ReassignCancel(const std::string& job_id, open_cancel& cancel) const;
  /// Sends the cancels that this entry knows to the registrars of a new view.
  void ForwardCancels(const registrar_view& before, instant now);
  /// Sends a cancel to the registrars and holders that have not recorded it, and answers it when it is decided.
  void AdvanceCancel(const std::string& job_id, open_cancel& cancel, instant now);
  void TellCancel(const std::string& address, const std::string& job_id, open_cancel& cancel, instant now);
  void OnCancelAnswer(const std::string& address, const cancel_answer& answer, instant now);
  /// A request with these cancels has failed, or the entry's new process may not know them.
  void RepeatCancels(const std::string& address, const std::vector<std::string>& job_ids, instant now);
  void ForgetCancelsAt(const std::string& address);
  static bool IsRecorded(const open_cancel& cancel);
  /// Whether all registrars and holders have recorded the cancel and nobody waits for its answer.
  static bool IsSettled(const open_cancel& cancel);
  void AnswerCancelCalls(const std::string& job_id, open_cancel& cancel, cancel_outcome outcome);
  void AdvanceCancels(instant now);
  claim_answer AnswerClaim(const claim_request& request, const job_claim& claim, instant now);
  /// Adds the claims that this entry holds or has recorded.
  void AddKnownClaims(const claim_request& request, claim_reply& reply, instant now);
  /// Takes what a failed request contained back into the next request to the entry.
  void TakeBack(const exchange_state& failed, instant now);
  /// Gives up the requests to entries that do not answer.
  void ExpireExchanges(instant now);
  void SendRequests(instant now);
  /// Whether the entry has yet to send the claims that it knows.
  bool AwaitsClaims(const peer& from, instant now) const;
  /// Whether a request to the entry is due.
  bool IsRequestDue(const peer& to, instant now) const;
  void SendRequest(const std::string& address, peer& to, instant now);

  job_claims_settings settings_;
  seeded_random random_;
  claim_registry registry_;
  registrar_view view_;
  std::optional<instant> view_confirmed_at_;    ///< newest time at which no newer view is known to have existed
  std::map<std::string, open_claim> claims_;    ///< by job id
  std::map<std::string, open_cancel> cancels_;  ///< by job id
  std::set<std::string> unsettled_cancels_;     ///< those of cancels_ that have something to be done
  std::map<std::string, peer> peers_;           ///< by address
  std::map<std::uint64_t, exchange_state> exchanges_;
  std::uint64_t last_number_ = 0;
  std::uint64_t last_exchange_ = 0;
  instant view_adopted_at_;
  std::uint64_t listed_view_ = 0;  ///< number of the view as of the newest list of entries
  /// Newest view of which this entry knows all claims that rest on the previous members alone.
  std::uint64_t known_view_ = 0;
  instant known_at_;  ///< when known_view_ was set
  std::optional<instant> registered_since_;
  instant registered_until_;
  std::uint64_t first_view_ = 0;  ///< that this process has read
  /// Whether this process has become a member by a change that began after its start, so that it was told of all claims
  /// that were made before.
  bool joined_ = false;
  bool leaving_ = false;  ///< this process exits soon
  bool complete_ = false;
  std::optional<instant> memory_since_;  ///< see MemorySince(); set when this entry is complete
  bool listed_ = false;                  ///< whether the list of entries is known
  instant started_at_;
  instant expired_at_;
  instant cancels_expired_at_;
  instant advanced_at_;
  instant self_confirmed_at_;  ///< when the own process has last confirmed the claims that it has granted itself
  instant leases_checked_at_;
  claim_totals totals_;
  std::vector<claim_action> actions_;
};

}  // namespace bamboowing
