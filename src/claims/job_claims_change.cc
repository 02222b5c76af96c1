// Changes of the view of job_claims: the previous members hand over the claims that rest on them alone.

#include <algorithm>
#include <cstddef>
#include <utility>

#include "bamboowing/claims/job_claims.h"

namespace bamboowing {
namespace {

// Bound of the rank by which an entry delays its collection.
constexpr std::ptrdiff_t kMaxRank = 5;

bool Contains(const std::vector<std::string>& addresses, const std::string& address) {
  return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

}  // namespace

void job_claims::SetRole(const std::string& address, peer& entry) const {
  entry.member = IsMember(address);
  entry.previous = Contains(view_.previous, address);
}

void job_claims::OnDrain() {
  settings_.release_delay = duration(0);
  leaving_ = true;
  registered_since_.reset();
  for (std::pair<const std::string, peer>& item : peers_) {
    item.second.check = item.second.check || item.second.reachable;
  }
}

bool job_claims::IsLeaving(const std::string& address) const {
  const std::map<std::string, peer>::const_iterator found = peers_.find(address);
  return address == settings_.address ? leaving_ : found != peers_.end() && found->second.status.leaving;
}

bool job_claims::CanJoin(const std::string& address) const { return IsReachable(address) && !IsLeaving(address); }

entry_status job_claims::OwnStatus() const { return {complete_, leaving_, known_view_}; }

void job_claims::TakeStatus(peer& from, const entry_status& status) {
  // Messages may overtake each other; none of this is taken back while the process runs.
  from.status.complete = from.status.complete || status.complete;
  from.status.leaving = from.status.leaving || status.leaving;
  from.status.known_view = std::max(from.status.known_view, status.known_view);
  const bool can_hand_over = IsChanging() && !KnowsChange() && from.status.known_view >= view_.number;
  from.check = from.check || (can_hand_over && from.reachable);
}

bool job_claims::CollectsClaims(instant now) const {
  const bool any_previous = std::any_of(view_.previous.begin(), view_.previous.end(),
                                        [this](const std::string& address) { return IsReachable(address); });
  const std::vector<std::string>& collectors = any_previous ? view_.previous : view_.members;
  if (!Contains(collectors, settings_.address)) {
    return false;
  }
  // An entry that leaves does it if no other one can.
  const std::ptrdiff_t rank = std::count_if(collectors.begin(), collectors.end(), [this](const std::string& address) {
    const bool precedes = leaving_ ? address != settings_.address : address < settings_.address;
    return precedes && IsReachable(address) && !IsLeaving(address);
  });
  return now - view_adopted_at_ >= settings_.collection_delay * std::min(kMaxRank, rank);
}

bool job_claims::AwaitsHandOver(const peer& from, instant now) const {
  if (!IsChanging() || KnowsChange()) {
    return false;
  }
  const bool knows = from.status.known_view >= view_.number;
  return knows || (from.previous && from.handed_over_view < view_.number && CollectsClaims(now));
}

instant job_claims::EndOfConfirmations(const peer& unlisted, instant now) const {
  // An entry that is not listed decides by no view that it has read before. If it is listed again, it reads this one.
  instant end = unlisted.unlisted_since.value_or(now);
  if (IsInView()) {
    // Unless it hears all members, of which this entry is one.
    end = std::max(end, unlisted.contacted_at.value_or(started_at_) + settings_.member_freshness);
  }
  return end + settings_.claim_end_limit();
}

bool job_claims::HasCeased(const std::string& address, instant now) const {
  const std::map<std::string, peer>::const_iterator found = peers_.find(address);
  if (found == peers_.end() || !found->second.unlisted_since || now < EndOfConfirmations(found->second, now)) {
    return false;
  }
  return Contains(view_.previous, settings_.address) || !found->second.reachable;
}

duration job_claims::RetryAfter(instant now) const {
  instant end = now + settings_.min_retry_after;
  if (!complete_) {
    end = std::max(end, started_at_ + settings_.claim_end_limit());
  }
  for (const std::pair<const std::string, peer>& item : peers_) {
    const peer& other = item.second;
    if (other.member && !other.listed && !other.reachable) {
      end = std::max(end, EndOfConfirmations(other, now));
    }
  }
  return end - now;
}

void job_claims::TakeHandOver(const exchange_state& ended, const claim_reply& reply, instant now) {
  if (!IsChanging() || KnowsChange() || !ended.fetches_claims || reply.view.number != view_.number) {
    return;
  }
  // The holder of a claim may still obtain confirmations of the previous members for a lease, and has the grace after
  // that for those of the new ones.
  const duration time = settings_.view_grace + settings_.claim_end_limit();
  for (const held_claim& held : reply.held) {
    if (!registry_.TakeOver(held, time, now)) {
      return;
    }
  }
  peer& from = peers_[ended.address];
  if (from.previous && reply.status.complete) {
    from.handed_over_view = view_.number;
  }
  if (reply.status.known_view >= view_.number) {
    joined_ =
        joined_ || (!Contains(view_.previous, settings_.address) && first_view_ != 0 && first_view_ < view_.number);
    SetKnownView("from " + ended.address, now);
    from.check = true;  // it waits for this
  }
}

void job_claims::UpdateKnownView(instant now) {
  if (!IsChanging() || KnowsChange() || !complete_) {
    return;
  }
  const bool is_previous = Contains(view_.previous, settings_.address);
  const std::size_t silent = static_cast<std::size_t>(
      std::count_if(view_.previous.begin(), view_.previous.end(), [&](const std::string& address) {
        const std::map<std::string, peer>::const_iterator found = peers_.find(address);
        const bool handed_over = found != peers_.end() && found->second.handed_over_view >= view_.number;
        return address != settings_.address && !(is_previous && handed_over) && !HasCeased(address, now);
      }));
  // A claim by an earlier view needs a majority of its registrars, one of which has handed it over unless so many of
  // them are silent. An entry that is no previous member learns of claims from another entry, unless all of these are
  // gone.
  const std::size_t registrars = view_.previous.size() < kRegistrars ? 1 : kRegistrars;
  if (silent < (is_previous ? MajorityOf(registrars) : 1)) {
    SetKnownView("previous members that are silent: " + std::to_string(silent), now);
  }
}

void job_claims::SetKnownView(std::string detail, instant now) {
  known_view_ = view_.number;
  known_at_ = now;
  LogEvent("claims_handed_over", "",
           "view " + std::to_string(view_.number) + ", after " +
               std::to_string((now - view_adopted_at_).count() / 1000) + " ms, " + std::move(detail));
}

void job_claims::TrackUnlisted(instant now) {
  for (std::pair<const std::string, peer>& item : peers_) {
    peer& other = item.second;
    if (other.listed || listed_view_ < view_.number) {
      other.unlisted_since.reset();
    } else if (!other.unlisted_since) {
      other.unlisted_since = now;
    }
  }
}

void job_claims::MaintainChange(instant now) {
  if (!IsChanging()) {
    return;
  }
  TrackUnlisted(now);
  UpdateKnownView(now);
  if (!CollectsClaims(now)) {
    return;
  }
  const instant asked_since = KnowsChange() ? known_at_ : view_adopted_at_;
  for (std::pair<const std::string, peer>& item : peers_) {
    peer& other = item.second;
    const bool awaited = KnowsChange() ? other.status.known_view < view_.number && Contains(view_.members, item.first)
                                       : AwaitsHandOver(other, now);
    const bool due = other.sent_at < asked_since || now - other.sent_at >= settings_.probe_interval;
    other.check = other.check || (awaited && due && other.reachable);
  }
}

bool job_claims::CanEndChange(instant now) const {
  return IsChanging() && KnowsChange() && CollectsClaims(now) &&
         std::all_of(view_.members.begin(), view_.members.end(), [this](const std::string& address) {
           const std::map<std::string, peer>::const_iterator found = peers_.find(address);
           return address == settings_.address ||
                  (found != peers_.end() && found->second.status.known_view >= view_.number);
         });
}

}  // namespace bamboowing
