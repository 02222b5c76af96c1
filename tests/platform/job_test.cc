#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "callers.h"

namespace bamboowing::platform {
namespace {

using nlohmann::json;

json Job() {
  return {{"spec", "x"},
          {"best_effort", true},
          {"steps",
           {{{"count", 4}, {"cpu", 500}, {"mem_mb", 256}, {"estimate_ms", 900.5}},
            {{"count", 2}, {"after", {0}}, {"anti_affinity", 1}}}}};
}

// Guards against a job that is refused although it follows the format.
TEST(Job, IsRead) {
  failure error;
  const std::optional<best_effort_job> read = ParseJob("j", Job().dump(), error);
  ASSERT_TRUE(read.has_value()) << error.reason;
  ASSERT_EQ(read->steps.size(), 2U);
  EXPECT_EQ(read->steps[0].estimate, std::chrono::milliseconds(900));
  EXPECT_EQ(read->steps[1].after, std::vector<std::uint32_t>{0});
}

// Guards against a request that is served with another number than the caller wrote.
TEST(Job, WithAValueOutOfRangeIsRefused) {
  const std::vector<std::pair<std::string, json>> odd = {{"count", -1},
                                                         {"count", 1e300},
                                                         {"count", 1.5},
                                                         {"count", "1"},
                                                         {"cpu", -1},
                                                         {"cpu", 1e300},
                                                         {"cpu", 0.5},
                                                         {"mem_mb", 4294967296},
                                                         {"gpu", -1},
                                                         {"estimate_ms", -5},
                                                         {"estimate_ms", 9.2e18},
                                                         {"after", {-1}},
                                                         {"after", {1.5}},
                                                         {"after", {"0"}},
                                                         {"after", 0},
                                                         {"requirements", 7},
                                                         {"affinity", {}},
                                                         {"anti_affinity", -1},
                                                         {"anti_affinity", 1e300},
                                                         {"gang", 1}};
  for (const std::pair<std::string, json>& change : odd) {
    json fields = Job();
    fields["steps"][1][change.first] = change.second;
    failure error;
    EXPECT_FALSE(ParseJob("j", fields.dump(), error).has_value()) << change.first << " " << change.second;
    EXPECT_EQ(error.not_run, not_run_state::kYes);
  }
  const json not_a_list = {{"best_effort", true}, {"steps", {{"a", {{"count", 1}}}}}};
  failure error;
  EXPECT_FALSE(ParseJob("j", not_a_list.dump(), error).has_value());
}

// Guards against a stack overflow or an exception for bytes that are not a job.
TEST(Job, OfBytesThatCannotBeReadIsRefused) {
  const std::string deep = std::string(400'000, '[') + std::string(400'000, ']');
  for (const std::string& body : {std::string(), std::string("\xff"), std::string("[]"), deep,
                                  R"({"best_effort":true,"steps":[{"count":1}],"x":)" + deep + "}"}) {
    failure error;
    EXPECT_FALSE(ParseJob("j", body, error).has_value());
  }
}

}  // namespace
}  // namespace bamboowing::platform
