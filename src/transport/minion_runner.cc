#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

#include "bamboowing/transport/http_client.h"
#include "bamboowing/transport/target_runner.h"
#include "run_url.h"

namespace bamboowing {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

instant Now() { return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now()); }

std::string TextOf(const nlohmann::json& body, const char* name) {
  const bool present = body.is_object() && body.contains(name) && body[name].is_string();
  return present ? body[name].get<std::string>() : std::string();
}

// Tasks in flight at one minion. Shared with their callbacks, which can outlive the runner.
class minion_runs : public std::enable_shared_from_this<minion_runs> {
 public:
  bool Add(const task_key& key, target_runner::run_callback done) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (connections_ >= kMinionConnections) {
      return false;
    }
    ++connections_;
    waiting_[key] = {std::move(done), Now()};
    return true;
  }

  // The task was answered: its connection is free, and whoever still waits is told.
  void End(task_answer answer) {
    const std::optional<waiting> found = Take(answer.key, true);
    if (found) {
      answer.run_time = Now() - found->started;
      found->done(std::move(answer), failure());
    }
  }

  void Refuse(const task_key& key, const failure& why) {
    const std::optional<waiting> found = Take(key, true);
    if (found) {
      found->done(std::nullopt, why);
    }
  }

  void Stop(const task_key& key) {
    const std::optional<waiting> found = Take(key, false);
    if (found) {
      found->done(task_answer{key, task_status::kCancelled, "stopped", Now() - found->started}, failure());
    }
  }

 private:
  struct waiting {
    target_runner::run_callback done;
    instant started;
  };

  std::optional<waiting> Take(const task_key& key, bool connection_ended) {
    const std::lock_guard<std::mutex> lock(mutex_);
    connections_ -= connection_ended ? 1 : 0;
    const std::map<task_key, waiting>::iterator found = waiting_.find(key);
    if (found == waiting_.end()) {
      return std::nullopt;
    }
    std::optional<waiting> taken = std::move(found->second);
    waiting_.erase(found);
    return taken;
  }

  std::mutex mutex_;
  std::map<task_key, waiting> waiting_;
  std::size_t connections_ = 0;
};

void EndWithResponse(minion_runs& runs, const task_key& key, const http_response& response) {
  const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status == kOk && body.is_object() && body.contains("result")) {
    const nlohmann::json& result = body["result"];
    runs.End({key, task_status::kSucceeded, result.is_string() ? result.get<std::string>() : result.dump(), {}});
  } else if (response.status == kUnavailable && TextOf(body, "not_run") == "yes") {
    failure why(error_kind::kOverloaded, not_run_state::kYes, TextOf(body, "reason"));
    why.retry_after = response.retry_after;
    runs.Refuse(key, why);
  } else {
    const std::string reason = "the minion answered " + std::to_string(response.status) + ": " + TextOf(body, "reason");
    runs.End({key, task_status::kFailed, reason, {}});
  }
}

void EndWithFailure(minion_runs& runs, const task_key& key, const failure& why) {
  if (why.not_run == not_run_state::kYes) {
    runs.Refuse(key, why);
  } else {
    const bool late = why.kind == error_kind::kDeadlineExceeded;
    runs.End({key, late ? task_status::kTimeLimit : task_status::kLost, why.reason, {}});
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
        [runs = runs_, key = task.key](const std::optional<http_response>& response, const failure& why) {
          if (response) {
            EndWithResponse(*runs, key, *response);
          } else {
            EndWithFailure(*runs, key, why);
          }
        });
  }

  void Stop(const task_key& key) override { runs_->Stop(key); }

  bool Throttle(const task_key& /*key*/, double /*share*/) override { return false; }

  void Checkpoint(const task_key& /*key*/, checkpoint_callback done) override {
    done(std::nullopt, failure(error_kind::kNotFound, "a minion makes no checkpoints"));
  }

 private:
  const std::unique_ptr<http_client> client_;
  const std::string path_;
  const std::shared_ptr<minion_runs> runs_;
};

}  // namespace

std::unique_ptr<target_runner> OpenMinionRunner(std::string_view run_url_text, failure& why) {
  const std::optional<run_url> url = ParseRunUrl(run_url_text, why);
  if (!url) {
    return nullptr;
  }
  std::unique_ptr<http_client> client = http_client::Open(url->address, why);
  return std::make_unique<minion_runner>(std::move(client), url->path);
}

}  // namespace bamboowing
