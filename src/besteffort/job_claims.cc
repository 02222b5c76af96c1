#include "bamboowing/besteffort/job_claims.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace bamboowing {
namespace {

constexpr std::size_t kMaxPendingReleases = 4096;
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

std::vector<std::string> job_claims::RegistrarsOf(const std::string& job_id) const {
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.emplace_back(Rank(job_id, settings_.address), settings_.address);
  for (const std::pair<const std::string, peer>& item : peers_) {
    if (item.second.reachable) {
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
  for (const std::string& address : RegistrarsOf(job_id)) {
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
  if (claim.decided) {
    return;
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
    if (item.second == claim_verdict::kCompleted || item.second == claim_verdict::kNotRepeatable) {
      claim.decided = true;
      actions_.emplace_back(claim_decided{job_id, *item.second});
      return;
    }
    held = held || item.second == claim_verdict::kHeld;
  }
  if (held) {
    Withdraw(job_id, claim, now);
    return;
  }
  const std::vector<std::string> registrars = RegistrarsOf(job_id);
  const std::size_t majority = registrars.size() / 2 + 1;
  std::size_t grants = 0;
  for (const std::string& address : registrars) {
    const std::map<std::string, std::optional<claim_verdict>>::const_iterator asked = claim.registrars.find(address);
    grants += asked != claim.registrars.end() && asked->second == claim_verdict::kGranted ? 1 : 0;
  }
  if (grants >= majority) {
    claim.decided = true;
    claim.retry_at.reset();
    actions_.emplace_back(claim_decided{job_id, claim_verdict::kGranted});
  }
}

void job_claims::Withdraw(const std::string& job_id, open_claim& claim, instant now) {
  for (const std::pair<const std::string, std::optional<claim_verdict>>& item : claim.registrars) {
    SendRelease(item.first, {job_id, claim.number, claim_end::kReleased}, now);
  }
  claim.registrars.clear();
  claim.number = ++last_number_;
  // Two entries that each had a part of the registrars must not repeat their claims at the same time.
  const duration spread(random_.Below(static_cast<std::uint64_t>(settings_.retry_interval.count())));
  claim.retry_at = now + settings_.retry_interval / 2 + spread;
}

void job_claims::Release(const std::string& job_id, claim_end end, instant now) {
  const std::map<std::string, open_claim>::iterator found = claims_.find(job_id);
  if (found == claims_.end()) {
    return;
  }
  for (const std::pair<const std::string, std::optional<claim_verdict>>& item : found->second.registrars) {
    SendRelease(item.first, {job_id, found->second.number, end}, now);
  }
  claims_.erase(found);
}

void job_claims::ForbidRepetition(const std::string& job_id, instant now) {
  if (claims_.count(job_id) != 0) {
    return;  // the registrars learn of it when the claim is released
  }
  for (const std::string& address : RegistrarsOf(job_id)) {
    SendRelease(address, {job_id, ++last_number_, claim_end::kNotRepeatable}, now);
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
  OnContact(request.address, request.incarnation, now);
  claim_reply reply;
  reply.incarnation = settings_.own_incarnation;
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
    for (const std::pair<const std::string, open_claim>& item : claims_) {
      if (item.second.decided) {
        reply.held.push_back(Describe(item.first, item.second, now));
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
    if (ended.sent_at < failed.failed_at) {
      return;  // the same connection has failed for another request
    }
    failed.failed_at = now;
    failed.check = true;
    if (++failed.failed_exchanges >= kMaxFailedExchanges) {
      registry_.OnProcessEnded(ended.address, now);
      SetUnreachable(ended.address, "its connection failed", now);
    }
    return;
  }
  OnContact(ended.address, reply->incarnation, now);
  for (const job_claim& held : reply->held) {
    registry_.Claim(ended.address, reply->incarnation, held, now);
  }
  if (ended.fetches_claims) {
    peers_[ended.address].awaits_claims = false;
    UpdateSynchronized(now);
  }
  for (const claim_answer& answer : reply->answers) {
    OnAnswer(ended.address, answer, now);
  }
}

void job_claims::OnContact(const std::string& address, incarnation_id process, instant now) {
  registry_.OnProcess(address, process, now);
  const bool added = peers_.count(address) == 0;
  peer& from = peers_[address];
  from.listed = from.listed && !added;
  from.failed_exchanges = 0;
  const bool returned = !std::exchange(from.reachable, true);
  const incarnation_id before = std::exchange(from.process, process);
  if (before != 0 && before != process) {
    // The new process does not know the claims of its predecessor.
    for (std::pair<const std::string, open_claim>& item : claims_) {
      if (item.second.registrars.count(address) != 0) {
        Ask(address, item.first, item.second, now);
      }
    }
  }
  if (returned) {
    LogEvent("entry_reachable", "", "entry " + address);
  }
  if (returned || added) {
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
  const bool complete = std::none_of(peers_.begin(), peers_.end(), [](const std::pair<const std::string, peer>& item) {
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
    const std::map<std::string, open_claim>::const_iterator claim = claims_.find(job_id);
    if (claim != claims_.end()) {
      send.request.claims.push_back(Describe(job_id, claim->second, now));
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
    const bool probe_due = idle && now >= to.next_probe;
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
