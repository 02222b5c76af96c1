#include "bamboowing/intent/operator_api.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "bamboowing/intent/schema.h"

namespace bamboowing {
namespace {

using nlohmann::json;

constexpr const char* kDocument = "services: [{name: a}]\nteams: [{name: t}]\n";

json Call(const std::string& method, const std::string& path, const std::string& body, int status) {
  const std::optional<operator_answer> response = HandleStatelessRequest(method, path, body);
  EXPECT_TRUE(response.has_value());
  EXPECT_EQ(response.value_or(operator_answer{}).status, status);
  return json::parse(response.value_or(operator_answer{}).body, nullptr, false);
}

// Guards against a page that the browser rejects, and against access to other files of the server.
TEST(ConsoleFile, ServesOnlyTheFilesOfThePage) {
  EXPECT_EQ(ConsoleFile("/console/").value_or(operator_answer{}).content_type, "text/html; charset=utf-8");
  EXPECT_EQ(ConsoleFile("/console").value_or(operator_answer{}).body, ConsoleFile("/console/")->body);
  for (const char* path : {"/", "/consoles", "/console/../schema", "/console/none.js", "/operator/v1/config"}) {
    EXPECT_FALSE(ConsoleFile(path).has_value()) << path;
  }
}

// Guards against an invalid document whose errors the console cannot locate, and against a missing normalized form.
TEST(HandleStatelessRequest, ValidateReturnsErrorsWarningsAndTheNormalizedDocument) {
  const json invalid = Call("POST", "/operator/v1/config/validate", "services: [{name: a, shards: 0}]", 200);
  EXPECT_EQ(invalid["errors"][0], json::parse(R"({"path": "services[0].shards", "found": "0",
                                                  "expected": "an integer from 1 to 1024", "line": 1})"));
  EXPECT_EQ(invalid["errors"][1]["path"], "teams");
  EXPECT_TRUE(invalid["normalized"].is_null());
  const json valid = Call("POST", "/operator/v1/config/validate", kDocument, 200);
  EXPECT_TRUE(valid["errors"].empty());
  EXPECT_EQ(valid["normalized"]["services"][0]["shards"], 1);
}

// Guards against a diff of invalid documents.
TEST(HandleStatelessRequest, DiffComparesTwoValidDocuments) {
  const std::string path = "/operator/v1/config/diff";
  json body = json::parse(R"({"before": {"services": [{"name": "a"}], "teams": [{"name": "t"}]},
                              "after": {"services": [{"name": "a", "shards": 2}], "teams": [{"name": "t"}]}})");
  EXPECT_EQ(Call("POST", path, body.dump(), 200),
            json::parse(R"({"changes": [{"path": "services[a].shards", "before": "1", "after": "2"}]})"));
  body["after"]["teams"] = 3;
  EXPECT_EQ(Call("POST", path, body.dump(), 400)["errors"][0]["path"], "after.teams");
  EXPECT_EQ(Call("POST", path, "{}", 400)["kind"], "invalid_field");
  EXPECT_EQ(Call("POST", path, "{", 400)["kind"], "invalid_json");
}

// Guards against an entry that ends because a document to compare is nested so deeply that writing it exhausts the
// stack.
TEST(HandleStatelessRequest, RefusesDeeplyNestedDocuments) {
  const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
  const std::string body = R"({"before":)" + deep + R"(,"after":)" + deep + "}";
  EXPECT_EQ(Call("POST", "/operator/v1/config/diff", body, 400)["kind"], "invalid_json");
  Call("POST", "/operator/v1/config/validate", deep, 200);
}

// Guards against a response to a request that needs the state of the entry.
TEST(HandleStatelessRequest, ReturnsNulloptForOtherRequests) {
  EXPECT_EQ(Call("GET", "/operator/v1/schema", "", 200), json::parse(IntentSchemaText()));
  EXPECT_FALSE(HandleStatelessRequest("GET", "/operator/v1/config", "").has_value());
  EXPECT_FALSE(HandleStatelessRequest("PUT", "/operator/v1/config", kDocument).has_value());
  EXPECT_FALSE(HandleStatelessRequest("GET", "/operator/v1/config/validate", "").has_value());
}

// Guards against a write conflict that does not show the operator both versions.
TEST(ConflictResponse, ContainsBothVersions) {
  const intent_report report = CheckIntent(kDocument);
  ASSERT_TRUE(report.document.has_value());
  const operator_answer response = ConflictResponse(3, 5, &*report.document);
  EXPECT_EQ(response.status, 409);
  const json body = json::parse(response.body);
  EXPECT_EQ(body["kind"], "conflict");
  EXPECT_EQ(body["not_run"], "yes");
  EXPECT_EQ(body["your_base"], 3);
  EXPECT_EQ(body["current"]["version"], 5);
  EXPECT_EQ(body["current"]["document"], json::parse(ToJson(*report.document)));
  EXPECT_TRUE(json::parse(ConfigResponse(0, nullptr).body)["document"].is_null());
}

// Guards against a rejected write whose errors are lost.
TEST(InvalidDocumentResponse, ContainsTheErrors) {
  const operator_answer response = InvalidDocumentResponse(CheckIntent("services: [{name: a}]"));
  EXPECT_EQ(response.status, 400);
  const json body = json::parse(response.body);
  EXPECT_EQ(body["kind"], "invalid_field");
  EXPECT_EQ(body["errors"][0]["path"], "teams");
}

}  // namespace
}  // namespace bamboowing
