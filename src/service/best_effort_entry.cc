#include "bamboowing/service/best_effort_entry.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <utility>
#include <variant>

#include "bamboowing/base/ring.h"
#include "bamboowing/besteffort/agent_demand.h"
#include "bamboowing/claims/registrar_quorum.h"
#include "bamboowing/claims/view_maintainer.h"
#include "bamboowing/entry/directory.h"
#include "bamboowing/entry/registration.h"
#include "bamboowing/entry/store_watcher.h"
#include "bamboowing/observe/metrics.h"
#include "bamboowing/service/clock.h"
#include "bamboowing/service/entry_rpc.h"
#include "bamboowing/service/log.h"
#include "bamboowing/service/pause_log.h"
#include "bamboowing/service/store_client.h"
#include "bamboowing/transport/http_server.h"
#include "drain_latch.h"

namespace bamboowing {
namespace {

constexpr std::size_t kRingCapacity = 2048;
// Few clients connect here, and the machine is needed for callers.
constexpr std::size_t kMaxMetricsConnections = 256;
constexpr std::size_t kMaxMetricsBytes = 4U << 20U;
constexpr duration kMaxWait = std::chrono::seconds(1);
constexpr duration kRegistrationLease = std::chrono::seconds(5);
constexpr duration kRegistrationRenewInterval = std::chrono::milliseconds(1500);
// Part of the grace period after the last answer: it is transmitted, the remaining runs are stopped, and the process
// exits.
constexpr duration kExitReserve = std::chrono::seconds(1);
// Time for the other members to remove a draining entry from the view, before they have to find out that it is gone.
constexpr duration kLeaveLimit = std::chrono::milliseconds(500);
// Time for agents to report the runs that were stopped with the last answer.
constexpr duration kStopWait = std::chrono::milliseconds(300);
// Agents take the reply to a report as contact. If the decision thread has not made a round for this long, they get
// none, so that they stop the runs of an entry that no longer answers its callers.
constexpr duration kStalledAfter = std::chrono::milliseconds(400);
constexpr duration kDirectoryWait = std::chrono::seconds(10);
constexpr duration kDirectoryRetry = std::chrono::milliseconds(500);
// A target on which all tasks fail is ejected for this time; afterwards it gets a single task at first.
constexpr duration kFirstEjectionTime = std::chrono::seconds(2);

struct job_submitted {
  call_id call = 0;
  best_effort_job job;
  queue_rule queue;
};
struct caller_disconnected {
  call_id call = 0;
};
struct cancel_requested {
  call_id call = 0;
  std::string job_id;
};
struct phase_requested {
  call_id call = 0;
  std::string job_id;
};
struct pending_requested {
  call_id call = 0;
  std::string queue;
};
struct session_opened {
  session_id session = 0;
  std::string agent;
};
struct session_closed {
  session_id session = 0;
  std::string reason;
};
struct report_received {
  session_id session = 0;
  agent_batch batch;
};
struct claim_request_received {
  claim_call_id id = 0;
  claim_request request;
};
struct claim_reply_received {
  std::uint64_t exchange = 0;
  std::optional<claim_reply> reply;
};
struct directory_changed {
  std::uint64_t call = 0;
  directory_update update;
};
struct store_result_received {
  std::uint64_t call = 0;
  store_result result;
};
struct evacuation_changed {
  evacuation_state state;
};
struct metrics_requested {
  http_server::responder answer;
};
struct drain_requested {};
struct finish_requested {};
using entry_input = std::variant<job_submitted, caller_disconnected, cancel_requested, phase_requested,
                                 pending_requested, session_opened, session_closed, report_received,
                                 claim_request_received, claim_reply_received, directory_changed, store_result_received,
                                 evacuation_changed, metrics_requested, drain_requested, finish_requested>;

/// Whether the decision thread must wake for the report. Others are handled before its next decision.
bool IsUrgent(const run_report& report) {
  return report.has_target || report.has_inventory || !report.results.empty() || !report.crashes.empty() ||
         !report.unrepeatable.empty();
}

dispatch_core_settings CoreSettings(const daemon_settings& settings, incarnation_id own_incarnation) {
  dispatch_core_settings core;
  core.id = settings.id;
  core.peers_address = settings.peers_address;
  core.own_incarnation = own_incarnation;
  core.lease = settings.best_effort.lease;
  core.stall_limit = kStalledAfter;
  core.health.first_ejection = kFirstEjectionTime;
  core.order = settings.best_effort.order;
  return core;
}

entry_settings RegistrationSettings(const daemon_settings& settings, incarnation_id own_incarnation) {
  entry_settings entry;
  entry.self = {settings.id, own_incarnation, settings.peers_address, settings.failure_domain};
  entry.lease_time = kRegistrationLease;
  entry.renew_interval = kRegistrationRenewInterval;
  return entry;
}

view_maintainer_settings ViewSettings(const daemon_settings& settings, const job_claims& claims) {
  view_maintainer_settings view;
  view.address = settings.peers_address;
  view.change_limit = claims.settings().view_change_limit();
  return view;
}

entry_settings WatcherSettings() {
  entry_settings entry;
  entry.watch_wait = kDirectoryWait;
  entry.watch_retry_delay = kDirectoryRetry;
  return entry;
}

class best_effort_entry_impl final : public best_effort_entry, public entry_rpc_listener {
 public:
  best_effort_entry_impl(const daemon_settings& settings, job_listener& listener)
      : settings_(settings),
        incarnation_(RandomNumber()),
        listener_(listener),
        ring_(kRingCapacity),
        core_(CoreSettings(settings, incarnation_), RandomNumber(), Now()),
        demand_(Now()),
        view_(ViewSettings(settings, core_.claims())),
        registration_(RegistrationSettings(settings, incarnation_)),
        watcher_(WatcherSettings()) {}

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

  bool Open(std::unique_ptr<key_value_store> store, failure& error) {
    store_ = store_client::Open(std::move(store), {[this](std::uint64_t call, store_result result) {
                                                     ring_.Push(store_result_received{call, std::move(result)});
                                                   },
                                                   [this](std::uint64_t call, directory_update update) {
                                                     ring_.Push(directory_changed{call, std::move(update)});
                                                   }});
    rpc_ = entry_rpc::Open(settings_.peers_address, *this, error);
    if (!rpc_) {
      return false;
    }
    thread_ = std::thread([this] { Run(); });
    return settings_.best_effort.metrics_address.empty() || OpenMetrics(error);
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

  void SetEvacuation(evacuation_state state) override { ring_.Push(evacuation_changed{std::move(state)}); }

  void Submit(call_id call, best_effort_job job, queue_rule queue) override {
    ring_.Push(job_submitted{call, std::move(job), std::move(queue)});
  }
  void CallerDisconnected(call_id call) override { ring_.Push(caller_disconnected{call}); }
  void Cancel(call_id call, std::string job_id) override { ring_.Push(cancel_requested{call, std::move(job_id)}); }
  void QueryPhase(call_id call, std::string job_id) override { ring_.Push(phase_requested{call, std::move(job_id)}); }
  void QueryPendingJobs(call_id call, std::string queue) override {
    ring_.Push(pending_requested{call, std::move(queue)});
  }
  bool Ready() const override { return ready_.load() && Queues() != nullptr; }

  void Drain() override { ring_.Push(drain_requested{}); }
  bool WaitDrained(duration limit) override {
    ring_.Push(finish_requested{});
    return drained_.WaitFor(limit);
  }

  void OnSessionOpened(session_id session, std::string agent) override {
    ring_.Push(session_opened{session, std::move(agent)});
  }
  void OnSessionClosed(session_id session, std::string reason) override {
    ring_.Push(session_closed{session, std::move(reason)});
  }
  bool OnAgentBatch(session_id session, agent_batch batch) override {
    const bool quiet = !jobs_wait_.load() && !IsUrgent(batch.runs);
    report_received received{session, std::move(batch)};
    if (!quiet || !ring_.TryPushQuietly(received)) {
      ring_.Push(std::move(received));
    }
    return Now() - instant(duration(last_round_us_.load())) < kStalledAfter;
  }
  void OnRelayRequest(relay_id id, relay_request /*request*/) override {
    relay_reply reply;
    reply.not_leader = true;
    rpc_->ReplyRelay(id, std::move(reply));
  }
  void OnRelayReply(relay_id /*id*/, std::optional<relay_reply> /*reply*/) override {}
  void OnClaimRequest(claim_call_id id, claim_request request) override {
    ring_.Push(claim_request_received{id, std::move(request)});
  }
  void OnClaimReply(std::uint64_t exchange, std::optional<claim_reply> reply) override {
    ring_.Push(claim_reply_received{exchange, std::move(reply)});
  }

 private:
  bool OpenMetrics(failure& error) {
    http_limits limits;
    limits.max_connections = kMaxMetricsConnections;
    limits.max_buffered_bytes = kMaxMetricsBytes;
    metrics_server_ = http_server::Open(
        settings_.best_effort.metrics_address,
        [this](const http_request& request, http_server::responder answer) {
          if (request.method != "GET" || request.path != "/metrics") {
            answer(ErrorResponse(failure(error_kind::kNotFound, not_run_state::kYes, "no such call: " + request.path)));
            return;
          }
          ring_.Push(metrics_requested{std::move(answer)});
        },
        limits, error);
    return metrics_server_ != nullptr;
  }

  void Run() {
    while (!ring_.closed()) {
      const instant before = Now();
      const instant due = std::min({core_.next_wakeup(), registration_.next_wakeup(), watcher_.next_wakeup()});
      std::optional<entry_input> next = ring_.PopFor(std::clamp(due - before, duration(0), kMaxWait));
      pause_log_.OnRound(kMaxWait);
      instant now = Now();
      while (next) {
        std::visit([this, now](auto& alternative) { Handle(alternative, now); }, *next);
        next = ring_.TryPop();
        now = Now();
      }
      core_.Advance(now);
      MaintainRegistration(now);
      WatchDirectory(now);
      MaintainView(now);
      ExecuteActions();
      ready_.store(!draining_ && core_.claims().IsServing(now) && core_.HasAcceptingTarget(now));
      jobs_wait_.store(core_.waiting_tasks() > 0);
      last_round_us_.store(now.time_since_epoch().count());
      if (finishing_ && Drained(now)) {
        drained_.Open();
      }
    }
  }

  /// Whether the process may exit. Runs that an agent has not reported as stopped by then end with their lease.
  bool Drained(instant now) const {
    const bool left = !core_.claims().IsInView() || now >= leave_by_;
    const bool released =
        core_.jobs() == 0 && !core_.claims().has_open_releases() && core_.claims().unanswered_cancels() == 0 && left;
    return released || (core_.unanswered_jobs() == 0 && now >= answer_by_ + kStopWait);
  }

  void Handle(job_submitted& input, instant now) { core_.OnSubmit(input.call, std::move(input.job), input.queue, now); }
  void Handle(caller_disconnected& input, instant now) { core_.OnCallerDisconnected(input.call, now); }
  void Handle(cancel_requested& input, instant now) { core_.OnCancel(input.call, input.job_id, now); }
  void Handle(phase_requested& input, instant /*now*/) { listener_.OnPhase(input.call, core_.PhaseOf(input.job_id)); }
  void Handle(pending_requested& input, instant /*now*/) {
    listener_.OnPending(input.call, core_.PendingJobs(input.queue));
  }
  void Handle(session_opened& input, instant now) { core_.OnSessionOpened(input.session, input.agent, now); }
  void Handle(session_closed& input, instant now) { core_.OnSessionClosed(input.session, input.reason, now); }
  void Handle(report_received& input, instant now) { core_.OnReport(input.session, input.batch, now); }
  void Handle(claim_request_received& input, instant now) {
    rpc_->ReplyClaims(input.id, core_.OnClaimRequest(input.request, now));
  }
  void Handle(claim_reply_received& input, instant now) { core_.OnClaimReply(input.exchange, input.reply, now); }
  void Handle(directory_changed& input, instant now) {
    if (!watcher_.OnResult(input.call, input.update, now) || !input.update.answered) {
      return;
    }
    directory_.Apply(input.update);
    std::vector<std::string> addresses;
    for (const std::pair<const std::string, entry_identity>& item : directory_.entries()) {
      addresses.push_back(item.second.peers_address);
    }
    core_.OnPeers(addresses, now);
    core_.OnAgents({directory_.agents().begin(), directory_.agents().end()}, now);
    view_.OnListed(addresses, now);
    for (const store_item& item : input.update.items) {
      const std::optional<registrar_view> changed =
          item.key == kRegistrarViewKey ? ParseRegistrarView(item.value) : std::nullopt;
      if (changed) {
        core_.OnRegistrarView(*changed, std::nullopt, now);
        core_.OnListedView(changed->number);
      }
    }
  }
  void Handle(store_result_received& input, instant now) {
    if (input.call != view_call_) {
      registration_.OnResult(input.call, input.result, now);
      if (const std::optional<leased_record::listed_time> listed = registration_.Listed(); listed) {
        core_.OnRegistered(listed->since, listed->until);
      }
      return;
    }
    const view_result shown = view_.OnResult(input.result, now);
    if (shown.view) {
      core_.OnRegistrarView(shown.view->view, shown.view->confirmed_at, now);
    } else if (shown.absent) {
      core_.OnNoRegistrarView();
    } else if (!shown.error.empty()) {
      Log(log_level::kError, "registrar_view_malformed", {{"detail", shown.error}});
    }
  }
  void Handle(evacuation_changed& input, instant /*now*/) { core_.OnEvacuation(input.state); }
  void Handle(metrics_requested& input, instant /*now*/) {
    UpdateMetrics();
    input.answer({200, "text/plain; version=0.0.4", metrics_.ToText(), std::nullopt});
  }
  void Handle(drain_requested& /*input*/, instant now) {
    draining_ = true;
    const duration grace = settings_.best_effort.grace;
    answer_by_ = now + std::max(grace - kExitReserve, grace / 2);
    leave_by_ = now + kLeaveLimit;
    core_.OnDrain(answer_by_);
    std::vector<entry_action> calls;
    registration_.Revoke(last_store_call_, calls);
    CallStore(calls);
  }

  void Handle(finish_requested& /*input*/, instant /*now*/) { finishing_ = true; }

  void UpdateMetrics() {
    for (const std::pair<const run_outcome, std::uint64_t>& item : core_.outcome_counts()) {
      metrics_.Set(metric::kRunEnds, RunOutcomeName(item.first), static_cast<double>(item.second));
    }
    for (const std::pair<const std::pair<std::uint32_t, overload_decision>, std::uint64_t>& item :
         core_.overload_counts()) {
      metrics_.Set(
          metric::kOverloadDecisions,
          "priority " + std::to_string(item.first.first) + " " + std::string(OverloadDecisionName(item.first.second)),
          static_cast<double>(item.second));
    }
    const claim_totals& claims = core_.claims().totals();
    metrics_.Set(metric::kClaims, "granted", static_cast<double>(claims.granted));
    metrics_.Set(metric::kClaims, "denied", static_cast<double>(claims.denied));
    metrics_.Set(metric::kClaims, "lapsed", static_cast<double>(claims.lapsed));
    metrics_.Set(metric::kClaims, "unavailable", static_cast<double>(claims.unavailable));
    metrics_.Set(metric::kQueueDepth, "best_effort", static_cast<double>(core_.waiting_tasks()));
    metrics_.Set(metric::kTasksInFlight, "best_effort", static_cast<double>(core_.runs()));
    metrics_.Set(metric::kEvacuatedDomains,
                 static_cast<double>(core_.fleet().evacuation().state().failure_domains.size()));
    metrics_.Set(metric::kSessions, "agent", static_cast<double>(core_.fleet().sessions()));
    metrics_.Set(metric::kReady, Ready() ? 1 : 0);
    metrics_.Set(metric::kControlCpu, std::chrono::duration<double>(ProcessCpuTime()).count());
    if (const std::shared_ptr<const queue_table> queues = Queues(); queues) {
      metrics_.Set(metric::kConfigVersion, static_cast<double>(queues->version()));
    }
  }

  void MaintainRegistration(instant now) {
    if (demand_.Update(core_.fleet().sessions(), now)) {
      Log(log_level::kInfo, demand_.wanted() ? "agents_wanted" : "agents_suffice",
          {{"sessions", std::to_string(core_.fleet().sessions())}});
      registration_.SetWantsAgents(demand_.wanted(), now);
    }
    std::vector<entry_action> calls;
    registration_.OnTick(now, last_store_call_, calls);
    CallStore(calls);
  }

  void WatchDirectory(instant now) {
    std::vector<entry_action> calls;
    watcher_.OnTick(now, last_store_call_, calls);
    CallStore(calls);
  }

  /// Reads or changes the view of the registrars.
  void MaintainView(instant now) {
    const std::optional<view_call> due = view_.NextCall(core_.claims(), now);
    if (!due) {
      return;
    }
    view_call_ = ++last_store_call_;
    call_store call{view_call_, {}};
    std::visit([&call](const auto& alternative) { call.call = alternative; }, *due);
    store_->Call(call);
  }

  void CallStore(const std::vector<entry_action>& calls) {
    for (const entry_action& call : calls) {
      if (const call_store* store_call = std::get_if<call_store>(&call); store_call != nullptr) {
        store_->Call(*store_call);
      }
    }
  }

  void ExecuteActions() {
    for (const dispatch_action& action : core_.actions()) {
      std::visit([this](const auto& alternative) { Execute(alternative); }, action);
    }
    core_.ClearActions();
  }

  void Execute(const answer_job& action) {
    const std::string_view verdict = JobVerdictName(action.verdict);
    metrics_.Add(metric::kJobs, verdict);
    metrics_.Observe(metric::kResponseTime, verdict, std::chrono::duration<double>(action.response_time).count());
    if (action.verdict == job_verdict::kRefused) {
      metrics_.Add(metric::kRefusals, ErrorRow(action.error->kind).name);
    }
    listener_.OnJobResult(action);
  }
  void Execute(const send_run_batch& action) { rpc_->SendToAgent(action.session, action.batch); }
  void Execute(const send_claim_request& action) { rpc_->SendClaims(action.exchange, action.address, action.request); }
  void Execute(const cancel_decided& action) { listener_.OnCancelled(action.call, action.outcome); }
  void Execute(const abandon_claim_request& action) { rpc_->AbandonClaims(action.exchange); }
  void Execute(const close_run_session& action) { rpc_->CloseSession(action.session); }
  static void Execute(const log_dispatch_event& action) {
    log_fields fields{{"detail", action.detail}};
    if (!action.job_id.empty()) {
      fields.emplace_back("job", action.job_id);
    }
    Log(log_level::kInfo, action.event, fields);
  }

  daemon_settings settings_;
  incarnation_id incarnation_;
  job_listener& listener_;
  bounded_ring<entry_input> ring_;
  dispatch_core core_;
  agent_demand demand_;
  view_maintainer view_;
  std::uint64_t view_call_ = 0;  ///< newest call of view_
  registration registration_;
  store_watcher watcher_;
  directory directory_;
  std::uint64_t last_store_call_ = 0;
  bool draining_ = false;
  instant answer_by_;       ///< while draining: when the last job is answered
  instant leave_by_;        ///< while draining: until when the other members may remove this entry from the view
  bool finishing_ = false;  ///< WaitDrained() was called: no further jobs are submitted
  pause_log pause_log_;
  detail::drain_latch drained_;
  std::atomic<bool> ready_{false};
  std::atomic<bool> jobs_wait_{false};          ///< whether a task waits for capacity
  std::atomic<std::int64_t> last_round_us_{0};  ///< time of the newest round of the decision thread
  mutable std::mutex queues_mutex_;
  std::shared_ptr<const queue_table> queues_;
  std::unique_ptr<store_client> store_;
  std::unique_ptr<entry_rpc> rpc_;
  metrics_registry metrics_;
  std::unique_ptr<http_server> metrics_server_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<best_effort_entry> best_effort_entry::Start(const daemon_settings& settings,
                                                            std::unique_ptr<key_value_store> store,
                                                            job_listener& listener, failure& error) {
  std::unique_ptr<best_effort_entry_impl> started = std::make_unique<best_effort_entry_impl>(settings, listener);
  if (!started->Open(std::move(store), error)) {
    return nullptr;
  }
  return started;
}

}  // namespace bamboowing
