#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>
#include <variant>

#include "bamboowing/agent/agent_core.h"
#include "bamboowing/base/ring.h"
#include "bamboowing/service/agent_rpc.h"
#include "bamboowing/service/caller_api.h"
#include "bamboowing/service/clock.h"
#include "bamboowing/service/daemon.h"
#include "bamboowing/service/event_log.h"
#include "bamboowing/service/log.h"
#include "bamboowing/transport/http_server.h"
#include "bamboowing/transport/target_runner.h"
#include "drain_latch.h"

namespace bamboowing::detail {
namespace {

constexpr std::size_t kRingCapacity = 4096;
constexpr duration kMaxWait = std::chrono::seconds(1);
constexpr std::uint32_t kMaxSlots = 4096;

struct session_opened {
  std::string address;
};
struct session_closed {
  std::string address;
  std::string why;
};
struct batch_arrived {
  std::string address;
  entry_batch batch;
};
struct target_left {};
struct drain_requested {};
using agent_input = std::variant<session_opened, session_closed, batch_arrived, target_announcement, target_left,
                                 task_answer, drain_requested>;

class agent_daemon final : public daemon, public agent_rpc_listener {
 public:
  explicit agent_daemon(const daemon_settings& settings)
      : settings_(settings),
        life_(RandomNumber()),
        ring_(kRingCapacity),
        events_({settings.id, life_, "agent", settings.failure_domain}, settings.events_file),
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

  bool Start(failure& why) {
    target_ = OpenTarget(why);
    if (!target_) {
      return false;
    }
    const http_limits limits;
    announce_server_ = http_server::Open(
        settings_.announce_address,
        [this](const http_request& request, const http_server::responder& answer) { HandleHttp(request, answer); },
        limits, why);
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
  void OnSessionClosed(std::string address, std::string why) override {
    ring_.Push(session_closed{std::move(address), std::move(why)});
  }
  void OnEntryBatch(std::string address, entry_batch batch) override {
    ring_.Push(batch_arrived{std::move(address), std::move(batch)});
  }

 private:
  std::unique_ptr<target_runner> OpenTarget(failure& why) const {
    const std::string base = "http://" + settings_.target_address;
    if (settings_.target_kind == "worker") {
      worker_settings worker;
      worker.capacity = settings_.worker_capacity;
      worker.task_size = settings_.worker_task_size;
      return OpenWorkerRunner(base + "/v1/tasks", worker, why);
    }
    return OpenMinionRunner(base + "/run", why);
  }

  agent_settings MakeSettings() const {
    agent_settings agent;
    agent.id = settings_.id;
    agent.life = life_;
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
      instant now = Now();
      while (next) {
        std::visit([this, now](const auto& what) { Handle(what, now); }, *next);
        next = ring_.TryPop();
        // An input that arrived during this loop must not be dated before its cause at another process.
        now = Now();
      }
      core_.OnTick(now);
      CarryOut();
      if (core_.drained()) {
        drained_.Open();
      }
    }
  }

  void Handle(const session_opened& what, instant now) {
    Log(log_level::kInfo, "session_opened", {{"entry", what.address}});
    core_.OnSessionOpened(what.address, now);
  }
  void Handle(const session_closed& what, instant now) {
    Log(log_level::kInfo, "session_closed", {{"entry", what.address}, {"reason", what.why}});
    core_.OnSessionClosed(what.address, now);
  }
  void Handle(const batch_arrived& what, instant now) { core_.OnBatch(what.address, what.batch, now); }
  void Handle(const target_announcement& what, instant now) { core_.OnTargetAnnounced(what, now); }
  void Handle(const target_left&, instant now) { core_.OnTargetLeft(now); }
  void Handle(const task_answer& what, instant now) { core_.OnTaskEnded(what, now); }
  void Handle(const drain_requested&, instant now) { core_.OnDrain(now); }

  void CarryOut() {
    for (const agent_action& action : core_.actions()) {
      std::visit([this](const auto& what) { Do(what); }, action);
    }
    core_.ClearActions();
  }

  void Do(const send_batch& what) { rpc_->Send(what.peer, what.batch); }
  void Do(const open_session& what) { rpc_->OpenSession(what.address); }
  void Do(const close_session& what) { rpc_->CloseSession(what.address); }
  void Do(const stop_task& what) { target_->Stop(what.key); }
  void Do(const record_event& what) { events_.Record(what.what); }

  void Do(const run_task& what) {
    const start_task task{what.key, what.payload, what.time_limit, what.idempotent};
    target_->Run(task, [this, key = what.key](const std::optional<task_answer>& answer, const failure& why) {
      ring_.Push(answer ? *answer : Unanswered(key, why));
    });
  }

  /// The target refused the task or could not be reached. The agent has recorded the start, so the home is told that
  /// the task is lost; it is not started again.
  static task_answer Unanswered(const task_key& key, const failure& why) {
    task_answer answer;
    answer.key = key;
    answer.status = task_status::kLost;
    answer.result = why.reason;
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
      answer(ErrorResponse(failure(error_kind::kNotFound, not_run::kYes, "no such call: " + request.path)));
      return;
    }
    failure why;
    const std::optional<target_announcement> target = ParseAnnouncement(request.body, why);
    if (!target) {
      answer(ErrorResponse(why));
      return;
    }
    ring_.Push(*target);
    answer({200, "application/json", "{}", std::nullopt});
  }

  std::optional<target_announcement> ParseAnnouncement(const std::string& text, failure& why) const {
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object()) {
      why = failure(error_kind::kInvalidJson, "the announcement is not a JSON object");
      return std::nullopt;
    }
    if (!body.contains("service") || !body["service"].is_string() ||
        !IsValidName(body["service"].get_ref<const std::string&>())) {
      why = failure(error_kind::kInvalidField, "service must be a name");
      return std::nullopt;
    }
    const bool slots_valid = body.contains("slots") && body["slots"].is_number_unsigned() &&
                             body["slots"].get<std::uint64_t>() >= 1 && body["slots"].get<std::uint64_t>() <= kMaxSlots;
    if (!slots_valid) {
      why = failure(error_kind::kInvalidField, "slots must be a number from 1 to " + std::to_string(kMaxSlots));
      return std::nullopt;
    }
    target_announcement target;
    target.service = body["service"].get<std::string>();
    target.slots = body["slots"].get<std::uint32_t>();
    target.failure_domain = settings_.failure_domain;
    return target;
  }

  daemon_settings settings_;
  incarnation_id life_;
  bounded_ring<agent_input> ring_;
  event_log events_;
  agent_core core_;
  drain_latch drained_;
  std::unique_ptr<target_runner> target_;
  std::unique_ptr<http_server> announce_server_;
  std::unique_ptr<agent_rpc> rpc_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<daemon> StartAgent(const daemon_settings& settings, failure& why) {
  std::unique_ptr<agent_daemon> started = std::make_unique<agent_daemon>(settings);
  if (!started->Start(why)) {
    return nullptr;
  }
  return started;
}

}  // namespace bamboowing::detail
