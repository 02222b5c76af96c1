/// @file
/// Keeps the view of the registrars in the key-value service in line with the entries that exist.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/claims/job_claims.h"
#include "bamboowing/message/registrar_view.h"
#include "bamboowing/ownership/owner_actions.h"

namespace bamboowing {

struct view_maintainer_settings {
  std::string address;  ///< of this entry, as other entries reach it
  /// Age of the newest confirmation of the view, by a read of this entry or of another one that has told it, after
  /// which the view is read.
  duration read_interval{2'000'000};
  duration retry_interval{300'000};  ///< shortest time between two reads, and after a call that failed
  /// Time from the first list of entries until the first view is written, so that all entries of a new deployment
  /// are members.
  duration settle_time{700'000};
  duration join_delay{2'000'000};     ///< a new entry becomes a member when it has been listed for this long
  duration removal_delay{3'000'000};  ///< a member is removed when it was neither listed nor reachable for this long
  /// The same if half of the members or more are missing, so that most jobs are refused.
  duration urgent_removal_delay{500'000};
  /// An entry that is no member begins a change when no member was listed or reachable for this long: within it,
  /// members that run and reach the key-value service after its outage are listed again.
  duration takeover_delay{2'000'000};
  /// See job_claims_settings::view_change_limit().
  duration change_limit{9'600'000};
  duration rank_delay{200'000};  ///< by which entries act one after the other, in the order of their addresses
};

/// A call to the key-value service, of which one is pending at a time. Keys are without the process's prefix.
using view_call = std::variant<store_read, store_swap>;

/// A view that the key-value service held.
struct confirmed_view {
  registrar_view view;
  instant confirmed_at;  ///< when the call was sent
};

/// What a call to the key-value service has shown.
struct view_result {
  std::optional<confirmed_view> view;
  bool absent = false;  ///< no view has ever been written
  std::string error;    ///< set if the stored value is not a view
};

/// Reads the view regularly and changes it with compare-and-swap: first to a view that also names the previous members,
/// and when no claim can rest on those alone, to one without them. While a change is in progress, members that are lost
/// are removed from the new ones. Does no I/O and reads no clock.
class view_maintainer {
 public:
  explicit view_maintainer(const view_maintainer_settings& settings) : settings_(settings) {}

  /// The entries that are registered, by address, as of now.
  void OnListed(const std::vector<std::string>& addresses, instant now);

  /// The call that is due; nullopt if there is none. @p claims are those of this entry.
  std::optional<view_call> NextCall(const job_claims& claims, instant now);

  /// Handles the result of the pending call.
  view_result OnResult(const store_result& result, instant now);

 private:
  enum class call_kind : std::uint8_t { kRead, kWrite };

  struct pending_call {
    call_kind kind = call_kind::kRead;
    instant sent_at;
    registrar_view proposed;  ///< for a write
  };

  /// The view that should follow; nullopt if the current one is right.
  std::optional<registrar_view> Proposal(const job_claims& claims, instant now) const;
  std::optional<registrar_view> FirstView(instant now) const;
  /// Ends the change in progress, or removes members from it that are lost.
  std::optional<registrar_view> ContinuedChange(const job_claims& claims, instant now) const;
  std::optional<registrar_view> ChangedMembers(const job_claims& claims, instant now) const;
  /// Whether the member is to be removed because it is lost.
  bool IsLost(const std::string& address, instant now) const;
  /// The members without those that are lost and, in a small view, those that leave.
  std::vector<std::string> RemainingMembers(const job_claims& claims, std::size_t joining, instant now) const;
  /// Entries that are to become members.
  std::vector<std::string> JoiningEntries(const job_claims& claims, instant now) const;
  /// Whether this entry may write the view that follows: it is one of @p members, or these were all gone for @p time.
  /// So an entry that hears all members hears one that knows of the change.
  bool MayWrite(const std::vector<std::string>& members, duration time, instant now) const;
  bool IsReadDue(const job_claims& claims, instant now) const;
  /// Additional delay of this entry's calls.
  duration RankDelay() const;
  void TrackMissing(const job_claims& claims, instant now);
  /// Whether a member was neither listed nor reachable for @p time.
  bool IsMissing(const std::string& address, duration time, instant now) const;
  view_result Take(const registrar_view& view, instant confirmed_at, instant now);

  view_maintainer_settings settings_;
  std::map<std::string, instant> listed_since_;   ///< by address
  std::map<std::string, instant> missing_since_;  ///< members that are neither listed nor reachable
  std::optional<instant> first_listed_at_;
  std::optional<registrar_view> view_;  ///< newest that the service is known to have held
  store_version version_ = 0;
  bool read_ = false;     ///< whether view_ and version_ reflect an answer
  instant view_seen_at_;  ///< when view_ was first received
  bool malformed_ = false;
  std::optional<pending_call> pending_;
  instant checked_at_;       ///< when it was last checked what is due
  instant not_before_;       ///< of the next call, after one that failed
  instant read_not_before_;  ///< of the next read, after a call that did not
};

}  // namespace bamboowing
