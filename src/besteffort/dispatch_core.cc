#include "bamboowing/besteffort/dispatch_core.h"

#include <algorithm>
#include <utility>

namespace bamboowing {
namespace {

constexpr duration kFirstGuess = std::chrono::milliseconds(200);
constexpr std::uint32_t kMaxTeams = 256;
// Between two checks of what is overdue.
constexpr duration kCheckInterval = std::chrono::milliseconds(15);
constexpr duration kShortestRetryAfter = std::chrono::milliseconds(300);
// A caller's deadline that isn't given.
constexpr duration kDefaultDeadline = std::chrono::seconds(30);
// Targets that were silent for so long are forgotten.
constexpr duration kForgetAfter = std::chrono::seconds(30);

std::string Milliseconds(duration time) { return std::to_string(time.count() / 1000) + " ms"; }

}  // namespace

std::string_view JobVerdictName(job_verdict verdict) {
  switch (verdict) {
    case job_verdict::kCompleted:
      return "completed";
    case job_verdict::kFailed:
      return "failed";
    case job_verdict::kCancelled:
      return "cancelled";
    case job_verdict::kRefused:
      return "refused";
    case job_verdict::kUnknown:
      break;
  }
  return "given_up";
}

dispatch_core::dispatch_core(const dispatch_core_settings& settings, std::uint64_t seed, instant now)
    : settings_(settings),
      random_(seed),
      fleet_(settings.health, seed + 1),
      estimator_(kMaxTeams, kFirstGuess),
      shortest_slack_(settings.slack_window),
      decayed_at_(now),
      checked_at_(now),
      last_now_(now) {}

void dispatch_core::Note(std::string what, const std::string& job_id, std::string detail) {
  actions_.emplace_back(note_dispatch{std::move(what), job_id, std::move(detail)});
}

std::uint32_t dispatch_core::TeamOf(const std::string& queue) {
  const std::map<std::string, std::uint32_t>::const_iterator known = teams_.find(queue);
  if (known != teams_.end()) {
    return known->second;
  }
  const std::uint32_t index = std::min(static_cast<std::uint32_t>(teams_.size()), kMaxTeams - 1);
  teams_.emplace(queue, index);
  return index;
}

std::optional<failure> dispatch_core::CheckShape(const best_effort_job& job) const {
  std::size_t tasks = 0;
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    const job_step& step = job.steps[i];
    tasks += step.count;
    const bool ordered =
        std::all_of(step.after.begin(), step.after.end(), [i](std::uint32_t earlier) { return earlier < i; });
    if (step.count == 0 || !ordered) {
      return failure(error_kind::kInvalidField, not_run_state::kYes,
                     "a step needs tasks and may only follow earlier steps");
    }
  }
  if (tasks == 0 || tasks > settings_.max_tasks) {
    return failure(error_kind::kTooLarge, not_run_state::kYes,
                   "a job has 1 to " + std::to_string(settings_.max_tasks) + " tasks");
  }
  return std::nullopt;
}

void dispatch_core::MakeTasks(open_job& job) {
  for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
    const job_step& shape = job.spec.steps[step];
    job.left.push_back(shape.count);
    for (std::uint32_t index = 0; index < shape.count; ++index) {
      job_task task;
      task.step = step;
      task.index = index;
      job.tasks.push_back(task);
    }
  }
}

void dispatch_core::OnSubmit(call_id call, best_effort_job job, const queue_rule& queue, instant now) {
  const std::string id = job.id;
  std::optional<failure> refused = CheckShape(job);
  const job_map::iterator known = jobs_.find(id);
  if (!refused && known != jobs_.end()) {
    if (!known->second->answered) {
      // The caller asks again; the newest call gets the answer.
      calls_.erase(known->second->call);
      known->second->call = call;
      calls_.emplace(call, id);
      return;
    }
    // Runs of an abandoned copy are still being stopped.
    refused = failure(error_kind::kOverloaded, not_run_state::kUnknown, "an earlier copy of the job is being stopped");
    actions_.emplace_back(answer_job{call, id, job_verdict::kUnknown, std::move(refused)});
    return;
  }
  std::unique_ptr<open_job> opened = std::make_unique<open_job>();
  if (!refused) {
    opened->call = call;
    opened->arrival = now;
    opened->queue = queue;
    opened->estimate_team = TeamOf(queue.name);
    opened->spec = std::move(job);
    MakeTasks(*opened);
    const double chain_us = ChainUs(*opened);
    const duration objective(static_cast<std::int64_t>(chain_us * queue.slack_factor) + queue.target_latency.count());
    const duration deadline = opened->spec.deadline.count() > 0 ? opened->spec.deadline : kDefaultDeadline;
    opened->objective = now + objective;
    const duration useful(static_cast<std::int64_t>(static_cast<double>(objective.count()) * settings_.start_limit));
    opened->start_by = now + std::min(deadline, useful);
    opened->give_up = now + deadline;
    opened->urgency = opened->objective - duration(static_cast<std::int64_t>(chain_us));
    shortest_slack_.Observe(opened->urgency - now, now);
    refused = CheckAdmission(*opened, now);
  }
  if (refused) {
    Note("job_refused", id, refused->reason);
    actions_.emplace_back(answer_job{call, id, job_verdict::kRefused, std::move(refused)});
    return;
  }
  open_job& accepted = *jobs_.emplace(id, std::move(opened)).first->second;
  calls_.emplace(call, id);
  for (job_task& task : accepted.tasks) {
    if (accepted.spec.steps[task.step].after.empty()) {
      SetWaiting(accepted, task, true);
    }
  }
  Enqueue(accepted);
}

duration dispatch_core::LongestWait(instant now) {
  const double slack = static_cast<double>(shortest_slack_.Get(now).count());
  return std::max(settings_.wait_floor, duration(static_cast<std::int64_t>(slack * settings_.wait_share)));
}

std::optional<failure> dispatch_core::CheckAdmission(const open_job& job, instant now) {
  if (jobs_.size() >= settings_.max_jobs) {
    failure full(error_kind::kOverloaded, not_run_state::kYes, std::to_string(jobs_.size()) + " jobs are open");
    full.retry_after = kShortestRetryAfter;
    return full;
  }
  const duration wait(static_cast<std::int64_t>(WaitUs()));
  const duration longest = std::min(job.urgency - now, LongestWait(now));
  if (wait.count() > 0 && wait > longest) {
    failure late(error_kind::kDeadlineInfeasible, not_run_state::kYes,
                 "work waits for " + Milliseconds(wait) + ", at most " + Milliseconds(longest) +
                     " is accepted, its objective is " + Milliseconds(job.objective - now));
    late.retry_after = std::max(kShortestRetryAfter, wait);
    return late;
  }
  return std::nullopt;
}

void dispatch_core::OnCallerGone(call_id call, instant now) {
  const std::map<call_id, std::string>::const_iterator found = calls_.find(call);
  if (found == calls_.end()) {
    return;
  }
  const std::string id = found->second;
  open_job& job = *jobs_.at(id);
  Note("caller_gone", id, "after " + std::to_string((now - job.arrival).count() / 1000) + " ms");
  calls_.erase(call);
  job.answered = true;
  StopFlights(job, now);
  EraseIfOver(id);
}

bool dispatch_core::OnCancel(const std::string& job_id, instant now) {
  const job_map::iterator found = jobs_.find(job_id);
  if (found == jobs_.end()) {
    return false;
  }
  open_job& job = *found->second;
  if (!job.answered) {
    Answer(job, job_verdict::kCancelled, failure(error_kind::kCancelled, "cancelled by the caller"));
    StopFlights(job, now);
    EraseIfOver(job_id);
  }
  return true;
}

std::optional<job_phase> dispatch_core::PhaseOf(const std::string& job_id) const {
  const job_map::const_iterator found = jobs_.find(job_id);
  if (found == jobs_.end() || found->second->answered) {
    return std::nullopt;
  }
  return found->second->ever_started ? job_phase::kRunning : job_phase::kQueued;
}

std::uint32_t dispatch_core::PendingOf(const std::string& queue) const {
  return static_cast<std::uint32_t>(
      std::count_if(jobs_.begin(), jobs_.end(), [&queue](const job_map::value_type& item) {
        return item.second->queue.name == queue && !item.second->answered && !item.second->ever_started;
      }));
}

void dispatch_core::Answer(open_job& job, job_verdict verdict, std::optional<failure> why) {
  if (job.answered) {
    return;
  }
  job.answered = true;
  calls_.erase(job.call);
  NoteAnswer(job, verdict, why);
  actions_.emplace_back(answer_job{job.call, job.spec.id, verdict, std::move(why), last_now_ - job.arrival});
}

void dispatch_core::NoteAnswer(const open_job& job, job_verdict verdict, const std::optional<failure>& why) {
  std::string detail = "queue " + job.queue.name + ", " + std::string(JobVerdictName(verdict)) + " after " +
                       Milliseconds(last_now_ - job.arrival) + ", objective " +
                       Milliseconds(job.objective - job.arrival) + ", tasks " + std::to_string(job.tasks.size()) +
                       ", starts " + std::to_string(job.starts);
  if (job.first_start) {
    detail += ", first start after " + Milliseconds(*job.first_start - job.arrival);
  }
  if (!job.last_end.empty()) {
    detail += ", last end: " + job.last_end;
  }
  if (why) {
    detail += ", " + why->reason;
  }
  Note("job_answered", job.spec.id, std::move(detail));
}

void dispatch_core::StopFlights(const open_job& job, instant /*now*/) {
  for (flight_map::iterator at = flights_.lower_bound({job.spec.id, 0, 0, 0});
       at != flights_.end() && at->first.job_id == job.spec.id; ++at) {
    SendStop(at->first, at->second);
  }
}

void dispatch_core::SendStop(const run_key& key, flight& at) {
  fleet_target* target = fleet_.At(at.target);
  if (target == nullptr || at.stopping) {
    return;
  }
  at.stopping = true;
  target->pending.stops.push_back(key);
}

void dispatch_core::EraseIfOver(const std::string& job_id) {
  const job_map::iterator found = jobs_.find(job_id);
  if (found == jobs_.end() || !found->second->answered) {
    return;
  }
  open_job& job = *found->second;
  if (job.waiting > 0) {
    Dequeue(job);
    for (job_task& task : job.tasks) {
      if (task.state == task_state::kWaiting) {
        SetWaiting(job, task, false);
      }
    }
  }
  if (job.in_flight == 0) {
    jobs_.erase(found);
  }
}

void dispatch_core::ExpireJobs(instant now) {
  std::vector<std::string> overdue;
  for (const job_map::value_type& item : jobs_) {
    const open_job& job = *item.second;
    if (!job.answered && (job.ever_started ? job.give_up : job.start_by) <= now) {
      overdue.push_back(item.first);
    }
  }
  for (const std::string& id : overdue) {
    open_job& job = *jobs_.at(id);
    const std::string waited = std::to_string((now - job.arrival).count() / 1000) + " ms";
    if (job.ever_started) {
      Answer(job, job_verdict::kUnknown,
             failure(error_kind::kDeadlineExceeded, not_run_state::kUnknown, "not done after " + waited));
    } else {
      failure late(error_kind::kOverloaded, not_run_state::kYes, "no room after " + waited);
      late.retry_after = kShortestRetryAfter;
      Answer(job, job_verdict::kRefused, std::move(late));
    }
    StopFlights(job, now);
    EraseIfOver(id);
  }
}

void dispatch_core::Advance(instant now) {
  last_now_ = now;
  if (now - checked_at_ >= kCheckInterval) {
    checked_at_ = now;
    ExpireAgents(now);
    ExpireJobs(now);
    StopStragglers(now);
    std::vector<target_index> restored;
    fleet_.health().Restore(now, restored);
    fleet_.ForgetSilent(now - kForgetAfter);
  }
  Dispatch(now);
  SendBatches(now);
}

instant dispatch_core::next_wakeup() const {
  return last_now_ + (jobs_.empty() ? settings_.heartbeat / 3 : kCheckInterval);
}

}  // namespace bamboowing
