#include <gtest/gtest.h>

#include <chrono>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>

#include "bamboowing/base/random.h"
#include "bamboowing/intent/report.h"

namespace bamboowing {
namespace {

/// One rule between fields: a text that breaks it, and every error it must give.
struct rule_case {
  const char* name;
  std::string text;
  std::string errors;
};

void PrintTo(const rule_case& value, std::ostream* stream) { *stream << value.name; }

std::string Lines(const std::vector<intent_error>& errors) {
  std::string result;
  for (const intent_error& error : errors) {
    result += FormatIntentError(error) + "\n";
  }
  return result;
}

class rules_between_fields : public testing::TestWithParam<rule_case> {};

// Guards against a document whose fields are valid individually but contradict each other.
TEST_P(rules_between_fields, EachViolationIsReported) {
  const intent_report report = CheckIntent(GetParam().text);
  EXPECT_FALSE(report.document.has_value());
  EXPECT_EQ(Lines(report.errors), GetParam().errors);
}

const rule_case kRuleCases[] = {
    {"DuplicateNames", "services: [{name: a}, {name: a}]\nteams: [{name: t}, {name: u}, {name: t}]\n",
     "line 1: services[1].name: found \"a\", expected a name other than that of services[0].name\n"
     "line 2: teams[2].name: found \"t\", expected a name other than that of teams[0].name\n"},
    {"UndeclaredTeam", "services:\n- name: a\n  teams: [t, x]\nteams: [{name: t}]\n",
     "line 3: services[0].teams[1]: found \"x\", expected a team that teams declares\n"},
    {"UndeclaredFailureDomain",
     "failure_domains: [Hobart, Burnie]\nservices: [{name: a, targets: {failure_domains: [Hobert]}}]\n"
     "teams: [{name: t}]\ndrains: {failure_domains: [Bernie]}\n",
     "line 2: services[0].targets.failure_domains[0]: found \"Hobert\", expected a failure domain that "
     "failure_domains declares\n"
     "line 4: drains.failure_domains[0]: found \"Bernie\", expected a failure domain that failure_domains declares\n"},
    {"DeadlinesInverted", "services: [{name: a, deadline_min_ms: 20, deadline_max_ms: 10}]\nteams: [{name: t}]\n",
     "line 1: services[0].deadline_min_ms: found 20, expected at most deadline_max_ms, which is 10\n"},
    {"TwoQuotas", "services: [{name: a}]\nteams: [{name: t, quota_percent: 1, quota_waiting_tasks: 9000}]\n",
     "line 2: teams[0].quota_waiting_tasks: found quota_percent and quota_waiting_tasks, expected one of the two\n"},
    {"QuotaAboveCapacity",
     "services: [{name: a}]\nteams: [{name: t, quota_waiting_tasks: 600}]\nlimits: {waiting_tasks: 500}\n",
     "line 2: teams: found quotas of 120.0 % of limits.waiting_tasks in total, expected at most 100 %\n"
     "line 2: teams[0].quota_waiting_tasks: found 600, expected at most limits.waiting_tasks, which is 500\n"},
    {"QuotasAboveTheWhole",
     "services: [{name: a}]\nteams: [{name: t, quota_percent: 60}, {name: u, quota_waiting_tasks: 400001}]\n",
     "line 2: teams: found quotas of 100.0001 % of limits.waiting_tasks in total, expected at most 100 %\n"},
    {"NoTargetMayServe",
     "failure_domains: [Hobart, Burnie]\nservices:\n- {name: a, targets: {failure_domains: [Hobart]}}\n"
     "- {name: b, targets: {ids: [m-1, 'n-1*']}}\nteams: [{name: t}]\n"
     "drains: {targets: ['n-*', m-1], failure_domains: [Hobart]}\n",
     "line 3: services[0].targets.failure_domains: found only failure domains that drains.failure_domains drains, "
     "expected at least one failure domain that may serve the service\n"
     "line 4: services[1].targets.ids: found only targets that drains.targets drains, expected at least one target "
     "that may serve the service\n"},
    {"EverythingDrained",
     "failure_domains: [Hobart, Burnie]\nservices: [{name: a}]\nteams: [{name: t}]\n"
     "drains:\n  targets: ['**']\n  failure_domains: [Burnie, Hobart]\n",
     "line 5: drains.targets[0]: found \"**\", expected a pattern that leaves some targets\n"
     "line 6: drains.failure_domains: found all failure domains, expected at least one that is not drained\n"},
    {"RecoveryOutlastsRetention", "services: [{name: a}]\nteams: [{name: t}]\nlimits: {answer_retention_ms: 60000}\n",
     "line 3: limits.recovery_window_ms: found 120000, expected at most limits.answer_retention_ms, which is 60000: a "
     "job is recovered from retained answers\n"},
    {"InvalidFieldsDoNotHideRules",
     "services:\n- {name: a, shards: none, teams: [x]}\n- {name: a}\nteams: [{name: t, quota_percent: 101}]\n",
     "line 2: services[0].shards: found \"none\", expected an integer from 1 to 1024\n"
     "line 2: services[0].teams[0]: found \"x\", expected a team that teams declares\n"
     "line 3: services[1].name: found \"a\", expected a name other than that of services[0].name\n"
     "line 4: teams[0].quota_percent: found 101, expected a number from 0.01 to 100 (percent)\n"},
    {"InvalidNameGivesNoSecondError", "services: [{name: a, teams: ['x y']}, 5]\nteams: [{name: 'x y'}, {}]\n",
     "line 1: services[0].teams[0]: found \"x y\", expected a string of 1 to 63 letters, digits, dots, dashes and "
     "underscores\n"
     "line 1: services[1]: found 5, expected a map with the keys deadline_max_ms, deadline_min_ms, "
     "idempotent_default, name, shards, targets, task_time_limit_ms, teams\n"
     "line 2: teams[0].name: found \"x y\", expected a string of 1 to 63 letters, digits, dots, dashes and "
     "underscores\n"
     "line 2: teams[1].name: found nothing, expected a string of 1 to 63 letters, digits, dots, dashes and "
     "underscores\n"},
};

INSTANTIATE_TEST_SUITE_P(Rules, rules_between_fields, testing::ValuesIn(kRuleCases),
                         [](const testing::TestParamInfo<rule_case>& info) { return info.param.name; });

// Guards against rounding that rejects quotas which add up to exactly 100 %.
TEST(CheckIntent, AcceptsQuotasThatAddUpTo100Percent) {
  std::string text = "services: [{name: a}]\nteams:\n";
  for (int i = 0; i < 1000; ++i) {
    text += "- {name: t" + std::to_string(i) + ", quota_percent: 0.1}\n";
  }
  EXPECT_EQ(Lines(CheckIntent(text).errors), "");
}

// Guards against settings that are accepted silently although they have no effect.
TEST(CheckIntent, WarnsAboutProbablyUnintendedSettings) {
  const intent_report report = CheckIntent(
      "services:\n- {name: a, teams: [t], deadline_max_ms: 1000}\n- {name: b, teams: [t], deadline_max_ms: 600000}\n"
      "teams:\n- {name: t, quota_waiting_tasks: 100}\n- name: u\nlimits: {answer_retention_ms: 599999}\n");
  EXPECT_EQ(Lines(report.errors), "");
  EXPECT_TRUE(report.document.has_value());
  EXPECT_EQ(Lines(report.warnings),
            "line 2: services[0].task_time_limit_ms: found 60000, expected at most deadline_max_ms, which is 1000: the "
            "deadline ends the task first\n"
            "line 3: services[1].deadline_max_ms: found 600000, expected at most limits.answer_retention_ms: answers "
            "of a longer job may be dropped before its end\n"
            "line 5: teams[0]: found a quota of 100 waiting tasks, expected at least limits.tasks_per_job, which is "
            "180: larger jobs are always refused\n"
            "line 6: teams[1].name: found \"u\", expected a team that at least one service allows\n");
}

// Guards against a program that changes a document in memory into one that readers reject.
TEST(CheckIntent, ChecksADocumentBuiltInMemory) {
  std::optional<intent_document> document = CheckIntent("services: [{name: a}]\nteams: [{name: t}]\n").document;
  ASSERT_TRUE(document.has_value());
  EXPECT_TRUE(CheckIntent(*document).document.has_value());
  document->drains.targets = {"*", "a b"};
  document->teams[0].weight = 0;
  EXPECT_EQ(Lines(CheckIntent(*document).errors),
            "drains.targets[1]: found \"a b\", expected a string of 1 to 128 letters, digits, stars, dots, colons, "
            "dashes and underscores\n"
            "teams[0].weight: found 0, expected an integer from 1 to 1000\n"
            "drains.targets[0]: found \"*\", expected a pattern that leaves some targets\n");
}

// Guards against a check whose time grows faster than the document. Every entry checks 8,800 changes per day. The bound
// of 1 s is a fifth of the 5 s within which a change must be applied by all processes.
TEST(CheckIntent, ChecksALargeDocumentInTime) {
  std::string text = "services: [{name: a}]\nteams: [{name: t}]\ndrains:\n  targets:\n";
  for (int i = 0; i < 10000; ++i) {
    text += "  - target-with-a-long-name-" + std::to_string(i) + "\n";
  }
  const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
  const intent_report report = CheckIntent(text);
  const std::chrono::steady_clock::duration taken = std::chrono::steady_clock::now() - start;
  EXPECT_TRUE(report.document.has_value());
  EXPECT_LT(taken, std::chrono::seconds(1));
  RecordProperty("check_us", static_cast<int>(std::chrono::duration_cast<duration>(taken).count()));
}

std::string DesignSizeDocument() {
  std::string domains;
  std::string services;
  std::string teams;
  std::string drains;
  for (int i = 0; i < 17; ++i) {
    domains += "  - domain-" + std::to_string(i) + "\n";
  }
  for (int i = 0; i < 16; ++i) {
    services += "  - {name: service-" + std::to_string(i) + ", shards: 4, targets: {failure_domains: [domain-1]}}\n";
  }
  for (int i = 0; i < 52; ++i) {
    teams += "  - {name: team-" + std::to_string(i) + ", quota_percent: 1.9}\n";
  }
  for (int i = 0; i < 190; ++i) {
    drains += "    - target-" + std::to_string(i) + "\n";
  }
  return "failure_domains:\n" + domains + "services:\n" + services + "teams:\n" + teams + "drains:\n  targets:\n" +
         drains;
}

// Guards against a check that uses too much CPU time: 8,800 changes per day and 1.3 % of a core for control work allow
// 127 ms for each change.
TEST(CheckIntent, ChecksADocumentOfTheDesignSizeInTime) {
  const std::string text = DesignSizeDocument();
  EXPECT_TRUE(CheckIntent(text).document.has_value());
  const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
  CheckIntent(text);
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(127));
}

/// Replaces a random value within @p value by one of another type or range.
void Mutate(seeded_random& random, nlohmann::json& value) {
  if (value.is_structured() && !value.empty() && random.Below(5) != 0) {
    Mutate(random, *std::next(value.begin(), static_cast<std::ptrdiff_t>(random.Below(value.size()))));
    return;
  }
  const nlohmann::json others[] = {nullptr,
                                   true,
                                   -1,
                                   1e300,
                                   "x y",
                                   "",
                                   "*",
                                   nlohmann::json::array(),
                                   nlohmann::json::object(),
                                   {{"name", 3}},
                                   {1, "a", nullptr}};
  value = others[random.Below(std::size(others))];
}

// Guards against a document that crashes the check, that is accepted although its JSON form is rejected, or that is
// rejected without an error.
TEST(CheckIntent, ReturnsADocumentOrErrorsForDamagedDocuments) {
  const intent_report whole = CheckIntent(DesignSizeDocument());
  ASSERT_TRUE(whole.document.has_value());
  const nlohmann::json valid = nlohmann::json::parse(ToJson(*whole.document));
  seeded_random random(20261204);
  int rejected = 0;
  for (int i = 0; i < 150; ++i) {
    nlohmann::json damaged = valid;
    Mutate(random, damaged);
    Mutate(random, damaged);
    const intent_report report = CheckIntent(damaged.dump());
    ASSERT_EQ(report.document.has_value(), report.errors.empty()) << damaged;
    rejected += report.document ? 0 : 1;
    for (const intent_error& error : report.errors) {
      EXPECT_FALSE(error.found.empty() || error.expected.empty()) << error.path;
    }
    if (report.document) {
      EXPECT_TRUE(CheckIntent(*report.document).document.has_value());
    }
  }
  EXPECT_GT(rejected, 100);
}

}  // namespace
}  // namespace bamboowing
