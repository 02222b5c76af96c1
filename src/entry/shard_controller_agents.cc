// The part of shard_home that deals with agents: their targets, answers and reports, and the starts sent to them.
#include <algorithm>
#include <utility>

#include "bamboowing/entry/shard_controller.h"

namespace bamboowing {
namespace {

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

}  // namespace bamboowing
