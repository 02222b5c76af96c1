#include "bamboowing/service/best_effort_agent.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <thread>
#include <utility>
#include <variant>

#include "bamboowing/base/ring.h"
#include "bamboowing/besteffort/target_record.h"
#include "bamboowing/entry/directory.h"
#include "bamboowing/entry/leased_record.h"
#include "bamboowing/entry/store_watcher.h"
#include "bamboowing/service/agent_rpc.h"
#include "bamboowing/service/clock.h"
#include "bamboowing/service/log.h"
#include "bamboowing/service/pause_log.h"
#include "bamboowing/service/store_client.h"
#include "drain_latch.h"

namespace bamboowing {
namespace {

constexpr std::size_t kRingCapacity = 2048;
constexpr duration kMaxWait = std::chrono::seconds(1);
constexpr duration kHeartbeatInterval = std::chrono::milliseconds(150);
constexpr duration kSilenceLimit = std::chrono::milliseconds(900);
constexpr duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr duration kBackoffMin = std::chrono::milliseconds(30);
constexpr duration kBackoffMax = std::chrono::milliseconds(800);
// A short lease lets runs of a lost agent or an unresponsive target be retried on other targets soon. It is renewed
// several times before it expires.
constexpr duration kMaxLease = std::chrono::milliseconds(700);
// A smaller capacity of a target binds 3 s after its next announcement is due; 100 ms of them are left for the
// execution of a start request.
constexpr duration kCapacityTolerance = std::chrono::milliseconds(2900);
constexpr duration kDirectoryWait = std::chrono::seconds(10);
constexpr duration kDirectoryRetry = std::chrono::milliseconds(500);
// The record of the target outlasts the start requests of a process that has ended, 12 s, and a missed renewal.
constexpr duration kRecordLease = std::chrono::seconds(20);
constexpr duration kRecordRenewInterval = std::chrono::seconds(5);
constexpr duration kRecordRetry = std::chrono::milliseconds(250);
// Longest wait of an exit for the removal of the record.
constexpr duration kRecordRemovalLimit = std::chrono::milliseconds(200);
// The target is on the same machine: the timeouts allow for a slow CPU, not for network latency. A short request
// timeout costs little, since the poll that follows finds a request that was only slow. A long one makes a job miss its
// objective when a request is lost.
constexpr duration kRequestTimeout = std::chrono::milliseconds(30);
constexpr duration kPollTimeout = std::chrono::milliseconds(200);

struct session_opened {
  std::string address;
};
struct session_closed {
  std::string address;
  std::string reason;
};
struct requests_received {
  std::string address;
  entry_batch batch;
};
struct report_acknowledged {
  std::string address;
  instant sent_at;
};
struct target_announced {
  target_incarnation incarnation;
  target_description target;
  std::optional<target_time> clock;
};
struct target_left {
  std::string id;
};
struct start_request_completed {
  std::uint64_t request_id = 0;
  request_response response;
};
struct stop_request_completed {
  std::uint64_t request_id = 0;
  request_response response;
};
struct poll_request_completed {
  std::uint64_t request_id = 0;
  poll_response response;
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
struct drain_requested {};
using agent_input =
    std::variant<session_opened, session_closed, requests_received, report_acknowledged, target_announced, target_left,
                 start_request_completed, stop_request_completed, poll_request_completed, directory_changed,
                 store_result_received, evacuation_changed, drain_requested>;

// Each incarnation of the agent must use a higher fencing token than the one before. The wall clock in milliseconds
// usually gives one; if the clock was set back, the target's refusals raise the token.
std::uint64_t InitialToken() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
}

run_manager_settings RunManagerSettings(const daemon_settings& settings) {
  run_manager_settings manager;
  manager.agent.id = settings.id;
  manager.agent.incarnation = RandomNumber();
  manager.agent.failure_domain = settings.failure_domain;
  manager.agent.heartbeat_interval = kHeartbeatInterval;
  manager.agent.idle_heartbeat_interval = kHeartbeatInterval;
  manager.agent.silence_limit = kSilenceLimit;
  manager.agent.connect_timeout = kConnectTimeout;
  manager.agent.backoff_min = kBackoffMin;
  manager.agent.backoff_max = kBackoffMax;
  manager.first_token = InitialToken();
  manager.lease = std::min(settings.best_effort.lease, kMaxLease);
  manager.max_lease = settings.best_effort.lease;
  manager.evacuation = settings.best_effort.evacuation;
  manager.record_target = true;
  manager.max_capacity_age = settings.best_effort.announcement_interval + kCapacityTolerance;
  return manager;
}

leased_record_settings RecordSettings(const daemon_settings& settings) {
  return {std::string(kTargetsPrefix) + settings.id, kRecordLease, kRecordRenewInterval, kRecordRetry};
}

entry_settings WatcherSettings() {
  entry_settings settings;
  settings.watch_prefix = kEntriesPrefix;
  settings.watch_wait = kDirectoryWait;
  settings.watch_retry_delay = kDirectoryRetry;
  return settings;
}

class best_effort_agent_impl final : public best_effort_agent, public agent_rpc_listener {
 public:
  best_effort_agent_impl(const daemon_settings& settings, target_opener open)
      : settings_(settings),
        open_target_(std::move(open)),
        ring_(kRingCapacity),
        core_(RunManagerSettings(settings), RandomNumber(), Now()),
        watcher_(WatcherSettings()),
        record_(RecordSettings(settings)) {}

  best_effort_agent_impl(const best_effort_agent_impl&) = delete;
  best_effort_agent_impl& operator=(const best_effort_agent_impl&) = delete;

  ~best_effort_agent_impl() override {
    ring_.Close();
    if (thread_.joinable()) {
      thread_.join();
    }
    rpc_.reset();
    store_.reset();
    target_.reset();
  }

  void Open(std::unique_ptr<key_value_store> store) {
    store_ = store_client::Open(std::move(store), {[this](std::uint64_t call, store_result result) {
                                                     ring_.Push(store_result_received{call, std::move(result)});
                                                   },
                                                   [this](std::uint64_t call, directory_update update) {
                                                     ring_.Push(directory_changed{call, std::move(update)});
                                                   }});
    rpc_ = agent_rpc::Open(settings_.id, *this);
    thread_ = std::thread([this] { Run(); });
  }

  void OnTargetAnnounced(target_incarnation incarnation, target_description target,
                         std::optional<target_time> clock) override {
    ring_.Push(target_announced{std::move(incarnation), std::move(target), clock});
  }
  void OnTargetLeft(std::string id) override { ring_.Push(target_left{std::move(id)}); }

  void SetEvacuation(evacuation_state state) override { ring_.Push(evacuation_changed{std::move(state)}); }

  void Drain() override { ring_.Push(drain_requested{}); }
  bool WaitDrained(duration limit) override { return drained_.WaitFor(limit); }

  void OnSessionOpened(std::string address) override { ring_.Push(session_opened{std::move(address)}); }
  void OnSessionClosed(std::string address, std::string reason) override {
    ring_.Push(session_closed{std::move(address), std::move(reason)});
  }
  void OnEntryBatch(std::string address, entry_batch batch) override {
    ring_.Push(requests_received{std::move(address), std::move(batch)});
  }
  void OnBatchAcknowledged(std::string address, instant sent_at) override {
    // The loop looks at the contact with its entries whenever it wakes. A lost acknowledgement is followed by another
    // one.
    ring_.TryPushQuietly(report_acknowledged{std::move(address), sent_at});
  }

 private:
  void Run() {
    UpdateEntries(Now());
    while (!ring_.closed()) {
      const instant before = Now();
      const std::optional<instant> core_due = core_.next_wakeup();
      const instant due = std::min({core_due.value_or(before + kMaxWait), watcher_.next_wakeup(), record_.next_wakeup(),
                                    next_record_read_, exit_at_.value_or(instant::max())});
      std::optional<agent_input> next = ring_.PopFor(std::clamp(due - before, duration(0), kMaxWait));
      pause_log_.OnRound(kMaxWait);
      instant now = Now();
      while (next) {
        std::visit([this, now](auto& alternative) { Handle(alternative, now); }, *next);
        next = ring_.TryPop();
        now = Now();
      }
      core_.Advance(now);
      WatchDirectory(now);
      ExecuteActions();
      MaintainRecord(now);
      if (core_.drained()) {
        Leave(now);
      }
    }
  }

  void Handle(session_opened& input, instant now) {
    Log(log_level::kInfo, "session_opened", {{"entry", input.address}});
    core_.OnSessionOpened(input.address, now);
  }
  void Handle(session_closed& input, instant now) { core_.OnSessionClosed(input.address, input.reason, now); }
  void Handle(requests_received& input, instant now) { core_.OnBatch(input.address, input.batch, now); }
  void Handle(report_acknowledged& input, instant now) {
    core_.OnReportAcknowledged(input.address, input.sent_at, now);
  }
  void Handle(target_announced& input, instant now) {
    const std::string& address = input.incarnation.address;
    if (address != target_address_ && open_target_(address) == nullptr) {
      Log(log_level::kWarning, "target_address_malformed", {{"address", address}});
      return;
    }
    core_.OnTargetAnnounced(input.incarnation, input.target, input.clock, now);
  }
  void Handle(target_left& input, instant now) { core_.OnTargetLeft(input.id, now); }
  void Handle(start_request_completed& input, instant now) {
    core_.OnStartResponse(input.request_id, input.response, now);
  }
  void Handle(stop_request_completed& input, instant now) {
    core_.OnStopResponse(input.request_id, input.response, now);
  }
  void Handle(poll_request_completed& input, instant now) {
    core_.OnPollResponse(input.request_id, input.response, now);
  }
  void Handle(directory_changed& input, instant now) {
    if (!watcher_.OnResult(input.call, input.update, now) || !input.update.answered) {
      return;
    }
    directory_.Apply(input.update);
    UpdateEntries(now);
  }

  void Handle(store_result_received& input, instant now) {
    if (input.call == record_removal_) {
      exit_at_ = now;
      return;
    }
    if (input.call != record_read_) {
      record_.OnResult(input.call, input.result, now);
      if (record_.IsWritten()) {
        core_.OnTargetRecorded(now);
      }
      return;
    }
    record_read_ = 0;
    if (input.result.outcome == store_outcome::kUnavailable) {
      next_record_read_ = now + kRecordRetry;
      return;
    }
    const std::optional<target_incarnation> recorded =
        input.result.value ? ParseTargetRecord(*input.result.value) : std::nullopt;
    if (input.result.value && (!recorded || open_target_(recorded->address) == nullptr)) {
      Log(log_level::kWarning, "target_record_malformed", {{"detail", "the target is known when it announces itself"}});
      return;
    }
    if (recorded && input.result.lease != 0) {
      record_.Adopt(*input.result.value, input.result.lease, now);
    } else if (recorded) {
      record_.Set(*input.result.value, now);
    }
    core_.OnRecordedTarget(recorded, now);
  }

  /// Lets the process exit. If it leaves no start that may be executed, its record is removed before: nobody need wait
  /// for an agent that does not return.
  void Leave(instant now) {
    if (!exit_at_) {
      exit_at_ = now;
      std::vector<entry_action> calls;
      if (core_.LeavesNoStarts(now)) {
        record_.Revoke(last_store_call_, calls);
      }
      for (const entry_action& call : calls) {
        exit_at_ = now + kRecordRemovalLimit;
        record_removal_ = last_store_call_;
        store_->Call(std::get<call_store>(call));
      }
    }
    if (now >= *exit_at_) {
      drained_.Open();
    }
  }

  /// Reads the record of an earlier process once, and writes and renews that of this one.
  void MaintainRecord(instant now) {
    if (now >= next_record_read_) {
      next_record_read_ = instant::max();
      record_read_ = ++last_store_call_;
      store_->Call(call_store{record_read_, store_read{0, RecordSettings(settings_).key}});
    }
    std::vector<entry_action> calls;
    record_.OnTick(now, last_store_call_, calls);
    for (const entry_action& call : calls) {
      store_->Call(std::get<call_store>(call));
    }
  }

  void UpdateEntries(instant now) {
    std::vector<entry_endpoint> entries;
    // An entry whose registration has expired may still be running: a configured entry stays a candidate, with the last
    // failure domain that it registered.
    for (const std::string& seed : settings_.entries) {
      entries.push_back({seed, failure_domains_[seed], false});
    }
    for (const std::pair<const std::string, entry_identity>& item : directory_.entries()) {
      failure_domains_[item.second.peers_address] = item.second.failure_domain;
      entries.push_back({item.second.peers_address, item.second.failure_domain, item.second.wants_agents});
    }
    core_.OnEntries(entries, now);
  }

  void Handle(evacuation_changed& input, instant now) { core_.OnEvacuation(input.state, now); }
  void Handle(drain_requested& /*input*/, instant now) { core_.OnDrain(now); }

  void WatchDirectory(instant now) {
    std::vector<entry_action> calls;
    watcher_.OnTick(now, last_store_call_, calls);
    for (const entry_action& call : calls) {
      if (const call_store* store_call = std::get_if<call_store>(&call); store_call != nullptr) {
        store_->Call(*store_call);
      }
    }
  }

  void ExecuteActions() {
    for (const run_action& action : core_.actions()) {
      std::visit([this](const auto& alternative) { Execute(alternative); }, action);
    }
    core_.ClearActions();
  }

  void Execute(const send_batch& action) { rpc_->Send(action.peer, action.batch); }
  void Execute(const open_session& action) { rpc_->OpenSession(action.address); }
  void Execute(const close_session& action) { rpc_->CloseSession(action.address); }
  void Execute(const send_start_request& action) {
    target_->Start(action.request, kRequestTimeout, [this, request_id = action.request_id](request_response response) {
      ring_.Push(start_request_completed{request_id, response});
    });
  }
  void Execute(const send_stop_request& action) {
    target_->Stop(action.request, kRequestTimeout, [this, request_id = action.request_id](request_response response) {
      ring_.Push(stop_request_completed{request_id, response});
    });
  }
  void Execute(const send_poll_request& action) {
    target_->Poll(action.request, kPollTimeout, [this, request_id = action.request_id](poll_response response) {
      ring_.Push(poll_request_completed{request_id, std::move(response)});
    });
  }
  void Execute(const use_target& action) {
    target_ = open_target_(action.address);
    target_address_ = action.address;
  }
  void Execute(const record_target& action) { record_.Set(FormatTargetRecord(action.target), Now()); }
  static void Execute(const log_run_event& action) {
    log_fields fields{{"detail", action.detail}};
    if (!action.job_id.empty()) {
      fields.emplace_back("job", action.job_id);
    }
    Log(log_level::kInfo, action.event, fields);
  }

  daemon_settings settings_;
  target_opener open_target_;
  bounded_ring<agent_input> ring_;
  run_manager core_;
  store_watcher watcher_;
  directory directory_;
  std::map<std::string, std::string> failure_domains_;  ///< by peers_address, also of expired registrations
  leased_record record_;
  std::uint64_t record_read_ = 0;  ///< pending read of the record; 0 if none
  instant next_record_read_;
  std::uint64_t record_removal_ = 0;  ///< call that removes the record when the process exits; 0 if none
  std::optional<instant> exit_at_;    ///< when the process may exit, once it has drained
  std::uint64_t last_store_call_ = 0;
  pause_log pause_log_;
  detail::drain_latch drained_;
  std::string target_address_;
  std::unique_ptr<leased_target> target_;
  std::unique_ptr<store_client> store_;
  std::unique_ptr<agent_rpc> rpc_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<best_effort_agent> best_effort_agent::Start(const daemon_settings& settings,
                                                            std::unique_ptr<key_value_store> store,
                                                            target_opener open) {
  std::unique_ptr<best_effort_agent_impl> started = std::make_unique<best_effort_agent_impl>(settings, std::move(open));
  started->Open(std::move(store));
  return started;
}

}  // namespace bamboowing
