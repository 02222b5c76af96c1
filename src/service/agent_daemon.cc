#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>
#include <variant>

#include "bamboowing/agent/agent_core.h"
#include "bamboowing/base/json_reader.h"
#include "bamboowing/base/ring.h"
#include "bamboowing/service/agent_rpc.h"
#include "bamboowing/service/caller_api.h"
#include "bamboowing/service/clock.h"
#include "bamboowing/service/daemon.h"
#include "bamboowing/service/event_log.h"
#include "bamboowing/service/log.h"
#include "bamboowing/service/pause_log.h"
#include "bamboowing/transport/http_server.h"
#include "bamboowing/transport/target_runner.h"
#include "drain_latch.h"

namespace bamboowing::detail {
namespace {

constexpr std::size_t kRingCapacity = 4096;
// One target announces itself here.
constexpr std::size_t kMaxAnnouncementConnections = 256;
constexpr duration kMaxWait = std::chrono::seconds(1);
constexpr std::uint32_t kMaxSlots = 4096;

struct session_opened {
  std::string address;
};
struct session_closed {
  std::string address;
  std::string reason;
};
struct batch_received {
  std::string address;
  entry_batch batch;
};
struct target_left {};
struct drain_requested {};
using agent_input = std::variant<session_opened, session_closed, batch_received, target_announcement, target_left,
                                 task_answer, drain_requested>;

class agent_daemon final : public daemon, public agent_rpc_listener {
 public:
  explicit agent_daemon(const daemon_settings& settings)
      : settings_(settings),
        incarnation_(RandomNumber()),
        ring_(kRingCapacity),
        events_({settings.id, incarnation_, "agent", settings.failure_domain}, settings.events_file),
        core_(MakeSettings(), RandomNumber(), Now()) {}

  agent_daemon(const agent_daemon&) = delete;
  agent_daemon& operator=(const agent_daemon&) = delete;

  ~agent_daemon() override {
    if (announce_server_) {
      announce_server_->Close();
    }
    ring_.Close();
    if (thread_.joinable()) {
      thread_.join();
    }
    rpc_.reset();
  }

  bool Start(failure& error) {
    target_ = OpenTarget(error);
    if (!target_) {
      return false;
    }
    http_limits limits;
    limits.max_connections = kMaxAnnouncementConnections;
    announce_server_ = http_server::Open(
        settings_.announce_address,
        [this](const http_request& request, const http_server::responder& answer) { HandleHttp(request, answer); },
        limits, error);
    if (!announce_server_) {
      return false;
    }
    rpc_ = agent_rpc::Open(settings_.id, *this);
    thread_ = std::thread([this] { Run(); });
    Log(log_level::kInfo, "listening", {{"announce_address", settings_.announce_address}});
    return true;
  }

  void Drain() override { ring_.Push(drain_requested{}); }
  bool WaitDrained(duration limit) override { return drained_.WaitFor(limit); }

  void OnSessionOpened(std::string address) override { ring_.Push(session_opened{std::move(address)}); }
  void OnSessionClosed(std::string address, std::string reason) override {
    ring_.Push(session_closed{std::move(address), std::move(reason)});
  }
  void OnBatchAcknowledged(std::string /*address*/, instant /*sent_at*/) override {}
  void OnEntryBatch(std::string address, entry_batch batch) override {
    ring_.Push(batch_received{std::move(address), std::move(batch)});
  }

 private:
  std::unique_ptr<target_runner> OpenTarget(failure& error) const {
    const std::string base = "http://" + settings_.target_address;
    if (settings_.target_kind == "worker") {
      worker_settings worker;
      worker.capacity = settings_.worker_capacity;
      worker.task_size = settings_.worker_task_size;
      return OpenWorkerRunner(base + "/v1/tasks", worker, error);
    }
    return OpenMinionRunner(base + "/run", error);
  }

  agent_settings MakeSettings() const {
    agent_settings agent;
    agent.id = settings_.id;
    agent.incarnation = incarnation_;
    agent.failure_domain = settings_.failure_domain;
    agent.entries = settings_.entries;
    return agent;
  }

  void Run() {
    while (!ring_.closed()) {
      const instant before = Now();
      const std::optional<instant> due = core_.next_wakeup();
      const duration wait = due ? std::clamp(*due - before, duration(0), kMaxWait) : kMaxWait;
      std::optional<agent_input> next = ring_.PopFor(wait);
      pause_log_.OnRound(kMaxWait);
      instant now = Now();
      while (next) {
        std::visit([this, now](const auto& alternative) { Handle(alternative, now); }, *next);
        next = ring_.TryPop();
        // An input that arrived during this loop must not get a timestamp before that of its cause in another process.
        now = Now();
      }
      core_.OnTick(now);
      ExecuteActions();
      if (core_.drained()) {
        drained_.Open();
      }
    }
  }

  void Handle(const session_opened& input, instant now) {
    Log(log_level::kInfo, "session_opened", {{"entry", input.address}});
    core_.OnSessionOpened(input.address, now);
  }
  void Handle(const session_closed& input, instant now) {
    Log(log_level::kInfo, "session_closed", {{"entry", input.address}, {"reason", input.reason}});
    core_.OnSessionClosed(input.address, now);
  }
  void Handle(const batch_received& input, instant now) { core_.OnBatch(input.address, input.batch, now); }
  void Handle(const target_announcement& input, instant now) { core_.OnTargetAnnounced(input, now); }
  void Handle(const target_left&, instant now) { core_.OnTargetLeft(now); }
  void Handle(const task_answer& input, instant now) { core_.OnTaskEnded(input, now); }
  void Handle(const drain_requested&, instant now) { core_.OnDrain(now); }

  void ExecuteActions() {
    for (const agent_action& action : core_.actions()) {
      std::visit([this](const auto& alternative) { Execute(alternative); }, action);
    }
    core_.ClearActions();
  }

  void Execute(const send_batch& action) { rpc_->Send(action.peer, action.batch); }
  void Execute(const open_session& action) { rpc_->OpenSession(action.address); }
  void Execute(const close_session& action) { rpc_->CloseSession(action.address); }
  void Execute(const stop_task& action) { target_->Stop(action.key); }
  void Execute(const record_event& action) { events_.Record(action.record); }

  void Execute(const run_task& action) {
    const start_task task{action.key, action.payload, action.time_limit, action.idempotent};
    target_->Run(task, [this, key = action.key](const std::optional<task_answer>& answer, const failure& error) {
      ring_.Push(answer ? *answer : LostTaskAnswer(key, error));
    });
  }

  /// The target refused the task or could not be reached. The agent has already recorded the start, so the task is
  /// reported to the shard leader as lost and is not started again.
  static task_answer LostTaskAnswer(const task_key& key, const failure& error) {
    task_answer answer;
    answer.key = key;
    answer.status = task_status::kLost;
    answer.result = error.reason;
    return answer;
  }

  void HandleHttp(const http_request& request, const http_server::responder& answer) {
    if (request.method == "GET" && request.path == "/healthz") {
      answer({200, "application/json", R"({"status":"ok"})", std::nullopt});
      return;
    }
    if (request.method == "POST" && request.path == "/v1/leave") {
      ring_.Push(target_left{});
      answer({200, "application/json", "{}", std::nullopt});
      return;
    }
    if (request.method != "POST" || request.path != "/v1/announce") {
      answer(ErrorResponse(failure(error_kind::kNotFound, not_run_state::kYes, "no such call: " + request.path)));
      return;
    }
    failure error;
    const std::optional<target_announcement> target = ParseAnnouncement(request.body, error);
    if (!target) {
      answer(ErrorResponse(error));
      return;
    }
    ring_.Push(*target);
    answer({200, "application/json", "{}", std::nullopt});
  }

  std::optional<target_announcement> ParseAnnouncement(const std::string& text, failure& error) const {
    const std::optional<nlohmann::json> parsed = ParseJson(text, error);
    if (!parsed) {
      return std::nullopt;
    }
    const nlohmann::json& body = *parsed;
    if (!body.is_object()) {
      error = failure(error_kind::kInvalidJson, "the announcement is not a JSON object");
      return std::nullopt;
    }
    if (!body.contains("service") || !body["service"].is_string() ||
        !IsValidName(body["service"].get_ref<const std::string&>())) {
      error = failure(error_kind::kInvalidField, "service must be 1 to 128 letters, digits, '.', '_', ':' or '-'");
      return std::nullopt;
    }
    const bool slots_valid = body.contains("slots") && body["slots"].is_number_unsigned() &&
                             body["slots"].get<std::uint64_t>() >= 1 && body["slots"].get<std::uint64_t>() <= kMaxSlots;
    if (!slots_valid) {
      error = failure(error_kind::kInvalidField, "slots must be a number from 1 to " + std::to_string(kMaxSlots));
      return std::nullopt;
    }
    target_announcement target;
    target.service = body["service"].get<std::string>();
    target.slots = body["slots"].get<std::uint32_t>();
    target.failure_domain = settings_.failure_domain;
    return target;
  }

  daemon_settings settings_;
  incarnation_id incarnation_;
  bounded_ring<agent_input> ring_;
  event_log events_;
  agent_core core_;
  pause_log pause_log_;
  drain_latch drained_;
  std::unique_ptr<target_runner> target_;
  std::unique_ptr<http_server> announce_server_;
  std::unique_ptr<agent_rpc> rpc_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<daemon> StartAgent(const daemon_settings& settings, failure& error) {
  std::unique_ptr<agent_daemon> started = std::make_unique<agent_daemon>(settings);
  if (!started->Start(error)) {
    return nullptr;
  }
  return started;
}

}  // namespace bamboowing::detail
