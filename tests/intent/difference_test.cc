#include "bamboowing/intent/difference.h"

#include <gtest/gtest.h>

namespace bamboowing {
namespace {

intent_document Parsed(const std::string& text) {
  std::vector<intent_error> errors;
  const std::optional<intent_document> document = ParseIntent(text, errors);
  for (const intent_error& error : errors) {
    ADD_FAILURE() << FormatIntentError(error);
  }
  return document.value_or(intent_document{});
}

std::string Changes(const std::string& before, const std::string& after) {
  std::string result;
  for (const intent_change& change : Difference(Parsed(before), Parsed(after))) {
    result += FormatIntentChange(change) + "\n";
  }
  return result;
}

// Guards against changes that an operator would miss, or that are attributed to the wrong element after a reordering.
TEST(Difference, NamesEveryChangeByTheNameOfItsElement) {
  const std::string before =
      "services: [{name: a}, {name: b, shards: 2}]\nteams: [{name: t, quota_percent: 5}, {name: u}]\n"
      "drains: {targets: [m-1, m-2]}\n";
  const std::string after =
      "write_id: other-write\nservices: [{name: b, shards: 4}, {name: a}]\nteams: [{name: v, weight: 3}, {name: t}]\n"
      "drains: {targets: [m-3, m-2]}\nlimits: {body_bytes: 2048}\n";
  EXPECT_EQ(Changes(before, after),
            "drains.targets[m-1]: removed \"m-1\"\n"
            "drains.targets[m-3]: added \"m-3\"\n"
            "limits.body_bytes: 1048576 -> 2048\n"
            "services[b].shards: 2 -> 4\n"
            "teams[t].quota_percent: removed 5\n"
            "teams[u]: removed {\"name\":\"u\",\"priority\":0,\"weight\":1}\n"
            "teams[v]: added {\"name\":\"v\",\"priority\":0,\"weight\":3}\n");
}

// Guards against a difference between equal documents that are written differently.
TEST(Difference, IsEmptyForEqualDocuments) {
  EXPECT_EQ(Changes("write_id: some-write\nservices: [{name: a}]\nteams: [{name: t}]\n",
                    R"({"services": [{"name": "a", "shards": 1}], "teams": [{"name": "t", "weight": 1}]})"),
            "");
}

}  // namespace
}  // namespace bamboowing
