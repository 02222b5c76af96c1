#include "operator_keys.h"

#include <gtest/gtest.h>

namespace bamboowing::platform {
namespace {

prefix_update Complete(std::uint64_t revision, const std::vector<key_value>& items) {
  return {true, revision, items, {}};
}

// Guards against an older version of the configuration that replaces a newer one.
TEST(configuration_reader, ReturnsOnlyNewerVersions) {
  configuration_reader reader;
  EXPECT_EQ(reader.Apply(Complete(5, {{"op/config", "first", 4}, {"op/evacuate/a", "", 5}})), "first");
  EXPECT_EQ(reader.Apply(Complete(6, {{"op/config", "first", 4}})), std::nullopt);
  const std::vector<key_value> changed = {{"op/config", "second", 8}};
  EXPECT_EQ(reader.Apply({false, 8, changed, {}}), "second");
  EXPECT_EQ(reader.Apply(Complete(9, {{"op/config", "first", 4}})), std::nullopt);
}

// Guards against an evacuation or its end that is missed, also when the history of the store was discarded in between.
TEST(evacuation_reader, FollowsCreationAndDeletion) {
  evacuation_reader reader;
  std::optional<evacuation_state> state = reader.Apply(Complete(3, {{"op/config", "", 2}}));
  ASSERT_TRUE(state) << "the first update shows that there is no evacuation";
  EXPECT_EQ(state->revision, 3U);
  EXPECT_TRUE(state->failure_domains.empty());
  const std::vector<key_value> created = {{"op/evacuate/b", "x", 4}, {"op/evacuate/a", "", 5}};
  state = reader.Apply({false, 5, created, {}});
  ASSERT_TRUE(state);
  EXPECT_EQ(state->failure_domains, std::vector<std::string>({"a", "b"}));
  const std::vector<std::string> deleted = {"op/evacuate/b", "op/evacuate/unknown"};
  state = reader.Apply({false, 9, {}, deleted});
  ASSERT_TRUE(state);
  EXPECT_EQ(state->revision, 9U);
  EXPECT_EQ(state->failure_domains, std::vector<std::string>({"a"}));
  state = reader.Apply(Complete(20, {{"op/evacuate/c", "", 15}}));
  ASSERT_TRUE(state);
  EXPECT_EQ(state->failure_domains, std::vector<std::string>({"c"}));
}

// Guards against a state that another process has replaced meanwhile and that a later listing does not restore.
TEST(evacuation_reader, ReturnsTheNewRevisionOfAnUnchangedSet) {
  evacuation_reader reader;
  ASSERT_TRUE(reader.Apply(Complete(3, {{"op/evacuate/a", "", 2}})));
  const std::optional<evacuation_state> state = reader.Apply(Complete(7, {{"op/evacuate/a", "", 6}}));
  ASSERT_TRUE(state);
  EXPECT_EQ(state->revision, 7U);
}

// Guards against keys that evacuate nothing.
TEST(evacuation_reader, IgnoresOtherKeys) {
  evacuation_reader reader;
  ASSERT_TRUE(reader.Apply(Complete(3, {{"op/evacuate/a", "", 2}})));
  const std::vector<key_value> others = {{"op/evacuate/", "", 8}, {"op/evacuated/b", "", 8}, {"op/wave/1", "", 8}};
  EXPECT_FALSE(reader.Apply({false, 8, others, {}}));
}

}  // namespace
}  // namespace bamboowing::platform
