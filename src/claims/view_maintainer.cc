#include "bamboowing/claims/view_maintainer.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

#include "bamboowing/claims/registrar_quorum.h"

namespace bamboowing {
namespace {

// A call counts as unanswered after this time, so that a lost result does not stop the reads.
constexpr duration kCallLimit = std::chrono::seconds(3);
// Between two checks of what is due, each of which compares all entries with all members.
constexpr duration kCheckInterval = std::chrono::milliseconds(20);
// Up to this number of members, each one is a registrar of half of the jobs or more.
constexpr std::size_t kSmallView = 2 * kRegistrars;
// Bound of the rank by which an entry's calls are delayed.
constexpr std::ptrdiff_t kMaxRank = 5;

bool Contains(const std::vector<std::string>& addresses, const std::string& address) {
  return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

}  // namespace

void view_maintainer::OnListed(const std::vector<std::string>& addresses, instant now) {
  for (std::map<std::string, instant>::iterator item = listed_since_.begin(); item != listed_since_.end();) {
    item = Contains(addresses, item->first) ? std::next(item) : listed_since_.erase(item);
  }
  for (const std::string& address : addresses) {
    listed_since_.emplace(address, now);
  }
  if (!first_listed_at_) {
    first_listed_at_ = now;
  }
}

std::optional<view_call> view_maintainer::NextCall(const job_claims& claims, instant now) {
  if (pending_ && now - pending_->sent_at >= kCallLimit) {
    pending_.reset();
    read_ = false;
  }
  if (pending_ || now < not_before_ || now - checked_at_ < kCheckInterval) {
    return std::nullopt;
  }
  checked_at_ = now;
  TrackMissing(claims, now);
  const std::string key(kRegistrarViewKey);
  if (const std::optional<registrar_view> proposed = Proposal(claims, now); proposed) {
    pending_ = pending_call{call_kind::kWrite, now, *proposed};
    return store_swap{0, key, version_, FormatRegistrarView(*proposed), 0};
  }
  if (now < read_not_before_ || !IsReadDue(claims, now)) {
    return std::nullopt;
  }
  pending_ = pending_call{call_kind::kRead, now, {}};
  return store_read{0, key};
}

bool view_maintainer::IsReadDue(const job_claims& claims, instant now) const {
  if (!read_ || !view_ || claims.view().number > view_->number) {
    return true;
  }
  const std::optional<instant> confirmed_at = claims.view_confirmed_at();
  return !confirmed_at || claims.NeedsConfirmation() || now - *confirmed_at >= settings_.read_interval + RankDelay();
}

view_result view_maintainer::OnResult(const store_result& result, instant now) {
  if (!pending_) {
    return {};
  }
  const pending_call call = std::move(*pending_);
  pending_.reset();
  if (result.outcome != store_outcome::kOk) {
    // A write without an answer may have taken effect, and one with a conflict was preceded by another.
    read_ = false;
    not_before_ = result.outcome == store_outcome::kConflict ? now : now + settings_.retry_interval;
    return {};
  }
  read_ = true;
  version_ = result.version;
  read_not_before_ = now + settings_.retry_interval;
  if (call.kind == call_kind::kWrite) {
    return Take(call.proposed, call.sent_at, now);
  }
  view_result read;
  if (!result.value) {
    read.absent = !view_;
    return read;
  }
  const std::optional<registrar_view> view = ParseRegistrarView(*result.value);
  malformed_ = !view;
  if (!view) {
    read.error = "the value of key " + std::string(kRegistrarViewKey) + " is not a view of registrars";
    return read;
  }
  return Take(*view, call.sent_at, now);
}

view_result view_maintainer::Take(const registrar_view& view, instant confirmed_at, instant now) {
  if (!view_ || view_->number != view.number) {
    view_seen_at_ = now;
  }
  view_ = view;
  view_result taken;
  taken.view = confirmed_view{view, confirmed_at};
  return taken;
}

void view_maintainer::TrackMissing(const job_claims& claims, instant now) {
  if (!view_ || !first_listed_at_) {
    return;
  }
  for (const std::vector<std::string>* members : {&view_->members, &view_->previous}) {
    for (const std::string& address : *members) {
      if (listed_since_.count(address) != 0 || claims.IsReachable(address)) {
        missing_since_.erase(address);
      } else {
        missing_since_.emplace(address, now);
      }
    }
  }
}

bool view_maintainer::IsMissing(const std::string& address, duration time, instant now) const {
  const std::map<std::string, instant>::const_iterator missing = missing_since_.find(address);
  return missing != missing_since_.end() && now - missing->second >= time;
}

duration view_maintainer::RankDelay() const {
  const std::map<std::string, instant>::const_iterator own = listed_since_.find(settings_.address);
  return settings_.rank_delay * std::min(kMaxRank, std::distance(listed_since_.begin(), own));
}

std::optional<registrar_view> view_maintainer::Proposal(const job_claims& claims, instant now) const {
  const bool listed = listed_since_.count(settings_.address) != 0;
  if (!read_ || malformed_ || !(listed || claims.IsLeaving(settings_.address))) {
    return std::nullopt;
  }
  if (!view_) {
    return FirstView(now);
  }
  if (view_->previous.empty()) {
    return ChangedMembers(claims, now);
  }
  return ContinuedChange(claims, now);
}

std::optional<registrar_view> view_maintainer::ContinuedChange(const job_claims& claims, instant now) const {
  const bool handed_over = claims.view().number == view_->number && claims.CanEndChange(now);
  const bool time_passed = now - view_seen_at_ >= settings_.change_limit + RankDelay();
  if (handed_over || (time_passed && MayWrite(view_->previous, settings_.change_limit, now))) {
    return registrar_view{view_->number + 1, view_->members, {}};
  }
  const bool any_lost = std::any_of(view_->members.begin(), view_->members.end(),
                                    [this, now](const std::string& address) { return IsLost(address, now); });
  return any_lost ? ChangedMembers(claims, now) : std::nullopt;
}

std::optional<registrar_view> view_maintainer::FirstView(instant now) const {
  if (version_ != 0 || !first_listed_at_ || now - *first_listed_at_ < settings_.settle_time + RankDelay()) {
    return std::nullopt;
  }
  registrar_view first{1, {}, {}};
  for (const std::pair<const std::string, instant>& item : listed_since_) {
    first.members.push_back(item.first);
  }
  return first;
}

bool view_maintainer::MayWrite(const std::vector<std::string>& members, duration time, instant now) const {
  return Contains(members, settings_.address) ||
         std::all_of(members.begin(), members.end(), [this, time, now](const std::string& address) {
           return IsMissing(address, time + RankDelay(), now);
         });
}

bool view_maintainer::IsLost(const std::string& address, instant now) const {
  if (!IsMissing(address, duration(0), now)) {
    return false;
  }
  const std::size_t missing = static_cast<std::size_t>(
      std::count_if(view_->members.begin(), view_->members.end(),
                    [this, now](const std::string& member) { return IsMissing(member, duration(0), now); }));
  const bool most_missing = missing * 2 >= view_->members.size();
  const duration delay = most_missing ? settings_.urgent_removal_delay : settings_.removal_delay;
  return IsMissing(address, delay + RankDelay(), now);
}

std::vector<std::string> view_maintainer::RemainingMembers(const job_claims& claims, std::size_t joining,
                                                           instant now) const {
  std::vector<std::string> present;
  std::vector<std::string> staying;
  for (const std::string& address : view_->members) {
    if (IsLost(address, now)) {
      continue;
    }
    present.push_back(address);
    if (!claims.IsLeaving(address)) {
      staying.push_back(address);
    }
  }
  // In a larger view a member that restarts is missed less than two changes cost. Of three members, two would be too
  // few for several registrars of each job.
  const bool is_small = view_->members.size() <= kSmallView;
  const bool several = staying.size() + joining >= kRegistrars || view_->members.size() < kRegistrars;
  return is_small && several && staying.size() + joining > 0 ? staying : present;
}

std::vector<std::string> view_maintainer::JoiningEntries(const job_claims& claims, instant now) const {
  // A change that replaces members has not to be followed by another one.
  const bool replaces = std::any_of(
      view_->members.begin(), view_->members.end(),
      [this, &claims, now](const std::string& address) { return claims.IsLeaving(address) || IsLost(address, now); });
  std::vector<std::string> joining;
  for (const std::pair<const std::string, instant>& item : listed_since_) {
    const bool listed_for_long = now - item.second >= settings_.join_delay + RankDelay();
    if ((listed_for_long || replaces) && claims.CanJoin(item.first) && !Contains(view_->members, item.first)) {
      joining.push_back(item.first);
    }
  }
  return joining;
}

std::optional<registrar_view> view_maintainer::ChangedMembers(const job_claims& claims, instant now) const {
  const bool is_previous = Contains(view_->previous, settings_.address);
  if (!is_previous && !MayWrite(view_->members, settings_.takeover_delay, now)) {
    return std::nullopt;
  }
  // The new members of a change in progress decide about nothing alone yet, so they can be replaced.
  registrar_view changed{view_->number + 1, {}, view_->previous.empty() ? view_->members : view_->previous};
  const std::vector<std::string> joining = JoiningEntries(claims, now);
  changed.members = RemainingMembers(claims, joining.size(), now);
  changed.members.insert(changed.members.end(), joining.begin(), joining.end());
  std::sort(changed.members.begin(), changed.members.end());
  if (changed.members.empty() || changed.members == view_->members) {
    return std::nullopt;
  }
  return changed;
}

}  // namespace bamboowing
