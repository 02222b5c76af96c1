/// @file
/// Helpers shared by the codec's source files.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bamboowing/wire/codec.h"

namespace bamboowing::detail {

inline std::string ToString(capnp::Text::Reader text) { return {text.begin(), text.size()}; }

inline std::string ToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

inline capnp::Data::Reader ToData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

inline std::int64_t ToMicros(instant at) { return at.time_since_epoch().count(); }

inline instant ToInstant(std::int64_t micros) { return instant(duration(micros)); }

/// Converts a number to an enumeration whose last value is @p last; nullopt if it is out of range.
template <typename Enum>
std::optional<Enum> ToEnum(std::uint8_t value, Enum last) {
  if (value > static_cast<std::uint8_t>(last)) {
    return std::nullopt;
  }
  return static_cast<Enum>(value);
}

/// Wire form of an optional duration in microseconds; negative if absent.
inline std::int64_t ToOptionalMicros(const std::optional<duration>& value) { return value ? value->count() : -1; }

inline std::optional<duration> FromOptionalMicros(std::int64_t micros) {
  if (micros < 0) {
    return std::nullopt;
  }
  return duration(micros);
}

void WriteKey(const task_key& key, rpc::TaskKey::Builder out);
task_key ReadKey(rpc::TaskKey::Reader in);
void WriteTexts(const std::vector<std::string>& texts, capnp::List<capnp::Text>::Builder out);
std::vector<std::string> ReadTexts(capnp::List<capnp::Text>::Reader in);

}  // namespace bamboowing::detail
