// The part of shard_controller that handles jobs: admission, recovery, cancellation and expiry.
#include <algorithm>
#include <utility>

#include "bamboowing/entry/shard_controller.h"

namespace bamboowing {

void shard_controller::Submit(const caller_request& call, reply_route route, instant now) {
  const job_spec& job = call.job;
  if (jobs_.JoinExisting(job, route, call.wait_limit, now) != submission_result::kNew) {
    return;
  }
  Decide({call, route, now, now}, now);
}

void shard_controller::Decide(const deferred_call& deferred, instant now) {
  const recovery_decision decision = recovery_.Decide(deferred.call.job, now);
  switch (decision.verdict) {
    case recovery_verdict::kDefer:
      deferred_calls_.push_back(deferred);
      deferred_calls_.back().retry_at = decision.retry_at;
      return;
    case recovery_verdict::kFail:
      RecordEvent(event_kind::kJobRefused, now, deferred.call.job.job_id, -1, "", 0,
                  std::string(ErrorRow(decision.error.kind).name));
      jobs_.Refuse(deferred.call.job.job_id, deferred.route, decision.error);
      return;
    case recovery_verdict::kProceed:
      break;
  }
  const bool all_new = std::all_of(decision.tasks.begin(), decision.tasks.end(),
                                   [](const task_plan& plan) { return plan.step == recovery_step::kStart; });
  if (all_new) {
    AdmitNew(deferred, now);
  } else {
    Resume(deferred, decision, now);
  }
}

void shard_controller::AdmitNew(const deferred_call& deferred, instant now) {
  const job_spec& job = deferred.call.job;
  std::optional<failure> refused = dispatcher_->Admit(job, now);
  if (refused) {
    // Neither the job table nor an inventory contains the job, so none of its tasks was started.
    refused->not_run = not_run_state::kYes;
    RecordEvent(event_kind::kJobRefused, now, job.job_id, -1, "", 0, std::string(ErrorRow(refused->kind).name));
    jobs_.Refuse(job.job_id, deferred.route, std::move(*refused));
    return;
  }
  RecordEvent(event_kind::kJobAccepted, now, job.job_id, -1, "", job.tasks.size(), job.team);
  jobs_.Add(job, deferred.route, deferred.call.wait_limit, now);
}

void shard_controller::Resume(const deferred_call& deferred, const recovery_decision& decision, instant now) {
  const job_spec& job = deferred.call.job;
  std::vector<std::uint32_t> to_start;
  for (std::uint32_t task = 0; task < decision.tasks.size(); ++task) {
    if (decision.tasks[task].step == recovery_step::kStart) {
      to_start.push_back(task);
    }
  }
  if (!to_start.empty()) {
    if (std::optional<failure> refused = dispatcher_->AdmitPartial(job, to_start, now); refused) {
      // Some of its tasks ran under an earlier leader, so the refusal must not state that none did.
      refused->not_run = not_run_state::kUnknown;
      jobs_.Refuse(job.job_id, deferred.route, std::move(*refused));
      return;
    }
  }
  RecordEvent(event_kind::kJobRecovered, now, job.job_id, -1, "", job.tasks.size() - to_start.size(), job.team);
  jobs_.Add(job, deferred.route, deferred.call.wait_limit, now, true);
  recovered_deadlines_.emplace(now + job.deadline, job.job_id);
  for (std::uint32_t task = 0; task < decision.tasks.size(); ++task) {
    if (decision.tasks[task].step != recovery_step::kStart) {
      ExpectAnswer(job, task, decision.tasks[task]);
    }
  }
}

void shard_controller::ExpectAnswer(const job_spec& job, std::uint32_t task, const task_plan& plan) {
  agents_[plan.agent.id].expected_answers.insert({job.job_id, task, plan.attempt});
  agents_of_job_[job.job_id].insert(plan.agent.id);
  agent_session* session = sessions_.FindAgent(plan.agent.id);
  if (session == nullptr) {
    return;
  }
  // A task that was running when the inventory was taken may have ended since, so its answer is fetched as well.
  std::vector<std::string>& fetch = sessions_.OutgoingBatch(*session).fetch_jobs;
  if (std::find(fetch.begin(), fetch.end(), job.job_id) == fetch.end()) {
    fetch.push_back(job.job_id);
  }
}

void shard_controller::DecideDeferred(instant now) {
  if (deferred_calls_.empty()) {
    return;
  }
  std::vector<deferred_call> due;
  std::vector<deferred_call> rest;
  for (deferred_call& deferred : deferred_calls_) {
    const bool decide = inventory_changed_ || deferred.retry_at <= now;
    (decide ? due : rest).push_back(std::move(deferred));
  }
  deferred_calls_ = std::move(rest);
  inventory_changed_ = false;
  for (const deferred_call& deferred : due) {
    // Another submission of the same job may have been decided in this loop.
    if (jobs_.JoinExisting(deferred.call.job, deferred.route, deferred.call.wait_limit, now) ==
        submission_result::kNew) {
      Decide(deferred, now);
    }
  }
}

bool shard_controller::Status(std::string_view job_id, reply_route route, duration wait_limit, instant now) {
  return jobs_.AnswerStatus(job_id, route, wait_limit, now);
}

bool shard_controller::Cancel(std::string_view job_id, reply_route route, instant now) {
  const std::string id(job_id);
  if (jobs_.IsOpen(id)) {
    RecordEvent(event_kind::kJobCancelled, now, id, -1, "", 0, "");
    FailJob(id, failure(error_kind::kCancelled, jobs_.ExecutionStatus(id), "cancelled by the caller"), now);
  }
  return jobs_.AnswerStatus(id, route, duration(0), now);
}

void shard_controller::FailJob(const std::string& job_id, failure error, instant now) {
  RecordEvent(event_kind::kJobFailed, now, job_id, -1, "", 0, std::string(ErrorRow(error.kind).name));
  CancelInFlight(job_id, now);
  jobs_.Fail(job_id, std::move(error), now);
}

void shard_controller::CancelInFlight(const std::string& job_id, instant now) {
  std::vector<task_key> running;
  dispatcher_->CancelJob(job_id, now, running);
  for (const task_key& key : running) {
    for (std::pair<const std::string, agent_state>& item : agents_) {
      if (item.second.in_flight.count(key) == 0) {
        continue;
      }
      if (agent_session* session = sessions_.FindAgent(item.first); session != nullptr) {
        sessions_.OutgoingBatch(*session).cancels.push_back(key);
        ++messages_.cancels;
      }
      break;
    }
  }
}

void shard_controller::ExpireJobs(instant now) {
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
    FailJob(job_id, failure(error_kind::kDeadlineExceeded, jobs_.ExecutionStatus(job_id), "the deadline passed"), now);
  }
}

void shard_controller::ReleaseDeliveredJobs() {
  std::vector<std::string> delivered;
  jobs_.TakeDelivered(delivered);
  for (const std::string& job_id : delivered) {
    const std::unordered_map<std::string, std::set<std::string>>::iterator found = agents_of_job_.find(job_id);
    if (found == agents_of_job_.end()) {
      continue;
    }
    for (const std::string& agent : found->second) {
      // Sent with the next batch; a separate message is not worth its cost.
      if (agent_session* session = sessions_.FindAgent(agent); session != nullptr) {
        session->pending.released_jobs.push_back(job_id);
      }
    }
    agents_of_job_.erase(found);
  }
}

}  // namespace bamboowing
