#include "text_reader.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <cstdlib>
#include <sstream>

namespace bamboowing::intent_detail {
namespace {

using nlohmann::json;

/// Maximum length of a value quoted in an error message.
constexpr std::size_t kFoundMaxBytes = 60;

constexpr std::string_view kIntegerTag = "tag:yaml.org,2002:int";
constexpr std::string_view kStringTag = "tag:yaml.org,2002:str";

std::optional<json> AsNumber(const std::string& text) {
  const bool numeric = !text.empty() && text.find_first_not_of("0123456789+-.eE") == std::string::npos &&
                       text.find_first_of("0123456789") != std::string::npos;
  if (!numeric) {
    return std::nullopt;
  }
  const char* end = text.data() + text.size();
  std::int64_t integer = 0;
  const std::from_chars_result parsed = std::from_chars(text.data(), end, integer);
  if (parsed.ec == std::errc() && parsed.ptr == end) {
    return json(integer);
  }
  double real = 0;
  const std::from_chars_result parsed_real = std::from_chars(text.data(), end, real);
  if (parsed_real.ec == std::errc() && parsed_real.ptr == end) {
    return json(real);
  }
  return std::nullopt;
}

/// Resolves a plain scalar by the YAML 1.2 core schema, in which `no` and `off` are strings.
json ResolveScalar(const std::string& tag, const std::string& text) {
  const bool plain = tag == "?" || tag.empty();
  if (!plain && tag != kIntegerTag) {
    return text;
  }
  if (text == "null" || text == "Null" || text == "NULL" || text == "~" || text.empty()) {
    return nullptr;
  }
  if (text == "true" || text == "True" || text == "TRUE") {
    return true;
  }
  if (text == "false" || text == "False" || text == "FALSE") {
    return false;
  }
  const std::optional<json> number = AsNumber(text);
  return number ? *number : json(text);
}

/// Builds a JSON value from the YAML parser's events. The parser limits the nesting depth.
class value_builder : public YAML::EventHandler {
 public:
  value_builder(parsed_text& result, std::vector<intent_error>& errors) : result_(result), errors_(errors) {}

  void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override { AddScalar(mark, nullptr); }
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    errors_.push_back({NextPath(), "an alias", "the value written out", mark.line + 1});
    AddScalar(mark, nullptr);
  }
  void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t /*anchor*/,
                const std::string& text) override {
    AddScalar(mark, NeedsKey() ? json(text) : ResolveScalar(tag, text));
  }
  void OnSequenceStart(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t /*anchor*/,
                       YAML::EmitterStyle::value /*style*/) override {
    Open(mark, json::array());
  }
  void OnSequenceEnd() override { open_levels_.pop_back(); }
  void OnMapStart(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t /*anchor*/,
                  YAML::EmitterStyle::value /*style*/) override {
    Open(mark, json::object());
  }
  void OnMapEnd() override { open_levels_.pop_back(); }

 private:
  struct level {
    json* value;
    std::string path;
    std::string key;
    bool has_key = false;
  };

  bool NeedsKey() const {
    return !open_levels_.empty() && open_levels_.back().value->is_object() && !open_levels_.back().has_key;
  }

  std::string NextPath() const {
    if (open_levels_.empty()) {
      return "";
    }
    const level& top = open_levels_.back();
    if (top.value->is_array()) {
      return ElementPath(top.path, top.value->size());
    }
    return top.has_key ? MemberPath(top.path, top.key) : top.path;
  }

  void SetKey(const YAML::Mark& mark, const json& key) {
    level& top = open_levels_.back();
    top.key = key.is_string() ? key.get<std::string>() : key.dump();
    top.has_key = true;
    if (top.value->contains(top.key)) {
      errors_.push_back({MemberPath(top.path, top.key), "the same key again", "each key once", mark.line + 1});
    }
    result_.lines[MemberPath(top.path, top.key)] = mark.line + 1;
  }

  json* AddValue(const YAML::Mark& mark, json value) {
    result_.lines.emplace(NextPath(), mark.line + 1);
    if (open_levels_.empty()) {
      result_.value = std::move(value);
      return &result_.value;
    }
    level& top = open_levels_.back();
    if (top.value->is_array()) {
      top.value->push_back(std::move(value));
      return &top.value->back();
    }
    top.has_key = false;
    json& member = (*top.value)[top.key];
    member = std::move(value);
    return &member;
  }

  void AddScalar(const YAML::Mark& mark, json value) {
    if (NeedsKey()) {
      SetKey(mark, value);
    } else {
      AddValue(mark, std::move(value));
    }
  }

  void Open(const YAML::Mark& mark, json value) {
    if (NeedsKey()) {
      errors_.push_back({NextPath(), "a list or a map as key", "a name as key", mark.line + 1});
      SetKey(mark, "?");
    }
    const std::string path = NextPath();
    json* placed = AddValue(mark, std::move(value));
    open_levels_.push_back({placed, path, "", false});
  }

  parsed_text& result_;
  std::vector<intent_error>& errors_;
  std::vector<level> open_levels_;
};

}  // namespace

parsed_text ParseText(std::string_view text, std::vector<intent_error>& errors) {
  parsed_text result;
  if (text.size() > kIntentMaxBytes) {
    errors.push_back(
        {"", std::to_string(text.size()) + " bytes", "at most " + std::to_string(kIntentMaxBytes) + " bytes", 0});
    return result;
  }
  std::istringstream stream{std::string(text)};
  value_builder builder(result, errors);
  try {
    YAML::Parser parser(stream);
    parser.HandleNextDocument(builder);
    parsed_text rest;
    value_builder rest_builder(rest, errors);
    if (parser.HandleNextDocument(rest_builder)) {
      errors.push_back({"", "a second document in the text", "one document", 0});
    }
  } catch (const YAML::Exception& error) {
    errors.push_back({"", error.msg, "YAML or JSON", error.mark.is_null() ? 0 : error.mark.line + 1});
  }
  return result;
}

int LineOf(const std::map<std::string, int>& lines, std::string path) {
  while (true) {
    const auto found = lines.find(path);
    if (found != lines.end()) {
      return found->second;
    }
    const std::size_t separator = path.find_last_of(".[");
    if (separator == std::string::npos) {
      break;
    }
    path.resize(separator);
  }
  const auto root = lines.find("");
  return root == lines.end() ? 0 : root->second;
}

std::string MemberPath(std::string_view path, std::string_view key) {
  std::string result(path);
  if (!result.empty()) {
    result += '.';
  }
  return result.append(key);
}

std::string ElementPath(std::string_view path, std::size_t index) {
  return std::string(path).append("[").append(std::to_string(index)).append("]");
}

std::string Shorten(const json& value) {
  if (value.is_object()) {
    return value.empty() ? "an empty map" : "a map";
  }
  if (value.is_array()) {
    return value.empty() ? "an empty list" : "a list of " + std::to_string(value.size());
  }
  std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kFoundMaxBytes) {
    text.resize(kFoundMaxBytes);
    text += "...";
  }
  return text;
}

}  // namespace bamboowing::intent_detail
