#include "bamboowing/entry/shard_home.h"

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

failure TaskFailure(const task_answer& answer) {
  const std::string task = "task " + std::to_string(answer.key.task);
  switch (answer.status) {
    case task_status::kTimeLimit:
      return {error_kind::kTimeLimit, task + " ran longer than its limit"};
    case task_status::kLost:
      return {error_kind::kTargetLost, task + ": " + answer.result};
    case task_status::kCancelled:
      return {error_kind::kCancelled, task + " was stopped"};
    case task_status::kSucceeded:
    case task_status::kFailed:
      break;
  }
  return {error_kind::kTargetFailed, task + ": " + answer.result};
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

void shard_home::Submit(const caller_request& call, reply_route route, instant now) {
  const job_spec& job = call.job;
  if (jobs_.Find(job, route, call.wait_limit, now) != submission::kNew) {
    return;
  }
  Decide({call, route, now, now}, now);
}

void shard_home::Decide(const held_call& held, instant now) {
  const recovery_decision decision = recovery_.Decide(held.call.job, now);
  switch (decision.verdict) {
    case recovery_verdict::kHold:
      held_.push_back(held);
      held_.back().decide_again = decision.decide_again;
      return;
    case recovery_verdict::kFail:
      Record(event_kind::kJobRefused, now, held.call.job.job_id, -1, "", 0,
             std::string(ErrorRow(decision.reason.kind).name));
      jobs_.Refuse(held.call.job.job_id, held.route, decision.reason);
      return;
    case recovery_verdict::kProceed:
      break;
  }
  const bool all_new = std::all_of(decision.tasks.begin(), decision.tasks.end(),
                                   [](const task_plan& plan) { return plan.step == task_step::kStart; });
  if (all_new) {
    AdmitNew(held, now);
  } else {
    Resume(held, decision, now);
  }
}

void shard_home::AdmitNew(const held_call& held, instant now) {
  const job_spec& job = held.call.job;
  std::optional<failure> refused = dispatcher_->Admit(job, now);
  if (refused) {
    // The job table and the inventories do not know the job, so nothing of it was started.
    refused->ran = not_run::kYes;
    Record(event_kind::kJobRefused, now, job.job_id, -1, "", 0, std::string(ErrorRow(refused->kind).name));
    jobs_.Refuse(job.job_id, held.route, std::move(*refused));
    return;
  }
  Record(event_kind::kJobAccepted, now, job.job_id, -1, "", job.tasks.size(), job.team);
  jobs_.Add(job, held.route, held.call.wait_limit, now);
}

void shard_home::Resume(const held_call& held, const recovery_decision& decision, instant now) {
  const job_spec& job = held.call.job;
  std::vector<std::uint32_t> to_start;
  for (std::uint32_t task = 0; task < decision.tasks.size(); ++task) {
    if (decision.tasks[task].step == task_step::kStart) {
      to_start.push_back(task);
    }
  }
  if (!to_start.empty()) {
    if (std::optional<failure> refused = dispatcher_->AdmitPartial(job, to_start, now); refused) {
      // Some of its tasks ran under the earlier home, so the refusal must not say that nothing did.
      refused->ran = not_run::kUnknown;
      jobs_.Refuse(job.job_id, held.route, std::move(*refused));
      return;
    }
  }
  Record(event_kind::kJobRecovered, now, job.job_id, -1, "", job.tasks.size() - to_start.size(), job.team);
  jobs_.Add(job, held.route, held.call.wait_limit, now);
  jobs_.MarkStarted(job.job_id);
  recovered_deadlines_.emplace(now + job.deadline, job.job_id);
  for (std::uint32_t task = 0; task < decision.tasks.size(); ++task) {
    if (decision.tasks[task].step != task_step::kStart) {
      ExpectAnswer(job, task, decision.tasks[task]);
    }
  }
}

void shard_home::ExpectAnswer(const job_spec& job, std::uint32_t task, const task_plan& plan) {
  agents_[plan.agent.id].expected.insert({job.job_id, task, plan.attempt});
  agents_of_job_[job.job_id].insert(plan.agent.id);
  agent_session* session = sessions_.FindAgent(plan.agent.id);
  if (session == nullptr) {
    return;
  }
  // A task that ran when the inventory was taken may have ended since, so its answer is asked for too.
  std::vector<std::string>& fetch = sessions_.Outgoing(*session).fetch_jobs;
  if (std::find(fetch.begin(), fetch.end(), job.job_id) == fetch.end()) {
    fetch.push_back(job.job_id);
  }
}

void shard_home::DecideHeld(instant now) {
  if (held_.empty()) {
    return;
  }
  std::vector<held_call> due;
  std::vector<held_call> rest;
  for (held_call& held : held_) {
    const bool decide = inventory_changed_ || held.decide_again <= now;
    (decide ? due : rest).push_back(std::move(held));
  }
  held_ = std::move(rest);
  inventory_changed_ = false;
  for (const held_call& held : due) {
    // An earlier copy of the same job may have been decided in this round.
    if (jobs_.Find(held.call.job, held.route, held.call.wait_limit, now) == submission::kNew) {
      Decide(held, now);
    }
  }
}

bool shard_home::Status(std::string_view job_id, reply_route route, duration wait_limit, instant now) {
  return jobs_.Watch(job_id, route, wait_limit, now);
}

bool shard_home::Cancel(std::string_view job_id, reply_route route, instant now) {
  const std::string id(job_id);
  if (jobs_.IsOpen(id)) {
    Record(event_kind::kJobCancelled, now, id, -1, "", 0, "");
    FailJob(id, failure(error_kind::kCancelled, jobs_.ExecutionStatement(id), "cancelled by the caller"), now);
  }
  return jobs_.Watch(id, route, duration(0), now);
}

void shard_home::OnAgentAttached(const agent_session& session, instant now) {
  agent_state& state = agents_[session.agent];
  if (state.life != 0 && state.life != session.life) {
    LoseAgent(session.agent, state, now);
  }
  state.life = session.life;
  state.attached = true;
  state.queried = false;
  state.excluded = session.excluded;
  TakeAnnouncement(session, now);
  owner_->OnAgentAttached(session.agent, session.life, now);
  RunOwnerActions(now);
}

void shard_home::OnAgentBatch(agent_session& session, const agent_batch& batch, instant now) {
  const std::map<std::string, agent_state>::iterator found = agents_.find(session.agent);
  if (found == agents_.end()) {
    return;
  }
  agent_state& state = found->second;
  ++messages_.batches_received;
  if (batch.target) {
    TakeAnnouncement(session, now);
  }
  owner_->OnAgentBatch(batch, now);
  RunOwnerActions(now);
  for (const task_answer& answer : batch.answers) {
    TakeAnswer(state, session.agent, answer, now);
  }
  for (const task_refusal& refusal : batch.refusals) {
    TakeRefusal(state, refusal, now);
  }
  if (batch.inventory_of != 0 || batch.status_reply) {
    TakeInventory(session, state, batch, now);
  }
}

void shard_home::OnAgentDetached(const std::string& agent, instant now) {
  const std::map<std::string, agent_state>::iterator found = agents_.find(agent);
  if (found == agents_.end()) {
    return;
  }
  found->second.attached = false;
  found->second.detached_at = now;
  if (found->second.target_added) {
    dispatcher_->SetTargetDraining(agent, true, now);
  }
  owner_->OnAgentDetached(agent, now);
  RunOwnerActions(now);
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

void shard_home::SetExcluded(const std::string& agent, bool excluded, instant now) {
  const std::map<std::string, agent_state>::iterator found = agents_.find(agent);
  if (found != agents_.end() && found->second.excluded != excluded) {
    found->second.excluded = excluded;
    UpdateSlots(agent, found->second, now);
  }
}

bool shard_home::HasTasksAt(const std::string& agent) const {
  const std::map<std::string, agent_state>::const_iterator found = agents_.find(agent);
  return found != agents_.end() && !found->second.in_flight.empty();
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

void shard_home::BecomeHome(instant now) {
  home_ = true;
  settings_.dispatch.first_attempt = FirstAttempt(owner_->claimed_epoch());
  dispatcher_ = std::make_unique<dispatcher>(settings_.dispatch, seed_);
  dispatcher_->SetTeams(teams_);
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
  dispatcher_ = std::make_unique<dispatcher>(settings_.dispatch, seed_);
  dispatcher_->SetTeams(teams_);
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

void shard_home::AddUsableTarget(const std::string& agent, instant now) {
  agent_state& state = agents_[agent];
  state.target_added = true;
  dispatcher_->AddTarget(agent, 0, now);
  UpdateSlots(agent, state, now);
}

void shard_home::UpdateSlots(const std::string& agent, agent_state& state, instant now) {
  if (!state.target_added) {
    return;
  }
  const std::uint32_t foreign = static_cast<std::uint32_t>(state.foreign.size());
  dispatcher_->SetUsableSlots(agent, state.slots > foreign ? state.slots - foreign : 0, now);
  dispatcher_->SetTargetDraining(agent, state.draining || state.excluded || !state.attached, now);
}

void shard_home::TakeAnnouncement(const agent_session& session, instant now) {
  if (!session.target) {
    return;
  }
  agent_state& state = agents_[session.agent];
  const bool drains = session.target->draining && !state.draining;
  const bool is_new = state.slots == 0 && session.target->slots > 0;
  state.slots = session.target->slots;
  state.draining = session.target->draining;
  state.failure_domain = session.target->failure_domain;
  if (drains || is_new) {
    Record(drains ? event_kind::kTargetDraining : event_kind::kTargetAnnounced, now, "", -1, session.agent, state.slots,
           state.failure_domain);
  }
  UpdateSlots(session.agent, state, now);
}

void shard_home::TakeAnswer(agent_state& state, const std::string& agent, const task_answer& answer, instant now) {
  ++messages_.answers;
  state.in_flight.erase(answer.key);
  state.expected.erase(answer.key);
  if (state.foreign.erase(answer.key) > 0) {
    UpdateSlots(agent, state, now);
  }
  const task_outcome outcome = dispatcher_->OnAnswered(answer, agent, now);
  Record(event_kind::kTaskAnswered, now, answer.key.job_id, answer.key.task, agent, answer.key.attempt, "");
  if (outcome == task_outcome::kRetried) {
    return;
  }
  if (!jobs_.IsOpen(answer.key.job_id)) {
    ++messages_.late_answers;
    return;
  }
  jobs_.CountMessages(answer.key.job_id, 1);
  if (answer.status != task_status::kSucceeded) {
    FailJob(answer.key.job_id, TaskFailure(answer), now);
    return;
  }
  if (jobs_.SetResult(answer.key.job_id, answer.key.task, answer.result, answer.run_time, now)) {
    Record(event_kind::kJobCompleted, now, answer.key.job_id, -1, "", 0, "");
  }
}

void shard_home::TakeRefusal(agent_state& state, const task_refusal& refusal, instant now) {
  ++messages_.refused_starts;
  state.in_flight.erase(refusal.key);
  Record(event_kind::kTaskRefused, now, refusal.key.job_id, refusal.key.task, "", refusal.key.attempt,
         std::string(ErrorRow(refusal.kind).name));
  dispatcher_->OnRefused(refusal.key, now);
}

void shard_home::TakeInventory(agent_session& session, agent_state& state, const agent_batch& batch, instant now) {
  state.queried = false;
  state.foreign.clear();
  if (batch.status_reply || batch.inventory_of == owner_->claimed_epoch()) {
    recovery_.OnInventory({session.agent, session.life}, batch.inventory, now);
    inventory_changed_ = true;
  }
  std::set<task_key> held;
  std::set<std::string> fetch;
  for (const held_task& item : batch.inventory) {
    held.insert(item.key);
    if (item.state == held_state::kRunning && state.in_flight.count(item.key) == 0) {
      state.foreign.insert(item.key);
    }
    if (item.state == held_state::kAnswered && jobs_.IsOpen(item.key.job_id)) {
      fetch.insert(item.key.job_id);
    }
  }
  if (!fetch.empty()) {
    entry_batch& out = sessions_.Outgoing(session);
    out.fetch_jobs.insert(out.fetch_jobs.end(), fetch.begin(), fetch.end());
  }
  if (batch.status_reply) {
    // The agent refuses every start that was sent before this report, so a task that it does not hold was not started.
    std::vector<task_key> missing;
    for (const std::pair<const task_key, instant>& started : state.in_flight) {
      // A start that echoes a clock from after the report may still be under way.
      if (held.count(started.first) == 0 && started.second < batch.header.sent_at) {
        missing.push_back(started.first);
      }
    }
    for (const task_key& key : missing) {
      TakeRefusal(state, {key, error_kind::kStaleMessage}, now);
    }
  }
  UpdateSlots(session.agent, state, now);
}

void shard_home::FailJob(const std::string& job_id, failure why, instant now) {
  Record(event_kind::kJobFailed, now, job_id, -1, "", 0, std::string(ErrorRow(why.kind).name));
  CancelInFlight(job_id, now);
  jobs_.Fail(job_id, std::move(why), now);
}

void shard_home::CancelInFlight(const std::string& job_id, instant now) {
  std::vector<task_key> running;
  dispatcher_->CancelJob(job_id, now, running);
  for (const task_key& key : running) {
    for (std::pair<const std::string, agent_state>& item : agents_) {
      if (item.second.in_flight.count(key) == 0) {
        continue;
      }
      if (agent_session* session = sessions_.FindAgent(item.first); session != nullptr) {
        sessions_.Outgoing(*session).cancels.push_back(key);
        ++messages_.cancels;
      }
      break;
    }
  }
}

void shard_home::LoseAgent(const std::string& agent, agent_state& state, instant now) {
  std::vector<task_key> lost;
  if (state.target_added) {
    dispatcher_->RemoveTarget(agent, now, lost);
    state.target_added = false;
  }
  recovery_.OnAgentLost({agent, state.life});
  inventory_changed_ = true;
  const std::set<task_key> expected = std::exchange(state.expected, {});
  state.in_flight.clear();
  state.foreign.clear();
  for (const task_key& key : expected) {
    if (jobs_.IsOpen(key.job_id)) {
      FailJob(
          key.job_id,
          failure(error_kind::kOutcomeUnknown, "agent " + agent + " was lost with task " + std::to_string(key.task)),
          now);
    }
  }
  Record(event_kind::kTargetLeft, now, "", -1, agent, lost.size(), "agent lost");
  for (const task_key& key : lost) {
    if (dispatcher_->OnTaskLost(key, now) != task_outcome::kRetried && jobs_.IsOpen(key.job_id)) {
      FailJob(key.job_id,
              failure(error_kind::kTargetLost, "agent " + agent + " was lost with task " + std::to_string(key.task)),
              now);
    }
  }
}

void shard_home::ExpireJobs(instant now) {
  std::vector<std::string> expired;
  dispatcher_->ExpireJobs(now, expired);
  while (!recovered_deadlines_.empty() && recovered_deadlines_.begin()->first <= now) {
    expired.push_back(recovered_deadlines_.begin()->second);
    recovered_deadlines_.erase(recovered_deadlines_.begin());
  }
  for (const std::string& job_id : expired) {
    if (!jobs_.IsOpen(job_id)) {
      continue;
    }
    FailJob(job_id, failure(error_kind::kDeadlineExceeded, jobs_.ExecutionStatement(job_id), "the deadline passed"),
            now);
  }
}

void shard_home::CheckSilence(instant now) {
  for (std::pair<const std::string, agent_state>& item : agents_) {
    agent_state& state = item.second;
    if (!state.attached) {
      const bool matters = state.target_added || !state.expected.empty();
      if (matters && now - state.detached_at >= settings_.agent_loss_timeout) {
        LoseAgent(item.first, state, now);
      }
      continue;
    }
    agent_session* session = sessions_.FindAgent(item.first);
    if (session == nullptr || state.queried || state.in_flight.empty()) {
      continue;
    }
    if (now - SilentSince(*session) >= settings_.query_after) {
      state.queried = true;
      sessions_.Outgoing(*session).status_query = true;
    }
  }
}

void shard_home::StartTasks(instant now) {
  if (!owner_->has_authority(now)) {
    return;
  }
  std::vector<assignment> starts;
  dispatcher_->NextStarts(now, starts);
  for (const assignment& start : starts) {
    agent_session* session = sessions_.FindAgent(start.target);
    const job_spec* job = jobs_.OpenJob(start.key.job_id);
    if (session == nullptr || job == nullptr) {
      dispatcher_->OnRefused(start.key, now);
      continue;
    }
    start_task task;
    task.key = start.key;
    task.payload = job->tasks[start.key.task].payload;
    task.time_limit = settings_.task_time_limit;
    task.idempotent = job->idempotent;
    sessions_.Outgoing(*session).starts.push_back(std::move(task));
    std::map<task_key, instant>& in_flight = agents_[start.target].in_flight;
    session->busy_since = in_flight.empty() ? now : session->busy_since;
    in_flight[start.key] = session->peer_clock;
    agents_of_job_[start.key.job_id].insert(start.target);
    jobs_.MarkStarted(start.key.job_id);
    jobs_.CountMessages(start.key.job_id, 1);
    ++messages_.starts;
    Record(event_kind::kTaskSent, now, start.key.job_id, start.key.task, start.target, start.key.attempt, "");
  }
}

void shard_home::RecordHealth(instant now) {
  std::vector<health_change> changes;
  dispatcher_->DrainHealthChanges(changes);
  for (health_change& change : changes) {
    ejections_ += change.ejected ? 1 : 0;
    Record(change.ejected ? event_kind::kTargetEjected : event_kind::kTargetRestored, now, "", -1,
           std::move(change.target), 0, std::move(change.reason));
  }
}

void shard_home::ReleaseDelivered() {
  std::vector<std::string> delivered;
  jobs_.TakeDelivered(delivered);
  for (const std::string& job_id : delivered) {
    const std::unordered_map<std::string, std::set<std::string>>::iterator found = agents_of_job_.find(job_id);
    if (found == agents_of_job_.end()) {
      continue;
    }
    for (const std::string& agent : found->second) {
      // Rides on the next batch; a message of its own is not worth its cost.
      if (agent_session* session = sessions_.FindAgent(agent); session != nullptr) {
        session->pending.released_jobs.push_back(job_id);
      }
    }
    agents_of_job_.erase(found);
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
