#include "bamboowing/entry/registration.h"

#include <gtest/gtest.h>

namespace bamboowing {
namespace {

class RegistrationTest : public testing::Test {
 protected:
  static entry_settings Settings() {
    entry_settings settings;
    settings.self = {"entry-a", 7, "10.0.0.1:7000", "zone", false};
    return settings;
  }

  // Runs up to @p calls store calls of the registration, all of which succeed. Returns the value written last.
  std::string RunCalls(int calls) {
    std::string written;
    for (int i = 0; i < calls; ++i) {
      std::vector<entry_action> out;
      registered.OnTick(now, last_call, out);
      for (const entry_action& action : out) {
        const call_store& call = std::get<call_store>(action);
        if (const store_swap* swap = std::get_if<store_swap>(&call.call); swap != nullptr) {
          written = swap->value;
        }
        store_result result;
        result.outcome = store_outcome::kOk;
        result.lease = 3;
        registered.OnResult(call.id, result, now);
      }
    }
    return written;
  }

  instant now{std::chrono::seconds(1000)};
  std::uint64_t last_call = 0;
  registration registered{Settings()};
};

// Guards against a change of wants_agents that is not written until the registration is created again.
TEST_F(RegistrationTest, WritesAgainWhenItWantsAgents) {
  const std::optional<entry_identity> first = ParseRegistration(RunCalls(4));
  ASSERT_TRUE(first);
  EXPECT_FALSE(first->wants_agents);
  EXPECT_EQ(RunCalls(4), "") << "nothing has changed";
  registered.SetWantsAgents(true, now);
  const std::optional<entry_identity> second = ParseRegistration(RunCalls(4));
  ASSERT_TRUE(second);
  EXPECT_TRUE(second->wants_agents);
  EXPECT_EQ(second->peers_address, "10.0.0.1:7000");
  registered.SetWantsAgents(true, now);
  EXPECT_EQ(RunCalls(4), "");
}

}  // namespace
}  // namespace bamboowing
