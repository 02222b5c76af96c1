// The templates under deploy/, from which the platform makes the settings file of a process.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "bamboowing/service/settings.h"

namespace bamboowing::platform {
namespace {

using bounds = std::map<std::string, std::string>;

void ReplaceAll(std::string& text, const std::string& from, const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

/// The template of a role, filled in as by the platform.
std::string FillIn(const std::string& role, const bounds& values) {
  std::ifstream file(std::string(BAMBOOWING_SOURCE_DIR) + "/deploy/" + role + ".yaml");
  std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  bounds all = {{"node", "node-1"},
                {"zone", "hobart"},
                {"ip", "10.1.0.13"},
                {"internal_ports.0", "7720"},
                {"heartbeat_ms", "1500"},
                {"platform.address", "10.200.1.7:8169"},
                {"listen_addrs.frontend", "10.1.0.13:8161"},
                {"listen_addrs.readiness", "10.1.0.13:8167"},
                {"listen_addrs.control", "10.1.0.13:8166"},
                {"bounds.max_hold_ms", "1000"},
                {"bounds.grace_s", "6"}};
  for (const std::pair<const std::string, std::string>& value : values) {
    all[value.first] = value.second;
  }
  ReplaceAll(text, R"({{#seeds}}"{{.}}"{{,}}{{/seeds}})", R"("10.1.0.13:8166","10.2.0.30:8166")");
  for (const std::pair<const std::string, std::string>& value : all) {
    ReplaceAll(text, "{{" + value.first + "}}", value.second);
  }
  EXPECT_EQ(text.find("{{"), std::string::npos) << text;
  return text;
}

// Guards against a process that does not start because a bound is a fraction.
TEST(Templates, AcceptWholeNumbersAndFractions) {
  for (const std::string role : {"entry", "agent"}) {
    std::vector<settings_error> errors;
    const std::optional<daemon_settings> whole = ParseSettings(FillIn(role, {}), errors);
    ASSERT_TRUE(whole) << role << " " << Describe(errors.at(0));
    EXPECT_EQ(whole->best_effort.grace, std::chrono::seconds(6));
    EXPECT_EQ(whole->best_effort.lease, std::chrono::milliseconds(1000));
    const bounds fractions = {{"bounds.grace_s", "1.3"}, {"bounds.max_hold_ms", "800.5"}, {"heartbeat_ms", "1500.0"}};
    const std::optional<daemon_settings> fraction = ParseSettings(FillIn(role, fractions), errors);
    ASSERT_TRUE(fraction) << role << " " << Describe(errors.at(0));
    EXPECT_EQ(fraction->best_effort.grace, std::chrono::milliseconds(1300));
    EXPECT_EQ(fraction->best_effort.lease, std::chrono::microseconds(800'500));
    EXPECT_EQ(fraction->best_effort.announcement_interval, std::chrono::milliseconds(1500));
    for (const std::string grace : {"0", "0.25", ".5", "1e1"}) {
      EXPECT_TRUE(ParseSettings(FillIn(role, {{"bounds.grace_s", grace}}), errors)) << role << " " << grace;
    }
  }
}

// Guards against a process that starts with another value than the platform's, or ends without saying which value it
// could not read.
TEST(Templates, ValueThatIsNoDurationIsNamed) {
  const std::map<std::string, std::string> keys = {{"bounds.grace_s", "best_effort.grace_s"},
                                                   {"bounds.max_hold_ms", "best_effort.lease_ms"}};
  const std::map<std::string, std::string> odd = {
      {"true", "found true, "}, {"false", "found false, "},      {"", "found no value, "},   {"-1", "found -1, "},
      {".nan", "found .nan, "}, {".inf", "found .inf, "},        {"1e300", "found 1e300, "}, {"6s", "found 6s, "},
      {"6,5", "found 6,5, "},   {"[6]", "found a list or map, "}};
  for (const std::string role : {"entry", "agent"}) {
    for (const std::pair<const std::string, std::string>& key : keys) {
      for (const std::pair<const std::string, std::string>& value : odd) {
        std::vector<settings_error> errors;
        EXPECT_FALSE(ParseSettings(FillIn(role, {{key.first, value.first}}), errors)) << key.first << value.first;
        ASSERT_EQ(errors.size(), 1U) << key.first << " " << value.first;
        EXPECT_EQ(errors[0].path, key.second);
        EXPECT_GT(errors[0].line, 0U);
        EXPECT_NE(Describe(errors[0]).find(value.second), std::string::npos) << Describe(errors[0]);
        EXPECT_NE(Describe(errors[0]).find("a number from "), std::string::npos) << Describe(errors[0]);
      }
    }
  }
}

// Guards against limits that are ignored, and against values that would refuse every request.
TEST(Templates, CallersLimitsAreRead) {
  std::vector<settings_error> errors;
  const std::string text = FillIn("entry", {});
  const std::optional<daemon_settings> settings =
      ParseSettings(text + "\n  callers_limits:\n    buffered_bytes: 1048576\n    receive_timeout_ms: 5000\n", errors);
  ASSERT_TRUE(settings) << Describe(errors.at(0));
  EXPECT_EQ(settings->best_effort.callers_limits.max_buffered_bytes, 1U << 20U);
  EXPECT_EQ(settings->best_effort.callers_limits.receive_timeout, std::chrono::seconds(5));
  EXPECT_EQ(settings->best_effort.callers_limits.max_connections, connection_limits().max_connections);
  for (const std::string wrong : {"connections: 0", "body_bytes: 10", "buffered: 1048576", "header_bytes: many"}) {
    errors.clear();
    EXPECT_FALSE(ParseSettings(text + "\n  callers_limits:\n    " + wrong + "\n", errors)) << wrong;
    EXPECT_EQ(errors.size(), 1U) << wrong;
  }
}

// Guards against features that stay off although the settings ask for them, and against a malformed value that is
// ignored.
TEST(Settings, ReadEvacuationAndOverloadOrder) {
  const std::string text = FillIn("entry", {});
  std::vector<settings_error> errors;
  const std::optional<daemon_settings> defaults = ParseSettings(text, errors);
  ASSERT_TRUE(defaults);
  EXPECT_FALSE(defaults->best_effort.evacuation);
  EXPECT_EQ(defaults->best_effort.order, overload_order::kDeadline);
  const std::optional<daemon_settings> enabled =
      ParseSettings(text + "\n  evacuation: true\n  overload_order: cost\n", errors);
  ASSERT_TRUE(enabled) << Describe(errors.at(0));
  EXPECT_TRUE(enabled->best_effort.evacuation);
  EXPECT_EQ(enabled->best_effort.order, overload_order::kCost);
  for (const char* wrong : {"evacuation: perhaps", "overload_order: priority"}) {
    EXPECT_FALSE(ParseSettings(text + "\n  " + wrong + "\n", errors)) << wrong;
  }
}

}  // namespace
}  // namespace bamboowing::platform
