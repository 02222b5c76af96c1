#include "ctl/document.h"
#include "tool_fixture.h"

namespace bamboowing::ctl {
namespace {

using nlohmann::json;

constexpr const char* kDocument = R"(
failure_domains: [Hobart, Burnie]
services:
  - name: lines
  - name: seals
    shards: 2
teams:
  - name: crews
)";

class config_test : public tool_test {
 protected:
  /// kDocument with the first occurrence of @p from replaced.
  static std::string DocumentWith(const std::string& from, const std::string& to) {
    std::string text = kDocument;
    text.replace(text.find(from), from.size(), to);
    return text;
  }

  /// The response body of `GET /operator/v1/config` for the YAML document @p text.
  static std::string ConfigResponse(std::uint64_t version, const std::string& text) {
    std::vector<intent_error> errors;
    const std::optional<intent_document> document = ParseIntent(text, errors);
    EXPECT_TRUE(document.has_value()) << (errors.empty() ? "" : FormatIntentError(errors[0]));
    return json{{"version", version}, {"document", json::parse(ToJson(*document))}}.dump();
  }
};

// Guards against an invalid document that passes validation, and against errors without a path.
TEST_F(config_test, ValidatesLocally) {
  EXPECT_EQ(Run({"config", "validate", WriteTestFile("good", kDocument)}), 0) << Out();
  const std::string bad = WriteTestFile("bad", DocumentWith("shards: 2", "shards: -2"));
  EXPECT_EQ(Run({"config", "validate", bad}), 3);
  EXPECT_NE(Out().find("services[1].shards"), std::string::npos) << Out();
  EXPECT_EQ(Run({"config", "validate", bad, "--output", "json"}), 3);
  EXPECT_EQ(json::parse(Out()).at("errors").at(0).at("path"), "services[1].shards");
  EXPECT_TRUE(requests_.empty());
}

// Guards against validation errors that only the entry can detect being ignored.
TEST_F(config_test, ValidatesRemotely) {
  script_ = [](const http_request& /*request*/, failure& /*error*/) {
    return Reply(200, R"({"errors":[{"path":"teams[0]","found":"a","expected":"b"}],"warnings":[],"normalized":null})");
  };
  EXPECT_EQ(Run({"config", "validate", "--remote", WriteTestFile("good", kDocument)}), 3);
  EXPECT_NE(Out().find("teams[0]: found a, expected b"), std::string::npos) << Out();
  EXPECT_EQ(requests_.at(0).path, "/operator/v1/config/validate");
}

// Guards against comparing lists by position, which attributes changes to the wrong service after an insertion.
TEST_F(config_test, ShowsDifferencesByName) {
  const std::string base = WriteTestFile("base", kDocument);
  const std::string changed =
      WriteTestFile("new", DocumentWith("  - name: lines", "  - name: added\n  - name: lines\n    shards: 3"));
  EXPECT_EQ(Run({"config", "diff", changed, "--base", base}), 0) << Err();
  EXPECT_NE(Out().find("services[added]"), std::string::npos) << Out();
  EXPECT_NE(Out().find("services[lines].shards: 1 -> 3\n"), std::string::npos) << Out();
  EXPECT_EQ(Out().find("seals"), std::string::npos) << Out();
  EXPECT_EQ(Run({"config", "diff", base, "--base", base}), 0);
  EXPECT_EQ(Out(), "no differences\n");
}

// Guards against overwriting a version that the operator has not seen.
TEST_F(config_test, AppliesOnTheVersionInForce) {
  script_ = [&](const http_request& request, failure& /*error*/) {
    return request.method == "GET" ? Reply(200, ConfigResponse(41, kDocument)) : Reply(200, R"({"version":42})");
  };
  EXPECT_EQ(Run({"config", "apply", WriteTestFile("new", DocumentWith("shards: 2", "shards: 4"))}), 0) << Err();
  EXPECT_EQ(requests_.back().query.at("base_version"), "41");
  EXPECT_EQ(json::parse(requests_.back().body).at("write_id"), "id-1");
  EXPECT_NE(Out().find("services[seals].shards: 2 -> 4\n"), std::string::npos) << Out();
  EXPECT_NE(Out().find("version 42 is in force\n"), std::string::npos) << Out();
}

// Guards against reducing the validation errors of the entry to a single message.
TEST_F(config_test, ShowsTheValidationErrorsOfARejectedChange) {
  script_ = [&](const http_request& request, failure& /*error*/) {
    return request.method == "GET" ? Reply(200, ConfigResponse(41, kDocument))
                                   : Reply(400, R"({"kind":"invalid_field","reason":"r","not_run":"yes",
                                       "errors":[{"path":"services[1].shards","found":"4","expected":"2"}]})");
  };
  EXPECT_EQ(Run({"config", "apply", WriteTestFile("new", DocumentWith("shards: 2", "shards: 4"))}), 3);
  EXPECT_NE(Out().find("services[1].shards: found 4, expected 2"), std::string::npos) << Out();
}

// Guards against overwriting another operator's change, and against a conflict report without the differences.
TEST_F(config_test, ShowsBothVersionsOfAConflict) {
  script_ = [&](const http_request& /*request*/, failure& /*error*/) {
    const json body = {{"kind", "conflict"},
                       {"reason", "version 43 is in force"},
                       {"not_run", "yes"},
                       {"your_base", 41},
                       {"current", json::parse(ConfigResponse(43, DocumentWith("shards: 2", "shards: 9")))}};
    return Reply(409, body.dump());
  };
  EXPECT_EQ(
      Run({"config", "apply", "--base-version", "41", WriteTestFile("new", DocumentWith("shards: 2", "shards: 4"))}),
      10);
  EXPECT_EQ(requests_.size(), 1U);
  EXPECT_NE(Out().find("Version 43 is in force, your base is version 41"), std::string::npos) << Out();
  EXPECT_NE(Out().find("services[seals].shards: 9 -> 4\n"), std::string::npos) << Out();
  EXPECT_NE(Err().find("--base-version 43"), std::string::npos) << Err();
}

// Guards against reporting a change as failed, or repeating it, when only its response was lost.
TEST_F(config_test, RecognisesAChangeWhoseResponseWasLost) {
  json stored;
  script_ = [&](const http_request& request, failure& error) -> std::optional<http_response> {
    if (request.method == "PUT") {
      stored = json::parse(request.body);
      error = failure(error_kind::kTargetLost, not_run_state::kUnknown, "no answer");
      return std::nullopt;
    }
    return Reply(200, json{{"version", 42}, {"document", stored}}.dump());
  };
  EXPECT_EQ(Run({"config", "apply", "--base-version", "41", WriteTestFile("new", kDocument)}), 0) << Err();
  EXPECT_NE(Out().find("version 42 is in force\n"), std::string::npos);
}

// Guards against a false success when another document is in force after the response was lost.
TEST_F(config_test, ReportsAnUnknownOutcomeOfAChange) {
  script_ = [&](const http_request& request, failure& error) -> std::optional<http_response> {
    if (request.method == "PUT") {
      error = failure(error_kind::kTargetLost, not_run_state::kUnknown, "no answer");
      return std::nullopt;
    }
    return Reply(200, ConfigResponse(41, kDocument));
  };
  EXPECT_EQ(Run({"config", "apply", "--base-version", "41", WriteTestFile("new", kDocument)}), 7);
  EXPECT_NE(Err().find("Write id of the change: id-1"), std::string::npos) << Err();
}

// Guards against other text on standard output, which would break piping the document into a file.
TEST_F(config_test, ShowsTheDocument) {
  script_ = [&](const http_request& /*request*/, failure& /*error*/) {
    return Reply(200, ConfigResponse(41, kDocument));
  };
  EXPECT_EQ(Run({"config", "show"}), 0);
  EXPECT_EQ(json::parse(Out()).at("services").size(), 2U);
  EXPECT_EQ(Err(), "version 41\n");
  EXPECT_EQ(Run({"config", "show", "--output", "json"}), 0);
  EXPECT_EQ(json::parse(Out()).at("version"), 41);
}

}  // namespace
}  // namespace bamboowing::ctl
