#include <algorithm>
#include <atomic>
#include <set>
#include <thread>
#include <utility>
#include <variant>

#include "bamboowing/base/ring.h"
#include "bamboowing/entry/entry_core.h"
#include "bamboowing/intent/document.h"
#include "bamboowing/service/caller_api.h"
#include "bamboowing/service/clock.h"
#include "bamboowing/service/daemon.h"
#include "bamboowing/service/entry_rpc.h"
#include "bamboowing/service/event_log.h"
#include "bamboowing/service/log.h"
#include "bamboowing/service/pause_log.h"
#include "bamboowing/service/store_client.h"
#include "bamboowing/transport/http_server.h"
#include "drain_latch.h"
#include "open_calls.h"
#include "operator_service.h"

namespace bamboowing::detail {
namespace {

constexpr std::size_t kRingCapacity = 4096;
// Few clients connect here, and the descriptors of the machine are needed for callers.
constexpr std::size_t kMaxOperatorConnections = 256;
constexpr duration kMaxWait = std::chrono::seconds(1);

struct call_received {
  call_id call;
  caller_request request;
};
struct session_opened {
  session_id session;
  std::string agent;
};
struct session_closed {
  session_id session;
  std::string reason;
};
struct batch_received {
  session_id session;
  agent_batch batch;
};
struct relay_request_received {
  relay_id relay;
  relay_request request;
};
struct relay_reply_received {
  relay_id relay;
  std::optional<relay_reply> reply;
};
struct store_result_received {
  std::uint64_t call;
  store_result result;
};
struct directory_updated {
  std::uint64_t call;
  directory_update result;
};
struct operator_call {
  call_id call;
  http_request request;
};
struct drain_requested {};
using entry_input =
    std::variant<call_received, session_opened, session_closed, batch_received, relay_request_received,
                 relay_reply_received, store_result_received, directory_updated, operator_call, drain_requested>;

class entry_daemon final : public daemon, public entry_rpc_listener {
 public:
  explicit entry_daemon(const daemon_settings& settings)
      : settings_(settings),
        incarnation_(RandomNumber()),
        ring_(kRingCapacity),
        events_({settings.id, incarnation_, "entry", settings.failure_domain}, settings.events_file),
        core_(MakeSettings(), RandomNumber(), Now()) {}

  entry_daemon(const entry_daemon&) = delete;
  entry_daemon& operator=(const entry_daemon&) = delete;

  ~entry_daemon() override {
    if (caller_server_) {
      caller_server_->Close();
    }
    if (operator_server_) {
      operator_server_->Close();
    }
    ring_.Close();
    if (thread_.joinable()) {
      thread_.join();
    }
    rpc_.reset();
    store_.reset();
  }

  bool Start(failure& error) {
    store_ = store_client::Open(settings_.store_address,
                                {[this](std::uint64_t call, store_result result) {
                                   ring_.Push(store_result_received{call, std::move(result)});
                                 },
                                 [this](std::uint64_t call, directory_update result) {
                                   ring_.Push(directory_updated{call, std::move(result)});
                                 }},
                                error);
    if (!store_) {
      return false;
    }
    rpc_ = entry_rpc::Open(settings_.peers_address, *this, error);
    if (!rpc_) {
      return false;
    }
    thread_ = std::thread([this] { Run(); });
    http_limits limits;
    limits.max_body_bytes = settings_.max_body_bytes;
    limits.max_open_requests = settings_.max_open_calls;
    // Each open call of a caller that does not pipeline has a connection of its own.
    limits.max_connections = std::max<std::size_t>(limits.max_connections, settings_.max_open_calls);
    caller_server_ = http_server::Open(
        settings_.callers_address,
        [this](const http_request& request, http_server::responder answer) { HandleHttp(request, std::move(answer)); },
        limits, error);
    if (!caller_server_) {
      return false;
    }
    if (!settings_.operators_address.empty() && !StartOperatorServer(limits, error)) {
      return false;
    }
    Log(log_level::kInfo, "listening",
        {{"callers_address", settings_.callers_address}, {"peers_address", settings_.peers_address}});
    return true;
  }

  void Drain() override { ring_.Push(drain_requested{}); }
  bool WaitDrained(duration limit) override { return drained_.WaitFor(limit); }

  void OnSessionOpened(session_id session, std::string agent) override {
    ring_.Push(session_opened{session, std::move(agent)});
  }
  void OnSessionClosed(session_id session, std::string reason) override {
    ring_.Push(session_closed{session, std::move(reason)});
  }
  bool OnAgentBatch(session_id session, agent_batch batch) override {
    ring_.Push(batch_received{session, std::move(batch)});
    return true;
  }
  void OnRelayRequest(relay_id id, relay_request request) override {
    ring_.Push(relay_request_received{id, std::move(request)});
  }
  void OnRelayReply(relay_id id, std::optional<relay_reply> reply) override {
    ring_.Push(relay_reply_received{id, std::move(reply)});
  }
  // Shard leaders decide which jobs run, so there are no claims.
  void OnClaimRequest(claim_call_id id, claim_request /*request*/) override { rpc_->ReplyClaims(id, {}); }
  void OnClaimReply(std::uint64_t /*exchange*/, std::optional<claim_reply> /*reply*/) override {}

 private:
  entry_settings MakeSettings() const {
    entry_settings entry;
    entry.self = {settings_.id, incarnation_, settings_.peers_address, settings_.failure_domain};
    return entry;
  }

  bool StartOperatorServer(http_limits limits, failure& error) {
    limits.max_connections = kMaxOperatorConnections;
    std::optional<std::string> token = ReadToken(settings_.operators_token_file, error);
    if (!token) {
      return false;
    }
    operator_server_ = http_server::Open(
        settings_.operators_address,
        [this, token = std::move(*token)](const http_request& request, http_server::responder answer) {
          HandleOperator(token, request, std::move(answer));
        },
        limits, error);
    return operator_server_ != nullptr;
  }

  void Run() {
    while (!ring_.closed()) {
      const instant before = Now();
      const std::optional<instant> due = core_.next_wakeup();
      const duration wait = due ? std::clamp(*due - before, duration(0), kMaxWait) : kMaxWait;
      std::optional<entry_input> next = ring_.PopFor(wait);
      pause_log_.OnRound(kMaxWait);
      instant now = Now();
      while (next) {
        std::visit([this, now](auto& alternative) { Handle(alternative, now); }, *next);
        next = ring_.TryPop();
        // An input that arrived during this loop must not get a timestamp before that of its cause in another process.
        now = Now();
      }
      core_.Advance(now);
      ExecuteActions();
      ready_.store(core_.ready());
      body_limit_.store(core_.intent().document().limits.body_bytes);
      if (core_.drained()) {
        drained_.Open();
      }
    }
  }

  void Handle(call_received& input, instant now) {
    RecordCall(input, now);
    core_.OnCall(input.call, std::move(input.request), now);
  }
  void Handle(session_opened& input, instant now) { core_.OnSessionOpened(input.session, std::move(input.agent), now); }
  void Handle(session_closed& input, instant now) {
    Log(log_level::kInfo, "session_closed", {{"session", std::to_string(input.session)}, {"reason", input.reason}});
    core_.OnSessionClosed(input.session, now);
  }
  void Handle(batch_received& input, instant now) { core_.OnAgentBatch(input.session, input.batch, now); }
  void Handle(relay_request_received& input, instant now) {
    core_.OnRelayRequest(input.relay, std::move(input.request), now);
  }
  void Handle(relay_reply_received& input, instant now) {
    core_.OnRelayReply(input.relay, std::move(input.reply), now);
  }
  void Handle(store_result_received& input, instant now) {
    core_.OnStoreResult(input.call, std::move(input.result), now);
  }
  void Handle(directory_updated& input, instant now) { core_.OnWatchResult(input.call, input.result, now); }
  void Handle(operator_call& input, instant now) { operator_service_.Handle(input.call, input.request, now); }
  void Handle(drain_requested&, instant now) { core_.OnDrain(now); }

  void ExecuteActions() {
    for (const entry_action& action : core_.actions()) {
      std::visit([this](const auto& alternative) { Execute(alternative); }, action);
    }
    core_.ClearActions();
  }

  void Execute(const send_to_agent& action) { rpc_->SendToAgent(action.session, action.batch); }
  void Execute(const close_agent_session& action) { rpc_->CloseSession(action.session); }
  void Execute(const answer_call& action) {
    RecordAnswer(action);
    operator_service_.CountReply(action.reply);
    calls_.Answer(action.call, action.reply);
  }
  void Execute(const answer_relay& action) { rpc_->ReplyRelay(action.relay, action.reply); }
  void Execute(const send_relay& action) { rpc_->SendRelay(action.relay, action.address, action.request); }
  void Execute(const abandon_relay& action) { rpc_->AbandonRelay(action.relay); }
  void Execute(const call_store& action) { store_->Call(action); }
  void Execute(const config_write_result& action) { operator_service_.FinishWrite(action); }
  void Execute(const record_entry_event& action) { events_.Record(action.record); }

  void RecordCall(const call_received& input, instant now) {
    if (input.request.verb != caller_verb::kSubmit) {
      return;
    }
    event received;
    received.kind = event_kind::kCallReceived;
    received.at = now;
    received.job_id = input.request.job.job_id;
    received.number = input.call;
    received.count = static_cast<std::int64_t>(input.request.job.tasks.size());
    received.idempotent = input.request.job.idempotent;
    events_.Record(std::move(received));
    unanswered_submissions_.insert(input.call);
  }

  void RecordAnswer(const answer_call& answer) {
    if (unanswered_submissions_.erase(answer.call) == 0) {
      return;
    }
    event answered;
    answered.kind = event_kind::kCallAnswered;
    answered.at = Now();
    answered.job_id = answer.reply.job_id;
    answered.number = answer.call;
    if (answer.reply.error) {
      answered.error = answer.reply.error->kind;
      answered.not_run = answer.reply.error->not_run;
    }
    // An answer sent before the job ends has no results; it must not be counted as a partial answer.
    if (answer.reply.error || answer.reply.state == job_state::kComplete) {
      answered.count = static_cast<std::int64_t>(answer.reply.results.size());
    }
    events_.Record(std::move(answered));
  }

  void HandleHttp(const http_request& request, http_server::responder answer) {
    if (request.method == "GET" && request.path == "/healthz") {
      answer({200, "application/json", R"({"status":"ok"})", std::nullopt});
      return;
    }
    if (request.method == "GET" && request.path == "/readyz") {
      if (ready_.load()) {
        answer({200, "application/json", R"({"status":"ready"})", std::nullopt});
      } else {
        answer(
            ErrorResponse(failure(error_kind::kNotReady, "the entry has not read the store yet or is shutting down")));
      }
      return;
    }
    if (request.method == "GET" && request.path == "/metrics") {
      PushOperatorCall(request, std::move(answer));
      return;
    }
    failure error;
    if (request.body.size() > body_limit_.load()) {
      error = failure(error_kind::kTooLarge,
                      "the request body exceeds the limit of " + std::to_string(body_limit_.load()) + " bytes");
      answer(ErrorResponse(error));
      return;
    }
    std::optional<caller_request> call = ParseCall(request, error);
    if (!call) {
      answer(ErrorResponse(error));
      return;
    }
    const call_id id = calls_.Add(*call, std::move(answer));
    if (!ring_.TryPush(call_received{id, std::move(*call)})) {
      caller_reply refused;
      refused.error = failure(error_kind::kOverloaded, not_run_state::kUnknown, "the input queue of the entry is full");
      calls_.Answer(id, refused);
    }
  }

  /// Runs on threads of the HTTP server. Only calls that need the core state are passed to the core thread.
  void HandleOperator(const std::string& token, const http_request& request, http_server::responder answer) {
    if (std::optional<http_response> at_once = AnswerWithoutState(token, request); at_once) {
      answer(std::move(*at_once));
      return;
    }
    if (request.path == "/operator/v1/events") {
      answer(AnswerEvents(request, events_));
      return;
    }
    PushOperatorCall(request, std::move(answer));
  }

  void PushOperatorCall(const http_request& request, http_server::responder answer) {
    const call_id id = operator_service_.Add(std::move(answer));
    if (!ring_.TryPush(operator_call{id, request})) {
      operator_service_.Answer(id,
                               ErrorResponse(failure(error_kind::kOverloaded, "the input queue of the entry is full")));
    }
  }

  daemon_settings settings_;
  incarnation_id incarnation_;
  bounded_ring<entry_input> ring_;
  event_log events_;
  entry_core core_;
  operator_service operator_service_{core_, events_};
  open_calls calls_;
  std::set<call_id> unanswered_submissions_;  ///< calls with a call_received event and no answer yet
  pause_log pause_log_;
  drain_latch drained_;
  std::atomic<bool> ready_{false};
  std::atomic<std::uint64_t> body_limit_{intent_document().limits.body_bytes};  ///< from the current configuration
  std::unique_ptr<store_client> store_;
  std::unique_ptr<entry_rpc> rpc_;
  std::unique_ptr<http_server> caller_server_;
  std::unique_ptr<http_server> operator_server_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<daemon> StartEntry(const daemon_settings& settings, failure& error) {
  std::unique_ptr<entry_daemon> started = std::make_unique<entry_daemon>(settings);
  if (!started->Start(error)) {
    return nullptr;
  }
  return started;
}

}  // namespace bamboowing::detail
