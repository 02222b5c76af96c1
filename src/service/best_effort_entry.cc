#include "bamboowing/service/best_effort_entry.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <utility>
#include <variant>

#include "bamboowing/base/ring.h"
#include "bamboowing/besteffort/agent_demand.h"
#include "bamboowing/entry/registration.h"
#include "bamboowing/observe/metrics.h"
#include "bamboowing/service/clock.h"
#include "bamboowing/service/entry_rpc.h"
#include "bamboowing/service/log.h"
#include "bamboowing/service/store_client.h"
#include "bamboowing/transport/http_server.h"
#include "drain_latch.h"

namespace bamboowing {
namespace {

constexpr std::size_t kRingCapacity = 2048;
constexpr duration kLongestWait = std::chrono::seconds(1);
constexpr duration kRegistrationLease = std::chrono::seconds(5);
constexpr duration kRegistrationRenewal = std::chrono::milliseconds(1500);
// Targets that fail all they start are back in use after this time, at first with one task.
constexpr duration kFirstEjection = std::chrono::seconds(2);

struct job_submitted {
  call_id call = 0;
  best_effort_job job;
  queue_rule queue;
};
struct caller_left {
  call_id call = 0;
};
struct cancel_asked {
  call_id call = 0;
  std::string job_id;
};
struct phase_asked {
  call_id call = 0;
  std::string job_id;
};
struct pending_asked {
  call_id call = 0;
  std::string queue;
};
struct session_opened {
  session_id session = 0;
  std::string agent;
};
struct session_closed {
  session_id session = 0;
  std::string why;
};
struct report_arrived {
  session_id session = 0;
  agent_batch batch;
};
struct store_answered {
  std::uint64_t call = 0;
  store_result result;
};
struct metrics_asked {
  http_server::responder answer;
};
struct drain_requested {};
struct end_requested {};
using entry_input =
    std::variant<job_submitted, caller_left, cancel_asked, phase_asked, pending_asked, session_opened, session_closed,
                 report_arrived, store_answered, metrics_asked, drain_requested, end_requested>;

dispatch_core_settings CoreSettings(const daemon_settings& settings, incarnation life) {
  dispatch_core_settings core;
  core.id = settings.id;
  core.life = life;
  core.lease = settings.best_effort.lease;
  core.health.first_ejection = kFirstEjection;
  return core;
}

entry_settings RegistrationSettings(const daemon_settings& settings, incarnation life) {
  entry_settings entry;
  entry.self = {settings.id, life, settings.peers_address, settings.failure_domain};
  entry.lease_time = kRegistrationLease;
  entry.renew_interval = kRegistrationRenewal;
  return entry;
}

class best_effort_entry_impl final : public best_effort_entry, public entry_rpc_listener {
 public:
  best_effort_entry_impl(const daemon_settings& settings, job_answers& answers)
      : settings_(settings),
        life_(RandomNumber()),
        answers_(answers),
        ring_(kRingCapacity),
        core_(CoreSettings(settings, life_), RandomNumber(), Now()),
        demand_(Now()),
        registration_(RegistrationSettings(settings, life_)) {}

  best_effort_entry_impl(const best_effort_entry_impl&) = delete;
  best_effort_entry_impl& operator=(const best_effort_entry_impl&) = delete;

  ~best_effort_entry_impl() override {
    if (metrics_server_) {
      metrics_server_->Close();
    }
    ring_.Close();
    if (thread_.joinable()) {
      thread_.join();
    }
    rpc_.reset();
    store_.reset();
  }

  bool Open(std::unique_ptr<key_value_store> store, failure& why) {
    store_ = store_duty::Open(std::move(store), {[this](std::uint64_t call, store_result result) {
                                                   ring_.Push(store_answered{call, std::move(result)});
                                                 },
                                                 [](std::uint64_t, const directory_update&) {}});
    rpc_ = entry_rpc::Open(settings_.peers_address, *this, why);
    if (!rpc_) {
      return false;
    }
    thread_ = std::thread([this] { Run(); });
    return settings_.best_effort.metrics_address.empty() || OpenMetrics(why);
  }

  std::shared_ptr<const queue_table> Queues() const override {
    const std::lock_guard<std::mutex> lock(queues_mutex_);
    return queues_;
  }

  void SetQueues(std::shared_ptr<const queue_table> queues) override {
    const std::lock_guard<std::mutex> lock(queues_mutex_);
    if (!queues_ || queues->version() > queues_->version()) {
      Log(log_level::kInfo, "config_in_force",
          {{"version", std::to_string(queues->version())}, {"queues", std::to_string(queues->rules().size())}});
      queues_ = std::move(queues);
    }
  }

  void Submit(call_id call, best_effort_job job, queue_rule queue) override {
    ring_.Push(job_submitted{call, std::move(job), std::move(queue)});
  }
  void CallerGone(call_id call) override { ring_.Push(caller_left{call}); }
  void Cancel(call_id call, std::string job_id) override { ring_.Push(cancel_asked{call, std::move(job_id)}); }
  void AskPhase(call_id call, std::string job_id) override { ring_.Push(phase_asked{call, std::move(job_id)}); }
  void AskPending(call_id call, std::string queue) override { ring_.Push(pending_asked{call, std::move(queue)}); }
  bool Ready() const override { return ready_.load() && Queues() != nullptr; }

  void Drain() override { ring_.Push(drain_requested{}); }
  bool WaitDrained(duration limit) override {
    ring_.Push(end_requested{});
    return drained_.WaitFor(limit);
  }

  void OnSessionOpened(session_id session, std::string agent) override {
    ring_.Push(session_opened{session, std::move(agent)});
  }
  void OnSessionClosed(session_id session, std::string why) override {
    ring_.Push(session_closed{session, std::move(why)});
  }
  void OnAgentBatch(session_id session, agent_batch batch) override {
    ring_.Push(report_arrived{session, std::move(batch)});
  }
  void OnRelayRequest(relay_id id, relay_request /*request*/) override {
    relay_reply reply;
    reply.not_home = true;
    rpc_->ReplyRelay(id, std::move(reply));
  }
  void OnRelayReply(relay_id /*id*/, std::optional<relay_reply> /*reply*/) override {}

 private:
  bool OpenMetrics(failure& why) {
    metrics_server_ = http_server::Open(
        settings_.best_effort.metrics_address,
        [this](const http_request& request, http_server::responder answer) {
          if (request.method != "GET" || request.path != "/metrics") {
            answer(ErrorResponse(failure(error_kind::kNotFound, not_run::kYes, "no such call: " + request.path)));
            return;
          }
          ring_.Push(metrics_asked{std::move(answer)});
        },
        http_limits(), why);
    return metrics_server_ != nullptr;
  }

  void Run() {
    while (!ring_.closed()) {
      const instant before = Now();
      const instant due = std::min(core_.next_wakeup(), registration_.next_wakeup());
      std::optional<entry_input> next = ring_.PopFor(std::clamp(due - before, duration(0), kLongestWait));
      instant now = Now();
      while (next) {
        std::visit([this, now](auto& what) { Handle(what, now); }, *next);
        next = ring_.TryPop();
        now = Now();
      }
      core_.Advance(now);
      KeepRegistration(now);
      CarryOut();
      ready_.store(!draining_ && core_.HasUsableTarget(now));
      if (ending_ && core_.jobs() == 0) {
        drained_.Open();
      }
    }
  }

  void Handle(job_submitted& what, instant now) { core_.OnSubmit(what.call, std::move(what.job), what.queue, now); }
  void Handle(caller_left& what, instant now) { core_.OnCallerGone(what.call, now); }
  void Handle(cancel_asked& what, instant now) { answers_.OnCancelled(what.call, core_.OnCancel(what.job_id, now)); }
  void Handle(phase_asked& what, instant /*now*/) { answers_.OnPhase(what.call, core_.PhaseOf(what.job_id)); }
  void Handle(pending_asked& what, instant /*now*/) { answers_.OnPending(what.call, core_.PendingOf(what.queue)); }
  void Handle(session_opened& what, instant now) { core_.OnSessionOpened(what.session, what.agent, now); }
  void Handle(session_closed& what, instant now) { core_.OnSessionClosed(what.session, what.why, now); }
  void Handle(report_arrived& what, instant now) { core_.OnReport(what.session, what.batch, now); }
  void Handle(store_answered& what, instant now) { registration_.OnResult(what.call, what.result, now); }
  void Handle(metrics_asked& what, instant /*now*/) {
    UpdateMetrics();
    what.answer({200, "text/plain; version=0.0.4", metrics_.ToText(), std::nullopt});
  }
  void Handle(drain_requested& /*what*/, instant /*now*/) {
    draining_ = true;
    std::vector<entry_action> calls;
    registration_.Revoke(last_store_call_, calls);
    CallStore(calls);
  }

  void Handle(end_requested& /*what*/, instant /*now*/) { ending_ = true; }

  void UpdateMetrics() {
    for (const std::pair<const run_outcome, std::uint64_t>& item : core_.run_ends()) {
      metrics_.Set(metric::kRunEnds, RunOutcomeName(item.first), static_cast<double>(item.second));
    }
    metrics_.Set(metric::kQueueDepth, "best_effort", static_cast<double>(core_.waiting_tasks()));
    metrics_.Set(metric::kTasksInFlight, "best_effort", static_cast<double>(core_.runs()));
    metrics_.Set(metric::kSessions, "agent", static_cast<double>(core_.fleet().sessions()));
    metrics_.Set(metric::kReady, Ready() ? 1 : 0);
    metrics_.Set(metric::kControlCpu, std::chrono::duration<double>(ProcessCpuTime()).count());
    if (const std::shared_ptr<const queue_table> queues = Queues(); queues) {
      metrics_.Set(metric::kConfigVersion, static_cast<double>(queues->version()));
    }
  }

  void KeepRegistration(instant now) {
    if (demand_.Update(core_.fleet().sessions(), now)) {
      Log(log_level::kInfo, demand_.wanted() ? "agents_wanted" : "agents_suffice",
          {{"sessions", std::to_string(core_.fleet().sessions())}});
      registration_.SetWantsAgents(demand_.wanted(), now);
    }
    std::vector<entry_action> calls;
    registration_.OnTick(now, last_store_call_, calls);
    CallStore(calls);
  }

  void CallStore(const std::vector<entry_action>& calls) {
    for (const entry_action& call : calls) {
      if (const call_store* what = std::get_if<call_store>(&call); what != nullptr) {
        store_->Call(*what);
      }
    }
  }

  void CarryOut() {
    for (const dispatch_action& action : core_.actions()) {
      std::visit([this](const auto& what) { Do(what); }, action);
    }
    core_.ClearActions();
  }

  void Do(const answer_job& what) {
    const std::string_view verdict = JobVerdictName(what.verdict);
    metrics_.Add(metric::kJobs, verdict);
    metrics_.Observe(metric::kResponseTime, verdict, std::chrono::duration<double>(what.response).count());
    if (what.verdict == job_verdict::kRefused) {
      metrics_.Add(metric::kRefusals, ErrorRow(what.why->kind).name);
    }
    answers_.OnJobEnd(what);
  }
  void Do(const send_orders& what) { rpc_->SendToAgent(what.session, what.batch); }
  void Do(const close_agent& what) { rpc_->CloseSession(what.session); }
  static void Do(const note_dispatch& what) {
    log_fields fields{{"detail", what.detail}};
    if (!what.job_id.empty()) {
      fields.emplace_back("job", what.job_id);
    }
    Log(log_level::kInfo, what.what, fields);
  }

  daemon_settings settings_;
  incarnation life_;
  job_answers& answers_;
  bounded_ring<entry_input> ring_;
  dispatch_core core_;
  agent_demand demand_;
  registration registration_;
  std::uint64_t last_store_call_ = 0;
  bool draining_ = false;
  bool ending_ = false;  ///< no more jobs come
  detail::drain_latch drained_;
  std::atomic<bool> ready_{false};
  mutable std::mutex queues_mutex_;
  std::shared_ptr<const queue_table> queues_;
  std::unique_ptr<store_duty> store_;
  std::unique_ptr<entry_rpc> rpc_;
  metrics_registry metrics_;
  std::unique_ptr<http_server> metrics_server_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<best_effort_entry> best_effort_entry::Start(const daemon_settings& settings,
                                                            std::unique_ptr<key_value_store> store,
                                                            job_answers& answers, failure& why) {
  std::unique_ptr<best_effort_entry_impl> started = std::make_unique<best_effort_entry_impl>(settings, answers);
  if (!started->Open(std::move(store), why)) {
    return nullptr;
  }
  return started;
}

}  // namespace bamboowing
