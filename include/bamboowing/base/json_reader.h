/// @file
/// Strict readers of JSON that another process wrote.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/error.h"

namespace bamboowing {

/// Deepest nesting of lists and objects that is accepted. Copying, comparing and writing a JSON value recurse once per
/// level, so that unbounded nesting exhausts the stack.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// The largest whole number that every JSON implementation represents exactly.
inline constexpr std::uint64_t kMaxExactInteger = 1ULL << 53U;

/// Parses @p text. Returns nullopt and sets @p error if it is not JSON, is not UTF-8 or is nested too deeply.
std::optional<nlohmann::json> ParseJson(std::string_view text, failure& error);

/// The whole number in @p value; nullopt if it is not a number, has a fraction or is not within @p low and @p high.
std::optional<std::uint64_t> ReadWholeNumber(const nlohmann::json& value, std::uint64_t low, std::uint64_t high);

/// The whole number from 0 to @p high in the field @p key of @p object. Throws an exception if there is none.
std::uint64_t WholeNumberAt(const nlohmann::json& object, const char* key, std::uint64_t high);

/// Whether an object may lack a field.
enum class field_presence : std::uint8_t { kRequired, kOptional };

/// Reads the fields of a JSON object. An output is unchanged if its field is absent or wrong. The first wrong field is
/// kept as the error.
class json_reader {
 public:
  /// @p value must outlive the reader. A value that is not an object is an error.
  explicit json_reader(const nlohmann::json& value);

  bool ok() const { return !error_.has_value(); }
  /// The first error; only if !ok().
  const failure& error() const { return *error_; }

  /// Reads a whole number from @p low to @p high.
  template <typename Number>
  void Whole(const char* key, field_presence presence, Number& out, std::uint64_t low = 0,
             std::uint64_t high = std::numeric_limits<Number>::max()) {
    const nlohmann::json* value = Find(key, presence);
    if (value == nullptr) {
      return;
    }
    if (const std::optional<std::uint64_t> number = ReadWholeNumber(*value, low, high); number) {
      out = static_cast<Number>(*number);
    } else {
      Report(key, "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
    }
  }

  /// Reads a number from @p low to @p high, which may have a fraction.
  void Real(const char* key, field_presence presence, double& out, double low, double high);

  /// Reads a string of at most @p max_bytes.
  void Text(const char* key, field_presence presence, std::string& out, std::size_t max_bytes);

  /// Reads a list of at most @p max_items strings of at most @p max_bytes each.
  void Texts(const char* key, field_presence presence, std::vector<std::string>& out, std::size_t max_items,
             std::size_t max_bytes);

  void Boolean(const char* key, field_presence presence, bool& out);

  /// Returns the list or object in the field, or an empty one if it is absent or of another type.
  const nlohmann::json& List(const char* key, field_presence presence);
  const nlohmann::json& Object(const char* key, field_presence presence);

  /// Records an error of the field @p key unless there is an earlier one.
  void Report(std::string_view key, std::string_view problem);

 private:
  const nlohmann::json* Find(const char* key, field_presence presence);

  const nlohmann::json& object_;
  std::optional<failure> error_;
};

}  // namespace bamboowing
