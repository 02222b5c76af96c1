/// @file
/// The operators' intent document (the desired configuration) as types, with its parser and its JSON form.
/// docs/configuration.md describes every property; schema/intent.schema.json is the source of types, ranges and
/// defaults.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/types.h"

namespace bamboowing {

/// Maximum size of a document's text. The key-value store accepts values up to 1 MB; the rest is left for its envelope.
inline constexpr std::size_t kIntentMaxBytes = 1'000'000;

/// Which targets may serve a service. A target must match both lists.
struct service_targets {
  std::vector<std::string> failure_domains;  ///< empty allows every failure domain
  std::vector<std::string> ids;              ///< target ids with `*` for any characters; empty allows every id
};

/// Settings of one service.
struct service_intent {
  std::string name;
  std::uint32_t shards = 1;
  service_targets targets;
  std::vector<std::string> teams;  ///< teams that may use the service; empty allows every declared team
  duration task_time_limit = std::chrono::minutes(1);
  duration deadline_min = std::chrono::milliseconds(1);
  duration deadline_max = std::chrono::minutes(10);
  bool idempotent_default = false;  ///< for a request that does not say whether it is idempotent
};

/// Settings of one team. At most one of the quotas is set; without a quota the team may use the whole queue.
struct team_intent {
  std::string name;
  std::uint32_t priority = 0;  ///< 0 to 9; work of a higher number is served first
  std::uint32_t weight = 1;    ///< share among teams of the same priority
  std::optional<double> quota_percent;
  std::optional<std::uint64_t> quota_waiting_tasks;
};

/// Limits on retries of idempotent requests.
struct retry_budget_intent {
  double share_percent = 5.0;  ///< of all attempts
  std::uint32_t attempts_max = 3;
};

/// Limits for all callers.
struct limits_intent {
  std::uint64_t waiting_tasks = 1'000'000;  ///< capacity of the queue of one shard
  std::uint32_t tasks_per_job = 180;
  std::uint64_t body_bytes = 1'048'576;
  duration request_send = std::chrono::seconds(30);
  duration answer_retention = std::chrono::minutes(10);
  duration recovery_window = std::chrono::minutes(2);
};

/// Targets, agents and failure domains that receive no new work.
struct drains_intent {
  std::vector<std::string> targets;  ///< target ids with `*` for any characters
  std::vector<std::string> agents;
  std::vector<std::string> failure_domains;
};

/// The whole document. Its version is not part of it: that is the version of the key in the key-value store.
struct intent_document {
  std::string write_id;  ///< identifies a write whose response was lost; empty when the writer gave none
  std::vector<std::string> failure_domains;
  std::vector<service_intent> services;
  std::vector<team_intent> teams;
  retry_budget_intent retry_budget;
  limits_intent limits;
  drains_intent drains;
};

/// One error or warning about a document.
struct intent_error {
  std::string path;      ///< for example `services[0].deadline_min_ms`; empty for the document as a whole
  std::string found;     ///< the value found, shortened; "nothing" for a missing property
  std::string expected;  ///< description of the valid values
  int line = 0;          ///< line of the text, from 1; 0 when it is not known
};

/// Parses and checks a document in YAML or JSON: syntax, schema and rules between fields. Properties that the text
/// omits have their defaults in the result.
/// @param text the document; at most kIntentMaxBytes
/// @param errors receives every error found, ordered by line and path; left unchanged for a valid document
/// @return the document, or nullopt when at least one error was found
std::optional<intent_document> ParseIntent(std::string_view text, std::vector<intent_error>& errors);

/// Returns the document as JSON with every property present, so that equal documents have equal text.
std::string ToJson(const intent_document& document);

/// Returns the service called @p name, or nullptr. The pointer is valid as long as the document is unchanged.
const service_intent* FindService(const intent_document& document, std::string_view name);

/// Returns the team called @p name, or nullptr. The pointer is valid as long as the document is unchanged.
const team_intent* FindTeam(const intent_document& document, std::string_view name);

/// Returns how many tasks of @p team may wait in the queue of one shard, from its quota and `limits`; at least 1.
std::uint64_t WaitingTasksAllowed(const intent_document& document, const team_intent& team);

/// Whether @p id matches @p pattern, in which `*` stands for any number of characters.
bool MatchesIdPattern(std::string_view pattern, std::string_view id);

/// Whether the target @p id in @p failure_domain may serve @p service. Drains are not considered.
bool MayServe(const service_intent& service, std::string_view id, std::string_view failure_domain);

/// Whether the target @p id of @p agent in @p failure_domain is drained.
bool IsDrained(const drains_intent& drains, std::string_view id, std::string_view agent,
               std::string_view failure_domain);

/// Returns an error as one line, for example `line 7: teams[0].weight: found 0, expected an integer from 1 to 1000`.
std::string FormatIntentError(const intent_error& error);

}  // namespace bamboowing
