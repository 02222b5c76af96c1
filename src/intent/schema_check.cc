#include "schema_check.h"

#include <algorithm>
#include <memory>
#include <set>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "bamboowing/intent/schema.h"
#include "text_reader.h"

namespace bamboowing::intent_detail {
namespace {

using nlohmann::json;
using error_context = std::vector<std::string>;

std::unique_ptr<const valijson::Schema> CompileSchema() {
  std::unique_ptr<valijson::Schema> compiled = std::make_unique<valijson::Schema>();
  valijson::SchemaParser parser(valijson::SchemaParser::kDraft7);
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(IntentSchema()), *compiled);
  return compiled;
}

/// A value in the document with its path and its schema node.
struct schema_location {
  std::string path;
  const json* value = nullptr;
  const json* schema = nullptr;
};

const json* Member(const json* node, const char* key) {
  return node != nullptr && node->is_object() && node->contains(key) ? &node->at(key) : nullptr;
}

/// Follows one step of valijson's error context, which is "[key]" or "[index]".
void Descend(const std::string& step, schema_location& location) {
  const std::string name = step.substr(1, step.size() - 2);
  if (location.value->is_array()) {
    const std::size_t index = std::stoul(name);
    location = {ElementPath(location.path, index), &location.value->at(index), Member(location.schema, "items")};
    return;
  }
  location = {MemberPath(location.path, name), &location.value->at(name),
              Member(Member(location.schema, "properties"), name.c_str())};
}

schema_location Locate(const error_context& steps, const json& document) {
  schema_location location{"", &document, &IntentSchema()};
  // The first step is valijson's name for the root.
  for (std::size_t i = 1; i < steps.size(); ++i) {
    Descend(steps[i], location);
  }
  return location;
}

std::string JoinKeys(const json& map) {
  std::string result;
  for (const auto& [key, unused] : map.items()) {
    result += result.empty() ? key : ", " + key;
  }
  return result;
}

/// Reports all unknown and missing keys at their own paths. valijson names only the first unknown key of a map, and
/// reports missing keys at the path of the map.
void ReportKeyErrors(const schema_location& location, std::vector<intent_error>& errors) {
  const json& properties = location.schema->at("properties");
  for (const auto& [key, unused] : location.value->items()) {
    if (!properties.contains(key)) {
      errors.push_back({MemberPath(location.path, key), "an unknown property", "one of " + JoinKeys(properties)});
    }
  }
  for (const json& required : location.schema->value("required", json::array())) {
    const std::string key = required.get<std::string>();
    if (!location.value->contains(key)) {
      errors.push_back({MemberPath(location.path, key), "nothing", DescribeExpected(properties.at(key))});
    }
  }
}

void ReportError(const schema_location& location, std::vector<intent_error>& errors) {
  if (location.schema == nullptr) {
    return;
  }
  if (location.value->is_object() && location.schema->contains("properties")) {
    ReportKeyErrors(location, errors);
    return;
  }
  errors.push_back({location.path, Shorten(*location.value), DescribeExpected(*location.schema)});
}

/// Whether valijson's error only reports that a nested value is invalid; that value has its own error.
bool IsParentError(const std::string& description) { return description.rfind("Failed to validate", 0) == 0; }

std::string DescribeRange(const json& schema, const std::string& kind) {
  std::string text = kind;
  if (schema.contains("minimum") && schema.contains("maximum")) {
    text += " from " + schema["minimum"].dump() + " to " + schema["maximum"].dump();
  }
  if (schema.contains("unit")) {
    text += " (" + schema["unit"].get<std::string>() + ")";
  }
  return text;
}

std::string DescribeList(const json& schema) {
  const std::size_t min_items = schema.value("minItems", std::size_t{0});
  const std::string count = std::to_string(min_items) + " to " + schema.at("maxItems").dump();
  return "a list of " + count + " entries";
}

using path_set = std::set<std::string>;

void ReplaceInvalidAt(const json& schema, const std::string& path, const path_set& invalid, json& value);

json EmptyValue(const json& schema) {
  const std::string type = schema.at("type").get<std::string>();
  if (type == "object") {
    json value = json::object();
    ReplaceInvalidAt(schema, "", {}, value);
    return value;
  }
  return type == "array" ? json::array() : json("");
}

/// A list with too many or too few elements is kept, so that its elements are checked.
bool MustReplace(const json& schema, const std::string& path, const path_set& invalid, const json& value) {
  return invalid.count(path) != 0 && !(value.is_array() && schema.at("type") == "array");
}

void ReplaceInvalidMember(const std::string& key, const json& map_schema, const std::string& path,
                          const path_set& invalid, json& map) {
  const json& schema = map_schema.at("properties").at(key);
  const std::string member_path = MemberPath(path, key);
  if (map.contains(key) && MustReplace(schema, member_path, invalid, map[key])) {
    map.erase(key);
  }
  const json required = map_schema.value("required", json::array());
  if (!map.contains(key) && std::find(required.begin(), required.end(), key) != required.end()) {
    map[key] = EmptyValue(schema);
  }
  if (map.contains(key)) {
    ReplaceInvalidAt(schema, member_path, invalid, map[key]);
  }
}

void ReplaceInvalidAt(const json& schema, const std::string& path, const path_set& invalid, json& value) {
  if (MustReplace(schema, path, invalid, value)) {
    value = EmptyValue(schema);
  }
  if (value.is_array()) {
    for (std::size_t i = 0; i < value.size(); ++i) {
      ReplaceInvalidAt(schema.at("items"), ElementPath(path, i), invalid, value[i]);
    }
  }
  if (value.is_object()) {
    for (const auto& [key, unused] : schema.at("properties").items()) {
      ReplaceInvalidMember(key, schema, path, invalid, value);
    }
  }
}

void FillMember(const std::string& key, const json& schema, json& map) {
  if (!map.contains(key)) {
    if (!schema.contains("default")) {
      return;
    }
    map[key] = schema["default"];
  }
  FillDefaults(schema, map[key]);
}

}  // namespace

const json& IntentSchema() {
  static const json schema = json::parse(IntentSchemaText());
  return schema;
}

bool CheckSchema(const json& value, std::vector<intent_error>& errors) {
  static const std::unique_ptr<const valijson::Schema> compiled = CompileSchema();
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(*compiled, valijson::adapters::NlohmannJsonAdapter(value), &results)) {
    return true;
  }
  const std::size_t before = errors.size();
  std::set<std::string> explained;
  for (const valijson::ValidationResults::Error& error : results) {
    const schema_location location = Locate(error.context, value);
    if (!IsParentError(error.description) && explained.insert(location.path).second) {
      ReportError(location, errors);
    }
  }
  if (errors.size() == before) {
    errors.push_back({"", Shorten(value), "a document that meets the schema"});
  }
  return false;
}

void ReplaceInvalidValues(const std::vector<intent_error>& errors, json& value) {
  path_set invalid;
  for (const intent_error& error : errors) {
    invalid.insert(error.path);
  }
  ReplaceInvalidAt(IntentSchema(), "", invalid, value);
}

void FillDefaults(const json& schema, json& value) {
  if (value.is_array()) {
    for (json& element : value) {
      FillDefaults(schema.at("items"), element);
    }
  }
  if (value.is_object()) {
    for (const auto& [key, property] : schema.at("properties").items()) {
      FillMember(key, property, value);
    }
  }
}

std::string DescribeExpected(const json& schema) {
  const std::string type = schema.at("type").get<std::string>();
  if (type == "integer") {
    return DescribeRange(schema, "an integer");
  }
  if (type == "number") {
    return DescribeRange(schema, "a number");
  }
  if (type == "boolean") {
    return "true or false";
  }
  if (type == "array") {
    return DescribeList(schema);
  }
  if (type == "object") {
    return "a map with the keys " + JoinKeys(schema.at("properties"));
  }
  return "a string of " + schema.at("expected").get<std::string>();
}

}  // namespace bamboowing::intent_detail
