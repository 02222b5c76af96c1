/// @file
/// The operators' configuration as this entry has applied it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/dispatch/settings.h"
#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/intent/document.h"

namespace bamboowing {

/// Holds the newest document. Only a higher version replaces it, so a slow or repeated answer of the store, or an older
/// document from another entry, never takes a change back.
class intent_state {
 public:
  /// Applies a document if its version is higher. Returns whether it did. A document that can't be read is not applied;
  /// last_reason() says why. It can only come from a writer that went around the check, since every accepted one
  /// passed.
  bool Apply(config_version version, std::string_view text);

  config_version version() const { return version_; }
  /// JSON or YAML text of the document as it was written; empty for version 0.
  const std::string& text() const { return text_; }
  const intent_document& document() const { return document_; }
  const std::optional<failure>& last_reason() const { return last_reason_; }

  /// Shares of the teams for the dispatcher of one shard.
  std::vector<team_share> TeamShares() const;

  /// Limits of the dispatcher of one shard.
  dispatch_limits DispatchLimits() const;

  /// Number of shards of a service; 1 for a service that the document does not name.
  std::uint32_t ShardCount(std::string_view service) const;

  /// Why a job is not accepted under this document; nullopt if it may be. Without a document everything may be.
  std::optional<failure> Refusal(const job_spec& job) const;

  /// Bound of one task's run for a service.
  std::optional<duration> TaskTimeLimit(std::string_view service) const;

  /// Whether the operators drain this target, or forbid it to serve the service. The target has its agent's id.
  bool IsExcluded(std::string_view service, std::string_view agent, std::string_view failure_domain) const;

 private:
  config_version version_ = 0;
  std::string text_;
  intent_document document_;
  std::optional<failure> last_reason_;
};

}  // namespace bamboowing
