// Other entries of job_claims: which of them answer, and the requests to and from them.

#include <algorithm>
#include <iterator>
#include <utility>

#include "bamboowing/claims/job_claims.h"

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

bool job_claims::IsReachable(const std::string& address) const {
  const std::map<std::string, peer>::const_iterator found = peers_.find(address);
  return address == settings_.address || (found != peers_.end() && found->second.reachable);
}

void job_claims::OnPeers(const std::vector<std::string>& addresses, instant now) {
  for (std::pair<const std::string, peer>& item : peers_) {
    item.second.listed = false;
  }
  listed_ = true;
  for (const std::string& address : addresses) {
    AddPeer(address);
    const std::map<std::string, peer>::iterator found = peers_.find(address);
    if (found != peers_.end()) {
      found->second.listed = true;
    }
  }
  ReassignRegistrars(now);
}

bool job_claims::has_open_releases() const {
  const bool unsent = std::any_of(peers_.begin(), peers_.end(), [](const std::pair<const std::string, peer>& item) {
    return item.second.reachable && !item.second.releases.empty();
  });
  return unsent || std::any_of(exchanges_.begin(), exchanges_.end(),
                               [this](const std::pair<const std::uint64_t, exchange_state>& item) {
                                 return !item.second.releases.empty() && IsReachable(item.second.address);
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
  if (!OnContact(request.address, request.incarnation, std::nullopt, now)) {
    for (const job_claim& claim : request.claims) {
      reply.answers.push_back({claim.job_id, claim.number, claim_verdict::kUndecided, ""});
    }
    return reply;
  }
  AdoptView(request.view, now);
  peer& from = peers_[request.address];
  from.view_number = std::max(from.view_number, request.view.number);
  from.contacted_at = now;
  TakeStatus(from, request.status);
  // A request proves that the sender runs, not that it can be reached.
  from.check = from.check || !from.reachable;
  for (const claim_release& release : request.releases) {
    registry_.Release(request.address, request.incarnation, release, now);
  }
  for (const job_cancel& cancel : request.cancels) {
    reply.cancel_answers.push_back(AnswerCancel(cancel, now));
  }
  for (const job_claim& claim : request.claims) {
    reply.answers.push_back(AnswerClaim(request, claim, now));
  }
  if (!request.claims.empty()) {
    reply.new_processes = NewProcesses(now);
  }
  // The holder of a claim needs the confirmation of a majority within its lease, so it learns of a cancel that a
  // majority has recorded, whatever became of the entry that took it.
  reply.cancelled = registry_.CancelledJobsOf(request.address, request.incarnation);
  if (request.fetch_claims) {
    AddKnownClaims(request, reply, now);
  }
  reply.process_age = now - started_at_;
  if (const std::optional<instant> since = MemorySince(now); since) {
    reply.memory_age = now - *since;
  }
  reply.decides = IsFresh(now);
  reply.status = OwnStatus();
  reply.view.number = view_.number;
  if (request.view.number < view_.number) {
    reply.view = view_;
  }
  if (view_confirmed_at_) {
    reply.view_age = now - *view_confirmed_at_;
  }
  return reply;
}

claim_answer job_claims::AnswerClaim(const claim_request& request, const job_claim& claim, instant now) {
  if (!claim.held && !CanDecide(claim.job_id, now)) {
    return {claim.job_id, claim.number, claim_verdict::kUndecided, ""};
  }
  claim_answer answer = registry_.Claim(request.address, request.incarnation, claim, now);
  AddMemoryLimit(answer, now);
  CheckHolder(answer.holder);
  return answer;
}

void job_claims::AddKnownClaims(const claim_request& request, claim_reply& reply, instant now) {
  for (std::pair<const std::string, open_claim>& item : claims_) {
    if (item.second.granted) {
      reply.held.push_back({settings_.address, settings_.own_incarnation, Describe(item.first, item.second, now)});
      item.second.told.insert(request.address);
    }
  }
  // The process of a holder may have ended while its runs are active.
  for (held_claim& recorded : registry_.HeldClaims(now)) {
    const bool own = recorded.holder == settings_.address && recorded.incarnation == settings_.own_incarnation;
    const bool of_sender = recorded.holder == request.address && recorded.incarnation == request.incarnation;
    if (!own && !of_sender) {
      reply.held.push_back(std::move(recorded));
    }
  }
  reply.forbidden = registry_.ForbiddenJobs(now);
  reply.lost = registry_.LostClaims(now);
  for (const std::pair<const std::string, peer>& item : peers_) {
    if (item.second.reachable) {
      reply.peers.push_back(item.first);
    }
  }
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
    OnFailedExchange(exchange, ended, now);
    return;
  }
  if (!OnContact(ended.address, reply->incarnation, ended.sent_at, now)) {
    TakeBack(ended, now);
    return;
  }
  for (const std::string& job_id : reply->cancelled) {
    CancelOwnClaim(job_id);
  }
  for (const held_claim& held : reply->held) {
    registry_.Claim(held.holder, held.incarnation, held.claim, now);
  }
  for (const claim_release& ended_job : reply->forbidden) {
    registry_.Release(ended.address, reply->incarnation, ended_job, now);
  }
  for (const lost_claim& lost : reply->lost) {
    registry_.AddLostClaim(lost, now);
  }
  for (const std::string& address : reply->peers) {
    AddPeer(address);
  }
  OnNewProcesses(reply->new_processes, now);
  OnStatus(ended, *reply, now);
  TakeHandOver(ended, *reply, now);
  SetReachable(ended.address, now);
  for (const claim_answer& answer : reply->answers) {
    OnAnswer(ended.address, answer, now);
  }
  for (const cancel_answer& answer : reply->cancel_answers) {
    OnCancelAnswer(ended.address, answer, now);
  }
  RepeatCancels(ended.address, ended.cancels, now);
}

void job_claims::OnFailedExchange(std::uint64_t exchange, const exchange_state& failed, instant now) {
  TakeBack(failed, now);
  peer& to = peers_[failed.address];
  if (exchange <= to.failed_exchange) {
    return;  // the same connection has failed for another request
  }
  to.failed_exchange = last_exchange_;
  to.check = ++to.failed_exchanges < kMaxFailedExchanges;
  if (!to.check) {
    SetUnreachable(failed.address, "its connection failed", now);
  }
}

void job_claims::OnStatus(const exchange_state& ended, const claim_reply& reply, instant now) {
  peer& from = peers_[ended.address];
  from.decides = reply.decides;
  from.view_number = reply.view.number;
  TakeStatus(from, reply.status);
  from.heard_at = std::max(from.heard_at.value_or(ended.sent_at), ended.sent_at);
  if (reply.decides) {
    // A registrar forgets the claims of an entry that it has not heard of for long.
    if (from.confirmed_at && now - *from.confirmed_at >= settings_.claim_end_limit()) {
      AskAgain(ended.address, now);
    }
    from.confirmed_at = std::max(from.confirmed_at.value_or(ended.sent_at), ended.sent_at);
  }
  from.transferred = from.transferred || (ended.fetches_claims && reply.status.complete);
  from.memory_since = reply.memory_age ? std::optional<instant>(now - *reply.memory_age) : std::nullopt;
  if (ended.fetches_claims && reply.process_age) {
    from.started_at = now - *reply.process_age;
  }
  if (ended.fetches_claims && !reply.process_age) {
    from.next_probe = now + settings_.retry_interval;
  }
  from.check = from.check || reply.view.number < view_.number;
  AdoptView(reply.view, now);
  if (reply.view_age) {
    ConfirmView(ended.sent_at - *reply.view_age);
  }
}

void job_claims::AddPeer(const std::string& address) {
  if (address == settings_.address || peers_.count(address) != 0) {
    return;
  }
  peer& added = peers_[address];
  added.listed = false;
  SetRole(address, added);
}

bool job_claims::OnContact(const std::string& address, incarnation_id process, std::optional<instant> alive_at,
                           instant now) {
  AddPeer(address);
  peer& from = peers_[address];
  const bool replaces = from.process != 0 && from.process != process;
  const bool is_later = alive_at && (!from.heard_at || *alive_at > *from.heard_at);
  if (replaces && !is_later) {
    // Requests of an ended process may arrive late. A reply shows which process runs.
    from.check = true;
    return false;
  }
  if (!registry_.OnProcess(address, process, now)) {
    return false;
  }
  if (from.process == process) {
    return true;
  }
  from.process = process;
  from.process_since = now;
  if (!replaces) {
    return true;
  }
  // The new process does not know the claims of its predecessor.
  from.decides = true;
  from.status = entry_status();
  from.handed_over_view = 0;
  from.view_number = 0;
  from.heard_at.reset();
  from.confirmed_at.reset();
  from.started_at.reset();
  from.memory_since.reset();
  ForgetCancelsAt(address);
  AskAgain(address, now);
  return true;
}

std::vector<entry_process> job_claims::NewProcesses(instant now) const {
  std::vector<entry_process> found;
  for (const std::pair<const std::string, peer>& item : peers_) {
    if (item.second.process != 0 && now - item.second.process_since < settings_.lease) {
      found.push_back({item.first, item.second.process});
    }
  }
  return found;
}

void job_claims::OnNewProcesses(const std::vector<entry_process>& processes, instant now) {
  for (const entry_process& other : processes) {
    const std::map<std::string, peer>::iterator found = peers_.find(other.address);
    if (found != peers_.end() && found->second.process != other.incarnation) {
      found->second.confirmed_at.reset();
      AskAgain(other.address, now);
    }
  }
}

void job_claims::AskAgain(const std::string& address, instant now) {
  for (std::pair<const std::string, open_claim>& item : claims_) {
    if (item.second.registrars.count(address) != 0) {
      Ask(address, item.first, item.second, now);
    }
  }
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
  RepeatCancels(address, std::exchange(lost.cancels, {}), now);
  // It is asked again when it can be reached.
  for (const std::string& job_id : std::exchange(lost.claims, {})) {
    const std::map<std::string, open_claim>::iterator claim = claims_.find(job_id);
    if (claim != claims_.end()) {
      claim->second.registrars.erase(address);
    }
  }
  for (std::pair<const std::string, open_claim>& item : claims_) {
    CheckAvailable(item.first, item.second, now);
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
  RepeatCancels(failed.address, failed.cancels, now);
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
    if (now >= item.second.answer_due) {
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
    // The connection may have gone silent while both processes run.
    peers_[address].check = true;
  }
}

void job_claims::FetchAgents() {
  for (std::pair<const std::string, peer>& item : peers_) {
    item.second.fetch_agents = item.second.reachable;
  }
}

bool job_claims::AwaitsClaims(const peer& from, instant now) const {
  const bool since_start = !complete_ && !(from.transferred && from.started_at);
  return since_start || AwaitsHandOver(from, now);
}

bool job_claims::IsRequestDue(const peer& to, instant now) const {
  const bool idle = to.open_exchanges == 0;
  if (!to.reachable) {
    return idle && (now >= to.next_probe || to.check);
  }
  if (!to.claims.empty() || !to.cancels.empty()) {
    return true;
  }
  const bool releases_due = !to.releases.empty() && now - to.oldest_release >= settings_.release_delay;
  const bool fetch_due = AwaitsClaims(to, now) && now >= to.next_probe;
  // An entry that does not decide is asked often, since jobs are refused until it does.
  const duration contact_interval = to.decides ? settings_.contact_interval : settings_.probe_interval;
  const bool contact_due = to.member && now - to.sent_at >= contact_interval;
  return releases_due || (idle && (to.check || to.fetch_agents || fetch_due || contact_due));
}

void job_claims::SendRequest(const std::string& address, peer& to, instant now) {
  send_claim_request send;
  send.exchange = ++last_exchange_;
  send.address = address;
  send.request.address = settings_.address;
  send.request.incarnation = settings_.own_incarnation;
  send.request.status = OwnStatus();
  send.request.fetch_claims = AwaitsClaims(to, now);
  send.request.fetch_agents = std::exchange(to.fetch_agents, false);
  send.request.view.number = view_.number;
  if (to.view_number < view_.number) {
    send.request.view = view_;
  }
  exchange_state& sent = exchanges_[send.exchange];
  sent.address = address;
  sent.sent_at = now;
  sent.answer_due = now + settings_.answer_limit;
  sent.fetches_claims = send.request.fetch_claims;
  ++to.open_exchanges;
  to.check = false;
  to.sent_at = now;
  to.next_probe = now + settings_.probe_interval;
  for (const std::string& job_id : std::exchange(to.claims, {})) {
    const std::map<std::string, open_claim>::iterator claim = claims_.find(job_id);
    if (claim != claims_.end() && !claim->second.lapsed) {
      send.request.claims.push_back(Describe(job_id, claim->second, now));
      claim->second.told.insert(address);
      sent.claims.push_back(job_id);
    }
  }
  for (const std::string& job_id : std::exchange(to.cancels, {})) {
    const std::map<std::string, open_cancel>::const_iterator cancel = cancels_.find(job_id);
    if (cancel != cancels_.end() && now < cancel->second.until) {
      send.request.cancels.push_back({job_id, cancel->second.until - now, cancel->second.was_open});
      sent.cancels.push_back(job_id);
    }
  }
  sent.releases = std::exchange(to.releases, {});
  send.request.releases = sent.releases;
  actions_.emplace_back(std::move(send));
}

void job_claims::SendRequests(instant now) {
  for (std::map<std::string, peer>::iterator item = peers_.begin(); item != peers_.end();) {
    peer& to = item->second;
    if (!to.listed && !to.member && !to.reachable && to.open_exchanges == 0) {
      item = peers_.erase(item);
      continue;
    }
    if (IsRequestDue(to, now)) {
      SendRequest(item->first, to, now);
    }
    ++item;
  }
}

}  // namespace bamboowing
