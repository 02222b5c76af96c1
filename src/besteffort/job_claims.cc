#include "bamboowing/besteffort/job_claims.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace bamboowing {
namespace {

constexpr std::size_t kMaxPendingReleases = 4096;
// Bound of the exponent of the retry interval.
constexpr int kMaxDoublings = 8;
constexpr duration kExpiryInterval = std::chrono::seconds(1);
// An entry whose connection has failed is tried once more before it counts as unreachable: connections are reset while
// both processes run.
constexpr int kMaxFailedExchanges = 2;

std::uint64_t Rank(const std::string& job_id, const std::string& address) {
  return XXH3_64bits_withSeed(address.data(), address.size(), XXH3_64bits(job_id.data(), job_id.size()));
}

}  // namespace

job_claims::job_claims(const job_claims_settings& settings, std::uint64_t seed, instant now)
    : settings_(settings),
      random_(seed),
      registry_(settings.run_end_limit, settings.retention),
      synchronized_(settings.address.empty()),
      expired_at_(now),
      advanced_at_(now) {}

void job_claims::LogEvent(std::string event, std::string job_id, std::string detail) {
  actions_.emplace_back(log_claim_event{std::move(event), std::move(job_id), std::move(detail)});
}

std::vector<claim_action> job_claims::TakeActions() { return std::exchange(actions_, {}); }

std::size_t job_claims::reachable_entries() const {
  return 1 + static_cast<std::size_t>(
                 std::count_if(peers_.begin(), peers_.end(),
                               [](const std::pair<const std::string, peer>& item) { return item.second.reachable; }));
}

std::string job_claims::HolderOf(const std::string& job_id) const {
  const std::map<std::string, open_claim>::const_iterator found = claims_.find(job_id);
  return found == claims_.end() ? std::string() : found->second.holder;
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

std::vector<std::string> job_claims::RegistrarsOf(const std::string& job_id, bool reachable_only) const {
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.emplace_back(Rank(job_id, settings_.address), settings_.address);
  for (const std::pair<const std::string, peer>& item : peers_) {
    if (item.second.reachable || !reachable_only) {
      ranked.emplace_back(Rank(job_id, item.first), item.first);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> registrars;
  for (std::size_t i = 0; i < std::min(kRegistrars, ranked.size()); ++i) {
    registrars.push_back(std::move(ranked[i].second));
  }
  return registrars;
}

job_claim job_claims::Describe(const std::string& job_id, const open_claim& claim, instant now) const {
  return {job_id, claim.number, std::max(claim.until - now, duration(0))};
}

void job_claims::Claim(const std::string& job_id, duration hold, instant now) {
  open_claim& claim = claims_[job_id];
  claim.number = ++last_number_;
  claim.until = now + hold;
  AskRegistrars(job_id, claim, now);
}

void job_claims::AskRegistrars(const std::string& job_id, open_claim& claim, instant now) {
  for (const std::string& address : RegistrarsOf(job_id, true)) {
    if (claim.registrars.count(address) == 0) {
      Ask(address, job_id, claim, now);
    }
  }
  Decide(job_id, claim, now);
}

void job_claims::Ask(const std::string& address, const std::string& job_id, open_claim& claim, instant now) {
  std::optional<claim_verdict>& verdict = claim.registrars[address];
  verdict.reset();
  if (address != settings_.address) {
    peers_[address].claims.push_back(job_id);
    return;
  }
  if (!synchronized_) {
    verdict = claim_verdict::kUndecided;
    claim.retry_at = now + settings_.retry_interval;
    return;
  }
  const claim_answer answer =
      registry_.Claim(settings_.address, settings_.own_incarnation, Describe(job_id, claim, now), now);
  verdict = answer.verdict;
  if (answer.verdict == claim_verdict::kHeld) {
    NoteHolder(job_id, claim, answer.holder);
    CheckHolder(answer.holder);
  }
}

void job_claims::NoteHolder(const std::string& job_id, open_claim& claim, const std::string& holder) {
  if (claim.holder != holder) {
    LogEvent(claim.decided ? "claim_conflict" : "claim_denied", job_id, "held by " + holder);
    claim.holder = holder;
  }
}

void job_claims::CheckHolder(const std::string& holder) {
  const std::map<std::string, peer>::iterator found = peers_.find(holder);
  if (found != peers_.end()) {
    found->second.check = true;
  }
}

void job_claims::OnAnswer(const std::string& address, const claim_answer& answer, instant now) {
  const std::map<std::string, open_claim>::iterator found = claims_.find(answer.job_id);
  if (found == claims_.end() || found->second.number != answer.number) {
    return;
  }
  open_claim& claim = found->second;
  claim.registrars[address] = answer.verdict;
  if (answer.verdict == claim_verdict::kHeld) {
    NoteHolder(answer.job_id, claim, answer.holder);
  }
  if (answer.verdict == claim_verdict::kUndecided && !claim.retry_at) {
    claim.retry_at = now + settings_.retry_interval;
  }
  Decide(answer.job_id, claim, now);
}

void job_claims::Decide(const std::string& job_id, open_claim& claim, instant now) {
  if (claim.decided) {
    return;
  }
  bool held = false;
  for (const std::pair<const std::string, std::optional<claim_verdict>>& item : claim.registrars) {
    const bool final = item.second == claim_verdict::kCompleted || item.second == claim_verdict::kNotRepeatable;
    if (final) {
      claim.decided = true;
      actions_.emplace_back(claim_decided{job_id, *item.second});
      return;
    }
    held = held || item.second == claim_verdict::kHeld;
  }
  if (held && claim.granted) {
    claim.decided = true;
    actions_.emplace_back(claim_decided{job_id, claim_verdict::kHeld});
    return;
  }
  if (held) {
    Withdraw(job_id, claim, now);
    return;
  }
  if (HasMajority(job_id, claim)) {
    claim.granted = true;
    claim.decided = true;
    actions_.emplace_back(claim_decided{job_id, claim_verdict::kGranted});
  }
}

bool job_claims::HasMajority(const std::string& job_id, const open_claim& claim) const {
  const auto count_grants = [&claim](const std::vector<std::string>& registrars) {
    return static_cast<std::size_t>(
        std::count_if(registrars.begin(), registrars.end(), [&claim](const std::string& address) {
          const std::map<std::string, std::optional<claim_verdict>>::const_iterator asked =
              claim.registrars.find(address);
          return asked != claim.registrars.end() && asked->second == claim_verdict::kGranted;
        }));
  };
  const std::vector<std::string> all = RegistrarsOf(job_id, false);
  const std::size_t majority = all.size() / 2 + 1;
  if (count_grants(all) >= majority) {
    return true;
  }
  const std::vector<std::string> reachable = RegistrarsOf(job_id, true);
  const std::size_t left = static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const std::string& item) {
    return std::find(reachable.begin(), reachable.end(), item) != reachable.end();
  }));
  return left < majority && count_grants(reachable) >= reachable.size() / 2 + 1;
}

void job_claims::Withdraw(const std::string& job_id, open_claim& claim, instant now) {
  ReleaseEverywhere(job_id, claim, claim_end::kReleased, settings_.retention, now);
  claim.registrars.clear();
  claim.told.clear();
  claim.number = ++last_number_;
  // Two entries that each had a part of the registrars must not repeat their claims at the same time.
  const duration interval = std::min(settings_.retry_interval * (1 << claim.retries), settings_.max_retry_interval);
  claim.retries = std::min(claim.retries + 1, kMaxDoublings);
  const duration spread(random_.Below(static_cast<std::uint64_t>(interval.count())));
  claim.retry_at = now + interval / 2 + spread;
}

void job_claims::ReleaseEverywhere(const std::string& job_id, const open_claim& claim, claim_end end,
                                   duration retention, instant now) {
  std::set<std::string> told = claim.told;
  for (const std::pair<const std::string, std::optional<claim_verdict>>& item : claim.registrars) {
    told.insert(item.first);
  }
  for (const std::string& address : told) {
    SendRelease(address, {job_id, claim.number, end, retention}, now);
  }
}

void job_claims::Release(const std::string& job_id, claim_end end, duration retention, instant now) {
  const std::map<std::string, open_claim>::iterator found = claims_.find(job_id);
  if (found == claims_.end()) {
    return;
  }
  ReleaseEverywhere(job_id, found->second, end, retention, now);
  claims_.erase(found);
}

void job_claims::ForbidRepetition(const std::string& job_id, instant now) {
  if (claims_.count(job_id) != 0) {
    return;  // the registrars learn of it when the claim is released
  }
  for (const std::string& address : RegistrarsOf(job_id, true)) {
    SendRelease(address, {job_id, ++last_number_, claim_end::kNotRepeatable, settings_.retention}, now);
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

void job_claims::ReassignRegistrars(instant now) {
  for (std::pair<const std::string, open_claim>& item : claims_) {
    // A denied claim waits for its repetition.
    const bool withdrawn = item.second.registrars.empty() && item.second.retry_at;
    if (!withdrawn) {
      AskRegistrars(item.first, item.second, now);
    }
  }
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

void job_claims::ConfirmClaims(instant now) {
  for (std::pair<const std::string, open_claim>& item : claims_) {
    open_claim& claim = item.second;
    if (!claim.granted) {
      continue;
    }
    claim.decided = false;
    claim.registrars.clear();
    actions_.emplace_back(claim_decided{item.first, claim_verdict::kUndecided});
    AskRegistrars(item.first, claim, now);
  }
}

void job_claims::RepeatClaims(instant now) {
  for (std::pair<const std::string, open_claim>& item : claims_) {
    open_claim& claim = item.second;
    if (!claim.retry_at || now < *claim.retry_at) {
      continue;
    }
    claim.retry_at.reset();
    std::vector<std::string> undecided;
    for (const std::pair<const std::string, std::optional<claim_verdict>>& asked : claim.registrars) {
      if (asked.second == claim_verdict::kUndecided) {
        undecided.push_back(asked.first);
      }
    }
    for (const std::string& address : undecided) {
      Ask(address, item.first, claim, now);
    }
    AskRegistrars(item.first, claim, now);
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

void job_claims::Advance(instant now) {
  // Replies may have arrived while this process was paused.
  const duration pause = now - std::exchange(advanced_at_, now);
  if (pause >= settings_.answer_limit / 2) {
    for (std::pair<const std::uint64_t, exchange_state>& item : exchanges_) {
      item.second.sent_at += pause;
    }
    ConfirmClaims(now);
  }
  ExpireExchanges(now);
  RepeatClaims(now);
  UpdateSynchronized(now);
  SendRequests(now);
  if (now - expired_at_ >= kExpiryInterval) {
    expired_at_ = now;
    registry_.Expire(now);
  }
}

}  // namespace bamboowing
