/// @file
/// The operators' configuration as applied by this entry.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/dispatch/settings.h"
#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/intent/document.h"

namespace bamboowing {

/// Holds the newest document. Only a higher version replaces it, so a delayed or repeated answer of the store, or an
/// older document from another entry, never reverts a change.
class intent_state {
 public:
  /// Applies a document if its version is higher. Returns whether it did. An invalid document is not applied, and
  /// last_error() holds the reason. Only a writer that bypassed validation can store such a document.
  bool Apply(config_version version, std::string_view text);

  config_version version() const { return version_; }
  /// JSON or YAML text of the document as it was written; empty for version 0.
  const std::string& text() const { return text_; }
  const intent_document& document() const { return document_; }
  const std::optional<failure>& last_error() const { return last_error_; }

  /// Shares of the teams for the dispatcher of one shard.
  std::vector<team_share> TeamShares() const;

  /// Limits of the dispatcher of one shard.
  dispatch_limits DispatchLimits() const;

  /// Number of shards of a service; 1 for a service that the document does not name.
  std::uint32_t ShardCount(std::string_view service) const;

  /// Checks a job against the document: the reason to refuse it, or nullopt. Without a document every job is allowed.
  std::optional<failure> CheckJob(const job_spec& job) const;

  /// Longest run of one task of a service; nullopt if the document does not name the service.
  std::optional<duration> TaskTimeLimit(std::string_view service) const;

  /// Whether the operators drain this target, or do not allow it to serve the service. The target has its agent's id.
  bool IsExcluded(std::string_view service, std::string_view agent, std::string_view failure_domain) const;

 private:
  config_version version_ = 0;
  std::string text_;
  intent_document document_;
  std::optional<failure> last_error_;
};

}  // namespace bamboowing
