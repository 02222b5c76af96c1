#include "bamboowing/entry/intent_state.h"

#include <algorithm>
#include <utility>

namespace bamboowing {

bool intent_state::Apply(config_version version, std::string_view text) {
  if (version <= version_) {
    return false;
  }
  std::vector<intent_error> errors;
  std::optional<intent_document> document = ParseIntent(text, errors);
  if (!document) {
    last_error_ = failure(error_kind::kInvalidField, errors.empty() ? "unreadable" : FormatIntentError(errors.front()));
    return false;
  }
  version_ = version;
  text_ = std::string(text);
  document_ = std::move(*document);
  last_error_.reset();
  return true;
}

std::vector<team_share> intent_state::TeamShares() const {
  std::vector<team_share> shares;
  const double capacity = static_cast<double>(std::max<std::uint64_t>(1, document_.limits.waiting_tasks));
  for (const team_intent& team : document_.teams) {
    team_share share;
    share.name = team.name;
    share.weight = std::max<std::uint32_t>(1, team.weight);
    share.priority = team.priority;
    share.queue_share = std::min(1.0, static_cast<double>(WaitingTasksAllowed(document_, team)) / capacity);
    shares.push_back(std::move(share));
  }
  return shares;
}

dispatch_limits intent_state::DispatchLimits() const {
  constexpr double kPercent = 100.0;
  dispatch_limits limits;
  limits.max_waiting_tasks =
      static_cast<std::uint32_t>(std::min<std::uint64_t>(document_.limits.waiting_tasks, UINT32_MAX));
  limits.retry_share = document_.retry_budget.share_percent / kPercent;
  limits.max_attempts = document_.retry_budget.attempts_max;
  return limits;
}

std::uint32_t intent_state::ShardCount(std::string_view service) const {
  const service_intent* found = FindService(document_, service);
  return found == nullptr ? 1 : std::max<std::uint32_t>(1, found->shards);
}

std::optional<failure> intent_state::CheckJob(const job_spec& job) const {
  if (version_ == 0) {
    return std::nullopt;
  }
  const service_intent* service = FindService(document_, job.service);
  if (service == nullptr) {
    return failure(error_kind::kNotFound, not_run_state::kYes, "the configuration has no service " + job.service);
  }
  if (FindTeam(document_, job.team) == nullptr) {
    return failure(error_kind::kInvalidField, "the configuration has no team " + job.team);
  }
  const bool allowed = service->teams.empty() ||
                       std::find(service->teams.begin(), service->teams.end(), job.team) != service->teams.end();
  if (!allowed) {
    return failure(error_kind::kInvalidField, "team " + job.team + " may not use service " + job.service);
  }
  if (job.deadline < service->deadline_min || job.deadline > service->deadline_max) {
    return failure(error_kind::kInvalidField, "deadline_ms is outside the limits of service " + job.service);
  }
  if (job.tasks.size() > document_.limits.tasks_per_job) {
    return failure(error_kind::kTooLarge,
                   "the limit is " + std::to_string(document_.limits.tasks_per_job) + " tasks per job");
  }
  return std::nullopt;
}

std::optional<duration> intent_state::TaskTimeLimit(std::string_view service) const {
  const service_intent* found = FindService(document_, service);
  if (found == nullptr) {
    return std::nullopt;
  }
  return found->task_time_limit;
}

bool intent_state::IsExcluded(std::string_view service, std::string_view agent, std::string_view failure_domain) const {
  if (IsDrained(document_.drains, agent, agent, failure_domain)) {
    return true;
  }
  const service_intent* found = FindService(document_, service);
  return found != nullptr && !MayServe(*found, agent, failure_domain);
}

}  // namespace bamboowing
