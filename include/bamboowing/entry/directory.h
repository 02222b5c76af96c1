/// @file
/// View of the key-value service: registered entries, the holder of each shard and the configuration.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/entry/agent_sessions.h"
#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/ownership/shard_record.h"

namespace bamboowing {

/// Keys of the key-value service, below the prefix that the process adds to all keys.
inline constexpr std::string_view kEntriesPrefix = "entries/";
inline constexpr std::string_view kShardsPrefix = "shards/";
/// Records of the targets of agents, by the id of the agent; see FormatTargetRecord().
inline constexpr std::string_view kTargetsPrefix = "targets/";
inline constexpr std::string_view kConfigKey = "config/document";

/// Key and JSON text of an entry's registration.
std::string RegistrationKey(std::string_view entry_id);
std::string FormatRegistration(const entry_identity& entry);

/// Reads a registration; nullopt if the text is not one, or names an address at which no entry can be reached.
std::optional<entry_identity> ParseRegistration(std::string_view text);

/// Registrations, shard holders, recorded agents and configuration as last received from the watch.
class directory {
 public:
  /// Applies a watch result. An unanswered watch changes nothing.
  void Apply(const directory_update& result);

  /// The current holder of a shard; nullopt if there is none.
  std::optional<shard_holder> Holder(const shard_id& shard) const;

  /// Registered entries by id.
  const std::map<std::string, entry_identity, std::less<>>& entries() const { return entries_; }

  /// Ids of the agents whose targets are recorded.
  const std::set<std::string, std::less<>>& agents() const { return agents_; }

  /// All holders by shard.
  const std::map<shard_id, shard_holder>& holders() const { return holders_; }

  /// Configuration document and its version; an empty value with version 0 if there is none.
  const store_item& config() const { return config_; }

 private:
  void ApplyItem(const store_item& item);
  void Remove(std::string_view key);

  std::map<std::string, entry_identity, std::less<>> entries_;
  std::set<std::string, std::less<>> agents_;
  std::map<shard_id, shard_holder> holders_;
  store_item config_;
};

}  // namespace bamboowing
