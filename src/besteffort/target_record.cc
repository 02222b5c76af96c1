#include "bamboowing/besteffort/target_record.h"

#include <nlohmann/json.hpp>

#include "bamboowing/base/json_reader.h"

namespace bamboowing {
namespace {

// Longest id and address of a record.
constexpr std::size_t kMaxTextBytes = 256;

}  // namespace

std::string FormatTargetRecord(const target_incarnation& target) {
  nlohmann::ordered_json json;
  json["id"] = target.id;
  json["start_id"] = target.start_id;
  json["address"] = target.address;
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<target_incarnation> ParseTargetRecord(std::string_view text) {
  failure error;
  const std::optional<nlohmann::json> document = ParseJson(text, error);
  if (!document) {
    return std::nullopt;
  }
  target_incarnation target;
  json_reader reader(*document);
  reader.Text("id", field_presence::kRequired, target.id, kMaxTextBytes);
  reader.Whole("start_id", field_presence::kRequired, target.start_id);
  reader.Text("address", field_presence::kRequired, target.address, kMaxTextBytes);
  if (!reader.ok() || target.id.empty()) {
    return std::nullopt;
  }
  return target;
}

}  // namespace bamboowing
