// The part of entry_core that places callers' and relayed calls.
#include <algorithm>
#include <cstdio>
#include <utility>

#include "bamboowing/entry/entry_core.h"

namespace bamboowing {
namespace {

/// What a refusal may say before the home has looked for the job: one that the caller named may be a second copy of a
/// job that ran.
not_run_state WithoutLookup(const job_spec& job) {
  return job.job_id.empty() || job.generated_id ? not_run_state::kYes : not_run_state::kUnknown;
}

}  // namespace

void entry_core::OnCall(call_id call, caller_request request, instant now) {
  const reply_route route{false, call};
  open_calls_.insert(call);
  if (request.verb != caller_verb::kSubmit) {
    LookUp(std::move(request), route, now);
    return;
  }
  if (draining_) {
    caller_reply reply;
    reply.job_id = request.job.job_id;
    reply.error = failure(error_kind::kDraining, WithoutLookup(request.job), "this entry is shutting down");
    Reply(route, std::move(reply));
    return;
  }
  if (request.job.job_id.empty()) {
    char id[40];
    std::snprintf(id, sizeof(id), "%016llx-%016llx", static_cast<unsigned long long>(settings_.self.life),
                  static_cast<unsigned long long>(random_.Next()));
    request.job.job_id = id;
    request.job.generated_id = true;
  }
  Accept({std::move(request), route, now, now, false, "", 0}, now);
}

void entry_core::OnCallerGone(call_id call, instant) {
  const reply_route route{false, call};
  open_calls_.erase(call);
  router_.Forget(route);
  for (std::pair<const shard_id, std::unique_ptr<shard_home>>& item : shards_) {
    item.second->Forget(route);
  }
}

void entry_core::OnRelayRequest(relay_id relay, relay_request request, instant now) {
  const reply_route route{true, relay};
  if (request.fetch_config) {
    relay_reply reply;
    reply.config = config();
    reply.document = intent_.text();
    actions_.emplace_back(answer_relay{relay, std::move(reply)});
    return;
  }
  if (request.call.verb != caller_verb::kSubmit) {
    if (!AnswerLocally(request.call, route, now)) {
      ReplyNotHome(route);
    }
    return;
  }
  Accept({std::move(request.call), route, now, now, false, "", 0}, now);
}

void entry_core::OnRelayReply(relay_id relay, std::optional<relay_reply> reply, instant now) {
  if (relay == config_fetch_) {
    config_fetch_ = 0;
    if (reply) {
      ApplyConfig(reply->config, reply->document, now);
    }
    return;
  }
  if (std::optional<pending_lookup> lookup = lookups_.Take(relay); lookup) {
    if (reply && !reply->not_leader) {
      Reply(lookup->route, std::move(reply->reply));
      return;
    }
    lookup->unanswered = lookup->unanswered || !reply;
    ContinueLookup(std::move(*lookup), now);
    return;
  }
  std::optional<routed_call> call = router_.EndRelay(relay);
  if (!call) {
    return;
  }
  if (reply) {
    NoteConfigOfPeer(reply->config, call->address);
  }
  if (reply && !reply->not_leader) {
    Reply(call->route, std::move(reply->reply));
    return;
  }
  retry_due_ = std::max(retry_due_, now + settings_.call_retry);
  router_.Add(std::move(*call));
}

call_destination entry_core::Destination(const shard_id& shard, bool relayed, instant now) const {
  const std::map<shard_id, std::unique_ptr<shard_home>>::const_iterator own = shards_.find(shard);
  if (own != shards_.end() && own->second->can_accept(now)) {
    return {call_destination::place::kLocal, "", 0};
  }
  if (own != shards_.end() && (own->second->is_home() || own->second->is_claiming())) {
    return {call_destination::place::kWait, "", 0};
  }
  if (relayed) {
    return {call_destination::place::kNotHere, "", 0};
  }
  const std::optional<shard_holder> holder = directory_.Holder(shard);
  if (!holder || holder->addresses.empty() || holder->incarnation == settings_.self.life) {
    return {call_destination::place::kWait, "", 0};
  }
  return {call_destination::place::kEntry, holder->addresses.front(), holder->incarnation};
}

std::set<std::string> entry_core::OtherHomes() const {
  std::set<std::string> addresses;
  for (const std::pair<const shard_id, shard_holder>& item : directory_.holders()) {
    if (item.second.incarnation != settings_.self.life && !item.second.addresses.empty()) {
      addresses.insert(item.second.addresses.front());
    }
  }
  return addresses;
}

void entry_core::Accept(routed_call call, instant now) {
  const duration patience = std::min(call.request.job.deadline, settings_.home_wait_limit);
  call.arrived = now;
  call.give_up = now + patience;
  if (std::optional<failure> refused = intent_.Refusal(call.request.job); refused) {
    refused->not_run = WithoutLookup(call.request.job);
    RefuseCall(call, std::move(*refused));
    return;
  }
  Place(std::move(call), now);
}

void entry_core::Place(routed_call call, instant now) {
  const call_destination to = Destination(ShardOfJob(call.request.job), call.route.relayed, now);
  switch (to.where) {
    case call_destination::place::kLocal: {
      const duration elapsed = now - call.arrived;
      call.request.job.deadline -= elapsed;
      call.request.wait_limit = std::max(duration(0), call.request.wait_limit - elapsed);
      if (call.sent) {
        call.request.job.generated_id = false;
        call.request.job.first_sent_ago = call.request.job.first_sent_ago.value_or(duration(0)) + elapsed;
      }
      Shard(ShardOfJob(call.request.job), now).Submit(call.request, call.route, now);
      return;
    }
    case call_destination::place::kEntry: {
      event relayed;
      relayed.kind = event_kind::kJobRelayed;
      relayed.at = now;
      relayed.job_id = call.request.job.job_id;
      relayed.peer = to.address;
      actions_.emplace_back(record_entry_event{std::move(relayed)});
      actions_.emplace_back(router_.Relay(std::move(call), to, ++last_id_, config(), now));
      return;
    }
    case call_destination::place::kNotHere:
      ReplyNotHome(call.route);
      return;
    case call_destination::place::kWait:
      break;
  }
  if (now >= call.give_up) {
    failure why(error_kind::kNotReady, call.sent ? not_run_state::kUnknown : WithoutLookup(call.request.job),
                "no home of service " + call.request.job.service + " answered");
    why.retry_after = std::chrono::seconds(1);
    RefuseCall(call, std::move(why));
    return;
  }
  retry_due_ = std::max(retry_due_, now + settings_.call_retry);
  router_.Add(std::move(call));
}

void entry_core::LookUp(caller_request request, reply_route route, instant now) {
  if (AnswerLocally(request, route, now)) {
    return;
  }
  const std::set<std::string> homes = OtherHomes();
  ContinueLookup({std::move(request), route, {homes.begin(), homes.end()}, false}, now);
}

void entry_core::ContinueLookup(pending_lookup lookup, instant) {
  if (lookup.to_ask.empty()) {
    caller_reply reply;
    reply.job_id = lookup.request.job.job_id;
    reply.error = lookup.unanswered ? failure(error_kind::kNotReady, not_run_state::kUnknown, "an entry did not answer")
                                    : failure(error_kind::kNotFound, "no job has this id");
    Reply(lookup.route, std::move(reply));
    return;
  }
  relay_request request;
  request.sender = settings_.self.id;
  request.incarnation = settings_.self.life;
  request.config = config();
  request.call = lookup.request;
  const relay_id id = ++last_id_;
  actions_.emplace_back(send_relay{id, std::move(lookup.to_ask.back()), std::move(request)});
  lookup.to_ask.pop_back();
  lookups_.Add(id, std::move(lookup));
}

bool entry_core::AnswerLocally(const caller_request& request, reply_route route, instant now) {
  for (std::pair<const shard_id, std::unique_ptr<shard_home>>& item : shards_) {
    const bool found = request.verb == caller_verb::kCancel
                           ? item.second->Cancel(request.job.job_id, route, now)
                           : item.second->Status(request.job.job_id, route, request.wait_limit, now);
    if (found) {
      return true;
    }
  }
  return false;
}

void entry_core::Reply(reply_route route, caller_reply reply) {
  if (route.relayed) {
    relay_reply out;
    out.config = config();
    out.reply = std::move(reply);
    actions_.emplace_back(answer_relay{route.id, std::move(out)});
    return;
  }
  if (open_calls_.erase(route.id) > 0) {
    actions_.emplace_back(answer_call{route.id, std::move(reply)});
  }
}

void entry_core::ReplyNotHome(reply_route route) {
  relay_reply out;
  out.config = config();
  out.not_leader = true;
  actions_.emplace_back(answer_relay{route.id, std::move(out)});
}

void entry_core::RefuseCall(const routed_call& call, failure why) {
  caller_reply reply;
  reply.job_id = call.request.job.job_id;
  reply.error = std::move(why);
  Reply(call.route, std::move(reply));
}

void entry_core::PlaceWaiting(instant now) {
  for (routed_call& call : router_.TakeWaiting()) {
    Place(std::move(call), now);
  }
}

void entry_core::Displace(const displaced_job& job) {
  for (const routed_wait& wait : job.waits) {
    if (wait.route.relayed) {
      ReplyNotHome(wait.route);
      continue;
    }
    routed_call call;
    call.request.job = job.job;
    call.request.wait_limit = wait.until - job.accepted;
    call.route = wait.route;
    call.arrived = job.accepted;
    call.give_up = wait.until;
    call.sent = true;
    router_.Add(std::move(call));
  }
}

}  // namespace bamboowing
