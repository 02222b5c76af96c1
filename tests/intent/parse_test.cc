#include <gtest/gtest.h>

#include <string>

#include "bamboowing/intent/document.h"

namespace bamboowing {
namespace {

constexpr const char* kSmallest = "services: [{name: inspect}]\nteams: [{name: crew}]\n";

std::string AllErrors(const std::string& text) {
  std::vector<intent_error> errors;
  EXPECT_FALSE(ParseIntent(text, errors).has_value());
  std::string result;
  for (const intent_error& error : errors) {
    result += FormatIntentError(error) + "\n";
  }
  return result;
}

intent_document Parsed(const std::string& text) {
  std::vector<intent_error> errors;
  const std::optional<intent_document> document = ParseIntent(text, errors);
  for (const intent_error& error : errors) {
    ADD_FAILURE() << FormatIntentError(error);
  }
  return document.value_or(intent_document{});
}

// Guards against defaults that differ between the schema and the types.
TEST(ParseIntent, DefaultsOfTheSchemaAreThoseOfTheTypes) {
  intent_document expected;
  expected.services.resize(1);
  expected.services[0].name = "inspect";
  expected.teams.resize(1);
  expected.teams[0].name = "crew";
  EXPECT_EQ(ToJson(Parsed(kSmallest)), ToJson(expected));
}

// Guards against a JSON form that the parser reads as a different document.
TEST(ParseIntent, ReadsItsOwnJsonForm) {
  const std::string text =
      "write_id: write-0001\nfailure_domains: [Hobart, Corpus Christi]\n"
      "services:\n  - {name: a, shards: 3, targets: {failure_domains: [Hobart], ids: ['m-*']}, teams: [t],\n"
      "     task_time_limit_ms: 500, deadline_min_ms: 10, deadline_max_ms: 9000, idempotent_default: true}\n"
      "teams:\n  - {name: t, priority: 4, weight: 7, quota_percent: 1.9}\n  - {name: u, quota_waiting_tasks: 12}\n"
      "retry_budget: {share_percent: 2.5, attempts_max: 2}\n"
      "limits: {waiting_tasks: 1000, tasks_per_job: 5, body_bytes: 2048, request_send_ms: 100,\n"
      "         answer_retention_ms: 4000, recovery_window_ms: 3000}\n"
      "drains: {targets: [m-3], agents: [a-1], failure_domains: [Corpus Christi]}\n";
  const std::string json = ToJson(Parsed(text));
  EXPECT_EQ(ToJson(Parsed(json)), json);
  EXPECT_NE(json.find("\"quota_percent\": 1.9"), std::string::npos) << json;
}

// Guards against a report that stops at the first error, or that omits its location or the expected value.
TEST(ParseIntent, ReportsEveryErrorWithPathLineAndExpectedValue) {
  const std::string name = "a string of 1 to 63 letters, digits, dots, dashes and underscores\n";
  const std::string properties =
      "one of deadline_max_ms, deadline_min_ms, idempotent_default, name, shards, targets, task_time_limit_ms, teams\n";
  EXPECT_EQ(AllErrors("services:\n  - shards: 0\n    colour: red\n    size: 1\n"
                      "teams:\n  - name: 7\n    weight: heavy\n"),
            "line 2: services[0].name: found nothing, expected " + name +
                "line 2: services[0].shards: found 0, expected an integer from 1 to 1024\n"
                "line 3: services[0].colour: found an unknown property, expected " +
                properties + "line 4: services[0].size: found an unknown property, expected " + properties +
                "line 6: teams[0].name: found 7, expected " + name +
                "line 7: teams[0].weight: found \"heavy\", expected an integer from 1 to 1000\n");
}

// Guards against accepting text that is not a document.
TEST(ParseIntent, RejectsTextThatIsNotADocument) {
  EXPECT_NE(AllErrors(""), "");
  EXPECT_NE(AllErrors("services"), "");
  EXPECT_NE(AllErrors("[1, 2]"), "");
  EXPECT_NE(AllErrors("services: [\n"), "");
  EXPECT_NE(AllErrors("{\"services\": \t\"\x01"), "");
  EXPECT_NE(AllErrors(std::string(kIntentMaxBytes + 1, ' ')), "");
  EXPECT_NE(AllErrors(std::string(10000, '[')), "");
  EXPECT_NE(AllErrors(std::string(kSmallest) + "---\n" + kSmallest), "");
}

// Guards against a pattern match whose recursion exhausts the stack on a long string.
TEST(ParseIntent, RejectsAVeryLongName) {
  const std::string errors = AllErrors("services: [{name: " + std::string(900'000, 'a') + "}]\nteams: [{name: t}]\n");
  EXPECT_EQ(errors.rfind("line 1: services[0].name: found \"aaa", 0), 0U) << errors.substr(0, 200);
  EXPECT_LT(errors.size(), 300U);
}

// Guards against aliases that expand without limit, and against duplicate keys, of which one value would be lost.
TEST(ParseIntent, RejectsAliasesAndDuplicateKeys) {
  EXPECT_EQ(AllErrors("services: [{name: &n a}]\nteams: [{name: *n}]\n"),
            "line 2: teams[0].name: found an alias, expected the value written out\n");
  EXPECT_EQ(AllErrors("services: [{name: a}]\nteams: [{name: a}]\nteams: [{name: b}]\n"),
            "line 3: teams: found the same key again, expected each key once\n");
}

// Guards against an id pattern that matches too much or takes exponential time.
TEST(MatchesIdPattern, StarMatchesAnyCharacters) {
  EXPECT_TRUE(MatchesIdPattern("minion-*", "minion-7"));
  EXPECT_TRUE(MatchesIdPattern("*", ""));
  EXPECT_TRUE(MatchesIdPattern("a*b*c", "a-b-b-c"));
  EXPECT_FALSE(MatchesIdPattern("minion-*", "worker-7"));
  EXPECT_FALSE(MatchesIdPattern("a*b", "a-b-c"));
  EXPECT_FALSE(MatchesIdPattern("", "a"));
  std::string stars;
  for (int i = 0; i < 60; ++i) {
    stars += "a*";
  }
  EXPECT_FALSE(MatchesIdPattern(stars + "b", std::string(128, 'a')));
}

}  // namespace
}  // namespace bamboowing
