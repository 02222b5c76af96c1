// The part of shard_home that handles jobs: admission, recovery, cancellation and their end.
#include <algorithm>
#include <utility>

#include "bamboowing/entry/shard_controller.h"

namespace bamboowing {

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
  jobs_.Add(job, held.route, held.call.wait_limit, now, true);
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

}  // namespace bamboowing
