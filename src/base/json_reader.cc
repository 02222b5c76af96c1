#include "bamboowing/base/json_reader.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace bamboowing {
namespace {

using nlohmann::json;

bool IsText(const json& value, std::size_t max_bytes) {
  return value.is_string() && value.get_ref<const std::string&>().size() <= max_bytes;
}

}  // namespace

std::optional<json> ParseJson(std::string_view text, failure& error) {
  bool too_deep = false;
  json document = json::parse(
      text,
      [&too_deep](int depth, json::parse_event_t event, const json&) {
        const bool opens = event == json::parse_event_t::object_start || event == json::parse_event_t::array_start;
        const bool refused = opens && static_cast<std::size_t>(depth) >= kMaxJsonDepth;
        too_deep = too_deep || refused;
        return !refused;
      },
      false);
  if (too_deep) {
    error = failure(error_kind::kInvalidJson, not_run_state::kYes,
                    "the JSON text has more than " + std::to_string(kMaxJsonDepth) + " nested levels");
    return std::nullopt;
  }
  if (document.is_discarded()) {
    error = failure(error_kind::kInvalidJson, not_run_state::kYes, "the text is not valid JSON");
    return std::nullopt;
  }
  return document;
}

std::optional<std::uint64_t> ReadWholeNumber(const json& value, std::uint64_t low, std::uint64_t high) {
  std::uint64_t number = 0;
  if (value.is_number_unsigned()) {
    number = value.get<std::uint64_t>();
  } else if (value.is_number_float()) {
    // Some writers add a zero fraction to whole numbers.
    const double real = value.get<double>();
    if (!(real >= 0 && real <= static_cast<double>(kMaxExactInteger)) || std::trunc(real) != real) {
      return std::nullopt;
    }
    number = static_cast<std::uint64_t>(real);
  } else if (value.is_number_integer() && value.get<std::int64_t>() >= 0) {
    number = static_cast<std::uint64_t>(value.get<std::int64_t>());
  } else {
    return std::nullopt;
  }
  return number >= low && number <= high ? std::optional<std::uint64_t>(number) : std::nullopt;
}

std::uint64_t WholeNumberAt(const json& object, const char* key, std::uint64_t high) {
  const std::optional<std::uint64_t> number = ReadWholeNumber(object.at(key), 0, high);
  if (!number) {
    throw std::out_of_range(std::string(key) + " is not a whole number in range");
  }
  return *number;
}

json_reader::json_reader(const json& value) : object_(value) {
  if (!value.is_object()) {
    error_ = failure(error_kind::kInvalidField, not_run_state::kYes, "expected a JSON object");
  }
}

void json_reader::Real(const char* key, field_presence presence, double& out, double low, double high) {
  const json* value = Find(key, presence);
  if (value == nullptr) {
    return;
  }
  const double number = value->is_number() ? value->get<double>() : NAN;
  if (number >= low && number <= high) {
    out = number;
  } else {
    Report(key, "must be a number from " + std::to_string(low) + " to " + std::to_string(high));
  }
}

void json_reader::Text(const char* key, field_presence presence, std::string& out, std::size_t max_bytes) {
  const json* value = Find(key, presence);
  if (value == nullptr) {
    return;
  }
  if (IsText(*value, max_bytes)) {
    out = value->get<std::string>();
  } else {
    Report(key, "must be a string of at most " + std::to_string(max_bytes) + " bytes");
  }
}

void json_reader::Texts(const char* key, field_presence presence, std::vector<std::string>& out, std::size_t max_items,
                        std::size_t max_bytes) {
  const json& list = List(key, presence);
  const bool valid = list.size() <= max_items && std::all_of(list.begin(), list.end(), [max_bytes](const json& item) {
                       return IsText(item, max_bytes);
                     });
  if (!valid) {
    Report(key, "must be a list of at most " + std::to_string(max_items) + " strings of at most " +
                    std::to_string(max_bytes) + " bytes");
    return;
  }
  if (!list.empty()) {
    out = list.get<std::vector<std::string>>();
  }
}

void json_reader::Boolean(const char* key, field_presence presence, bool& out) {
  const json* value = Find(key, presence);
  if (value == nullptr) {
    return;
  }
  if (value->is_boolean()) {
    out = value->get<bool>();
  } else {
    Report(key, "must be true or false");
  }
}

const json& json_reader::List(const char* key, field_presence presence) {
  static const json empty = json::array();
  const json* value = Find(key, presence);
  if (value != nullptr && !value->is_array()) {
    Report(key, "must be a list");
  }
  return value != nullptr && value->is_array() ? *value : empty;
}

const json& json_reader::Object(const char* key, field_presence presence) {
  static const json empty = json::object();
  const json* value = Find(key, presence);
  if (value != nullptr && !value->is_object()) {
    Report(key, "must be an object");
  }
  return value != nullptr && value->is_object() ? *value : empty;
}

void json_reader::Report(std::string_view key, std::string_view problem) {
  if (!error_) {
    error_ = failure(error_kind::kInvalidField, not_run_state::kYes, std::string(key) + " " + std::string(problem));
  }
}

const json* json_reader::Find(const char* key, field_presence presence) {
  const json::const_iterator found = object_.is_object() ? object_.find(key) : object_.end();
  if (found != object_.end()) {
    return &*found;
  }
  if (presence == field_presence::kRequired) {
    Report(key, "is missing");
  }
  return nullptr;
}

}  // namespace bamboowing
