#include "bamboowing/entry/directory.h"

#include <nlohmann/json.hpp>

#include "bamboowing/base/address.h"
#include "bamboowing/base/json_reader.h"

namespace bamboowing {
namespace {

constexpr std::string_view kHolderSuffix = "/holder";
// Longest id, address and failure domain of a registration.
constexpr std::size_t kMaxTextBytes = 256;

bool StartsWith(std::string_view text, std::string_view prefix) { return text.substr(0, prefix.size()) == prefix; }

/// Reads the shard from a key like "shards/SERVICE/N/holder".
std::optional<shard_id> ShardOfHolderKey(std::string_view key) {
  const std::size_t fixed = kShardsPrefix.size() + kHolderSuffix.size();
  if (!StartsWith(key, kShardsPrefix) || key.size() <= fixed ||
      key.substr(key.size() - kHolderSuffix.size()) != kHolderSuffix) {
    return std::nullopt;
  }
  const std::string_view middle = key.substr(kShardsPrefix.size(), key.size() - fixed);
  const std::size_t slash = middle.rfind('/');
  if (slash == std::string_view::npos || slash + 1 == middle.size()) {
    return std::nullopt;
  }
  const std::string index(middle.substr(slash + 1));
  if (index.find_first_not_of("0123456789") != std::string::npos || index.size() > 6) {
    return std::nullopt;
  }
  return shard_id{std::string(middle.substr(0, slash)), static_cast<std::uint32_t>(std::stoul(index))};
}

}  // namespace

std::string RegistrationKey(std::string_view entry_id) { return std::string(kEntriesPrefix) + std::string(entry_id); }

std::string FormatRegistration(const entry_identity& entry) {
  nlohmann::ordered_json json;
  json["id"] = entry.id;
  json["life"] = entry.incarnation;
  json["peers_address"] = entry.peers_address;
  json["failure_domain"] = entry.failure_domain;
  if (entry.wants_agents) {
    json["wants_agents"] = true;
  }
  return json.dump();
}

std::optional<entry_identity> ParseRegistration(std::string_view text) {
  failure error;
  const std::optional<nlohmann::json> document = ParseJson(text, error);
  if (!document) {
    return std::nullopt;
  }
  entry_identity entry;
  json_reader reader(*document);
  reader.Text("id", field_presence::kRequired, entry.id, kMaxTextBytes);
  reader.Whole("life", field_presence::kRequired, entry.incarnation);
  reader.Text("peers_address", field_presence::kRequired, entry.peers_address, kMaxTextBytes);
  reader.Text("failure_domain", field_presence::kOptional, entry.failure_domain, kMaxTextBytes);
  reader.Boolean("wants_agents", field_presence::kOptional, entry.wants_agents);
  if (!reader.ok() || !ParseRemoteEndpoint(entry.peers_address, error)) {
    return std::nullopt;
  }
  return entry;
}

void directory::Apply(const directory_update& result) {
  if (!result.answered) {
    return;
  }
  if (result.complete) {
    entries_.clear();
    agents_.clear();
    holders_.clear();
  }
  for (const std::string& key : result.deleted) {
    Remove(key);
  }
  for (const store_item& item : result.items) {
    ApplyItem(item);
  }
}

std::optional<shard_holder> directory::Holder(const shard_id& shard) const {
  const std::map<shard_id, shard_holder>::const_iterator found = holders_.find(shard);
  if (found == holders_.end()) {
    return std::nullopt;
  }
  return found->second;
}

void directory::ApplyItem(const store_item& item) {
  if (item.key == kConfigKey) {
    if (item.version > config_.version) {
      config_ = item;
    }
    return;
  }
  if (StartsWith(item.key, kEntriesPrefix)) {
    std::optional<entry_identity> entry = ParseRegistration(item.value);
    // Under another key, it would replace the registration of the entry that has this id.
    if (entry && RegistrationKey(entry->id) == item.key) {
      entries_[entry->id] = std::move(*entry);
    }
    return;
  }
  if (StartsWith(item.key, kTargetsPrefix)) {
    agents_.insert(item.key.substr(kTargetsPrefix.size()));
    return;
  }
  if (const std::optional<shard_id> shard = ShardOfHolderKey(item.key); shard) {
    failure error;
    if (std::optional<shard_holder> holder = DecodeShardHolder(item.value, error); holder) {
      holders_[*shard] = std::move(*holder);
    }
  }
}

void directory::Remove(std::string_view key) {
  if (StartsWith(key, kEntriesPrefix)) {
    const std::map<std::string, entry_identity, std::less<>>::iterator found =
        entries_.find(key.substr(kEntriesPrefix.size()));
    if (found != entries_.end()) {
      entries_.erase(found);
    }
    return;
  }
  if (StartsWith(key, kTargetsPrefix)) {
    const std::set<std::string, std::less<>>::iterator found = agents_.find(key.substr(kTargetsPrefix.size()));
    if (found != agents_.end()) {
      agents_.erase(found);
    }
    return;
  }
  if (const std::optional<shard_id> shard = ShardOfHolderKey(key); shard) {
    holders_.erase(*shard);
  }
}

}  // namespace bamboowing
