#include "standins/worker.h"

#include <algorithm>
#include <chrono>

#include "standins/json_http.h"
#include "standins/minion.h"

namespace bamboowing::standin {
namespace {

constexpr std::string_view kTasksPath = "/v1/tasks/";

duration Scale(duration time, double factor) {
  return duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

http_response NotRunError(error_kind kind, const std::string& reason) {
  return ErrorResponse(failure(kind, not_run_state::kYes, reason));
}

worker_size ActualSize(const std::string& payload, const worker_size& declared) {
  const nlohmann::json parsed = nlohmann::json::parse(payload, nullptr, false);
  if (!parsed.is_object()) {
    return declared;
  }
  return {parsed.value("use_cores", declared.cores), parsed.value("use_memory_bytes", declared.memory_bytes)};
}

}  // namespace

worker::worker(const worker_options& options) : options_(options) {}

std::unique_ptr<worker> worker::Open(const worker_options& options, failure& error) {
  std::unique_ptr<worker> result(new worker(options));
  worker* const self = result.get();
  result->server_ = http_server::Open(
      options.address,
      [self](const http_request& request, const http_server::responder& answer) {
        self->HandleRequest(request, answer);
      },
      http_limits(), error);
  return result->server_ ? std::move(result) : nullptr;
}

worker::~worker() { Close(); }

void worker::Close() {
  if (server_) {
    server_->Close();
  }
}

void worker::HandleRequest(const http_request& request, const http_server::responder& answer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (request.method == "POST" && request.path == "/v1/tasks") {
    answer(GrantTask(request));
    return;
  }
  if (request.method == "GET" && request.path == "/v1/usage") {
    answer(ReportUsage());
    return;
  }
  if (request.path.compare(0, kTasksPath.size(), kTasksPath) != 0) {
    answer(NotRunError(error_kind::kNotFound, "no such call: " + request.method + " " + request.path));
    return;
  }
  const std::string rest = request.path.substr(kTasksPath.size());
  if (request.method == "GET") {
    AwaitEnd(rest, std::chrono::milliseconds(QueryNumber(request, "wait_ms", 0)), answer);
    return;
  }
  const std::size_t slash = rest.rfind('/');
  const std::string action = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
  answer(HandleAction(rest.substr(0, slash), action, ParseJsonBody(request)));
}

http_response worker::GrantTask(const http_request& request) {
  const nlohmann::json body = ParseJsonBody(request);
  const std::string id = body.value("task_id", "");
  task granted;
  granted.payload = body.value("payload", "");
  granted.lease_duration = std::chrono::milliseconds(body.value("lease_ms", std::uint64_t{0}));
  granted.declared = {body.value("cores", 0.0), body.value("memory_bytes", std::uint64_t{0})};
  if (id.empty() || granted.lease_duration.count() == 0) {
    return NotRunError(error_kind::kInvalidField, "expected task_id and lease_ms");
  }
  if (tasks_.count(id) > 0) {
    return ErrorResponse(failure(error_kind::kConflict, not_run_state::kNo, "the task was started before"));
  }
  if (!Fits(granted.declared)) {
    return NotRunError(error_kind::kNoSlot, "not enough free cores or memory for the declared size");
  }
  granted.used = ActualSize(granted.payload, granted.declared);
  granted.total_work = Scale(RunTime(granted.payload, id, 0, options_.seed), 1 / options_.speed);
  granted.remaining_work = granted.total_work;
  granted.updated_at = Now();
  granted.lease_end = Now() + granted.lease_duration;
  task& running = tasks_[id] = granted;
  ++last_grant_;
  RecordUsage();
  ScheduleEnd(id, running);
  ScheduleLeaseExpiry(id, running.lease_end);
  ScheduleGuardCheck(id);
  return JsonResponse(200, {{"task_id", id}, {"grant", last_grant_}});
}

http_response worker::HandleAction(const std::string& id, const std::string& action, const nlohmann::json& body) {
  const std::map<std::string, task>::iterator found = tasks_.find(id);
  if (found == tasks_.end() || found->second.state != "running") {
    return ErrorResponse(failure(error_kind::kNotFound, "no such running task: " + id));
  }
  task& running = found->second;
  if (action == "renew") {
    running.lease_end = Now() + running.lease_duration;
    return JsonResponse(200, Describe(id, running));
  }
  if (action == "checkpoint") {
    const double done = 1 - std::chrono::duration<double>(RemainingWork(running)) / running.total_work;
    return JsonResponse(200, {{"checkpoint", std::to_string(done)}});
  }
  if (action == "throttle") {
    running.remaining_work = RemainingWork(running);
    running.updated_at = Now();
    running.share = std::clamp(body.value("share", 1.0), 0.0, 1.0);
    ScheduleEnd(id, running);
    return JsonResponse(200, Describe(id, running));
  }
  if (action == "stop") {
    Finish(id, "stopped");
    return JsonResponse(200, Describe(id, running));
  }
  return NotRunError(error_kind::kNotFound, "expected renew, checkpoint, throttle or stop");
}

void worker::AwaitEnd(const std::string& id, duration max_wait, const http_server::responder& answer) {
  const std::map<std::string, task>::iterator found = tasks_.find(id);
  if (found == tasks_.end()) {
    answer(ErrorResponse(failure(error_kind::kNotFound, "no such task: " + id)));
    return;
  }
  if (found->second.state != "running" || max_wait.count() == 0) {
    answer(JsonResponse(200, Describe(id, found->second)));
    return;
  }
  found->second.waiters.push_back(answer);
  timers_.ScheduleAt(Now() + max_wait, [this, id, answer] {
    const std::lock_guard<std::mutex> lock(mutex_);
    // A responder ignores all but the first response, so this is safe if the task has ended meanwhile.
    answer(JsonResponse(200, Describe(id, tasks_[id])));
  });
}

http_response worker::ReportUsage() {
  const instant report_time = Now() - options_.usage_lag;
  while (usage_history_.size() > 1 && usage_history_[1].sampled_at <= report_time) {
    usage_history_.pop_front();
  }
  const bool has_sample = !usage_history_.empty() && usage_history_.front().sampled_at <= report_time;
  const usage_sample report = has_sample ? usage_history_.front() : usage_sample();
  return JsonResponse(
      200,
      {{"last_grant", report.last_grant}, {"cores", report.used.cores}, {"memory_bytes", report.used.memory_bytes}});
}

bool worker::Fits(const worker_size& size) const {
  worker_size sum = size;
  for (const std::pair<const std::string, task>& each : tasks_) {
    if (each.second.state == "running") {
      sum.cores += each.second.declared.cores;
      sum.memory_bytes += each.second.declared.memory_bytes;
    }
  }
  return sum.cores <= options_.cores && sum.memory_bytes <= options_.memory_bytes;
}

void worker::ScheduleEnd(const std::string& id, task& running) {
  const std::uint64_t generation = ++running.end_timer_generation;
  if (running.share <= 0) {
    return;
  }
  timers_.ScheduleAt(Now() + Scale(running.remaining_work, 1 / running.share), [this, id, generation] {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (tasks_[id].end_timer_generation == generation) {
      Finish(id, "succeeded");
    }
  });
}

void worker::ScheduleLeaseExpiry(const std::string& id, instant time) {
  timers_.ScheduleAt(time, [this, id] {
    const std::lock_guard<std::mutex> lock(mutex_);
    const task& running = tasks_[id];
    if (running.state != "running") {
      return;
    }
    if (running.lease_end <= Now()) {
      Finish(id, "lease_expired");
    } else {
      ScheduleLeaseExpiry(id, running.lease_end);
    }
  });
}

void worker::ScheduleGuardCheck(const std::string& id) {
  if (!options_.guards) {
    return;
  }
  timers_.ScheduleAt(Now() + options_.guard_delay, [this, id] {
    const std::lock_guard<std::mutex> lock(mutex_);
    const task& running = tasks_[id];
    if (running.used.cores > running.declared.cores || running.used.memory_bytes > running.declared.memory_bytes) {
      Finish(id, "guard");
    }
  });
}

void worker::Finish(const std::string& id, const std::string& state) {
  task& ended = tasks_[id];
  if (ended.state != "running") {
    return;
  }
  ended.remaining_work = RemainingWork(ended);
  ended.state = state;
  RecordUsage();
  for (const http_server::responder& answer : ended.waiters) {
    answer(JsonResponse(200, Describe(id, ended)));
  }
  ended.waiters.clear();
}

void worker::RecordUsage() {
  usage_sample sample{Now(), last_grant_, {}};
  for (const std::pair<const std::string, task>& each : tasks_) {
    if (each.second.state == "running") {
      sample.used.cores += each.second.used.cores;
      sample.used.memory_bytes += each.second.used.memory_bytes;
    }
  }
  usage_history_.push_back(sample);
}

duration worker::RemainingWork(const task& running) const {
  if (running.state != "running") {
    return running.remaining_work;
  }
  return std::max(duration(0), running.remaining_work - Scale(Now() - running.updated_at, running.share));
}

nlohmann::json worker::Describe(const std::string& id, const task& described) const {
  const double left = described.total_work.count() == 0
                          ? 0
                          : std::chrono::duration<double>(RemainingWork(described)) / described.total_work;
  nlohmann::json body = {{"task_id", id}, {"state", described.state}, {"progress", 1 - left}};
  if (described.state == "succeeded") {
    body["result"] = MinionResult(described.payload);
  }
  return body;
}

}  // namespace bamboowing::standin
