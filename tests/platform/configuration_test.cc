#include "configuration.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace bamboowing::platform {
namespace {

using nlohmann::json;

json Configuration() {
  return {{"version", 7},
          {"routes",
           {{{"name", "checks"},
             {"host", "jobs.example"},
             {"prefix", "/checks/"},
             {"backend", "inspect"},
             {"priority", 1},
             {"max_attempts", 3},
             {"slack_factor", 1.6},
             {"target_latency_ms", 60}}}}};
}

// Guards against a configuration that the entry refuses although it follows the format.
TEST(Configuration, IsRead) {
  failure error;
  const std::shared_ptr<const queue_table> read = ParseConfiguration(Configuration().dump(), error);
  ASSERT_TRUE(read) << error.reason;
  EXPECT_EQ(read->version(), 7U);
  ASSERT_EQ(read->rules().size(), 1U);
  EXPECT_EQ(read->rules()[0].max_attempts, 3U);
  EXPECT_EQ(read->rules()[0].target_latency, std::chrono::milliseconds(60));
}

// Guards against a version that wraps to a large one, after which every later configuration counts as older.
TEST(Configuration, WithAValueOutOfRangeIsRefused) {
  const std::vector<std::pair<std::string, json>> odd = {{"version", -1},  {"version", 1e300}, {"version", 1.5},
                                                         {"version", "8"}, {"routes", 7},      {"routes", {7}}};
  for (const std::pair<std::string, json>& change : odd) {
    json fields = Configuration();
    fields[change.first] = change.second;
    failure error;
    EXPECT_EQ(ParseConfiguration(fields.dump(), error), nullptr) << change.first << " " << change.second;
  }
  const std::vector<std::pair<std::string, json>> odd_routes = {
      {"priority", -1},      {"priority", 4294967296},  {"max_attempts", -1},
      {"max_attempts", 1.5}, {"slack_factor", 1e300},   {"slack_factor", -1},
      {"prefix", 7},         {"target_latency_ms", -1}, {"target_latency_ms", 9223372036854775807},
      {"backend", nullptr}};
  for (const std::pair<std::string, json>& change : odd_routes) {
    json fields = Configuration();
    fields["routes"][0][change.first] = change.second;
    failure error;
    EXPECT_EQ(ParseConfiguration(fields.dump(), error), nullptr) << change.first << " " << change.second;
    EXPECT_NE(error.reason.find(change.first), std::string::npos) << error.reason;
  }
}

// Guards against a stack overflow or an exception for bytes that are not a configuration.
TEST(Configuration, OfBytesThatCannotBeReadIsRefused) {
  const std::string deep = std::string(400'000, '[') + std::string(400'000, ']');
  for (const std::string& document : {std::string(), std::string("\xff"), std::string("[]"), deep,
                                      R"({"version":8,"routes":[{"name":)" + deep + "}]}"}) {
    failure error;
    EXPECT_EQ(ParseConfiguration(document, error), nullptr);
    EXPECT_FALSE(error.reason.empty());
  }
}

}  // namespace
}  // namespace bamboowing::platform
