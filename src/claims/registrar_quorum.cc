#include "bamboowing/claims/registrar_quorum.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "bamboowing/base/address.h"
#include "bamboowing/base/json_reader.h"

namespace bamboowing {
namespace {

// Bounds of a view that is read, far above the number of entries that a deployment has.
constexpr std::size_t kMaxMembers = 4096;
constexpr std::size_t kMaxAddressBytes = 64;

std::uint64_t Rank(std::string_view job_id, const std::string& address) {
  return XXH3_64bits_withSeed(address.data(), address.size(), XXH3_64bits(job_id.data(), job_id.size()));
}

bool AreReachableAddresses(span<const std::string> addresses) {
  failure error;
  return std::all_of(addresses.begin(), addresses.end(),
                     [&error](const std::string& address) { return ParseRemoteEndpoint(address, error).has_value(); });
}

}  // namespace

std::vector<std::string> ChooseRegistrars(std::string_view job_id, span<const std::string> members) {
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const std::string& address : members) {
    ranked.emplace_back(Rank(job_id, address), address);
  }
  std::sort(ranked.begin(), ranked.end());
  const std::size_t count = ranked.size() < kRegistrars ? std::min<std::size_t>(ranked.size(), 1) : kRegistrars;
  std::vector<std::string> registrars;
  for (std::size_t i = 0; i < count; ++i) {
    registrars.push_back(std::move(ranked[i].second));
  }
  return registrars;
}

std::vector<std::vector<std::string>> RegistrarSets(std::string_view job_id, const registrar_view& view) {
  std::vector<std::vector<std::string>> sets;
  sets.push_back(ChooseRegistrars(job_id, view.members));
  if (!view.previous.empty()) {
    sets.push_back(ChooseRegistrars(job_id, view.previous));
  }
  return sets;
}

std::string FormatRegistrarView(const registrar_view& view) {
  nlohmann::ordered_json json;
  json["number"] = view.number;
  json["members"] = view.members;
  json["previous"] = view.previous;
  return json.dump();
}

std::optional<registrar_view> ParseRegistrarView(std::string_view text) {
  failure error;
  const std::optional<nlohmann::json> document = ParseJson(text, error);
  if (!document) {
    return std::nullopt;
  }
  registrar_view view;
  json_reader reader(*document);
  reader.Whole("number", field_presence::kRequired, view.number, 1, kMaxExactInteger);
  reader.Texts("members", field_presence::kRequired, view.members, kMaxMembers, kMaxAddressBytes);
  reader.Texts("previous", field_presence::kOptional, view.previous, kMaxMembers, kMaxAddressBytes);
  if (!reader.ok() || view.members.empty() || !AreReachableAddresses(view.members) ||
      !AreReachableAddresses(view.previous)) {
    return std::nullopt;
  }
  return view;
}

}  // namespace bamboowing
