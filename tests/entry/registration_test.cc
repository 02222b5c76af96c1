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

// Guards against an entry that takes itself as listed after its lease may have ended, or from before it was listed
// again: the others may have gone on without it.
TEST_F(RegistrationTest, IsListedUntilLeaseMayHaveEnded) {
  EXPECT_FALSE(registered.Listed());
  RunCalls(3);
  ASSERT_TRUE(registered.Listed());
  const instant since = now;
  const duration lease = Settings().lease_time;
  EXPECT_EQ(registered.Listed()->since, since);
  EXPECT_LT(registered.Listed()->until, since + lease);
  EXPECT_GT(registered.Listed()->until, since + lease / 2);
  now += Settings().renew_interval;
  RunCalls(1);
  EXPECT_EQ(registered.Listed()->since, since);
  EXPECT_GT(registered.Listed()->until, now + lease / 2);
  // The lease has ended.
  now += Settings().renew_interval;
  std::vector<entry_action> out;
  registered.OnTick(now, last_call, out);
  ASSERT_EQ(out.size(), 1U);
  store_result gone;
  gone.outcome = store_outcome::kLeaseGone;
  registered.OnResult(last_call, gone, now);
  EXPECT_LE(registered.Listed()->until, now);
  RunCalls(3);
  EXPECT_EQ(registered.Listed()->since, now);
  registered.Revoke(last_call, out);
  EXPECT_FALSE(registered.Listed());
}

}  // namespace
}  // namespace bamboowing
