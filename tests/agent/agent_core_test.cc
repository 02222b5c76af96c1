#include "bamboowing/agent/agent_core.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace bamboowing {
namespace {

constexpr instant kStart{std::chrono::seconds(1000)};

agent_settings Settings() {
  agent_settings settings;
  settings.id = "agent-1";
  settings.life = 7;
  settings.entries = {"127.0.0.1:7001"};
  return settings;
}

// Guards against an agent that never connects or does not announce its target on a new session.
TEST(AgentCore, ConnectsAndAnnounces) {
  agent_core agent(Settings(), 1, kStart);
  agent.OnTargetAnnounced({"defects", "hobart", 8, false}, kStart);
  agent.OnTick(kStart + std::chrono::seconds(1));
  const span<const agent_action> opened = agent.actions();
  EXPECT_TRUE(std::any_of(opened.begin(), opened.end(),
                          [](const agent_action& a) { return std::holds_alternative<open_session>(a); }));
  agent.ClearActions();
  agent.OnSessionOpened("127.0.0.1:7001", kStart + std::chrono::seconds(1));
  const send_batch* sent = nullptr;
  for (const agent_action& action : agent.actions()) {
    if (std::holds_alternative<send_batch>(action)) {
      sent = &std::get<send_batch>(action);
    }
  }
  ASSERT_NE(sent, nullptr);
  ASSERT_TRUE(sent->batch.target.has_value());
  EXPECT_EQ(sent->batch.target->slots, 8U);
}

}  // namespace
}  // namespace bamboowing
