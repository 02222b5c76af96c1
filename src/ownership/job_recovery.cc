#include "bamboowing/ownership/job_recovery.h"

#include <algorithm>
#include <iterator>

namespace bamboowing {

void job_recovery::BeginEpoch(span<const recorded_agent> awaited_agents, instant) {
  missing_ = std::set<recorded_agent>(awaited_agents.begin(), awaited_agents.end());
  agents_.clear();
  agent_lost_.clear();
  holdings_.clear();
  holding_count_ = 0;
  inventory_truncated_ = false;
  leader_since_.reset();
}

void job_recovery::OnBecameLeader(instant now) { leader_since_ = now; }

void job_recovery::OnInventory(const recorded_agent& agent, span<const held_task> held, instant) {
  missing_.erase(agent);
  const std::uint32_t index = IndexOf(agent);
  agent_lost_[index] = false;
  for (const held_task& task : held) {
    AddHolding(task, index);
  }
}

void job_recovery::AddHolding(const held_task& task, std::uint32_t agent) {
  const holding now_held{task.key.task, task.key.attempt, task.state, agent};
  const std::unordered_map<std::string, std::vector<holding>>::iterator job = holdings_.find(task.key.job_id);
  if (job != holdings_.end()) {
    for (holding& known : job->second) {
      if (known.agent == agent && known.task == task.key.task) {
        known = now_held;
        return;
      }
    }
  }
  if (holding_count_ >= settings_.holding_limit) {
    inventory_truncated_ = true;
    return;
  }
  holdings_[task.key.job_id].push_back(now_held);
  ++holding_count_;
}

void job_recovery::OnAgentLost(const recorded_agent& agent) {
  const std::vector<recorded_agent>::iterator found = std::find(agents_.begin(), agents_.end(), agent);
  if (found != agents_.end()) {
    agent_lost_[static_cast<std::size_t>(std::distance(agents_.begin(), found))] = true;
  }
}

recovery_decision job_recovery::Decide(const job_spec& job, instant now) const {
  // An idempotent request may be restarted, so the outcome of earlier starts does not matter.
  const bool repeatable = job.is_request && job.idempotent;
  recovery_decision decision;
  for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
    const holding* held = BestHolding(job.job_id, task);
    const bool answerable = held != nullptr && held->state != held_state::kReleased && !agent_lost_[held->agent];
    if (answerable) {
      const recovery_step step =
          held->state == held_state::kAnswered ? recovery_step::kFetchAnswer : recovery_step::kAwaitAnswer;
      decision.tasks.push_back({step, agents_[held->agent], held->attempt});
      continue;
    }
    if (held != nullptr && !repeatable) {
      return AnswerUnavailable(task);
    }
    if (held == nullptr && !repeatable && !IsCertainlyNew(job, now)) {
      return DeferOrFail(now);
    }
    decision.tasks.push_back({});
  }
  return decision;
}

void job_recovery::OnTick(instant now) {
  if (leader_since_.has_value() && *leader_since_ + settings_.inventory_retention <= now) {
    holdings_.clear();
    holding_count_ = 0;
    inventory_truncated_ = false;
  }
}

std::uint32_t job_recovery::IndexOf(const recorded_agent& agent) {
  const std::vector<recorded_agent>::iterator found = std::find(agents_.begin(), agents_.end(), agent);
  if (found != agents_.end()) {
    return static_cast<std::uint32_t>(std::distance(agents_.begin(), found));
  }
  agents_.push_back(agent);
  agent_lost_.push_back(false);
  return static_cast<std::uint32_t>(agents_.size() - 1);
}

// Several agents may hold an idempotent request; one that can still answer is preferred.
const job_recovery::holding* job_recovery::BestHolding(const std::string& job_id, std::uint32_t task) const {
  const std::unordered_map<std::string, std::vector<holding>>::const_iterator job = holdings_.find(job_id);
  if (job == holdings_.end()) {
    return nullptr;
  }
  const auto rank = [this](const holding& held) {
    const int usefulness = held.state == held_state::kAnswered ? 2 : held.state == held_state::kRunning ? 1 : 0;
    return agent_lost_[held.agent] ? 0 : usefulness;
  };
  const holding* best = nullptr;
  for (const holding& held : job->second) {
    if (held.task == task && (best == nullptr || rank(held) > rank(*best))) {
      best = &held;
    }
  }
  return best;
}

bool job_recovery::IsCertainlyNew(const job_spec& job, instant now) const {
  if (!leader_since_.has_value()) {
    return false;
  }
  if (job.generated_id || (missing_.empty() && !inventory_truncated_) ||
      *leader_since_ + settings_.recovery_window <= now) {
    return true;
  }
  // The previous leader may have accepted jobs until this entry became leader.
  return job.first_sent_ago.has_value() && now - *job.first_sent_ago - settings_.first_sent_margin >= *leader_since_;
}

recovery_decision job_recovery::AnswerUnavailable(std::uint32_t task) {
  recovery_decision decision;
  decision.verdict = recovery_verdict::kFail;
  decision.error =
      failure(error_kind::kOutcomeUnknown, not_run_state::kNo,
              "task " + std::to_string(task) + " was started before and its answer is no longer available");
  return decision;
}

recovery_decision job_recovery::DeferOrFail(instant now) const {
  recovery_decision decision;
  const instant limit = leader_since_.value_or(now) + settings_.inventory_wait;
  if (now < limit) {
    decision.verdict = recovery_verdict::kDefer;
    decision.retry_at = limit;
    return decision;
  }
  decision.verdict = recovery_verdict::kFail;
  decision.error = failure(error_kind::kOutcomeUnknown, not_run_state::kUnknown,
                           std::to_string(missing_.size()) + " agents of the previous leader have not reported");
  return decision;
}

}  // namespace bamboowing
