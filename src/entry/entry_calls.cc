// The part of entry_core that routes callers' and relayed calls.
#include <algorithm>
#include <cstdio>
#include <utility>

#include "bamboowing/entry/entry_core.h"

namespace bamboowing {
namespace {

/// Execution status of a refusal that precedes the leader's lookup of the job. An id from the caller may be that of a
/// job that has already run.
not_run_state NotRunBeforeLookup(const job_spec& job) {
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
    reply.error = failure(error_kind::kDraining, NotRunBeforeLookup(request.job), "this entry is shutting down");
    Reply(route, std::move(reply));
    return;
  }
  if (request.job.job_id.empty()) {
    char id[40];
    std::snprintf(id, sizeof(id), "%016llx-%016llx", static_cast<unsigned long long>(settings_.self.incarnation),
                  static_cast<unsigned long long>(random_.Next()));
    request.job.job_id = id;
    request.job.generated_id = true;
  }
  HandleSubmission({std::move(request), route, now, now, false, "", 0}, now);
}

void entry_core::OnCallerGone(call_id call, instant) {
  const reply_route route{false, call};
  open_calls_.erase(call);
  router_.RemoveRoute(route);
  for (std::pair<const shard_id, std::unique_ptr<shard_controller>>& item : shards_) {
    item.second->RemoveRoute(route);
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
      ReplyNotLeader(route);
    }
    return;
  }
  HandleSubmission({std::move(request.call), route, now, now, false, "", 0}, now);
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
    lookup->incomplete = lookup->incomplete || !reply;
    ContinueLookup(std::move(*lookup), now);
    return;
  }
  std::optional<routed_call> call = router_.EndRelay(relay);
  if (!call) {
    return;
  }
  if (reply) {
    FetchNewerConfig(reply->config, call->address);
  }
  if (reply && !reply->not_leader) {
    Reply(call->route, std::move(reply->reply));
    return;
  }
  routing_due_ = std::max(routing_due_, now + settings_.routing_retry_interval);
  router_.Add(std::move(*call));
}

call_destination entry_core::Destination(const shard_id& shard, bool relayed, instant now) const {
  const std::map<shard_id, std::unique_ptr<shard_controller>>::const_iterator own = shards_.find(shard);
  if (own != shards_.end() && own->second->can_accept(now)) {
    return {call_destination::destination_type::kLocal, "", 0};
  }
  if (own != shards_.end() && (own->second->is_leader() || own->second->is_claiming())) {
    return {call_destination::destination_type::kWait, "", 0};
  }
  if (relayed) {
    return {call_destination::destination_type::kNotLeader, "", 0};
  }
  const std::optional<shard_holder> holder = directory_.Holder(shard);
  if (!holder || holder->addresses.empty() || holder->incarnation == settings_.self.incarnation) {
    return {call_destination::destination_type::kWait, "", 0};
  }
  return {call_destination::destination_type::kRemote, holder->addresses.front(), holder->incarnation};
}

std::set<std::string> entry_core::OtherLeaderAddresses() const {
  std::set<std::string> addresses;
  for (const std::pair<const shard_id, shard_holder>& item : directory_.holders()) {
    if (item.second.incarnation != settings_.self.incarnation && !item.second.addresses.empty()) {
      addresses.insert(item.second.addresses.front());
    }
  }
  return addresses;
}

void entry_core::HandleSubmission(routed_call call, instant now) {
  const duration timeout = std::min(call.request.job.deadline, settings_.leader_wait_limit);
  call.arrived_at = now;
  call.expires_at = now + timeout;
  if (std::optional<failure> refused = intent_.CheckJob(call.request.job); refused) {
    refused->not_run = NotRunBeforeLookup(call.request.job);
    RefuseCall(call, std::move(*refused));
    return;
  }
  RouteCall(std::move(call), now);
}

void entry_core::RouteCall(routed_call call, instant now) {
  const call_destination destination = Destination(ShardOfJob(call.request.job), call.route.relayed, now);
  switch (destination.type) {
    case call_destination::destination_type::kLocal: {
      const duration elapsed = now - call.arrived_at;
      call.request.job.deadline -= elapsed;
      call.request.wait_limit = std::max(duration(0), call.request.wait_limit - elapsed);
      if (call.possibly_accepted) {
        call.request.job.generated_id = false;
        call.request.job.first_sent_ago = call.request.job.first_sent_ago.value_or(duration(0)) + elapsed;
      }
      Shard(ShardOfJob(call.request.job), now).Submit(call.request, call.route, now);
      return;
    }
    case call_destination::destination_type::kRemote: {
      event relayed;
      relayed.kind = event_kind::kJobRelayed;
      relayed.at = now;
      relayed.job_id = call.request.job.job_id;
      relayed.peer = destination.address;
      actions_.emplace_back(record_entry_event{std::move(relayed)});
      actions_.emplace_back(router_.Relay(std::move(call), destination, ++last_id_, config(), now));
      return;
    }
    case call_destination::destination_type::kNotLeader:
      ReplyNotLeader(call.route);
      return;
    case call_destination::destination_type::kWait:
      break;
  }
  if (now >= call.expires_at) {
    failure error(error_kind::kNotReady,
                  call.possibly_accepted ? not_run_state::kUnknown : NotRunBeforeLookup(call.request.job),
                  "no shard leader of service " + call.request.job.service + " accepted the job in time");
    error.retry_after = std::chrono::seconds(1);
    RefuseCall(call, std::move(error));
    return;
  }
  routing_due_ = std::max(routing_due_, now + settings_.routing_retry_interval);
  router_.Add(std::move(call));
}

void entry_core::LookUp(caller_request request, reply_route route, instant now) {
  if (AnswerLocally(request, route, now)) {
    return;
  }
  const std::set<std::string> leaders = OtherLeaderAddresses();
  ContinueLookup({std::move(request), route, {leaders.begin(), leaders.end()}, false}, now);
}

void entry_core::ContinueLookup(pending_lookup lookup, instant) {
  if (lookup.remaining_addresses.empty()) {
    caller_reply reply;
    reply.job_id = lookup.request.job.job_id;
    reply.error = lookup.incomplete
                      ? failure(error_kind::kNotReady, not_run_state::kUnknown, "an entry did not answer the lookup")
                      : failure(error_kind::kNotFound, "no job has this id");
    Reply(lookup.route, std::move(reply));
    return;
  }
  relay_request request;
  request.sender = settings_.self.id;
  request.incarnation = settings_.self.incarnation;
  request.config = config();
  request.call = lookup.request;
  const relay_id id = ++last_id_;
  actions_.emplace_back(send_relay{id, std::move(lookup.remaining_addresses.back()), std::move(request)});
  lookup.remaining_addresses.pop_back();
  lookups_.Add(id, std::move(lookup));
}

bool entry_core::AnswerLocally(const caller_request& request, reply_route route, instant now) {
  for (std::pair<const shard_id, std::unique_ptr<shard_controller>>& item : shards_) {
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

void entry_core::ReplyNotLeader(reply_route route) {
  relay_reply out;
  out.config = config();
  out.not_leader = true;
  actions_.emplace_back(answer_relay{route.id, std::move(out)});
}

void entry_core::RefuseCall(const routed_call& call, failure error) {
  caller_reply reply;
  reply.job_id = call.request.job.job_id;
  reply.error = std::move(error);
  Reply(call.route, std::move(reply));
}

void entry_core::RouteWaitingCalls(instant now) {
  for (routed_call& call : router_.TakeWaiting()) {
    RouteCall(std::move(call), now);
  }
}

void entry_core::RequeueDisplaced(const displaced_job& job) {
  for (const reply_waiter& wait : job.waiters) {
    if (wait.route.relayed) {
      ReplyNotLeader(wait.route);
      continue;
    }
    routed_call call;
    call.request.job = job.job;
    call.request.wait_limit = wait.until - job.accepted_at;
    call.route = wait.route;
    call.arrived_at = job.accepted_at;
    call.expires_at = wait.until;
    call.possibly_accepted = true;
    router_.Add(std::move(call));
  }
}

}  // namespace bamboowing
