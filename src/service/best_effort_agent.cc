#include "bamboowing/service/best_effort_agent.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <thread>
#include <utility>
#include <variant>

#include "bamboowing/base/ring.h"
#include "bamboowing/entry/directory.h"
#include "bamboowing/entry/store_watcher.h"
#include "bamboowing/service/agent_rpc.h"
#include "bamboowing/service/clock.h"
#include "bamboowing/service/log.h"
#include "bamboowing/service/store_client.h"
#include "drain_latch.h"

namespace bamboowing {
namespace {

constexpr std::size_t kRingCapacity = 2048;
constexpr duration kLongestWait = std::chrono::seconds(1);
constexpr duration kHeartbeat = std::chrono::milliseconds(150);
constexpr duration kSilenceLimit = std::chrono::milliseconds(900);
constexpr duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr duration kBackoffMin = std::chrono::milliseconds(30);
constexpr duration kBackoffMax = std::chrono::milliseconds(800);
// Short, so that runs of a lost agent or a silent target are soon done elsewhere; renewed several times within it.
constexpr duration kLease = std::chrono::milliseconds(700);
constexpr duration kDirectoryWait = std::chrono::seconds(10);
constexpr duration kDirectoryRetry = std::chrono::milliseconds(500);
// The target is on the same machine. The times cover a slow processor, not a distance. An order that was only slow is
// found by the look that follows, so a short time costs little; a long one costs a job its objective when an order is
// lost.
constexpr duration kOrderTimeout = std::chrono::milliseconds(30);
constexpr duration kHoldTimeout = std::chrono::milliseconds(200);

struct session_opened {
  std::string address;
};
struct session_closed {
  std::string address;
  std::string why;
};
struct orders_arrived {
  std::string address;
  entry_batch batch;
};
struct target_announced {
  target_life life;
  std::string address;
  target_description target;
  std::optional<target_time> clock;
};
struct target_left {
  std::string id;
};
struct start_answered {
  std::uint64_t call = 0;
  order_answer answer;
};
struct stop_answered {
  std::uint64_t call = 0;
  order_answer answer;
};
struct hold_answered {
  std::uint64_t call = 0;
  hold_answer answer;
};
struct directory_changed {
  std::uint64_t call = 0;
  directory_update update;
};
struct drain_requested {};
using agent_input = std::variant<session_opened, session_closed, orders_arrived, target_announced, target_left,
                                 start_answered, stop_answered, hold_answered, directory_changed, drain_requested>;

// A later life of the agent must use a higher token. The time of day usually is; when the clock was set back, the
// refusals of the target raise the token.
std::uint64_t FirstToken() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
}

run_keeper_settings KeeperSettings(const daemon_settings& settings) {
  run_keeper_settings keeper;
  keeper.agent.id = settings.id;
  keeper.agent.life = RandomNumber();
  keeper.agent.failure_domain = settings.failure_domain;
  keeper.agent.heartbeat_interval = kHeartbeat;
  keeper.agent.idle_heartbeat_interval = kHeartbeat;
  keeper.agent.silence_limit = kSilenceLimit;
  keeper.agent.connect_timeout = kConnectTimeout;
  keeper.agent.backoff_min = kBackoffMin;
  keeper.agent.backoff_max = kBackoffMax;
  keeper.first_token = FirstToken();
  keeper.lease = std::min(settings.best_effort.lease, kLease);
  return keeper;
}

entry_settings DirectorySettings() {
  entry_settings settings;
  settings.watch_wait = kDirectoryWait;
  settings.watch_retry = kDirectoryRetry;
  return settings;
}

class best_effort_agent_impl final : public best_effort_agent, public agent_rpc_listener {
 public:
  best_effort_agent_impl(const daemon_settings& settings, target_opener open)
      : settings_(settings),
        open_(std::move(open)),
        ring_(kRingCapacity),
        core_(KeeperSettings(settings), RandomNumber(), Now()),
        watcher_(DirectorySettings()) {}

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
    store_ = store_duty::Open(std::move(store), {[](std::uint64_t, const store_result&) {},
                                                 [this](std::uint64_t call, directory_update update) {
                                                   ring_.Push(directory_changed{call, std::move(update)});
                                                 }});
    rpc_ = agent_rpc::Open(settings_.id, *this);
    thread_ = std::thread([this] { Run(); });
  }

  void Announce(target_life life, std::string address, target_description target,
                std::optional<target_time> clock) override {
    ring_.Push(target_announced{std::move(life), std::move(address), std::move(target), clock});
  }
  void Leave(std::string id) override { ring_.Push(target_left{std::move(id)}); }

  void Drain() override { ring_.Push(drain_requested{}); }
  bool WaitDrained(duration limit) override { return drained_.WaitFor(limit); }

  void OnSessionOpened(std::string address) override { ring_.Push(session_opened{std::move(address)}); }
  void OnSessionClosed(std::string address, std::string why) override {
    ring_.Push(session_closed{std::move(address), std::move(why)});
  }
  void OnEntryBatch(std::string address, entry_batch batch) override {
    ring_.Push(orders_arrived{std::move(address), std::move(batch)});
  }

 private:
  void Run() {
    LearnEntries(Now());
    while (!ring_.closed()) {
      const instant before = Now();
      const std::optional<instant> core_due = core_.next_wakeup();
      const instant due = std::min(core_due.value_or(before + kLongestWait), watcher_.next_wakeup());
      std::optional<agent_input> next = ring_.PopFor(std::clamp(due - before, duration(0), kLongestWait));
      instant now = Now();
      while (next) {
        std::visit([this, now](auto& what) { Handle(what, now); }, *next);
        next = ring_.TryPop();
        now = Now();
      }
      core_.Advance(now);
      WatchDirectory(now);
      CarryOut();
      if (core_.drained()) {
        drained_.Open();
      }
    }
  }

  void Handle(session_opened& what, instant now) {
    Log(log_level::kInfo, "session_opened", {{"entry", what.address}});
    core_.OnSessionOpened(what.address, now);
  }
  void Handle(session_closed& what, instant now) { core_.OnSessionClosed(what.address, what.why, now); }
  void Handle(orders_arrived& what, instant now) { core_.OnBatch(what.address, what.batch, now); }
  void Handle(target_announced& what, instant now) {
    if (target_ == nullptr || what.address != target_address_) {
      target_ = open_(what.address);
      target_address_ = what.address;
    }
    if (target_ == nullptr) {
      Log(log_level::kWarning, "target_address_malformed", {{"address", what.address}});
      return;
    }
    core_.OnTarget(what.life, what.target, what.clock, now);
  }
  void Handle(target_left& what, instant now) { core_.OnTargetLeft(what.id, now); }
  void Handle(start_answered& what, instant now) { core_.OnStartAnswer(what.call, what.answer, now); }
  void Handle(stop_answered& what, instant now) { core_.OnStopAnswer(what.call, what.answer, now); }
  void Handle(hold_answered& what, instant now) { core_.OnHoldAnswer(what.call, what.answer, now); }
  void Handle(directory_changed& what, instant now) {
    if (!watcher_.OnResult(what.call, what.update, now) || !what.update.answered) {
      return;
    }
    directory_.Apply(what.update);
    LearnEntries(now);
  }

  void LearnEntries(instant now) {
    std::vector<entry_place> entries;
    // An entry whose registration has lapsed may live: it stays a candidate, in the failure domain that it had.
    for (const std::string& seed : settings_.entries) {
      entries.push_back({seed, domains_[seed], false});
    }
    for (const std::pair<const std::string, entry_identity>& item : directory_.entries()) {
      domains_[item.second.peers_address] = item.second.failure_domain;
      entries.push_back({item.second.peers_address, item.second.failure_domain, item.second.wants_agents});
    }
    core_.OnEntries(entries, now);
  }

  void Handle(drain_requested& /*what*/, instant now) { core_.OnDrain(now); }

  void WatchDirectory(instant now) {
    std::vector<entry_action> calls;
    watcher_.OnTick(now, last_store_call_, calls);
    for (const entry_action& call : calls) {
      if (const call_store* what = std::get_if<call_store>(&call); what != nullptr) {
        store_->Call(*what);
      }
    }
  }

  void CarryOut() {
    for (const run_action& action : core_.actions()) {
      std::visit([this](const auto& what) { Do(what); }, action);
    }
    core_.ClearActions();
  }

  void Do(const send_batch& what) { rpc_->Send(what.peer, what.batch); }
  void Do(const open_session& what) { rpc_->OpenSession(what.address); }
  void Do(const close_session& what) { rpc_->CloseSession(what.address); }
  void Do(const call_start& what) {
    target_->Start(what.order, kOrderTimeout, [this, call = what.call](order_answer answer) {
      ring_.Push(start_answered{call, answer});
    });
  }
  void Do(const call_stop& what) {
    target_->Stop(what.order, kOrderTimeout, [this, call = what.call](order_answer answer) {
      ring_.Push(stop_answered{call, answer});
    });
  }
  void Do(const call_hold& what) {
    target_->Hold(what.order, kHoldTimeout, [this, call = what.call](hold_answer answer) {
      ring_.Push(hold_answered{call, std::move(answer)});
    });
  }
  static void Do(const note_decision& what) {
    log_fields fields{{"detail", what.detail}};
    if (!what.job_id.empty()) {
      fields.emplace_back("job", what.job_id);
    }
    Log(log_level::kInfo, what.what, fields);
  }

  daemon_settings settings_;
  target_opener open_;
  bounded_ring<agent_input> ring_;
  run_keeper core_;
  store_watcher watcher_;
  directory directory_;
  std::map<std::string, std::string> domains_;  ///< failure domain by address of an entry that was registered
  std::uint64_t last_store_call_ = 0;
  detail::drain_latch drained_;
  std::string target_address_;
  std::unique_ptr<leased_target> target_;
  std::unique_ptr<store_duty> store_;
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
