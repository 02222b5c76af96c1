// Inputs, faults and checks of cluster_sim.

#include <algorithm>

#include "cluster_sim.h"

namespace bamboowing {
namespace {

// Rough sizes, in bytes, of a message without its items and of an item without its texts.
constexpr std::size_t kMessageSize = 80;
constexpr std::size_t kItemSize = 40;

std::string Describe(const run_record& run) {
  const auto ms = [](instant at) { return std::to_string(at.time_since_epoch().count() / 1000); };
  return "attempt " + std::to_string(run.key.attempt) + " on " + run.target + " from " + ms(run.started_at) + " to " +
         ms(run.ended_at);
}
constexpr duration kDrainCheckInterval = std::chrono::milliseconds(5);
// Time that a draining entry has for answering its jobs.
constexpr duration kAnswerLimit = std::chrono::seconds(5);

}  // namespace

void cluster_sim::TraceFault(const std::string& fault, std::size_t index, duration time) const {
  Trace("fault: " + fault + " " + std::to_string(index) + " for " + std::to_string(time.count() / 1000) + " ms");
}

job_step cluster_sim::Step(std::uint32_t tasks, int work_ms, const resource_amount& need) const {
  job_step step;
  step.count = tasks;
  step.need = need;
  step.estimate = std::chrono::milliseconds(work_ms);
  return step;
}

std::size_t cluster_sim::Submit(std::size_t entry, const std::string& id, std::uint32_t tasks, int work_ms) {
  return Submit(entry, id, {Step(tasks, work_ms, {task_millicores, task_memory_mb, 0})}, work_ms);
}

std::size_t cluster_sim::Submit(std::size_t entry, const std::string& id, std::vector<job_step> steps, int work_ms) {
  return SubmitPayload(entry, id, std::move(steps), work_ms, "", QueueOf(id));
}

std::size_t cluster_sim::Submit(std::size_t entry, const std::string& id, std::vector<job_step> steps, int work_ms,
                                const queue_rule& queue) {
  return SubmitPayload(entry, id, std::move(steps), work_ms, "", queue);
}

queue_rule cluster_sim::QueueOf(const std::string& id) {
  queue_rule rule;
  rule.name = "queue-" + id.substr(0, id.find_first_of("0123456789"));
  rule.service = kSimService;
  rule.max_attempts = 3;
  rule.slack_factor = 1.6;
  rule.target_latency = std::chrono::milliseconds(60);
  return rule;
}

std::size_t cluster_sim::SubmitDeadly(std::size_t entry, const std::string& id, std::uint32_t tasks, int work_ms) {
  crashes_.emplace(id, std::vector<instant>());
  return SubmitPayload(entry, id, {Step(tasks, work_ms, {task_millicores, task_memory_mb, 0})}, work_ms, " crash",
                       QueueOf(id));
}

void cluster_sim::StartDeadly(std::size_t target, const run_key& key) {
  const auto crash = [this, target, key, start_id = agents_[target]->target->start_id()] {
    if (agents_[target]->target->start_id() != start_id) {
      return;  // another fault has ended this incarnation
    }
    crashes_[key.job_id].push_back(now_);
    ReplaceTarget(target, deadly_down);
    if (on_crash) {
      on_crash(target);
    }
  };
  if (deadly_delay == duration(0)) {
    crash();
  } else {
    After(deadly_delay, crash);
  }
}

std::size_t cluster_sim::StartsAfterCrashes(const std::string& job_id, std::size_t crashes) const {
  const std::vector<instant>& crashed_at = crashes_.at(job_id);
  if (crashed_at.size() < crashes) {
    return 0;
  }
  const instant last = crashed_at[crashes - 1];
  return static_cast<std::size_t>(
      std::count_if(history_.begin(), history_.end(), [&job_id, last](const run_record& run) {
        return run.key.job_id == job_id && run.key.step == 0 && run.key.index == 0 && run.started_at > last;
      }));
}

std::size_t cluster_sim::SubmitPayload(std::size_t entry, const std::string& id, std::vector<job_step> steps,
                                       int work_ms, const std::string& mark, const queue_rule& queue) {
  sim_job submitted;
  submitted.id = id;
  submitted.call = jobs_.size() + 1;
  submitted.entry = entry;
  submitted.work_ms = work_ms;
  submitted.sent = now_;
  submitted.caller_gone = !entries_[entry]->core;
  jobs_.push_back(submitted);
  best_effort_job job;
  job.id = id;
  job.deadline = caller_wait;
  std::vector<resource_amount> needs;
  for (const job_step& step : steps) {
    needs.push_back(step.need);
  }
  job.payload = FakePayload(work_ms, needs) + mark;
  job.steps = std::move(steps);
  DeliverToEntry(entry, [=](dispatch_core& core, instant now) { core.OnSubmit(submitted.call, job, queue, now); });
  return jobs_.size() - 1;
}

void cluster_sim::DisconnectCaller(std::size_t job) {
  jobs_[job].caller_gone = true;
  DeliverToEntry(jobs_[job].entry,
                 [=](dispatch_core& core, instant now) { core.OnCallerDisconnected(jobs_[job].call, now); });
}

std::size_t cluster_sim::Cancel(std::size_t entry, const std::string& id) {
  Trace("cancel of " + id + " at entry " + std::to_string(entry));
  const std::size_t index = cancels_.size();
  cancels_.push_back({id, entry, now_, std::nullopt, now_});
  DeliverToEntry(entry, [=](dispatch_core& core, instant now) { core.OnCancel(kFirstCancelCall + index, id, now); });
  return index;
}

std::vector<std::string> cluster_sim::StartsAfterCancel(duration limit) const {
  std::vector<std::string> found;
  for (const sim_cancel& cancel : cancels_) {
    const bool promised = cancel.outcome && cancel.outcome != cancel_outcome::kUnconfirmed;
    for (const run_record& run : history_) {
      if (promised && run.key.job_id == cancel.job && run.started_at > cancel.answered + limit) {
        found.push_back(run.task + ": " + Describe(run) + ", cancelled at entry " + std::to_string(cancel.entry) +
                        " at " + std::to_string(cancel.answered.time_since_epoch().count() / 1000));
      }
    }
  }
  return found;
}

void cluster_sim::KillEntry(std::size_t entry, duration down) {
  TraceFault("kill entry", entry, down);
  entries_[entry]->core.reset();
  entries_[entry]->deferred_inputs.clear();
  for (sim_job& job : jobs_) {
    job.caller_gone = job.caller_gone || (job.entry == entry && !job.verdict);
  }
  for (std::size_t agent = 0; agent < agents_.size(); ++agent) {
    CloseSession(entry, agent, false, partitioned_until_[{entry, agent}] <= now_);
  }
  After(down, [this, entry] { StartEntry(entry); });
}

void cluster_sim::DrainEntry(std::size_t entry, duration down) {
  if (!entries_[entry]->core || entries_[entry]->drained_at) {
    return;
  }
  TraceFault("drain entry", entry, down);
  const incarnation_id process = entries_[entry]->entry_incarnation;
  DeliverToEntry(entry, [this, entry, process, down](dispatch_core& core, instant now) {
    entries_[entry]->drained_at = now_;
    if (store_down_until_ <= now_) {
      entries_[entry]->alive_at = now_ - kRegistrationLease;  // the registration is revoked
    }
    core.OnDrain(now + kAnswerLimit);
    After(kDrainCheckInterval, [this, entry, process, down] { CheckDrained(entry, process, down); });
  });
}

void cluster_sim::RemoveEntry(std::size_t entry) {
  DrainEntry(entry, duration(0));
  entries_[entry]->removed = true;
}

void cluster_sim::CheckDrained(std::size_t entry, incarnation_id process, duration down) {
  constexpr duration kLeaveLimit = std::chrono::milliseconds(500);
  constexpr duration kMaxDrain = std::chrono::seconds(6);
  const entry_node& node = *entries_[entry];
  if (!node.core || node.entry_incarnation != process) {
    return;
  }
  const duration drained_for = now_ - *node.drained_at;
  const bool left = !node.core->claims().IsInView() || drained_for >= kLeaveLimit;
  const bool released = node.core->jobs() == 0 && !node.core->claims().has_open_releases();
  if ((left && released) || drained_for >= kMaxDrain) {
    KillEntry(entry, down);
    return;
  }
  After(kDrainCheckInterval, [this, entry, process, down] { CheckDrained(entry, process, down); });
}

void cluster_sim::FreezeEntry(std::size_t entry, duration time) {
  TraceFault("freeze entry", entry, time);
  entries_[entry]->frozen_until = now_ + time;
}

void cluster_sim::KillAgent(std::size_t agent, duration down) {
  TraceFault("kill agent", agent, down);
  agents_[agent]->core.reset();
  agents_[agent]->deferred_inputs.clear();
  agents_[agent]->agent_incarnation = 0;
  for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
    CloseSession(entry, agent, partitioned_until_[{entry, agent}] <= now_, false);
  }
  After(down, [this, agent] { StartAgent(agent); });
}

void cluster_sim::FreezeAgent(std::size_t agent, duration time) {
  TraceFault("freeze agent", agent, time);
  agents_[agent]->frozen_until = now_ + time;
}

void cluster_sim::SuspendEntry(std::size_t entry, duration time) {
  TraceFault("suspend entry", entry, time);
  entries_[entry]->clock.Suspend(now_, time, faults.clocks_count_suspension);
}

void cluster_sim::SuspendAgent(std::size_t agent, duration time) {
  TraceFault("suspend agent", agent, time);
  agents_[agent]->clock.Suspend(now_, time, faults.clocks_count_suspension);
}

void cluster_sim::Partition(std::size_t entry, std::size_t agent, duration time) {
  TraceFault("partition from agent", agent, time);
  partitioned_until_[{entry, agent}] = now_ + time;
}

void cluster_sim::PartitionEntries(std::size_t one, std::size_t other, duration time) {
  TraceFault("partition from entry " + std::to_string(one) + " entry", other, time);
  entries_partitioned_until_[std::minmax(one, other)] = now_ + time;
}

void cluster_sim::ResetSession(std::size_t entry, std::size_t agent) { CloseSession(entry, agent, true, true); }

void cluster_sim::CrashTarget(std::size_t target, duration down) {
  TraceFault("crash target", target, down);
  agents_[target]->target->Restart(now_);
  agents_[target]->target_down_until = now_ + down;
}

void cluster_sim::ReplaceTarget(std::size_t target, duration down) {
  CrashTarget(target, down);
  agents_[target]->target->Rename("minion-" + std::to_string(target) + "-" + std::to_string(++replacements_));
}

void cluster_sim::LeaveTarget(std::size_t target, duration end_delay, duration down) {
  TraceFault("announce end of target", target, end_delay);
  DeliverToAgent(target,
                 [id = agents_[target]->target->id()](run_manager& core, instant now) { core.OnTargetLeft(id, now); });
  After(end_delay, [this, target, down] { CrashTarget(target, down); });
}

void cluster_sim::SilenceTarget(std::size_t target, duration time) {
  TraceFault("silence target", target, time);
  agents_[target]->target_silent_until = now_ + time;
}

void cluster_sim::SetCapacity(std::size_t target, const resource_amount& capacity) {
  Trace("fault: capacity of target " + std::to_string(target) + " is " + std::to_string(capacity.cpu_millicores) +
        ", " + std::to_string(capacity.memory_mb) + ", " + std::to_string(capacity.accelerators));
  agents_[target]->target->SetCapacity(capacity, now_);
}

void cluster_sim::Count(const claim_request& request) {
  ++claim_requests;
  claim_traffic.with_claims += request.claims.empty() ? 0 : 1;
  claim_traffic.releases_only += request.claims.empty() && !request.releases.empty() ? 1 : 0;
  claim_traffic.bytes += kMessageSize + request.address.size();
  for (const claim_release& release : request.releases) {
    claim_traffic.bytes += kItemSize + release.job_id.size();
  }
  for (const job_cancel& cancel : request.cancels) {
    ++claim_traffic.cancels;
    claim_traffic.cancel_bytes += kItemSize + cancel.job_id.size();
    claim_traffic.bytes += kItemSize + cancel.job_id.size();
  }
  for (const job_claim& claim : request.claims) {
    claim_traffic.bytes += kItemSize + claim.job_id.size();
  }
}

void cluster_sim::Count(const claim_reply& reply) {
  claim_traffic.bytes += kMessageSize;
  for (const claim_answer& answer : reply.answers) {
    claim_traffic.bytes += kItemSize + answer.job_id.size() + answer.holder.size();
  }
  for (const cancel_answer& answer : reply.cancel_answers) {
    claim_traffic.cancel_bytes += kItemSize + answer.job_id.size() + answer.holder.size();
    claim_traffic.bytes += kItemSize + answer.job_id.size() + answer.holder.size();
  }
  for (const std::string& job_id : reply.cancelled) {
    claim_traffic.cancel_bytes += job_id.size();
    claim_traffic.bytes += job_id.size();
  }
  for (const claim_release& end : reply.forbidden) {
    claim_traffic.bytes += kItemSize + end.job_id.size();
  }
  for (const held_claim& held : reply.held) {
    claim_traffic.bytes += kItemSize + held.claim.job_id.size() + held.holder.size();
  }
}

std::vector<std::string> cluster_sim::OvercommittedStarts() const {
  std::vector<std::string> found;
  for (const std::unique_ptr<agent_node>& agent : agents_) {
    const std::vector<std::string>& starts = agent->target->overcommitted_starts();
    found.insert(found.end(), starts.begin(), starts.end());
  }
  return found;
}

std::vector<std::string> cluster_sim::OverlappingRuns() const {
  std::map<std::string, std::vector<const run_record*>> by_task;
  for (const run_record& run : history_) {
    by_task[run.task].push_back(&run);
  }
  std::vector<std::string> found;
  for (std::pair<const std::string, std::vector<const run_record*>>& item : by_task) {
    std::sort(item.second.begin(), item.second.end(),
              [](const run_record* a, const run_record* b) { return a->started_at < b->started_at; });
    for (std::size_t i = 1; i < item.second.size(); ++i) {
      if (item.second[i]->started_at < item.second[i - 1]->ended_at) {
        found.push_back(item.first + ": " + Describe(*item.second[i - 1]) + " and " + Describe(*item.second[i]));
      }
    }
  }
  return found;
}

std::vector<std::string> cluster_sim::RefusedJobsThatRan() const {
  std::vector<std::string> found;
  for (std::size_t i = 0; i < jobs_.size(); ++i) {
    const sim_job& job = jobs_[i];
    if (job.verdict != job_verdict::kRefused) {
      continue;
    }
    // Runs before the submission belong to an earlier submission of the job, which got another answer or none.
    instant next = instant::max();
    for (std::size_t later = i + 1; later < jobs_.size(); ++later) {
      next = jobs_[later].id == job.id ? std::min(next, jobs_[later].sent) : next;
    }
    const bool ran = std::any_of(history_.begin(), history_.end(), [&job, next](const run_record& run) {
      return run.key.job_id == job.id && run.started_at >= job.sent && run.started_at < next;
    });
    if (ran) {
      found.push_back(job.id);
    }
  }
  return found;
}

}  // namespace bamboowing
