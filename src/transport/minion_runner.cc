#include <atomic>
#include <chrono>
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

std::string StringField(const nlohmann::json& body, const char* name) {
  const bool present = body.is_object() && body.contains(name) && body[name].is_string();
  return present ? body[name].get<std::string>() : std::string();
}

// Tasks in flight on one minion. Shared with callbacks, which can outlive the runner.
class minion_runs : public std::enable_shared_from_this<minion_runs> {
 public:
  bool Add(const task_key& key, target_runner::run_callback done) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (open_connections_ >= kMaxMinionConnections) {
      return false;
    }
    ++open_connections_;
    pending_runs_[key] = {std::move(done), Now()};
    return true;
  }

  // Frees the task's connection and calls its callback unless the task was stopped.
  void Finish(task_answer answer) {
    const std::optional<pending_run> found = Take(answer.key, true);
    if (found) {
      answer.run_time = Now() - found->started;
      found->done(std::move(answer), failure());
    }
  }

  void Refuse(const task_key& key, const failure& error) {
    const std::optional<pending_run> found = Take(key, true);
    if (found) {
      found->done(std::nullopt, error);
    }
  }

  void Stop(const task_key& key) {
    const std::optional<pending_run> found = Take(key, false);
    if (found) {
      found->done(task_answer{key, task_status::kCancelled, "stopped", Now() - found->started}, failure());
    }
  }

 private:
  struct pending_run {
    target_runner::run_callback done;
    instant started;
  };

  std::optional<pending_run> Take(const task_key& key, bool releases_connection) {
    const std::lock_guard<std::mutex> lock(mutex_);
    open_connections_ -= releases_connection ? 1 : 0;
    const std::map<task_key, pending_run>::iterator found = pending_runs_.find(key);
    if (found == pending_runs_.end()) {
      return std::nullopt;
    }
    std::optional<pending_run> removed = std::move(found->second);
    pending_runs_.erase(found);
    return removed;
  }

  std::mutex mutex_;
  std::map<task_key, pending_run> pending_runs_;
  std::size_t open_connections_ = 0;
};

void FinishWithResponse(minion_runs& runs, const task_key& key, const http_response& response) {
  failure malformed;
  const nlohmann::json body = ParseJson(response.body, malformed).value_or(nlohmann::json());
  if (response.status == kOk && body.is_object() && body.contains("result")) {
    const nlohmann::json& result = body["result"];
    runs.Finish({key, task_status::kSucceeded, result.is_string() ? result.get<std::string>() : result.dump(), {}});
  } else if (response.status == kUnavailable && StringField(body, "not_run") == "yes") {
    failure error(error_kind::kOverloaded, not_run_state::kYes, StringField(body, "reason"));
    error.retry_after = response.retry_after;
    runs.Refuse(key, error);
  } else {
    const std::string reason =
        "the minion answered with status " + std::to_string(response.status) + ": " + StringField(body, "reason");
    runs.Finish({key, task_status::kFailed, reason, {}});
  }
}

void FinishWithError(minion_runs& runs, const task_key& key, const failure& error) {
  if (error.not_run == not_run_state::kYes) {
    runs.Refuse(key, error);
  } else {
    const bool timed_out = error.kind == error_kind::kDeadlineExceeded;
    runs.Finish({key, timed_out ? task_status::kTimeLimit : task_status::kLost, error.reason, {}});
  }
}

class minion_runner : public target_runner {
 public:
  minion_runner(std::unique_ptr<http_client> client, std::string path)
      : client_(std::move(client)), path_(std::move(path)), runs_(std::make_shared<minion_runs>()) {}

  void Run(const start_task& task, run_callback done) override {
    if (!runs_->Add(task.key, done)) {
      done(std::nullopt, failure(error_kind::kNoSlot, not_run_state::kYes, "all connections to the minion are in use"));
      return;
    }
    const nlohmann::json body = {{"job_id", task.key.job_id},
                                 {"task", task.key.task},
                                 {"payload", task.payload},
                                 {"idempotent", task.idempotent}};
    const std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    client_->SendAsync(
        {"POST", path_, {}, text, ""}, task.time_limit,
        [runs = runs_, key = task.key](const std::optional<http_response>& response, const failure& error) {
          if (response) {
            FinishWithResponse(*runs, key, *response);
          } else {
            FinishWithError(*runs, key, error);
          }
        });
  }

  void Stop(const task_key& key) override { runs_->Stop(key); }

  bool Throttle(const task_key& /*key*/, double /*speed_fraction*/) override { return false; }

  void Checkpoint(const task_key& /*key*/, checkpoint_callback done) override {
    done(std::nullopt, failure(error_kind::kNotFound, "minions do not support checkpoints"));
  }

 private:
  const std::unique_ptr<http_client> client_;
  const std::string path_;
  const std::shared_ptr<minion_runs> runs_;
};

}  // namespace

std::unique_ptr<target_runner> OpenMinionRunner(std::string_view url_text, failure& error) {
  const std::optional<run_url> url = ParseRunUrl(url_text, error);
  if (!url) {
    return nullptr;
  }
  std::unique_ptr<http_client> client = http_client::Open(url->address, error);
  return std::make_unique<minion_runner>(std::move(client), url->path);
}

}  // namespace bamboowing
