#include "bamboowing/evacuation/evacuation_view.h"

#include <gtest/gtest.h>

namespace bamboowing {
namespace {

// Guards against a process that starts tasks before it knows whether its failure domain is evacuated.
TEST(evacuation_view, IsUnknownUntilAStateArrives) {
  evacuation_view view;
  EXPECT_FALSE(view.known());
  EXPECT_EQ(view.Merge({0, {"a"}}), evacuation_change::kNone);
  EXPECT_FALSE(view.known());
  EXPECT_EQ(view.Merge({5, {}}), evacuation_change::kLearned);
  EXPECT_TRUE(view.known());
  EXPECT_FALSE(view.Contains("a"));
  EXPECT_EQ(view.set_version(), 1U);
}

// Guards against a late message that reopens an evacuated failure domain, or closes one whose evacuation has ended.
TEST(evacuation_view, IgnoresOlderStates) {
  evacuation_view view;
  view.Merge({10, {"a", "b"}});
  EXPECT_EQ(view.Merge({9, {}}), evacuation_change::kNone);
  EXPECT_TRUE(view.Contains("a"));
  EXPECT_EQ(view.Merge({12, {"b"}}), evacuation_change::kReplaced);
  EXPECT_EQ(view.Merge({10, {"a", "b"}}), evacuation_change::kNone);
  EXPECT_FALSE(view.Contains("a"));
  EXPECT_TRUE(view.Contains("b"));
  EXPECT_EQ(view.Describe(), "b");
}

// Guards against messages to all processes for each call to the store that shows no change.
TEST(evacuation_view, CountsOnlyChangesOfTheSet) {
  evacuation_view view;
  view.Merge({10, {"a"}});
  const std::uint64_t before = view.set_version();
  EXPECT_EQ(view.Merge({20, {"a"}}), evacuation_change::kNone);
  EXPECT_EQ(view.set_version(), before);
  // The newer revision still protects against states from before it.
  EXPECT_EQ(view.Merge({15, {}}), evacuation_change::kNone);
  EXPECT_TRUE(view.Contains("a"));
}

}  // namespace
}  // namespace bamboowing
