#include "bamboowing/entry/entry_core.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace bamboowing {
namespace {

instant At(std::int64_t ms) { return instant(std::chrono::milliseconds(ms)); }

constexpr std::string_view kTeamsChanged = "{services: [{name: line}], teams: [{name: crew, weight: 2}]}";
constexpr std::string_view kAgentDrained =
    "{services: [{name: line}], teams: [{name: crew}], drains: {targets: [agent-2]}}";

/// An entry with sessions of three agents, driven in virtual time.
class EntryCore : public testing::Test {
 protected:
  EntryCore() : core_(MakeSettings(), 1, At(0)) {
    for (session_id session = 1; session <= 3; ++session) {
      core_.OnSessionOpened(session, "agent-" + std::to_string(session), At(0));
      agent_batch batch;
      batch.header.sender = "agent-" + std::to_string(session);
      batch.header.incarnation = 100 + session;
      batch.header.sent_at = At(1);
      batch.target = target_announcement{"line", "hobart", 8, false};
      core_.OnAgentBatch(session, batch, At(0));
    }
    Run(At(1));
  }

  static entry_settings MakeSettings() {
    entry_settings settings;
    settings.self = {"entry-1", 7, "127.0.0.1:1", "hobart"};
    return settings;
  }

  /// Advances and returns the actions.
  std::vector<entry_action> Run(instant now) {
    core_.Advance(now);
    std::vector<entry_action> actions(core_.actions().begin(), core_.actions().end());
    core_.ClearActions();
    for (const entry_action& action : actions) {
      const call_store* call = std::get_if<call_store>(&action);
      if (call != nullptr && std::holds_alternative<store_watch>(call->call)) {
        watch_ = call->id;
      }
    }
    return actions;
  }

  std::vector<entry_action> ApplyConfig(config_version version, std::string_view text, instant now) {
    directory_update update;
    update.answered = true;
    update.revision = version;
    update.items.push_back({std::string(kConfigKey), std::string(text), version});
    core_.OnWatchResult(watch_, update, now);
    return Run(now);
  }

  static std::vector<session_id> SentTo(const std::vector<entry_action>& actions) {
    std::vector<session_id> sessions;
    for (const entry_action& action : actions) {
      if (const send_to_agent* send = std::get_if<send_to_agent>(&action); send != nullptr) {
        sessions.push_back(send->session);
      }
    }
    return sessions;
  }

  static const caller_reply* ReplyTo(const std::vector<entry_action>& actions, call_id call) {
    for (const entry_action& action : actions) {
      const answer_call* answer = std::get_if<answer_call>(&action);
      if (answer != nullptr && answer->call == call) {
        return &answer->reply;
      }
    }
    return nullptr;
  }

  static caller_request MakeCall(const std::string& job_id) {
    caller_request call;
    call.job.job_id = job_id;
    call.job.team = "crew";
    call.job.service = "line";
    call.job.deadline = std::chrono::seconds(2);
    call.job.tasks.resize(1);
    call.wait_limit = std::chrono::seconds(7);
    return call;
  }

  entry_core core_;
  std::uint64_t watch_ = 0;
};

// Guards against a configuration change that sends a message to every agent.
TEST_F(EntryCore, ConfigurationIsSentOnlyToAffectedAgents) {
  EXPECT_TRUE(SentTo(ApplyConfig(5, kTeamsChanged, At(2))).empty());
  EXPECT_EQ(core_.intent().version(), 5U);
  EXPECT_EQ(SentTo(ApplyConfig(6, kAgentDrained, At(3))), std::vector<session_id>{2});
}

// Guards against a configuration that is reverted by a delayed answer of the store.
TEST_F(EntryCore, IgnoresOlderDocument) {
  ApplyConfig(6, kAgentDrained, At(2));
  ApplyConfig(5, kTeamsChanged, At(3));
  EXPECT_EQ(core_.intent().version(), 6U);
}

// Guards against an entry that accepts calls before it has received the configuration.
TEST_F(EntryCore, IsReadyOnlyAfterTheStoreAnswered) {
  EXPECT_FALSE(core_.ready());
  ApplyConfig(1, kTeamsChanged, At(2));
  EXPECT_TRUE(core_.ready());
  core_.OnDrain(At(3));
  EXPECT_FALSE(core_.ready());
}

// Guards against a refusal that claims "not run" for a job that an earlier copy of the call may have started.
TEST_F(EntryCore, RefusalBeforeTheLookupSaysUnknownForNamedJobs) {
  core_.OnCall(1, MakeCall("named"), At(2));
  core_.OnCall(2, MakeCall(""), At(2));
  EXPECT_EQ(ReplyTo(Run(At(3)), 1), nullptr);
  const std::vector<entry_action> actions = Run(At(2600));
  const caller_reply* named = ReplyTo(actions, 1);
  const caller_reply* generated = ReplyTo(actions, 2);
  ASSERT_TRUE(named != nullptr && named->error);
  ASSERT_TRUE(generated != nullptr && generated->error);
  EXPECT_EQ(named->error->kind, error_kind::kNotReady);
  EXPECT_EQ(named->error->not_run, not_run_state::kUnknown);
  EXPECT_EQ(generated->error->not_run, not_run_state::kYes);
  core_.OnDrain(At(2700));
  core_.OnCall(3, MakeCall("named"), At(2701));
  const std::vector<entry_action> refused = Run(At(2702));
  ASSERT_NE(ReplyTo(refused, 3), nullptr);
  EXPECT_EQ(ReplyTo(refused, 3)->error->not_run, not_run_state::kUnknown);
}

// Guards against a dead connection that stays in use: an idle session is closed after three missed heartbeats.
TEST_F(EntryCore, ClosesASilentSessionOnce) {
  std::vector<session_id> closed;
  for (std::int64_t ms = 100; ms <= 60'000; ms += 100) {
    for (const entry_action& action : Run(At(ms))) {
      if (const close_agent_session* close = std::get_if<close_agent_session>(&action); close != nullptr) {
        closed.push_back(close->session);
      }
    }
  }
  std::sort(closed.begin(), closed.end());
  EXPECT_EQ(closed, (std::vector<session_id>{1, 2, 3}));
}

}  // namespace
}  // namespace bamboowing
