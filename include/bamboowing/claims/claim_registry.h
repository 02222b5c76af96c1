/// @file
/// Claims of jobs that an entry records as a registrar.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/message/job_claim.h"

namespace bamboowing {

/// Which entry holds each job, and which jobs have completed. Does no I/O and reads no clock.
class claim_registry {
 public:
  /// Beyond this number of records, those of released jobs are dropped first, then those of completed, unrepeatable and
  /// cancelled jobs, then those of lost holders, each time the one that expires first. A record of a job that its
  /// holder may still run is never dropped: if there are no others, further claims and cancels are not recorded.
  static constexpr std::size_t kMaxRecords = 16'384;

  /// @p run_end_limit is the time from the end of an entry's process until none of its runs is active, @p silence_limit
  /// the time from the last message of an entry until it has ended its runs because this registrar has not confirmed
  /// its claims; @p max_retention bounds how long it is known how a claim has ended. @p late_start_limit is the longest
  /// time for which a target may execute a start request of a process that has ended.
  claim_registry(duration run_end_limit, duration silence_limit, duration max_retention, duration late_start_limit)
      : run_end_limit_(run_end_limit),
        silence_limit_(silence_limit),
        max_retention_(max_retention),
        late_start_limit_(late_start_limit) {}

  /// Records the claim if no other entry holds the job. The verdict is kUndecided if it can't be recorded. A grant says
  /// whether a holder of the job was lost within the late start limit.
  claim_answer Claim(const std::string& holder, incarnation_id incarnation, const job_claim& claim, instant now);

  /// Ends the claim with this number or an earlier one of the same process. That a job is completed or not repeatable
  /// holds whichever entry has claimed it.
  void Release(const std::string& holder, incarnation_id incarnation, const claim_release& release, instant now);

  /// A message of a process of the entry at @p holder has arrived: the claims of its predecessors end soon, and its own
  /// are kept. Returns false if it is a late message of a predecessor, which must have no effect.
  bool OnProcess(const std::string& holder, incarnation_id incarnation, instant now);

  /// Another registrar has handed this claim over, since this one becomes a registrar of the job. It is kept for
  /// @p time without a further message, beside what is recorded of the job: a claimant of which this registrar has
  /// recorded a claim before keeps it. Returns false if it can't be kept.
  bool TakeOver(const held_claim& claim, duration time, instant now);

  /// Denies all claims of the job for cancel.retention, and for as long as its holder may have claimed it for. A job
  /// that is known to have completed stays so.
  cancel_answer Cancel(const job_cancel& cancel, instant now);
  /// Cancelled jobs that a process has claimed and not released.
  std::vector<std::string> CancelledJobsOf(const std::string& holder, incarnation_id incarnation) const;
  bool IsCancelled(const std::string& job_id, instant now) const;
  /// Cancels with their remaining times.
  std::vector<job_cancel> Cancels(instant now) const;

  /// The claims that are recorded or were handed over.
  std::vector<held_claim> HeldClaims(instant now) const;

  /// The jobs that no entry may start since they are cancelled or not repeatable, with their remaining times.
  std::vector<claim_release> ForbiddenJobs(instant now) const;

  /// Jobs whose holders were lost within the late start limit.
  std::vector<lost_claim> LostClaims(instant now) const;
  /// Another registrar knows that the holder of the job was lost.
  void AddLostClaim(const lost_claim& lost, instant now);

  /// Removes the records whose time has passed.
  void Expire(instant now);

  std::size_t size() const { return records_.size(); }

 private:
  struct record {
    std::optional<claim_end> end;  ///< nullopt while the job is held
    std::string holder;
    incarnation_id incarnation = 0;
    std::uint64_t number = 0;
    instant until;                      ///< of the claim, or of how it has ended
    instant recorded_at;                ///< when this registrar learned of it
    std::optional<claim_end> reported;  ///< what another entry has reported of the job while it is held
    instant reported_until;
    // If the job was cancelled:
    bool was_open = false;  ///< an entry is known to have had it then
    bool running = false;   ///< the holder had claimed it then and has not released it
    /// When the claim of a holder ended that was lost: it may have sent start requests that nobody knows of.
    std::optional<instant> holder_lost_at;
  };

  /// A claim that another registrar has handed over.
  struct handed_over_claim {
    std::string holder;
    incarnation_id incarnation = 0;
    std::uint64_t number = 0;
    instant until;
  };

  using record_map = std::unordered_map<std::string, record>;  ///< by job id

  /// Processes of one entry. Their incarnations have no order, so those that were replaced are remembered.
  struct entry_processes {
    incarnation_id newest = 0;
    instant newest_heard_at;
    std::deque<incarnation_id> replaced;
  };

  /// The holder of a handed-over claim of the job that denies one of this process; empty if there is none.
  std::string DeniedBy(const std::string& job_id, incarnation_id incarnation, instant now) const;
  /// When the claim ends, if nothing further is heard of its holder.
  instant HoldEnd(const record& known) const;
  /// When the record ceases to have effect, if nothing further is heard of its holder.
  instant EndOf(const record& known) const;
  /// Whether the record is that of a claim whose holder has not released it in time.
  bool IsLost(const record& known, instant now) const { return !known.end && !known.reported && now >= HoldEnd(known); }
  /// When the newest claim of the job ended whose holder was lost; nullopt if that is longer ago than the late start
  /// limit, or there is none.
  std::optional<instant> HolderLostAt(const std::string& job_id, instant now) const;
  /// The processes of the entry but one have ended: so do their claims, once their runs have ended.
  void LimitClaims(const std::string& holder, incarnation_id except, instant now);
  /// Removes the handed-over claim that this release ends.
  void DropHandedOver(incarnation_id incarnation, const claim_release& release);
  /// A claim of a cancelled job has ended. A job that was completed by then stays so.
  void ReleaseCancelled(record_map::iterator cancelled, const claim_release& release, bool by_holder, instant until);
  /// The holder of a cancelled job no longer runs it.
  void ForgetHolder(const std::string& job_id, record& known);
  /// Returns false if the record can't be kept.
  bool Store(const std::string& job_id, record added, instant now);
  /// Drops a record of a claim that has ended. Returns false if there is none.
  bool DropEndedRecord(instant now);

  duration run_end_limit_;
  duration silence_limit_;
  duration max_retention_;
  duration late_start_limit_;
  record_map records_;
  /// By job id. Registrars may name different holders of a job, one of which has no majority.
  std::unordered_map<std::string, std::vector<handed_over_claim>> handed_over_;
  std::unordered_map<std::string, entry_processes> processes_;  ///< by address
  /// Jobs of records with `running`, by the address of their holder.
  std::map<std::string, std::set<std::string>> cancelled_of_;
};

}  // namespace bamboowing
