#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "bamboowing/intent/report.h"
#include "bamboowing/intent/schema.h"

namespace bamboowing {
namespace {

using nlohmann::json;

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  EXPECT_TRUE(file.good()) << path;
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string TextOf(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

std::string RangeOf(const json& schema) {
  const std::string type = schema.at("type");
  if (type == "array") {
    return std::to_string(schema.value("minItems", 0)) + " to " + schema.at("maxItems").dump() + " entries";
  }
  if (type == "boolean") {
    return "true, false";
  }
  if (type == "string") {
    return schema.at("expected");
  }
  return type == "object" ? "–" : schema.at("minimum").dump() + " to " + schema.at("maximum").dump();
}

std::string DefaultOf(const json& schema, bool required) {
  if (required) {
    return "required";
  }
  return schema.contains("default") ? "`" + schema["default"].dump() + "`" : "not set";
}

void AddRows(const json& schema, const std::string& path, std::set<std::string>& rows) {
  const json required = schema.value("required", json::array());
  for (const auto& [key, property] : schema.at("properties").items()) {
    const std::string name = path.empty() ? key : path + "." + key;
    const bool is_required = std::find(required.begin(), required.end(), key) != required.end();
    rows.insert("| `" + name + "` | " + TextOf(property.at("type")) + " | " + property.value("unit", "–") + " | " +
                DefaultOf(property, is_required) + " | " + RangeOf(property) + " | " +
                property.at("description").get<std::string>() + " |");
    if (property.at("type") == "object") {
      AddRows(property, name, rows);
    } else if (property.at("type") == "array" && property.at("items").at("type") == "object") {
      AddRows(property.at("items"), name + "[]", rows);
    }
  }
}

// Guards against a page that differs from the schema: each property has one row with its type, unit,
// default, range and description, and no other property has one.
TEST(ConfigurationPage, HasTheRowOfEachProperty) {
  std::set<std::string> expected;
  AddRows(json::parse(IntentSchemaText()), "", expected);
  std::set<std::string> found;
  std::istringstream page(ReadFile(std::filesystem::path(BAMBOOWING_SOURCE_DIR) / "docs/configuration.md"));
  for (std::string line; std::getline(page, line);) {
    if (line.rfind("| `", 0) == 0) {
      EXPECT_TRUE(found.insert(line).second) << "twice: " << line;
      EXPECT_EQ(expected.count(line), 1U) << "not in the schema: " << line;
    }
  }
  for (const std::string& row : expected) {
    EXPECT_EQ(found.count(row), 1U) << "missing: " << row;
  }
}

void CheckUnits(const json& schema) {
  for (const auto& [key, property] : schema.at("properties").items()) {
    for (const char* unit : {"ms", "bytes", "percent"}) {
      const std::string suffix = std::string("_") + unit;
      const bool named = key.size() > suffix.size() && key.substr(key.size() - suffix.size()) == suffix;
      EXPECT_EQ(named, property.value("unit", "") == unit) << key;
    }
    const json& inner = property.contains("items") ? property["items"] : property;
    if (inner.at("type") == "object") {
      CheckUnits(inner);
    }
  }
}

// Guards against a property whose name does not state its unit.
TEST(IntentSchema, NamesTheUnitInTheKey) { CheckUnits(json::parse(IntentSchemaText())); }

// Guards against examples that the current schema rejects or warns about.
TEST(Examples, AreAcceptedWithoutWarnings) {
  int count = 0;
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::directory_iterator(std::filesystem::path(BAMBOOWING_SOURCE_DIR) / "examples")) {
    if (entry.path().extension() != ".yaml") {
      continue;
    }
    ++count;
    const intent_report report = CheckIntent(ReadFile(entry.path()));
    for (const intent_error& error : report.errors) {
      ADD_FAILURE() << entry.path() << ": " << FormatIntentError(error);
    }
    for (const intent_error& warning : report.warnings) {
      ADD_FAILURE() << entry.path() << ": warning: " << FormatIntentError(warning);
    }
  }
  EXPECT_GE(count, 3);
}

}  // namespace
}  // namespace bamboowing
