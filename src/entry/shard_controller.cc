#include "bamboowing/entry/shard_controller.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace bamboowing {
namespace {

owner_settings MakeOwnerSettings(const shard_id& shard, const entry_settings& settings) {
  owner_settings owner;
  owner.shard = shard;
  owner.entry_id = settings.self.id;
  owner.incarnation = settings.self.incarnation;
  owner.addresses = {settings.self.peers_address};
  owner.lease_time = settings.lease_time;
  owner.renew_interval = settings.renew_interval;
  return owner;
}

}  // namespace

shard_controller::shard_controller(shard_id shard, const entry_settings& settings, agent_sessions& sessions,
                                   std::uint64_t seed, instant now)
    : shard_(std::move(shard)),
      settings_(settings),
      sessions_(sessions),
      seed_(seed),
      owner_(std::make_unique<shard_owner>(MakeOwnerSettings(shard_, settings), seed, now)),
      dispatcher_(std::make_unique<dispatcher>(settings.dispatch, seed)),
      recovery_(recovery_settings{}),
      jobs_(settings.jobs) {}

bool shard_controller::is_claiming() const {
  const owner_role role = owner_->role();
  return role == owner_role::kClaiming || role == owner_role::kAwaitingMajority || role == owner_role::kAwaitingExpiry;
}

void shard_controller::OnStoreResult(const store_result& result, instant now) {
  owner_->OnStoreResult(result, now);
  RunOwnerActions(now);
}

void shard_controller::Release(instant now) {
  owner_->Release(now);
  RunOwnerActions(now);
  LoseLeadership();
}

void shard_controller::Advance(instant now) {
  owner_->OnTick(now);
  RunOwnerActions(now);
  jobs_.OnTick(now);
  CheckSilentAgents(now);
  recovery_.OnTick(now);
  if (is_leader_) {
    DecideDeferred(now);
    ExpireJobs(now);
    StartTasks(now);
    RecordHealthChanges(now);
  }
  ReleaseDeliveredJobs();
}

std::optional<instant> shard_controller::next_wakeup() const {
  instant next = owner_->next_wakeup();
  for (const std::optional<instant>& other : {jobs_.next_wakeup(), dispatcher_->next_wakeup()}) {
    if (other) {
      next = std::min(next, *other);
    }
  }
  for (const deferred_call& deferred : deferred_calls_) {
    next = std::min(next, deferred.retry_at);
  }
  if (!recovered_deadlines_.empty()) {
    next = std::min(next, recovered_deadlines_.begin()->first);
  }
  for (const std::pair<const std::string, agent_state>& item : agents_) {
    const agent_state& state = item.second;
    if (!state.attached && (state.target_added || !state.expected_answers.empty())) {
      next = std::min(next, state.detached_at + settings_.agent_loss_timeout);
    } else if (state.attached && !state.status_query_pending && !state.in_flight.empty()) {
      if (const agent_session* session = sessions_.FindAgent(item.first); session != nullptr) {
        next = std::min(next, SilentSince(*session) + settings_.status_query_timeout);
      }
    }
  }
  return next;
}

void shard_controller::TakeStoreCalls(std::vector<owner_action>& out) {
  std::move(store_calls_.begin(), store_calls_.end(), std::back_inserter(out));
  store_calls_.clear();
}

void shard_controller::TakeDisplaced(std::vector<displaced_job>& out) {
  std::move(displaced_.begin(), displaced_.end(), std::back_inserter(out));
  displaced_.clear();
}

void shard_controller::TakeEvents(std::vector<event>& out) {
  std::move(events_.begin(), events_.end(), std::back_inserter(out));
  events_.clear();
}

std::vector<shard_controller::target_view> shard_controller::Targets() const {
  std::vector<target_view> views;
  for (const std::pair<const std::string, agent_state>& item : agents_) {
    const agent_state& state = item.second;
    target_view view;
    view.agent = item.first;
    view.failure_domain = state.failure_domain;
    view.slots = state.slots;
    view.in_flight = static_cast<std::uint32_t>(state.in_flight.size() + state.earlier_epoch_tasks.size());
    view.incarnation = state.incarnation;
    view.attached = state.attached;
    view.draining = state.draining;
    view.usable = state.target_added;
    views.push_back(std::move(view));
  }
  return views;
}

void shard_controller::RunOwnerActions(instant now) {
  const std::vector<owner_action> actions(owner_->actions().begin(), owner_->actions().end());
  owner_->ClearActions();
  for (const owner_action& action : actions) {
    HandleOwnerAction(action, now);
  }
}

void shard_controller::HandleOwnerAction(const owner_action& action, instant now) {
  if (const claim_agent* claim = std::get_if<claim_agent>(&action); claim != nullptr) {
    if (agent_session* session = sessions_.FindAgent(claim->agent); session != nullptr) {
      sessions_.OutgoingBatch(*session).claim = true;
    }
  } else if (const probe_agent* probe = std::get_if<probe_agent>(&action); probe != nullptr) {
    if (agent_session* session = sessions_.FindAgent(probe->agent); session != nullptr) {
      sessions_.OutgoingBatch(*session);
    }
  } else if (const claimed_shard* claimed = std::get_if<claimed_shard>(&action); claimed != nullptr) {
    recovery_.BeginEpoch(claimed->awaited_agents, now);
    RecordEvent(event_kind::kEpochRaised, now, "", -1, "", claimed->shard_epoch, shard_.service);
  } else if (const became_leader* became = std::get_if<became_leader>(&action); became != nullptr) {
    RecordEvent(event_kind::kShardClaimed, now, "", -1, "", became->shard_epoch, shard_.service);
    BecomeLeader(now);
  } else if (const lost_leadership* lost = std::get_if<lost_leadership>(&action); lost != nullptr) {
    RecordEvent(event_kind::kShardReleased, now, "", -1, "", lost->shard_epoch, shard_.service);
    LoseLeadership();
  } else if (const agent_usable* usable = std::get_if<agent_usable>(&action); usable != nullptr) {
    AddUsableTarget(usable->agent.id, now);
  } else {
    store_calls_.push_back(action);
  }
}

void shard_controller::SetIntent(const intent_state& intent) {
  settings_.task_time_limit = intent.TaskTimeLimit(shard_.service).value_or(settings_.task_time_limit);
  jobs_.SetRetention(intent.document().limits.answer_retention);
  recovery_.SetRecoveryWindow(intent.document().limits.recovery_window);
  teams_ = intent.TeamShares();
  limits_ = intent.DispatchLimits();
  dispatcher_->SetTeams(teams_);
  dispatcher_->SetLimits(limits_);
}

void shard_controller::ResetDispatcher() {
  dispatcher_ = std::make_unique<dispatcher>(settings_.dispatch, seed_);
  dispatcher_->SetTeams(teams_);
  dispatcher_->SetLimits(limits_);
}

void shard_controller::BecomeLeader(instant now) {
  is_leader_ = true;
  settings_.dispatch.first_attempt = FirstAttempt(owner_->claimed_epoch());
  ResetDispatcher();
  recovery_.OnBecameLeader(now);
}

void shard_controller::LoseLeadership() {
  if (!is_leader_) {
    return;
  }
  is_leader_ = false;
  jobs_.TakeOpenJobs(displaced_);
  for (deferred_call& deferred : deferred_calls_) {
    const instant until = deferred.arrived_at + deferred.call.wait_limit;
    displaced_.push_back({std::move(deferred.call.job), {{deferred.route, until}}, deferred.arrived_at});
  }
  deferred_calls_.clear();
  recovered_deadlines_.clear();
  ResetDispatcher();
  agents_of_job_.clear();
  for (std::pair<const std::string, agent_state>& item : agents_) {
    item.second.target_added = false;
    for (const std::pair<const task_key, instant>& started : item.second.in_flight) {
      item.second.earlier_epoch_tasks.insert(started.first);
    }
    item.second.in_flight.clear();
    item.second.expected_answers.clear();
  }
}

void shard_controller::RecordEvent(event_kind kind, instant now, std::string job_id, std::int64_t task,
                                   std::string peer, std::uint64_t number, std::string detail) {
  event record;
  record.kind = kind;
  record.at = now;
  record.job_id = std::move(job_id);
  record.task = task;
  record.peer = std::move(peer);
  record.number = number;
  record.detail = std::move(detail);
  if (task >= 0) {
    record.attempt = static_cast<std::int64_t>(number);
  }
  if (kind == event_kind::kJobAccepted) {
    record.count = static_cast<std::int64_t>(number);
  }
  if (kind == event_kind::kJobRefused || kind == event_kind::kJobFailed || kind == event_kind::kTaskRefused) {
    record.error = ErrorKindFromName(record.detail);
  }
  events_.push_back(std::move(record));
}

}  // namespace bamboowing
