#include "bamboowing/entry/job_table.h"

#include <xxhash.h>

#include <algorithm>

namespace bamboowing {
namespace {

/// The state chart of jobs, with the ids of the states and events used in this file.
struct job_chart {
  const state_chart& chart = BuiltInChart("job");
  state_id queued = chart.State("queued").value();
  state_id running = chart.State("running").value();
  state_id complete = chart.State("complete").value();
  event_id accepted = chart.Event("accepted").value();
  event_id recovery_started = chart.Event("recovery_started").value();
  event_id some_started = chart.Event("some_started").value();
  event_id task_sent = chart.Event("task_sent").value();
  event_id last_task_succeeded = chart.Event("last_task_succeeded").value();
  event_id task_failed = chart.Event("task_failed").value();
  event_id cancelled = chart.Event("cancelled").value();
  event_id deadline_passed = chart.Event("deadline_passed").value();
};

const job_chart& Chart() {
  static const job_chart chart;
  return chart;
}

/// Applies an event; returns false and keeps the state if the chart has no transition for it.
bool ApplyEvent(state_id& state, event_id event) {
  const std::optional<state_id> next = Chart().chart.Next(state, event);
  state = next.value_or(state);
  return next.has_value();
}

bool HasEnded(state_id state) { return Chart().chart.IsFinal(state); }

/// The state as callers see it.
job_state CallerState(state_id state) {
  const job_chart& chart = Chart();
  if (state == chart.complete) {
    return job_state::kComplete;
  }
  if (HasEnded(state)) {
    return job_state::kFailed;
  }
  return state == chart.queued ? job_state::kQueued : job_state::kRunning;
}

event_id EventForError(error_kind kind) {
  const job_chart& chart = Chart();
  if (kind == error_kind::kCancelled) {
    return chart.cancelled;
  }
  return kind == error_kind::kDeadlineExceeded ? chart.deadline_passed : chart.task_failed;
}

bool SameRoute(reply_route a, reply_route b) { return a.relayed == b.relayed && a.id == b.id; }

std::size_t ResultBytes(const std::vector<std::optional<std::string>>& results) {
  std::size_t bytes = 0;
  for (const std::optional<std::string>& result : results) {
    bytes += result ? result->size() : 0;
  }
  return bytes;
}

}  // namespace

std::uint64_t Fingerprint(const job_spec& job) {
  std::uint64_t hash = XXH3_64bits(job.team.data(), job.team.size());
  hash = XXH3_64bits_withSeed(job.service.data(), job.service.size(), hash);
  for (const task_spec& task : job.tasks) {
    hash = XXH3_64bits_withSeed(task.payload.data(), task.payload.size(), hash);
  }
  const std::uint64_t shape =
      (static_cast<std::uint64_t>(job.tasks.size()) << 2U) | (job.is_request ? 2U : 0U) | (job.idempotent ? 1U : 0U);
  return XXH3_64bits_withSeed(&shape, sizeof(shape), hash);
}

submission_result job_table::JoinExisting(const job_spec& job, reply_route route, duration wait_limit, instant now) {
  job_record* known = FindRecord(job.job_id);
  if (known == nullptr) {
    return submission_result::kNew;
  }
  if (known->fingerprint != Fingerprint(job)) {
    Refuse(job.job_id, route,
           failure(error_kind::kConflict, "job id " + job.job_id + " belongs to a job with different content"));
    return submission_result::kConflict;
  }
  WaitOrReply(*known, route, wait_limit, now);
  return submission_result::kJoined;
}

void job_table::Add(const job_spec& job, reply_route route, duration wait_limit, instant now, bool recovered) {
  job_record& added = jobs_[job.job_id];
  added.spec = job;
  added.fingerprint = Fingerprint(job);
  added.accepted_at = now;
  added.results.resize(job.tasks.size());
  added.state = Chart().chart.initial();
  if (recovered) {
    ApplyEvent(added.state, Chart().recovery_started);
    ApplyEvent(added.state, Chart().some_started);
  } else {
    ApplyEvent(added.state, Chart().accepted);
  }
  added.started = recovered;
  ++open_jobs_;
  WaitOrReply(added, route, wait_limit, now);
}

void job_table::Refuse(const std::string& job_id, reply_route route, failure error) {
  caller_reply reply;
  reply.job_id = job_id;
  reply.error = std::move(error);
  replies_.push_back({route, std::move(reply)});
}

bool job_table::AnswerStatus(std::string_view job_id, reply_route route, duration wait_limit, instant now) {
  job_record* job = FindRecord(job_id);
  if (job == nullptr) {
    return false;
  }
  WaitOrReply(*job, route, wait_limit, now);
  return true;
}

bool job_table::SetResult(std::string_view job_id, std::uint32_t task, std::string result, duration run_time,
                          instant now) {
  job_record* job = FindRecord(job_id);
  if (job == nullptr || HasEnded(job->state)) {
    return false;
  }
  if (task >= job->results.size() || job->results[task]) {
    return false;
  }
  job->results[task] = std::move(result);
  ApplyEvent(job->state, Chart().task_sent);
  job->ideal_time = std::max(job->ideal_time, run_time);
  ++job->tasks_done;
  if (job->tasks_done < job->results.size() || !ApplyEvent(job->state, Chart().last_task_succeeded)) {
    return false;
  }
  End(*job, now);
  return true;
}

bool job_table::Fail(std::string_view job_id, failure error, instant now) {
  job_record* job = FindRecord(job_id);
  if (job == nullptr || HasEnded(job->state)) {
    return false;
  }
  const event_id event = EventForError(error.kind);
  if (event == Chart().task_failed) {
    ApplyEvent(job->state, Chart().task_sent);
  }
  if (!ApplyEvent(job->state, event)) {
    return false;
  }
  job->error = std::move(error);
  End(*job, now);
  return true;
}

void job_table::CountMessages(std::string_view job_id, std::uint32_t messages) {
  if (job_record* job = FindRecord(job_id); job != nullptr) {
    job->messages += messages;
  }
}

void job_table::MarkStarted(std::string_view job_id) {
  if (job_record* job = FindRecord(job_id); job != nullptr) {
    job->started = true;
    ApplyEvent(job->state, Chart().task_sent);
  }
}

not_run_state job_table::ExecutionStatus(std::string_view job_id) const {
  const job_record* job = FindRecord(job_id);
  if (job == nullptr) {
    return not_run_state::kUnknown;
  }
  if (job->tasks_done > 0) {
    return not_run_state::kNo;
  }
  return job->started ? not_run_state::kUnknown : not_run_state::kYes;
}

void job_table::TakeOpenJobs(std::vector<displaced_job>& out) {
  for (record_map::iterator it = jobs_.begin(); it != jobs_.end();) {
    job_record& job = it->second;
    if (HasEnded(job.state)) {
      ++it;
      continue;
    }
    for (const reply_waiter& waiter : job.waiters) {
      routes_.erase({waiter.route.relayed, waiter.route.id});
    }
    out.push_back({std::move(job.spec), std::move(job.waiters), job.accepted_at});
    --open_jobs_;
    it = jobs_.erase(it);
  }
}

bool job_table::IsOpen(std::string_view job_id) const { return OpenJob(job_id) != nullptr; }

const job_spec* job_table::OpenJob(std::string_view job_id) const {
  const job_record* job = FindRecord(job_id);
  const bool open = job != nullptr && !HasEnded(job->state);
  return open ? &job->spec : nullptr;
}

void job_table::OpenJobs(std::vector<std::string>& out) const {
  for (const record_map::value_type& item : jobs_) {
    if (IsOpen(item.first)) {
      out.push_back(item.first);
    }
  }
}

void job_table::RemoveRoute(reply_route route) {
  const std::map<route_key, std::string>::iterator waiting = routes_.find({route.relayed, route.id});
  if (waiting == routes_.end()) {
    return;
  }
  if (job_record* job = FindRecord(waiting->second); job != nullptr) {
    std::vector<reply_waiter>& waiters = job->waiters;
    waiters.erase(std::remove_if(waiters.begin(), waiters.end(),
                                 [route](const reply_waiter& waiter) { return SameRoute(waiter.route, route); }),
                  waiters.end());
  }
  routes_.erase(waiting);
}

void job_table::OnTick(instant now) {
  while (!wait_deadlines_.empty() && wait_deadlines_.begin()->first <= now) {
    job_record* job = FindRecord(wait_deadlines_.begin()->second);
    wait_deadlines_.erase(wait_deadlines_.begin());
    if (job == nullptr) {
      continue;
    }
    std::vector<reply_waiter> rest;
    for (const reply_waiter& waiter : job->waiters) {
      if (waiter.until <= now) {
        QueueReply(*job, waiter.route, now);
      } else {
        rest.push_back(waiter);
      }
    }
    job->waiters = std::move(rest);
  }
  while (!retained_.empty() && retained_.begin()->first + limits_.retention <= now) {
    if (job_record* job = FindRecord(retained_.begin()->second); job != nullptr) {
      DropResults(*job);
    }
    retained_.erase(retained_.begin());
  }
}

std::optional<instant> job_table::next_wakeup() const {
  std::optional<instant> next;
  if (!wait_deadlines_.empty()) {
    next = wait_deadlines_.begin()->first;
  }
  if (!retained_.empty()) {
    const instant drop = retained_.begin()->first + limits_.retention;
    next = next ? std::min(*next, drop) : drop;
  }
  return next;
}

void job_table::TakeReplies(std::vector<routed_reply>& out) {
  std::move(replies_.begin(), replies_.end(), std::back_inserter(out));
  replies_.clear();
}

void job_table::TakeDelivered(std::vector<std::string>& out) {
  std::move(delivered_.begin(), delivered_.end(), std::back_inserter(out));
  delivered_.clear();
}

caller_reply job_table::MakeReply(const job_record& job, instant now) const {
  caller_reply reply;
  reply.job_id = job.spec.job_id;
  reply.state = CallerState(job.state);
  reply.error = job.error;
  reply.tasks_done = job.tasks_done;
  reply.tasks_total = static_cast<std::uint32_t>(job.results.size());
  reply.ideal_time = job.ideal_time;
  reply.messages = job.messages;
  const bool ended = HasEnded(job.state);
  reply.response_time = (ended ? job.ended_at : now) - job.accepted_at;
  if (reply.state != job_state::kComplete) {
    return reply;
  }
  if (job.results_dropped) {
    reply.state = job_state::kFailed;
    reply.error = failure(error_kind::kOutcomeUnknown, not_run_state::kNo,
                          "the job was completed earlier and its answer is no longer retained");
    return reply;
  }
  reply.results.reserve(job.results.size());
  for (const std::optional<std::string>& result : job.results) {
    reply.results.push_back(*result);
  }
  return reply;
}

void job_table::WaitOrReply(job_record& job, reply_route route, duration wait_limit, instant now) {
  const bool ended = HasEnded(job.state);
  if (ended || wait_limit <= duration(0)) {
    QueueReply(job, route, now);
    return;
  }
  job.waiters.push_back({route, now + wait_limit});
  routes_[{route.relayed, route.id}] = job.spec.job_id;
  wait_deadlines_.emplace(now + wait_limit, job.spec.job_id);
}

void job_table::End(job_record& job, instant now) {
  job.ended_at = now;
  --open_jobs_;
  if (job.state != Chart().complete) {
    job.results.assign(job.results.size(), std::nullopt);
  }
  std::vector<reply_waiter> waiters;
  waiters.swap(job.waiters);
  for (const reply_waiter& waiter : waiters) {
    QueueReply(job, waiter.route, now);
  }
  // Payloads are not needed after the end: a resubmission is compared with the fingerprint.
  job.spec.tasks.clear();
  job.spec.tasks.shrink_to_fit();
  retained_bytes_ += ResultBytes(job.results);
  retained_.emplace(now, job.spec.job_id);
  finished_.emplace(now, job.spec.job_id);
  while (retained_bytes_ > limits_.retained_bytes && !retained_.empty()) {
    if (job_record* oldest = FindRecord(retained_.begin()->second); oldest != nullptr) {
      DropResults(*oldest);
    }
    retained_.erase(retained_.begin());
  }
  EvictOldest();
}

void job_table::QueueReply(job_record& job, reply_route route, instant now) {
  routes_.erase({route.relayed, route.id});
  replies_.push_back({route, MakeReply(job, now)});
  const bool ended = HasEnded(job.state);
  if (ended && !job.delivered) {
    job.delivered = true;
    delivered_.push_back(job.spec.job_id);
  }
}

void job_table::DropResults(job_record& job) {
  retained_bytes_ -= ResultBytes(job.results);
  job.results.assign(job.results.size(), std::nullopt);
  job.results_dropped = job.state == Chart().complete;
}

void job_table::EvictOldest() {
  while (finished_.size() > limits_.retained_records) {
    const record_map::iterator oldest = jobs_.find(finished_.begin()->second);
    if (oldest != jobs_.end()) {
      DropResults(oldest->second);
      jobs_.erase(oldest);
    }
    finished_.erase(finished_.begin());
  }
}

job_table::job_record* job_table::FindRecord(std::string_view job_id) {
  const record_map::iterator found = jobs_.find(std::string(job_id));
  return found == jobs_.end() ? nullptr : &found->second;
}

const job_table::job_record* job_table::FindRecord(std::string_view job_id) const {
  const record_map::const_iterator found = jobs_.find(std::string(job_id));
  return found == jobs_.end() ? nullptr : &found->second;
}

}  // namespace bamboowing
