// Views, majorities and leases of job_claims.

#include <algorithm>
#include <functional>
#include <utility>

#include "bamboowing/claims/job_claims.h"

namespace bamboowing {
namespace {

constexpr duration kLeaseCheckInterval = std::chrono::milliseconds(10);
// A confirmation is requested when this part of the lease has passed, so that one lost request does not end the lease.
constexpr int kRenewalsPerLease = 3;

bool Contains(const std::vector<std::string>& addresses, const std::string& address) {
  return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

}  // namespace

bool job_claims::IsMember(const std::string& address) const {
  return Contains(view_.members, address) || Contains(view_.previous, address);
}

void job_claims::OnView(const registrar_view& view, std::optional<instant> confirmed_at, instant now) {
  AdoptView(view, now);
  if (confirmed_at) {
    first_view_ = first_view_ == 0 ? view.number : first_view_;
    ConfirmView(*confirmed_at);
  }
}

void job_claims::AdoptView(const registrar_view& view, instant now) {
  if (view.number <= view_.number || view.members.empty()) {
    return;
  }
  const bool change_begins = !view.previous.empty();
  for (std::pair<const std::string, open_claim>& item : claims_) {
    open_claim& claim = item.second;
    // The previous members must still confirm a claim during a change. After it, what they have confirmed counts until
    // the lease ends; the new members know the claim for longer.
    const instant grace_end = now + settings_.view_grace;
    claim.new_set_until = change_begins ? grace_end : std::min(grace_end, LeaseEnd(claim));
  }
  const registrar_view before = std::exchange(view_, view);
  view_adopted_at_ = now;
  LogEvent("registrar_view", "",
           "number " + std::to_string(view.number) + ", members " + std::to_string(view.members.size()) +
               ", previous members " + std::to_string(view.previous.size()));
  for (std::pair<const std::string, peer>& item : peers_) {
    SetRole(item.first, item.second);
    item.second.unlisted_since.reset();
  }
  for (const std::vector<std::string>* addresses : {&view_.members, &view_.previous}) {
    for (const std::string& address : *addresses) {
      AddPeer(address);
    }
  }
  for (std::pair<const std::string, open_claim>& item : claims_) {
    item.second.sets = RegistrarSets(item.first, view_);
  }
  ForwardCancels(before, now);
  ReassignRegistrars(now);
}

void job_claims::ConfirmView(instant confirmed_at) {
  // A later view was written after the time at which an earlier one was in force.
  view_confirmed_at_ = std::max(view_confirmed_at_.value_or(confirmed_at), confirmed_at);
}

void job_claims::OnRegistered(instant since, instant until) {
  registered_since_ = since;
  registered_until_ = until;
}

bool job_claims::IsRegistered(instant now) const { return registered_since_ && now < registered_until_; }

bool job_claims::NeedsConfirmation() const {
  return registered_since_ && (!view_confirmed_at_ || *view_confirmed_at_ < *registered_since_);
}

bool job_claims::HasHeardAllMembers(instant now) const {
  const auto heard = [this, now](const std::string& address) {
    const std::map<std::string, peer>::const_iterator found = peers_.find(address);
    return address == settings_.address || (found != peers_.end() && found->second.heard_at &&
                                            now - *found->second.heard_at < settings_.member_freshness);
  };
  return std::all_of(view_.members.begin(), view_.members.end(), heard) &&
         std::all_of(view_.previous.begin(), view_.previous.end(), heard);
}

bool job_claims::IsFresh(instant now) const {
  if (view_.number == 0) {
    return false;
  }
  const bool confirmed =
      IsRegistered(now) && !NeedsConfirmation() && now - *view_confirmed_at_ < settings_.view_freshness;
  return confirmed || HasHeardAllMembers(now);
}

bool job_claims::KnowsClaimsOf(const std::string& job_id) const {
  if (complete_) {
    return true;
  }
  // During a change, the previous members know the claims, and the new ones have only to record theirs.
  const std::vector<std::string> set = RegistrarSets(job_id, view_).back();
  if (!Contains(set, settings_.address)) {
    return true;
  }
  // Each majority of several registrars has one other than the predecessor of this process.
  return set.size() > 1 && std::all_of(set.begin(), set.end(), [this](const std::string& address) {
           const std::map<std::string, peer>::const_iterator found = peers_.find(address);
           return address == settings_.address || (found != peers_.end() && found->second.transferred);
         });
}

bool job_claims::CanDecide(const std::string& job_id, instant now) const {
  return IsFresh(now) && KnowsClaimsOf(job_id);
}

void job_claims::UpdateComplete(instant now) {
  if (complete_ || view_.number == 0) {
    return;
  }
  const bool all_transferred = std::all_of(
      peers_.begin(), peers_.end(),
      [](const std::pair<const std::string, peer>& item) { return !item.second.member || item.second.transferred; });
  const bool several =
      view_.members.size() >= kRegistrars && (view_.previous.empty() || view_.previous.size() >= kRegistrars);
  const bool transferred = (several && all_transferred) || joined_;
  if (now - started_at_ >= settings_.claim_end_limit() || transferred || HasHeardAllEntries(now)) {
    memory_since_ = transferred ? MemorySince(now) : started_at_;
    complete_ = true;
    for (std::pair<const std::string, peer>& item : peers_) {
      item.second.check = item.second.check || item.second.reachable;  // this entry can join the members
    }
    LogEvent("claims_complete", "",
             "after " + std::to_string((now - started_at_).count() / 1000) + " ms, entries " +
                 std::to_string(reachable_entries()) + ", claims " + std::to_string(registry_.size()));
  }
}

std::optional<instant> job_claims::MemorySince(instant now) const {
  std::optional<instant> since = memory_since_;
  if (!complete_) {
    for (const std::pair<const std::string, peer>& item : peers_) {
      if (item.second.transferred && item.second.memory_since) {
        since = std::max(since.value_or(*item.second.memory_since), *item.second.memory_since);
      }
    }
  }
  return since && now - *since < settings_.late_start_limit ? since : std::nullopt;
}

void job_claims::AddMemoryLimit(claim_answer& answer, instant now) const {
  const std::optional<instant> since = MemorySince(now);
  if (answer.verdict == claim_verdict::kGranted && since) {
    const duration age = now - *since;
    answer.starts_unknown_before = std::min(answer.starts_unknown_before.value_or(age), age);
  }
}

bool job_claims::HasHeardAllEntries(instant now) const {
  return listed_ && now - started_at_ >= settings_.run_end_limit &&
         std::all_of(peers_.begin(), peers_.end(), [this, now](const std::pair<const std::string, peer>& item) {
           const peer& other = item.second;
           const bool counts = other.listed || other.member || other.reachable;
           return !counts || (other.started_at && now - *other.started_at >= settings_.run_end_limit);
         });
}

bool job_claims::IsServing(instant now) const {
  std::size_t deciding = 0;
  std::size_t transferred = 0;
  for (const std::string& address : view_.members) {
    const std::map<std::string, peer>::const_iterator found = peers_.find(address);
    if (found != peers_.end()) {
      deciding += found->second.reachable && found->second.decides ? 1 : 0;
      transferred += found->second.transferred ? 1 : 0;
    }
  }
  const std::size_t majority = MajorityOf(view_.members.size());
  const bool several = view_.members.size() >= kRegistrars;
  const bool knows_most_claims = complete_ || (several && transferred + 1 >= majority);
  deciding += Contains(view_.members, settings_.address) && IsFresh(now) ? 1 : 0;
  return view_.number > 0 && knows_most_claims && deciding >= majority;
}

bool job_claims::HasMajority(const open_claim& claim) const {
  const auto granted = [&claim](const std::string& address) {
    const std::map<std::string, std::optional<claim_verdict>>::const_iterator asked = claim.registrars.find(address);
    return asked != claim.registrars.end() && asked->second == claim_verdict::kGranted;
  };
  return !claim.sets.empty() &&
         std::all_of(claim.sets.begin(), claim.sets.end(), [&granted](const std::vector<std::string>& set) {
           return static_cast<std::size_t>(std::count_if(set.begin(), set.end(), granted)) >= MajorityOf(set.size());
         });
}

bool job_claims::CanReachMajority(const std::string& job_id, const open_claim& claim, instant now) const {
  const auto usable = [this, &job_id, now](const std::string& address) {
    const std::map<std::string, peer>::const_iterator found = peers_.find(address);
    const bool peer_usable = found != peers_.end() && found->second.reachable && found->second.decides;
    return address == settings_.address ? CanDecide(job_id, now) : peer_usable;
  };
  return !claim.sets.empty() &&
         std::all_of(claim.sets.begin(), claim.sets.end(), [&usable](const std::vector<std::string>& set) {
           return static_cast<std::size_t>(std::count_if(set.begin(), set.end(), usable)) >= MajorityOf(set.size());
         });
}

void job_claims::CheckAvailable(const std::string& job_id, open_claim& claim, instant now) {
  const bool waits = !claim.decided && !claim.lapsed && !claim.unavailable && claim.holder.empty();
  if (waits && !CanReachMajority(job_id, claim, now)) {
    claim.unavailable = true;
    ++totals_.unavailable;
    actions_.emplace_back(claim_unavailable{job_id});
  }
}

instant job_claims::LeaseEnd(const open_claim& claim, const std::vector<std::string>& set) const {
  std::vector<instant> confirmed;
  for (const std::string& address : set) {
    const std::map<std::string, std::optional<claim_verdict>>::const_iterator asked = claim.registrars.find(address);
    if (asked == claim.registrars.end() || asked->second != claim_verdict::kGranted) {
      continue;
    }
    const std::map<std::string, peer>::const_iterator found = peers_.find(address);
    if (address == settings_.address) {
      confirmed.push_back(self_confirmed_at_);
    } else if (found != peers_.end() && found->second.confirmed_at) {
      confirmed.push_back(*found->second.confirmed_at);
    }
  }
  const std::size_t majority = MajorityOf(set.size());
  if (confirmed.size() < majority) {
    return instant::min();
  }
  std::sort(confirmed.begin(), confirmed.end(), std::greater<>());
  return confirmed[majority - 1] + settings_.lease;
}

instant job_claims::LeaseEnd(const open_claim& claim) const {
  instant end = instant::max();
  for (std::size_t i = 0; i < claim.sets.size(); ++i) {
    instant set_end = LeaseEnd(claim, claim.sets[i]);
    if (i == 0 && claim.new_set_until) {
      set_end = std::max(set_end, *claim.new_set_until);
    }
    end = std::min(end, set_end);
  }
  return end;
}

void job_claims::MaintainLeases(instant now) {
  if (now - leases_checked_at_ < kLeaseCheckInterval) {
    return;
  }
  leases_checked_at_ = now;
  for (std::pair<const std::string, open_claim>& item : claims_) {
    open_claim& claim = item.second;
    if (!claim.granted) {
      continue;
    }
    if (now >= LeaseEnd(claim)) {
      Lapse(item.first, claim);
      continue;
    }
    for (const std::pair<const std::string, std::optional<claim_verdict>>& asked : claim.registrars) {
      const std::map<std::string, peer>::iterator found = peers_.find(asked.first);
      if (found != peers_.end() && asked.second == claim_verdict::kGranted &&
          now - found->second.sent_at >= settings_.lease / kRenewalsPerLease) {
        found->second.check = true;
      }
    }
  }
  // Only after the check, so that a pause of this process ends the claims that it has granted itself.
  if (IsFresh(now)) {
    self_confirmed_at_ = now;
  }
  registry_.OnProcess(settings_.address, settings_.own_incarnation, now);
}

void job_claims::Lapse(const std::string& job_id, open_claim& claim) {
  std::string silent;
  for (const std::pair<const std::string, std::optional<claim_verdict>>& asked : claim.registrars) {
    claim.told.insert(asked.first);
    if (!IsReachable(asked.first) || asked.second != claim_verdict::kGranted) {
      silent += " " + asked.first;
    }
  }
  LogEvent("claim_lapsed", job_id,
           "view " + std::to_string(view_.number) + ", not confirmed in time by a majority, out of reach:" + silent);
  ++totals_.lapsed;
  claim.registrars.clear();
  claim.retry_at.reset();
  claim.granted = false;
  claim.decided = false;
  claim.lapsed = true;
  actions_.emplace_back(claim_lapsed{job_id});
}

}  // namespace bamboowing
