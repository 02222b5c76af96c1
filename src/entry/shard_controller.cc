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
  owner.life = settings.self.life;
  owner.addresses = {settings.self.peers_address};
  owner.lease_time = settings.lease_time;
  owner.renew_interval = settings.renew_interval;
  return owner;
}

}  // namespace

shard_home::shard_home(shard_id shard, const entry_settings& settings, agent_sessions& sessions, std::uint64_t seed,
                       instant now)
    : shard_(std::move(shard)),
      settings_(settings),
      sessions_(sessions),
      seed_(seed),
      owner_(std::make_unique<shard_owner>(MakeOwnerSettings(shard_, settings), seed, now)),
      dispatcher_(std::make_unique<dispatcher>(settings.dispatch, seed)),
      recovery_(recovery_settings{}),
      jobs_(settings.jobs) {}

bool shard_home::is_claiming() const {
  const owner_role role = owner_->role();
  return role == owner_role::kClaiming || role == owner_role::kGathering || role == owner_role::kSettling;
}

void shard_home::OnStoreResult(const store_result& result, instant now) {
  owner_->OnStoreResult(result, now);
  RunOwnerActions(now);
}

void shard_home::Release(instant now) {
  owner_->Release(now);
  RunOwnerActions(now);
  LoseHome();
}

void shard_home::Advance(instant now) {
  owner_->OnTick(now);
  RunOwnerActions(now);
  jobs_.OnTick(now);
  CheckSilence(now);
  recovery_.OnTick(now);
  if (home_) {
    DecideHeld(now);
    ExpireJobs(now);
    StartTasks(now);
    RecordHealth(now);
  }
  ReleaseDelivered();
}

std::optional<instant> shard_home::next_wakeup() const {
  instant next = owner_->next_wakeup();
  for (const std::optional<instant>& other : {jobs_.next_wakeup(), dispatcher_->next_wakeup()}) {
    if (other) {
      next = std::min(next, *other);
    }
  }
  for (const held_call& held : held_) {
    next = std::min(next, held.decide_again);
  }
  if (!recovered_deadlines_.empty()) {
    next = std::min(next, recovered_deadlines_.begin()->first);
  }
  for (const std::pair<const std::string, agent_state>& item : agents_) {
    const agent_state& state = item.second;
    if (!state.attached && (state.target_added || !state.expected.empty())) {
      next = std::min(next, state.detached_at + settings_.agent_loss_timeout);
    } else if (state.attached && !state.queried && !state.in_flight.empty()) {
      if (const agent_session* session = sessions_.FindAgent(item.first); session != nullptr) {
        next = std::min(next, SilentSince(*session) + settings_.query_after);
      }
    }
  }
  return next;
}

void shard_home::TakeStoreCalls(std::vector<owner_action>& out) {
  std::move(store_calls_.begin(), store_calls_.end(), std::back_inserter(out));
  store_calls_.clear();
}

void shard_home::TakeDisplaced(std::vector<displaced_job>& out) {
  std::move(displaced_.begin(), displaced_.end(), std::back_inserter(out));
  displaced_.clear();
}

void shard_home::TakeEvents(std::vector<event>& out) {
  std::move(events_.begin(), events_.end(), std::back_inserter(out));
  events_.clear();
}

std::vector<shard_home::target_view> shard_home::Targets() const {
  std::vector<target_view> views;
  for (const std::pair<const std::string, agent_state>& item : agents_) {
    const agent_state& state = item.second;
    target_view view;
    view.agent = item.first;
    view.failure_domain = state.failure_domain;
    view.slots = state.slots;
    view.in_flight = static_cast<std::uint32_t>(state.in_flight.size() + state.foreign.size());
    view.life = state.life;
    view.attached = state.attached;
    view.draining = state.draining;
    view.usable = state.target_added;
    views.push_back(std::move(view));
  }
  return views;
}

void shard_home::RunOwnerActions(instant now) {
  const std::vector<owner_action> actions(owner_->actions().begin(), owner_->actions().end());
  owner_->ClearActions();
  for (const owner_action& action : actions) {
    HandleOwner(action, now);
  }
}

void shard_home::HandleOwner(const owner_action& action, instant now) {
  if (const claim_agent* claim = std::get_if<claim_agent>(&action); claim != nullptr) {
    if (agent_session* session = sessions_.FindAgent(claim->agent); session != nullptr) {
      sessions_.Outgoing(*session).claim = true;
    }
  } else if (const probe_agent* probe = std::get_if<probe_agent>(&action); probe != nullptr) {
    if (agent_session* session = sessions_.FindAgent(probe->agent); session != nullptr) {
      sessions_.Outgoing(*session);
    }
  } else if (const claimed_shard* claimed = std::get_if<claimed_shard>(&action); claimed != nullptr) {
    recovery_.Begin(claimed->to_account, now);
    Record(event_kind::kEpochRaised, now, "", -1, "", claimed->shard_epoch, shard_.service);
  } else if (const became_home* became = std::get_if<became_home>(&action); became != nullptr) {
    Record(event_kind::kShardClaimed, now, "", -1, "", became->shard_epoch, shard_.service);
    BecomeHome(now);
  } else if (const lost_home* lost = std::get_if<lost_home>(&action); lost != nullptr) {
    Record(event_kind::kShardReleased, now, "", -1, "", lost->shard_epoch, shard_.service);
    LoseHome();
  } else if (const agent_usable* usable = std::get_if<agent_usable>(&action); usable != nullptr) {
    AddUsableTarget(usable->agent.id, now);
  } else {
    store_calls_.push_back(action);
  }
}

void shard_home::SetIntent(const intent_state& intent) {
  settings_.task_time_limit = intent.TaskTimeLimit(shard_.service).value_or(settings_.task_time_limit);
  jobs_.SetRetention(intent.document().limits.answer_retention);
  recovery_.SetRecoveryWindow(intent.document().limits.recovery_window);
  teams_ = intent.TeamShares();
  limits_ = intent.DispatchLimits();
  dispatcher_->SetTeams(teams_);
  dispatcher_->SetLimits(limits_);
}

void shard_home::RenewDispatcher() {
  dispatcher_ = std::make_unique<dispatcher>(settings_.dispatch, seed_);
  dispatcher_->SetTeams(teams_);
  dispatcher_->SetLimits(limits_);
}

void shard_home::BecomeHome(instant now) {
  home_ = true;
  settings_.dispatch.first_attempt = FirstAttempt(owner_->claimed_epoch());
  RenewDispatcher();
  recovery_.OnHome(now);
}

void shard_home::LoseHome() {
  if (!home_) {
    return;
  }
  home_ = false;
  jobs_.TakeOpen(displaced_);
  for (held_call& held : held_) {
    const instant until = held.arrived + held.call.wait_limit;
    displaced_.push_back({std::move(held.call.job), {{held.route, until}}, held.arrived});
  }
  held_.clear();
  recovered_deadlines_.clear();
  RenewDispatcher();
  agents_of_job_.clear();
  for (std::pair<const std::string, agent_state>& item : agents_) {
    item.second.target_added = false;
    for (const std::pair<const task_key, instant>& started : item.second.in_flight) {
      item.second.foreign.insert(started.first);
    }
    item.second.in_flight.clear();
    item.second.expected.clear();
  }
}

void shard_home::Record(event_kind kind, instant now, std::string job_id, std::int64_t task, std::string peer,
                        std::uint64_t number, std::string detail) {
  event what;
  what.kind = kind;
  what.at = now;
  what.job_id = std::move(job_id);
  what.task = task;
  what.peer = std::move(peer);
  what.number = number;
  what.detail = std::move(detail);
  if (task >= 0) {
    what.attempt = static_cast<std::int64_t>(number);
  }
  if (kind == event_kind::kJobAccepted) {
    what.count = static_cast<std::int64_t>(number);
  }
  if (kind == event_kind::kJobRefused || kind == event_kind::kJobFailed || kind == event_kind::kTaskRefused) {
    what.error = ErrorKindFromName(what.detail);
  }
  events_.push_back(std::move(what));
}

}  // namespace bamboowing
