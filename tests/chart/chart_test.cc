#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>

#include "bamboowing/chart/state_chart.h"

namespace bamboowing {
namespace {

constexpr const char* kGood =
    "name: lamp\n"
    "initial: off\n"
    "states: [off, on, broken]\n"
    "final: [broken]\n"
    "events: [press, fault]\n"
    "transitions:\n"
    "  - {from: off, event: press, to: on}\n"
    "  - {from: on, event: press, to: off}\n"
    "  - {from: on, event: fault, to: broken}\n"
    "ignored:\n"
    "  - {in: off, events: [fault]}\n";

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

// Guards against a wrong transition, or a transition out of a final state.
TEST(StateChart, FollowsTransitionsOfTheFile) {
  failure error;
  const std::optional<state_chart> chart = state_chart::Load(kGood, "lamp.yaml", error);
  ASSERT_TRUE(chart) << error.reason;
  const event_id press = chart->Event("press").value();
  const event_id fault = chart->Event("fault").value();
  const state_id off = chart->initial();
  EXPECT_EQ(chart->StateName(off), "off");
  EXPECT_FALSE(chart->Next(off, fault));
  const state_id on = chart->Next(off, press).value();
  EXPECT_EQ(on, chart->State("on").value());
  EXPECT_EQ(chart->Next(on, press).value(), off);
  const state_id broken = chart->Next(on, fault).value();
  EXPECT_TRUE(chart->IsFinal(broken));
  EXPECT_FALSE(chart->Next(broken, press));
  EXPECT_FALSE(chart->State("press"));
  EXPECT_FALSE(chart->Event("on"));
}

// Guards against loading an invalid chart, and against an error without its file and line.
TEST(StateChart, ReportsErrorsWithFileAndLine) {
  struct test_case {
    const char* from;
    const char* to;
    const char* error;
  };
  const test_case cases[] = {
      {"initial: off", "initial: of", "lamp.yaml:2: unknown state 'of'"},
      {"final: [broken]", "final: [brken]", "lamp.yaml:4: unknown state 'brken'"},
      {"press, to: on}", "press, to: onn}", "lamp.yaml:7: unknown state 'onn'"},
      {"from: on, event: press", "from: on, event: pres", "lamp.yaml:8: unknown event 'pres'"},
      {"to: broken}", "to: off}", "lamp.yaml:3: unreachable state 'broken'"},
      {"events: [fault]", "events: []", "lamp.yaml:3: missing transition: state 'off' neither"},
      {"events: [fault]", "events: [fault, press]", "lamp.yaml:11: duplicate transition for event 'press'"},
      {"  - {from: on, event: press, to: off}\n", "  - {from: off, event: press, to: off}\n",
       "lamp.yaml:8: duplicate transition for event 'press'"},
      {"in: off", "in: broken", "lamp.yaml:11: the final state 'broken' handles an event"},
      {"[off, on, broken]", "[off, on, broken, on]", "lamp.yaml:3: duplicate name 'on'"},
      {"name: lamp", "nam: lamp", "lamp.yaml:1: unknown key 'nam'"},
      {"name: lamp\n", "", "lamp.yaml:1: missing 'name'"},
      {"from: off, ", "", "lamp.yaml:7: missing 'from'"},
      {"events: [press, fault]", "events: press", "lamp.yaml:5: expected a list"},
      {"events: [press, fault]", "events: [press, fault", "lamp.yaml:"},
  };
  for (const test_case& each : cases) {
    failure error;
    EXPECT_FALSE(state_chart::Load(Replaced(kGood, each.from, each.to), "lamp.yaml", error)) << each.to;
    EXPECT_EQ(error.reason.rfind(each.error, 0), 0U) << error.reason << " instead of " << each.error;
    EXPECT_EQ(error.kind, error_kind::kInvalidField);
  }
  failure error;
  EXPECT_FALSE(state_chart::Load("", "lamp.yaml", error));
}

// Guards against a chart in the repository that is invalid or not embedded.
TEST(StateChart, EveryFileOfTheRepositoryIsBuiltIn) {
  const std::vector<std::string> names = BuiltInChartNames();
  for (const char* name : {"job", "task", "request", "target_health", "lease", "membership", "configuration"}) {
    std::ifstream file(std::string(BAMBOOWING_SOURCE_DIR) + "/charts/" + name + ".yaml");
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    failure error;
    const std::optional<state_chart> chart = state_chart::Load(text, name, error);
    ASSERT_TRUE(chart) << error.reason;
    EXPECT_EQ(chart->name(), name);
    EXPECT_EQ(std::count(names.begin(), names.end(), name), 1) << name;
    EXPECT_EQ(BuiltInChart(name).state_count(), chart->state_count());
  }
}

// Guards against a transition that restarts a task that may have run (invariant 1).
TEST(StateChart, TaskReturnsToWaitingOnlyByARefusal) {
  const state_chart& chart = BuiltInChart("task");
  const state_id waiting = chart.State("waiting").value();
  for (std::size_t state = 0; state < chart.state_count(); ++state) {
    for (std::size_t event = 0; event < chart.event_count(); ++event) {
      const std::optional<state_id> next = chart.Next(static_cast<state_id>(state), static_cast<event_id>(event));
      if (next == waiting) {
        EXPECT_EQ(chart.EventName(static_cast<event_id>(event)), "refused");
      }
    }
  }
}

}  // namespace
}  // namespace bamboowing
