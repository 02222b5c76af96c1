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
using context = std::vector<std::string>;

std::unique_ptr<const valijson::Schema> CompileSchema() {
  std::unique_ptr<valijson::Schema> compiled = std::make_unique<valijson::Schema>();
  valijson::SchemaParser parser(valijson::SchemaParser::kDraft7);
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(IntentSchema()), *compiled);
  return compiled;
}

/// A value in the document together with the schema node for it.
struct place {
  std::string path;
  const json* value = nullptr;
  const json* schema = nullptr;
};

const json* Member(const json* node, const char* key) {
  return node != nullptr && node->is_object() && node->contains(key) ? &node->at(key) : nullptr;
}

/// Follows one step of valijson's context, which is "[key]" or "[index]".
void Descend(const std::string& step, place& at) {
  const std::string name = step.substr(1, step.size() - 2);
  if (at.value->is_array()) {
    const std::size_t index = std::stoul(name);
    at = {ElementPath(at.path, index), &at.value->at(index), Member(at.schema, "items")};
    return;
  }
  at = {MemberPath(at.path, name), &at.value->at(name), Member(Member(at.schema, "properties"), name.c_str())};
}

place Locate(const context& steps, const json& document) {
  place at{"", &document, &IntentSchema()};
  // The first step is valijson's name of the root.
  for (std::size_t i = 1; i < steps.size(); ++i) {
    Descend(steps[i], at);
  }
  return at;
}

std::string JoinKeys(const json& map) {
  std::string result;
  for (const auto& [key, unused] : map.items()) {
    result += result.empty() ? key : ", " + key;
  }
  return result;
}

/// valijson names only the first unknown key of a map and reports missing keys at the map; both are reported here at
/// their own paths, all of them.
void ExplainKeys(const place& at, std::vector<intent_error>& errors) {
  const json& properties = at.schema->at("properties");
  for (const auto& [key, unused] : at.value->items()) {
    if (!properties.contains(key)) {
      errors.push_back({MemberPath(at.path, key), "an unknown property", "one of " + JoinKeys(properties)});
    }
  }
  for (const json& required : at.schema->value("required", json::array())) {
    const std::string key = required.get<std::string>();
    if (!at.value->contains(key)) {
      errors.push_back({MemberPath(at.path, key), "nothing", DescribeExpected(properties.at(key))});
    }
  }
}

void Explain(const place& at, std::vector<intent_error>& errors) {
  if (at.schema == nullptr) {
    return;
  }
  if (at.value->is_object() && at.schema->contains("properties")) {
    ExplainKeys(at, errors);
    return;
  }
  errors.push_back({at.path, Shorten(*at.value), DescribeExpected(*at.schema)});
}

/// Whether valijson's error only says that a value inside this one is invalid; that value has its own error.
bool IsConsequence(const std::string& description) { return description.rfind("Failed to validate", 0) == 0; }

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

void RepairAt(const json& schema, const std::string& path, const path_set& invalid, json& value);

json EmptyValue(const json& schema) {
  const std::string type = schema.at("type").get<std::string>();
  if (type == "object") {
    json value = json::object();
    RepairAt(schema, "", {}, value);
    return value;
  }
  return type == "array" ? json::array() : json("");
}

/// A list with too many or too few elements is kept, so that its elements are checked.
bool MustReplace(const json& schema, const std::string& path, const path_set& invalid, const json& value) {
  return invalid.count(path) != 0 && !(value.is_array() && schema.at("type") == "array");
}

void RepairMember(const std::string& key, const json& map_schema, const std::string& path, const path_set& invalid,
                  json& map) {
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
    RepairAt(schema, member_path, invalid, map[key]);
  }
}

void RepairAt(const json& schema, const std::string& path, const path_set& invalid, json& value) {
  if (MustReplace(schema, path, invalid, value)) {
    value = EmptyValue(schema);
  }
  if (value.is_array()) {
    for (std::size_t i = 0; i < value.size(); ++i) {
      RepairAt(schema.at("items"), ElementPath(path, i), invalid, value[i]);
    }
  }
  if (value.is_object()) {
    for (const auto& [key, unused] : schema.at("properties").items()) {
      RepairMember(key, schema, path, invalid, value);
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
    const place at = Locate(error.context, value);
    if (!IsConsequence(error.description) && explained.insert(at.path).second) {
      Explain(at, errors);
    }
  }
  if (errors.size() == before) {
    errors.push_back({"", Shorten(value), "a document that meets the schema"});
  }
  return false;
}

void Repair(const std::vector<intent_error>& errors, json& value) {
  path_set invalid;
  for (const intent_error& error : errors) {
    invalid.insert(error.path);
  }
  RepairAt(IntentSchema(), "", invalid, value);
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
