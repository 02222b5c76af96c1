// Other entries of job_claims: which of them answer, and the requests to and from them.

#include <algorithm>
#include <iterator>
#include <utility>

#include "bamboowing/besteffort/job_claims.h"

namespace bamboowing {
namespace {

constexpr std::size_t kMaxPendingReleases = 4096;
// An entry whose connection has failed is tried once more before it counts as unreachable: connections are reset while
// both processes run.
constexpr int kMaxFailedExchanges = 2;

}  // namespace

std::size_t job_claims::reachable_entries() const {
  return 1 + static_cast<std::size_t>(
                 std::count_if(peers_.begin(), peers_.end(),
                               [](const std::pair<const std::string, peer>& item) { return item.second.reachable; }));
}

void job_claims::OnPeers(const std::vector<std::string>& addresses, instant now) {
  for (std::pair<const std::string, peer>& item : peers_) {
    item.second.listed = false;
  }
  for (const std::string& address : addresses) {
    if (address == settings_.address) {
      continue;
    }
    const bool added = peers_.count(address) == 0;
    peer& known = peers_[address];
    known.listed = true;
    known.awaits_claims = known.awaits_claims || (added && !synchronized_);
  }
  if (!peers_known_at_) {
    peers_known_at_ = now;
  }
  ReassignRegistrars(now);
  UpdateSynchronized(now);
}

bool job_claims::has_open_releases() const {
  const bool unsent = std::any_of(peers_.begin(), peers_.end(), [](const std::pair<const std::string, peer>& item) {
    return item.second.reachable && !item.second.releases.empty();
  });
  return unsent || std::any_of(exchanges_.begin(), exchanges_.end(),
                               [](const std::pair<const std::uint64_t, exchange_state>& item) {
                                 return !item.second.releases.empty();
                               });
}

void job_claims::CheckHolder(const std::string& holder) {
  const std::map<std::string, peer>::iterator found = peers_.find(holder);
  if (found != peers_.end()) {
    found->second.check = true;
  }
}

void job_claims::SendRelease(const std::string& address, const claim_release& release, instant now) {
  if (address == settings_.address) {
    registry_.Release(settings_.address, settings_.own_incarnation, release, now);
    return;
  }
  const std::map<std::string, peer>::iterator to = peers_.find(address);
  if (to == peers_.end()) {
    return;
  }
  std::vector<std::string>& unsent = to->second.claims;
  const std::vector<std::string>::iterator claim = std::find(unsent.begin(), unsent.end(), release.job_id);
  if (claim != unsent.end()) {
    unsent.erase(claim);
  }
  std::vector<claim_release>& releases = to->second.releases;
  if (releases.empty()) {
    to->second.oldest_release = now;
  }
  releases.push_back(release);
  if (releases.size() > kMaxPendingReleases) {
    releases.erase(releases.begin());
  }
}

claim_reply job_claims::OnRequest(const claim_request& request, instant now) {
  claim_reply reply;
  reply.incarnation = settings_.own_incarnation;
  if (!OnContact(request.address, request.incarnation, now)) {
    return reply;
  }
  // A request proves that the sender runs, not that it can be reached.
  peers_[request.address].check = !peers_[request.address].reachable;
  for (const claim_release& release : request.releases) {
    registry_.Release(request.address, request.incarnation, release, now);
  }
  for (const job_claim& claim : request.claims) {
    if (synchronized_) {
      reply.answers.push_back(registry_.Claim(request.address, request.incarnation, claim, now));
      CheckHolder(reply.answers.back().holder);
    } else {
      reply.answers.push_back({claim.job_id, claim.number, claim_verdict::kUndecided, ""});
    }
  }
  if (request.fetch_claims) {
    for (std::pair<const std::string, open_claim>& item : claims_) {
      if (item.second.granted) {
        reply.held.push_back({settings_.address, settings_.own_incarnation, Describe(item.first, item.second, now)});
        item.second.told.insert(request.address);
      }
    }
    // The process of a holder may have ended while its runs are active.
    for (held_claim& recorded : registry_.HeldClaims(now)) {
      if (recorded.holder != request.address && recorded.holder != settings_.address) {
        reply.held.push_back(std::move(recorded));
      }
    }
    for (const std::pair<const std::string, peer>& item : peers_) {
      if (item.second.reachable) {
        reply.peers.push_back(item.first);
      }
    }
  }
  return reply;
}

void job_claims::OnReply(std::uint64_t exchange, const std::optional<claim_reply>& reply, instant now) {
  const std::map<std::uint64_t, exchange_state>::iterator found = exchanges_.find(exchange);
  if (found == exchanges_.end()) {
    return;
  }
  const exchange_state ended = std::move(found->second);
  exchanges_.erase(found);
  --peers_[ended.address].open_exchanges;
  if (!reply) {
    TakeBack(ended, now);
    peer& failed = peers_[ended.address];
    if (exchange <= failed.failed_exchange) {
      return;  // the same connection has failed for another request
    }
    failed.failed_exchange = last_exchange_;
    failed.check = true;
    if (++failed.failed_exchanges >= kMaxFailedExchanges) {
      registry_.OnProcessSuspected(ended.address, now);
      SetUnreachable(ended.address, "its connection failed", now);
    }
    return;
  }
  if (!OnContact(ended.address, reply->incarnation, now)) {
    TakeBack(ended, now);
    return;
  }
  SetReachable(ended.address, now);
  for (const held_claim& held : reply->held) {
    registry_.Claim(held.holder, held.incarnation, held.claim, now);
  }
  for (const std::string& address : reply->peers) {
    AddPeer(address, now);
  }
  if (ended.fetches_claims) {
    peers_[ended.address].awaits_claims = false;
    UpdateSynchronized(now);
  }
  for (const claim_answer& answer : reply->answers) {
    OnAnswer(ended.address, answer, now);
  }
}

void job_claims::AddPeer(const std::string& address, instant now) {
  if (address == settings_.address || peers_.count(address) != 0) {
    return;
  }
  peer& added = peers_[address];
  added.listed = false;
  added.awaits_claims = !synchronized_;
  ReassignRegistrars(now);
}

bool job_claims::OnContact(const std::string& address, incarnation_id process, instant now) {
  if (!registry_.OnProcess(address, process, now)) {
    return false;
  }
  AddPeer(address, now);
  const incarnation_id before = std::exchange(peers_[address].process, process);
  if (before == 0 || before == process) {
    return true;
  }
  // The new process does not know the claims of its predecessor.
  for (std::pair<const std::string, open_claim>& item : claims_) {
    if (item.second.registrars.count(address) != 0) {
      Ask(address, item.first, item.second, now);
    }
  }
  return true;
}

void job_claims::SetReachable(const std::string& address, instant now) {
  peer& from = peers_[address];
  from.failed_exchanges = 0;
  if (!std::exchange(from.reachable, true)) {
    LogEvent("entry_reachable", "", "entry " + address);
    ReassignRegistrars(now);
  }
}

void job_claims::SetUnreachable(const std::string& address, const std::string& reason, instant now) {
  peer& lost = peers_[address];
  if (!std::exchange(lost.reachable, false)) {
    return;
  }
  LogEvent("entry_unreachable", "", "entry " + address + ", " + reason);
  lost.next_probe = now + settings_.probe_interval;
  // It is asked again if it becomes a registrar of these jobs again.
  for (const std::string& job_id : std::exchange(lost.claims, {})) {
    const std::map<std::string, open_claim>::iterator claim = claims_.find(job_id);
    if (claim != claims_.end()) {
      claim->second.registrars.erase(address);
    }
  }
  ReassignRegistrars(now);
  UpdateSynchronized(now);
}

void job_claims::TakeBack(const exchange_state& failed, instant now) {
  peer& to = peers_[failed.address];
  for (const std::string& job_id : failed.claims) {
    const std::map<std::string, open_claim>::iterator claim = claims_.find(job_id);
    if (claim != claims_.end() && claim->second.registrars.count(failed.address) != 0) {
      Ask(failed.address, job_id, claim->second, now);
    }
  }
  if (to.releases.empty()) {
    to.oldest_release = now;
  }
  to.releases.insert(to.releases.begin(), failed.releases.begin(), failed.releases.end());
  if (to.releases.size() > kMaxPendingReleases) {
    to.releases.resize(kMaxPendingReleases);
  }
}

void job_claims::ExpireExchanges(instant now) {
  std::vector<std::string> silent;
  for (const std::pair<const std::uint64_t, exchange_state>& item : exchanges_) {
    if (now - item.second.sent_at >= settings_.answer_limit) {
      silent.push_back(item.second.address);
    }
  }
  for (const std::string& address : silent) {
    for (std::map<std::uint64_t, exchange_state>::iterator item = exchanges_.begin(); item != exchanges_.end();) {
      if (item->second.address != address) {
        ++item;
        continue;
      }
      actions_.emplace_back(abandon_claim_request{item->first});
      --peers_[address].open_exchanges;
      TakeBack(item->second, now);
      item = exchanges_.erase(item);
    }
    SetUnreachable(address, "no answer in time", now);
  }
}

void job_claims::UpdateSynchronized(instant now) {
  if (synchronized_ || !peers_known_at_) {
    return;
  }
  // Without another entry in the list, this process may be the first one, or the others have yet to register again.
  const bool complete =
      !peers_.empty() && std::none_of(peers_.begin(), peers_.end(), [](const std::pair<const std::string, peer>& item) {
        return item.second.reachable && item.second.awaits_claims;
      });
  if (complete || now - *peers_known_at_ >= settings_.sync_limit) {
    synchronized_ = true;
    LogEvent("claims_synchronized", "",
             "entries " + std::to_string(reachable_entries()) + ", claims " + std::to_string(registry_.size()));
  }
}

void job_claims::SendRequest(const std::string& address, peer& to, instant now) {
  send_claim_request send;
  send.exchange = ++last_exchange_;
  send.address = address;
  send.request.address = settings_.address;
  send.request.incarnation = settings_.own_incarnation;
  send.request.fetch_claims = to.awaits_claims;
  exchange_state& sent = exchanges_[send.exchange];
  sent.address = address;
  sent.sent_at = now;
  ++to.open_exchanges;
  to.check = false;
  sent.fetches_claims = to.awaits_claims;
  for (const std::string& job_id : std::exchange(to.claims, {})) {
    const std::map<std::string, open_claim>::iterator claim = claims_.find(job_id);
    if (claim != claims_.end()) {
      send.request.claims.push_back(Describe(job_id, claim->second, now));
      claim->second.told.insert(address);
      sent.claims.push_back(job_id);
    }
  }
  sent.releases = std::exchange(to.releases, {});
  send.request.releases = sent.releases;
  actions_.emplace_back(std::move(send));
}

void job_claims::SendRequests(instant now) {
  for (std::map<std::string, peer>::iterator item = peers_.begin(); item != peers_.end();) {
    peer& to = item->second;
    if (!to.listed && !to.reachable && to.open_exchanges == 0) {
      item = peers_.erase(item);
      continue;
    }
    const bool idle = to.open_exchanges == 0;
    const bool releases_due = !to.releases.empty() && now - to.oldest_release >= settings_.release_delay;
    const bool due = !to.claims.empty() || releases_due || (idle && (to.awaits_claims || to.check));
    const bool probe_due = idle && (now >= to.next_probe || to.check);
    if (to.reachable ? due : probe_due) {
      to.next_probe = now + settings_.probe_interval;
      SendRequest(item->first, to, now);
    }
    ++item;
  }
}

}  // namespace bamboowing
