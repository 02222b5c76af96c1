#include <algorithm>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

#include "bamboowing/base/clock.h"
#include "bamboowing/base/json_reader.h"
#include "bamboowing/transport/http_client.h"
#include "bamboowing/transport/target_runner.h"
#include "run_url.h"

namespace bamboowing {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kRenewalsPerLease = 3;
constexpr std::size_t kMaxTextBytes = 64U << 20U;
constexpr double kMaxCores = 1e6;

// Allows for a busy machine. After this time the outcome of a start is unknown.
constexpr duration kCallTimeout = std::chrono::seconds(2);

std::string WorkerTaskId(const task_key& key) {
  return key.job_id + "." + std::to_string(key.task) + "." + std::to_string(key.attempt);
}

// The object in a response; empty if the body is not an object.
nlohmann::json ParseObject(const std::string& text) {
  failure malformed;
  std::optional<nlohmann::json> body = ParseJson(text, malformed);
  return body && body->is_object() ? std::move(*body) : nlohmann::json::object();
}

// A field of a response; empty if it is absent or has another type.
std::string TextField(const nlohmann::json& body, const char* key) {
  std::string text;
  json_reader(body).Text(key, field_presence::kOptional, text, kMaxTextBytes);
  return text;
}

// A field of a response; 0 if it is absent, has another type or is out of range.
std::uint64_t NumberField(const nlohmann::json& body, const char* key) {
  std::uint64_t number = 0;
  json_reader(body).Whole(key, field_presence::kOptional, number);
  return number;
}

std::uint64_t Milliseconds(duration time) {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

// Converts the state that a worker reports for a task; nullopt while the task runs.
std::optional<task_status> StatusFromState(const std::string& state) {
  if (state == "running") {
    return std::nullopt;
  }
  if (state == "succeeded") {
    return task_status::kSucceeded;
  }
  return state == "lease_expired" ? task_status::kLost : task_status::kFailed;
}

// Tasks in flight on one worker. Shared with callbacks, which can outlive the runner.
class worker_runs : public std::enable_shared_from_this<worker_runs> {
 public:
  worker_runs(std::unique_ptr<http_client> client, std::string path, const worker_settings& settings)
      : client_(std::move(client)), path_(std::move(path)), settings_(settings), commitments_(settings.capacity) {}

  void Run(const start_task& task, const target_runner::run_callback& done) {
    if (!Admit(task, done)) {
      done(std::nullopt,
           failure(error_kind::kNoSlot, not_run_state::kYes, "the task exceeds the worker's uncommitted capacity"));
      return;
    }
    const nlohmann::json body = {{"task_id", WorkerTaskId(task.key)},
                                 {"payload", task.payload},
                                 {"lease_ms", Milliseconds(settings_.lease_duration)},
                                 {"cores", settings_.task_size.cores},
                                 {"memory_bytes", settings_.task_size.memory_bytes}};
    const std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    client_->SendAsync({"POST", path_, {}, text, ""}, kCallTimeout,
                       [self = shared_from_this(), key = task.key](const std::optional<http_response>& response,
                                                                   const failure& error) {
                         self->OnStartResponse(key, response, error);
                       });
  }

  void Stop(const task_key& key) {
    if (Finish(key, task_status::kCancelled, "stopped")) {
      PostAction(key, "stop", "");
    }
  }

  bool Throttle(const task_key& key, double speed_fraction) {
    if (!IsRunning(key)) {
      return false;
    }
    PostAction(key, "throttle", nlohmann::json{{"share", speed_fraction}}.dump());
    return true;
  }

  void Checkpoint(const task_key& key, const target_runner::checkpoint_callback& done) {
    client_->SendAsync({"POST", path_ + "/" + WorkerTaskId(key) + "/checkpoint", {}, "", ""}, kCallTimeout,
                       [done](const std::optional<http_response>& response, const failure& error) {
                         if (response && response->status == kOk) {
                           done(TextField(ParseObject(response->body), "checkpoint"), failure());
                         } else {
                           done(std::nullopt,
                                response ? failure(error_kind::kNotFound, "no such running task") : error);
                         }
                       });
  }

 private:
  struct run {
    target_runner::run_callback done;
    instant started;
    duration time_limit;
  };

  bool Admit(const start_task& task, const target_runner::run_callback& done) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!commitments_.Fits(settings_.task_size)) {
      return false;
    }
    commitments_.Reserve(settings_.task_size);
    runs_[task.key] = {done, Now(), task.time_limit};
    return true;
  }

  void OnStartResponse(const task_key& key, const std::optional<http_response>& response, const failure& error) {
    const bool granted = response && response->status == kOk;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      commitments_.Confirm(settings_.task_size, granted ? NumberField(ParseObject(response->body), "grant") : 0);
    }
    RequestUsage();
    if (granted) {
      PollTask(key);
    } else if (response && response->status == kUnavailable) {
      Refuse(key, failure(error_kind::kNoSlot, not_run_state::kYes, "the worker has no free capacity"));
    } else if (response) {
      Finish(key, task_status::kFailed,
             "the worker answered the start request with status " + std::to_string(response->status));
    } else if (error.not_run == not_run_state::kYes) {
      Refuse(key, error);
    } else {
      Finish(key, task_status::kLost, error.reason);
    }
  }

  // Long-polls the worker for the end of the task for a fraction of its lease, then renews the lease and polls again.
  void PollTask(const task_key& key) {
    const duration remaining = RemainingTime(key);
    if (remaining <= duration(0)) {
      if (Finish(key, task_status::kTimeLimit, "stopped at its time limit")) {
        PostAction(key, "stop", "");
      }
      return;
    }
    const duration wait = std::min(settings_.lease_duration / kRenewalsPerLease, remaining);
    const std::string wait_ms = std::to_string(std::max<std::uint64_t>(1, Milliseconds(wait)));
    client_->SendAsync(
        {"GET", path_ + "/" + WorkerTaskId(key), {{"wait_ms", wait_ms}}, "", ""}, wait + kCallTimeout,
        [self = shared_from_this(), key](const std::optional<http_response>& response, const failure& error) {
          self->OnPollResponse(key, response, error);
        });
  }

  void OnPollResponse(const task_key& key, const std::optional<http_response>& response, const failure& error) {
    if (!IsRunning(key)) {
      return;
    }
    if (!response || response->status != kOk) {
      Finish(key, task_status::kLost, response ? "the worker has no record of the task" : error.reason);
      return;
    }
    const nlohmann::json body = ParseObject(response->body);
    const std::string state = TextField(body, "state");
    const std::optional<task_status> status = StatusFromState(state);
    if (status) {
      Finish(key, *status,
             *status == task_status::kSucceeded ? TextField(body, "result") : "the task ended as " + state);
      return;
    }
    RequestUsage();
    PostAction(key, "renew", "");
    PollTask(key);
  }

  void RequestUsage() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (Now() - usage_requested_at_ < settings_.usage_interval) {
        return;
      }
      usage_requested_at_ = Now();
    }
    const std::string path = path_.substr(0, path_.rfind('/')) + "/usage";
    client_->SendAsync({"GET", path, {}, "", ""}, kCallTimeout,
                       [self = shared_from_this()](const std::optional<http_response>& response, const failure&) {
                         if (response && response->status == kOk) {
                           self->HandleUsageReport(ParseObject(response->body));
                         }
                       });
  }

  void HandleUsageReport(const nlohmann::json& body) {
    usage_report report;
    json_reader reader(body);
    reader.Whole("last_grant", field_presence::kOptional, report.last_grant);
    reader.Real("cores", field_presence::kOptional, report.used.cores, 0, kMaxCores);
    reader.Whole("memory_bytes", field_presence::kOptional, report.used.memory_bytes, 0, INT64_MAX);
    if (!reader.ok()) {
      return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    commitments_.ApplyReport(report);
  }

  // The response is ignored: the concurrent or next poll shows the resulting state of the task.
  void PostAction(const task_key& key, const std::string& action, const std::string& body) {
    client_->SendAsync({"POST", path_ + "/" + WorkerTaskId(key) + "/" + action, {}, body, ""}, kCallTimeout,
                       [](const std::optional<http_response>&, const failure&) {});
  }

  bool IsRunning(const task_key& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_.count(key) > 0;
  }

  duration RemainingTime(const task_key& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::map<task_key, run>::const_iterator found = runs_.find(key);
    return found == runs_.end() ? duration(0) : found->second.started + found->second.time_limit - Now();
  }

  std::optional<run> Take(const task_key& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::map<task_key, run>::iterator found = runs_.find(key);
    if (found == runs_.end()) {
      return std::nullopt;
    }
    std::optional<run> removed = std::move(found->second);
    runs_.erase(found);
    return removed;
  }

  bool Finish(const task_key& key, task_status status, const std::string& result) {
    const std::optional<run> ended = Take(key);
    if (ended) {
      ended->done(task_answer{key, status, result, Now() - ended->started}, failure());
    }
    return ended.has_value();
  }

  void Refuse(const task_key& key, const failure& error) {
    const std::optional<run> refused = Take(key);
    if (refused) {
      refused->done(std::nullopt, error);
    }
  }

  const std::unique_ptr<http_client> client_;
  const std::string path_;
  const worker_settings settings_;
  std::mutex mutex_;
  worker_commitments commitments_;
  std::map<task_key, run> runs_;
  instant usage_requested_at_;
};

class worker_runner : public target_runner {
 public:
  explicit worker_runner(std::shared_ptr<worker_runs> runs) : runs_(std::move(runs)) {}

  void Run(const start_task& task, run_callback done) override { runs_->Run(task, done); }
  void Stop(const task_key& key) override { runs_->Stop(key); }
  bool Throttle(const task_key& key, double speed_fraction) override { return runs_->Throttle(key, speed_fraction); }
  void Checkpoint(const task_key& key, checkpoint_callback done) override { runs_->Checkpoint(key, done); }

 private:
  const std::shared_ptr<worker_runs> runs_;
};

}  // namespace

std::unique_ptr<target_runner> OpenWorkerRunner(std::string_view url_text, const worker_settings& settings,
                                                failure& error) {
  const std::optional<run_url> url = ParseRunUrl(url_text, error);
  if (!url) {
    return nullptr;
  }
  std::unique_ptr<http_client> client = http_client::Open(url->address, error);
  return std::make_unique<worker_runner>(std::make_shared<worker_runs>(std::move(client), url->path, settings));
}

}  // namespace bamboowing
