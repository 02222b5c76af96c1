#include "bamboowing/base/json_reader.h"

#include <gtest/gtest.h>

namespace bamboowing {
namespace {

using nlohmann::json;

std::string Nested(std::size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

// Guards against a stack overflow by deeply nested text.
TEST(ParseJson, RejectsDeepNesting) {
  failure error;
  EXPECT_TRUE(ParseJson(Nested(kMaxJsonDepth), error).has_value());
  EXPECT_FALSE(ParseJson(Nested(kMaxJsonDepth + 1), error).has_value());
  EXPECT_EQ(error.kind, error_kind::kInvalidJson);
  EXPECT_FALSE(ParseJson(R"({"a":)" + Nested(500'000) + "}", error).has_value());
  EXPECT_FALSE(ParseJson(std::string(500'000, '['), error).has_value());
}

// Guards against an exception for text that is not JSON or not UTF-8.
TEST(ParseJson, RejectsTextThatIsNotJson) {
  failure error;
  for (const char* text : {"", "nothing", "{", "{\"a\":1e400}", "\"\xff\xfe\"", "{} {}"}) {
    EXPECT_FALSE(ParseJson(text, error).has_value()) << text;
  }
}

// Guards against a number that wraps or is undefined after its conversion.
TEST(ReadWholeNumber, RejectsNumbersOutOfRange) {
  for (const char* text :
       {"-1", "-1.0", "1.5", "1e300", "-1e300", "18446744073709551616", "101", "\"7\"", "null", "true", "[]", "{}"}) {
    EXPECT_EQ(ReadWholeNumber(json::parse(text), 0, 100), std::nullopt) << text;
  }
  EXPECT_EQ(ReadWholeNumber(json::parse("0"), 1, 100), std::nullopt);
  EXPECT_EQ(ReadWholeNumber(json::parse("100"), 1, 100), 100U);
  EXPECT_EQ(ReadWholeNumber(json::parse("7.0"), 1, 100), 7U);
  EXPECT_EQ(ReadWholeNumber(json::parse("18446744073709551615"), 0, UINT64_MAX), UINT64_MAX);
}

// Guards against a field of another type that is taken as absent.
TEST(JsonReader, ReportsTheFirstWrongField) {
  const json document = json::parse(R"({"count":3,"name":"a","list":["x",7],"flag":1,"real":2.5})");
  json_reader reader(document);
  std::uint32_t count = 0;
  std::string name;
  double real = 0;
  reader.Whole("count", field_presence::kRequired, count, 1, 10);
  reader.Text("name", field_presence::kRequired, name, 1);
  reader.Real("real", field_presence::kRequired, real, 0, 3);
  reader.Whole("absent", field_presence::kOptional, count);
  EXPECT_TRUE(reader.ok());
  EXPECT_EQ(count, 3U);
  EXPECT_EQ(name, "a");
  std::vector<std::string> list;
  reader.Texts("list", field_presence::kRequired, list, 10, 10);
  EXPECT_FALSE(reader.ok());
  bool flag = false;
  reader.Boolean("flag", field_presence::kRequired, flag);
  EXPECT_EQ(reader.error().reason.rfind("list ", 0), 0U) << reader.error().reason;
}

// Guards against a missing field or a value that is not an object.
TEST(JsonReader, ReportsMissingFieldsAndOtherTypes) {
  std::string text;
  const json empty = json::object();
  json_reader missing(empty);
  missing.Text("name", field_presence::kRequired, text, 10);
  EXPECT_EQ(missing.error().reason, "name is missing");
  const json list = json::array();
  EXPECT_FALSE(json_reader(list).ok());
}

}  // namespace
}  // namespace bamboowing
