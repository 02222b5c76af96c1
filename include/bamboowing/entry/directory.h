/// @file
/// What this entry knows from the key-value service: the other entries and the home of each shard.
#pragma once

#include <map>
#include <optional>
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
inline constexpr std::string_view kConfigKey = "config/document";

/// Key and JSON text of an entry's registration.
std::string RegistrationKey(std::string_view entry_id);
std::string FormatRegistration(const entry_identity& entry);

/// Reads a registration; nullopt if the text is not one.
std::optional<entry_identity> ParseRegistration(std::string_view text);

/// The newest known registrations and holders of shards. Each result of the watch replaces what was known.
class directory {
 public:
  /// Applies a result of the watch. A result without an answer changes nothing.
  void Apply(const directory_update& result);

  /// The present holder of a shard; nullopt if there is none.
  std::optional<shard_holder> Holder(const shard_id& shard) const;

  /// Registered entries by id.
  const std::map<std::string, entry_identity, std::less<>>& entries() const { return entries_; }

  /// All holders by shard.
  const std::map<shard_id, shard_holder>& holders() const { return holders_; }

  /// Configuration document and its version; an empty value with version 0 if there is none.
  const store_item& config() const { return config_; }

 private:
  void ApplyItem(const store_item& item);
  void Remove(std::string_view key);

  std::map<std::string, entry_identity, std::less<>> entries_;
  std::map<shard_id, shard_holder> holders_;
  store_item config_;
};

}  // namespace bamboowing
