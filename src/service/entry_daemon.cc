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
#include "bamboowing/service/store_client.h"
#include "bamboowing/transport/http_server.h"
#include "drain_latch.h"
#include "open_calls.h"
#include "operator_service.h"

namespace bamboowing::detail {
namespace {

constexpr std::size_t kRingCapacity = 4096;
constexpr duration kMaxWait = std::chrono::seconds(1);

struct call_arrived {
  call_id call;
  caller_request request;
};
struct session_opened {
  session_id session;
  std::string agent;
};
struct session_closed {
  session_id session;
  std::string why;
};
struct batch_arrived {
  session_id session;
  agent_batch batch;
};
struct relay_arrived {
  relay_id relay;
  relay_request request;
};
struct relay_ended {
  relay_id relay;
  std::optional<relay_reply> reply;
};
struct store_answered {
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
using entry_input = std::variant<call_arrived, session_opened, session_closed, batch_arrived, relay_arrived,
                                 relay_ended, store_answered, directory_updated, operator_call, drain_requested>;

class entry_daemon final : public daemon, public entry_rpc_listener {
 public:
  explicit entry_daemon(const daemon_settings& settings)
      : settings_(settings),
        life_(RandomNumber()),
        ring_(kRingCapacity),
        events_({settings.id, life_, "entry", settings.failure_domain}, settings.events_file),
        core_(MakeSettings(), RandomNumber(), Now()) {}

  entry_daemon(const entry_daemon&) = delete;
  entry_daemon& operator=(const entry_daemon&) = delete;

  ~entry_daemon() override {
    if (callers_) {
      callers_->Close();
    }
    if (operators_) {
      operators_->Close();
    }
    ring_.Close();
    if (thread_.joinable()) {
      thread_.join();
    }
    rpc_.reset();
    store_.reset();
  }

  bool Start(failure& why) {
    store_ = store_duty::Open(settings_.store_address,
                              {[this](std::uint64_t call, store_result result) {
                                 ring_.Push(store_answered{call, std::move(result)});
                               },
                               [this](std::uint64_t call, directory_update result) {
                                 ring_.Push(directory_updated{call, std::move(result)});
                               }},
                              why);
    if (!store_) {
      return false;
    }
    rpc_ = entry_rpc::Open(settings_.peers_address, *this, why);
    if (!rpc_) {
      return false;
    }
    thread_ = std::thread([this] { Run(); });
    http_limits limits;
    limits.body_bytes = settings_.max_body_bytes;
    limits.open_requests = settings_.max_open_calls;
    callers_ = http_server::Open(
        settings_.callers_address,
        [this](const http_request& request, http_server::responder answer) { HandleHttp(request, std::move(answer)); },
        limits, why);
    if (!callers_) {
      return false;
    }
    if (!settings_.operators_address.empty() && !StartOperators(limits, why)) {
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
  void OnSessionClosed(session_id session, std::string why) override {
    ring_.Push(session_closed{session, std::move(why)});
  }
  void OnAgentBatch(session_id session, agent_batch batch) override {
    ring_.Push(batch_arrived{session, std::move(batch)});
  }
  void OnRelayRequest(relay_id id, relay_request request) override {
    ring_.Push(relay_arrived{id, std::move(request)});
  }
  void OnRelayReply(relay_id id, std::optional<relay_reply> reply) override {
    ring_.Push(relay_ended{id, std::move(reply)});
  }

 private:
  entry_settings MakeSettings() const {
    entry_settings entry;
    entry.self = {settings_.id, life_, settings_.peers_address, settings_.failure_domain};
    return entry;
  }

  bool StartOperators(const http_limits& limits, failure& why) {
    std::optional<std::string> token = ReadToken(settings_.operators_token_file, why);
    if (!token) {
      return false;
    }
    operators_ = http_server::Open(
        settings_.operators_address,
        [this, token = std::move(*token)](const http_request& request, http_server::responder answer) {
          HandleOperator(token, request, std::move(answer));
        },
        limits, why);
    return operators_ != nullptr;
  }

  void Run() {
    while (!ring_.closed()) {
      const instant before = Now();
      const std::optional<instant> due = core_.next_wakeup();
      const duration wait = due ? std::clamp(*due - before, duration(0), kMaxWait) : kMaxWait;
      std::optional<entry_input> next = ring_.PopFor(wait);
      instant now = Now();
      while (next) {
        std::visit([this, now](auto& what) { Handle(what, now); }, *next);
        next = ring_.TryPop();
        // An input that arrived during this loop must not be dated before its cause at another process.
        now = Now();
      }
      core_.Advance(now);
      CarryOut();
      ready_.store(core_.ready());
      body_limit_.store(core_.intent().document().limits.body_bytes);
      if (core_.drained()) {
        drained_.Open();
      }
    }
  }

  void Handle(call_arrived& what, instant now) {
    RecordCall(what, now);
    core_.OnCall(what.call, std::move(what.request), now);
  }
  void Handle(session_opened& what, instant now) { core_.OnSessionOpened(what.session, std::move(what.agent), now); }
  void Handle(session_closed& what, instant now) {
    Log(log_level::kInfo, "session_closed", {{"session", std::to_string(what.session)}, {"reason", what.why}});
    core_.OnSessionClosed(what.session, now);
  }
  void Handle(batch_arrived& what, instant now) { core_.OnAgentBatch(what.session, what.batch, now); }
  void Handle(relay_arrived& what, instant now) { core_.OnRelayRequest(what.relay, std::move(what.request), now); }
  void Handle(relay_ended& what, instant now) { core_.OnRelayReply(what.relay, std::move(what.reply), now); }
  void Handle(store_answered& what, instant now) { core_.OnStoreResult(what.call, std::move(what.result), now); }
  void Handle(directory_updated& what, instant now) { core_.OnWatchResult(what.call, what.result, now); }
  void Handle(operator_call& what, instant now) { operator_service_.Handle(what.call, what.request, now); }
  void Handle(drain_requested&, instant now) { core_.OnDrain(now); }

  void CarryOut() {
    for (const entry_action& action : core_.actions()) {
      std::visit([this](const auto& what) { Do(what); }, action);
    }
    core_.ClearActions();
  }

  void Do(const send_to_agent& what) { rpc_->SendToAgent(what.session, what.batch); }
  void Do(const close_agent_session& what) { rpc_->CloseSession(what.session); }
  void Do(const answer_call& what) {
    RecordAnswer(what);
    operator_service_.Observe(what.reply);
    calls_.Answer(what.call, what.reply);
  }
  void Do(const answer_relay& what) { rpc_->ReplyRelay(what.relay, what.reply); }
  void Do(const send_relay& what) { rpc_->SendRelay(what.relay, what.address, what.request); }
  void Do(const abandon_relay& what) { rpc_->AbandonRelay(what.relay); }
  void Do(const call_store& what) { store_->Call(what); }
  void Do(const config_write_result& what) { operator_service_.FinishWrite(what); }
  void Do(const record_entry_event& what) { events_.Record(what.what); }

  void RecordCall(const call_arrived& what, instant now) {
    if (what.request.verb != caller_verb::kSubmit) {
      return;
    }
    event received;
    received.kind = event_kind::kCallReceived;
    received.at = now;
    received.job_id = what.request.job.job_id;
    received.number = what.call;
    received.count = static_cast<std::int64_t>(what.request.job.tasks.size());
    received.idempotent = what.request.job.idempotent;
    events_.Record(std::move(received));
    submissions_.insert(what.call);
  }

  void RecordAnswer(const answer_call& what) {
    if (submissions_.erase(what.call) == 0) {
      return;
    }
    event answered;
    answered.kind = event_kind::kCallAnswered;
    answered.at = Now();
    answered.job_id = what.reply.job_id;
    answered.number = what.call;
    if (what.reply.error) {
      answered.error = what.reply.error->kind;
      answered.ran = what.reply.error->ran;
    }
    // An answer that leaves before the job ends carries no results, which is not a partial answer.
    if (what.reply.error || what.reply.state == job_state::kComplete) {
      answered.count = static_cast<std::int64_t>(what.reply.results.size());
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
        answer(ErrorResponse(failure(error_kind::kNotReady, "the entry has not seen the store or is shutting down")));
      }
      return;
    }
    if (request.method == "GET" && request.path == "/metrics") {
      PushOperatorCall(request, std::move(answer));
      return;
    }
    failure why;
    if (request.body.size() > body_limit_.load()) {
      why = failure(error_kind::kTooLarge, "the limit is " + std::to_string(body_limit_.load()) + " bytes");
      answer(ErrorResponse(why));
      return;
    }
    std::optional<caller_request> call = ParseCall(request, why);
    if (!call) {
      answer(ErrorResponse(why));
      return;
    }
    const call_id id = calls_.Add(*call, std::move(answer));
    if (!ring_.TryPush(call_arrived{id, std::move(*call)})) {
      caller_reply refused;
      refused.error = failure(error_kind::kOverloaded, not_run::kUnknown, "too many calls are waiting to be read");
      calls_.Answer(id, refused);
    }
  }

  /// Runs on threads of the HTTP server. Only what needs the decisions' state goes to their thread.
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
      operator_service_.Answer(id, ErrorResponse(failure(error_kind::kOverloaded, "the entry is overloaded")));
    }
  }

  daemon_settings settings_;
  incarnation life_;
  bounded_ring<entry_input> ring_;
  event_log events_;
  entry_core core_;
  operator_service operator_service_{core_, events_};
  open_calls calls_;
  std::set<call_id> submissions_;  ///< calls with a call_received event that were not answered
  drain_latch drained_;
  std::atomic<bool> ready_{false};
  std::atomic<std::uint64_t> body_limit_{intent_document().limits.body_bytes};  ///< from the configuration in force
  std::unique_ptr<store_duty> store_;
  std::unique_ptr<entry_rpc> rpc_;
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> operators_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<daemon> StartEntry(const daemon_settings& settings, failure& why) {
  std::unique_ptr<entry_daemon> started = std::make_unique<entry_daemon>(settings);
  if (!started->Start(why)) {
    return nullptr;
  }
  return started;
}

}  // namespace bamboowing::detail
