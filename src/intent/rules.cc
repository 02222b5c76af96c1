#include "rules.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "text_reader.h"

namespace bamboowing::intent_detail {
namespace {

using error_list = std::vector<intent_error>;
using name_list = std::vector<std::string>;

/// Tolerance for sums of percentages, because values such as 33.3 % are not exact in binary floating point.
constexpr double kPercentTolerance = 1e-6;
constexpr double kPercent = 100.0;

/// Messages show percentages with four decimals.
constexpr double kPercentRounding = 1e4;

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

std::int64_t InMilliseconds(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

template <typename T>
name_list NamesOf(const std::vector<T>& items) {
  name_list names;
  for (const T& item : items) {
    names.push_back(item.name);
  }
  return names;
}

bool Contains(const name_list& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// @param suffix the rest of the path after the element, for example ".name"
void CheckUnique(const std::string& path, const std::string& suffix, const name_list& names, error_list& errors) {
  std::map<std::string, std::size_t> first;
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i].empty()) {
      continue;
    }
    const auto [earlier, inserted] = first.emplace(names[i], i);
    if (!inserted) {
      const std::string other = ElementPath(path, earlier->second) + suffix;
      errors.push_back({ElementPath(path, i) + suffix, Quoted(names[i]), "a name other than that of " + other});
    }
  }
}

/// Checks that each of @p names is in @p declared. The check is skipped when a declared name is invalid, because the
/// reference may be meant for that name.
void CheckReferences(const std::string& path, const name_list& names, const name_list& declared,
                     const std::string& expected, error_list& errors) {
  if (declared.empty() || Contains(declared, "")) {
    return;
  }
  const std::set<std::string> known(declared.begin(), declared.end());
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (!names[i].empty() && known.count(names[i]) == 0) {
      errors.push_back({ElementPath(path, i), Quoted(names[i]), expected});
    }
  }
}

void CheckDeadlines(const service_intent& service, const std::string& path, error_list& errors) {
  if (service.deadline_min > service.deadline_max) {
    errors.push_back({path + ".deadline_min_ms", std::to_string(InMilliseconds(service.deadline_min)),
                      "at most deadline_max_ms, which is " + std::to_string(InMilliseconds(service.deadline_max))});
  }
}

/// Whether every target that @p allowed can match is drained. A pattern is covered by an equal pattern, by a more
/// general one that matches it as text, or by one that matches everything.
bool AllDrained(const name_list& allowed, const name_list& drained) {
  const auto is_drained = [&drained](const std::string& pattern) {
    return std::any_of(drained.begin(), drained.end(),
                       [&pattern](const std::string& drain) { return MatchesIdPattern(drain, pattern); });
  };
  return !allowed.empty() && std::all_of(allowed.begin(), allowed.end(), is_drained);
}

void CheckNotFullyDrained(const intent_document& document, const service_intent& service, const std::string& path,
                          error_list& errors) {
  const service_targets& targets = service.targets;
  const drains_intent& drains = document.drains;
  if (AllDrained(targets.ids, drains.targets)) {
    errors.push_back({path + ".targets.ids", "only targets that drains.targets drains",
                      "at least one target that may serve the service"});
  }
  const name_list& domains = targets.failure_domains;
  const auto is_drained = [&drains](const std::string& name) { return Contains(drains.failure_domains, name); };
  if (!domains.empty() && std::all_of(domains.begin(), domains.end(), is_drained)) {
    errors.push_back({path + ".targets.failure_domains", "only failure domains that drains.failure_domains drains",
                      "at least one failure domain that may serve the service"});
  }
}

void CheckServices(const intent_document& document, error_list& errors) {
  const name_list teams = NamesOf(document.teams);
  for (std::size_t i = 0; i < document.services.size(); ++i) {
    const service_intent& service = document.services[i];
    const std::string path = ElementPath("services", i);
    CheckDeadlines(service, path, errors);
    CheckUnique(path + ".teams", "", service.teams, errors);
    CheckReferences(path + ".teams", service.teams, teams, "a team that teams declares", errors);
    CheckUnique(path + ".targets.ids", "", service.targets.ids, errors);
    const std::string domains = path + ".targets.failure_domains";
    CheckUnique(domains, "", service.targets.failure_domains, errors);
    CheckReferences(domains, service.targets.failure_domains, document.failure_domains,
                    "a failure domain that failure_domains declares", errors);
    CheckNotFullyDrained(document, service, path, errors);
  }
}

void CheckQuota(const intent_document& document, const team_intent& team, const std::string& path, error_list& errors) {
  if (team.quota_percent && team.quota_waiting_tasks) {
    errors.push_back({path + ".quota_waiting_tasks", "quota_percent and quota_waiting_tasks", "one of the two"});
  }
  const std::uint64_t capacity = document.limits.waiting_tasks;
  if (team.quota_waiting_tasks && *team.quota_waiting_tasks > capacity) {
    errors.push_back({path + ".quota_waiting_tasks", std::to_string(*team.quota_waiting_tasks),
                      "at most limits.waiting_tasks, which is " + std::to_string(capacity)});
  }
}

double QuotaInPercent(const team_intent& team, std::uint64_t capacity) {
  if (team.quota_percent) {
    return *team.quota_percent;
  }
  if (!team.quota_waiting_tasks) {
    return 0;
  }
  return kPercent * static_cast<double>(*team.quota_waiting_tasks) / static_cast<double>(capacity);
}

std::string PercentText(double value) {
  return nlohmann::json(std::round(value * kPercentRounding) / kPercentRounding).dump() + " %";
}

void CheckTeams(const intent_document& document, error_list& errors) {
  double sum = 0;
  for (std::size_t i = 0; i < document.teams.size(); ++i) {
    CheckQuota(document, document.teams[i], ElementPath("teams", i), errors);
    sum += QuotaInPercent(document.teams[i], document.limits.waiting_tasks);
  }
  if (sum > kPercent + kPercentTolerance) {
    errors.push_back({"teams", "quotas of " + PercentText(sum) + " of limits.waiting_tasks in total", "at most 100 %"});
  }
}

void CheckLimits(const limits_intent& limits, error_list& errors) {
  if (limits.recovery_window > limits.answer_retention) {
    errors.push_back({"limits.recovery_window_ms", std::to_string(InMilliseconds(limits.recovery_window)),
                      "at most limits.answer_retention_ms, which is " +
                          std::to_string(InMilliseconds(limits.answer_retention)) +
                          ": a job is recovered from retained answers"});
  }
}

void CheckDrains(const intent_document& document, error_list& errors) {
  const drains_intent& drains = document.drains;
  CheckUnique("drains.targets", "", drains.targets, errors);
  CheckUnique("drains.agents", "", drains.agents, errors);
  CheckUnique("drains.failure_domains", "", drains.failure_domains, errors);
  CheckReferences("drains.failure_domains", drains.failure_domains, document.failure_domains,
                  "a failure domain that failure_domains declares", errors);
  for (std::size_t i = 0; i < drains.targets.size(); ++i) {
    const std::string& pattern = drains.targets[i];
    if (!pattern.empty() && pattern.find_first_not_of('*') == std::string::npos) {
      errors.push_back({ElementPath("drains.targets", i), Quoted(pattern), "a pattern that leaves some targets"});
    }
  }
  const name_list& domains = document.failure_domains;
  const auto is_drained = [&drains](const std::string& name) { return Contains(drains.failure_domains, name); };
  if (!domains.empty() && std::all_of(domains.begin(), domains.end(), is_drained)) {
    errors.push_back({"drains.failure_domains", "all failure domains", "at least one that is not drained"});
  }
}

void WarnService(const intent_document& document, std::size_t index, error_list& warnings) {
  const service_intent& service = document.services[index];
  const std::string path = ElementPath("services", index);
  const std::string deadline_max = std::to_string(InMilliseconds(service.deadline_max));
  if (service.task_time_limit > service.deadline_max) {
    warnings.push_back({path + ".task_time_limit_ms", std::to_string(InMilliseconds(service.task_time_limit)),
                        "at most deadline_max_ms, which is " + deadline_max + ": the deadline ends the task first"});
  }
  if (service.deadline_max > document.limits.answer_retention) {
    warnings.push_back({path + ".deadline_max_ms", deadline_max,
                        "at most limits.answer_retention_ms: answers of a longer job may be dropped before its end"});
  }
}

bool MayUseSomeService(const intent_document& document, const std::string& team) {
  return std::any_of(document.services.begin(), document.services.end(), [&team](const service_intent& service) {
    return service.teams.empty() || Contains(service.teams, team);
  });
}

void WarnTeam(const intent_document& document, std::size_t index, error_list& warnings) {
  const team_intent& team = document.teams[index];
  const std::string path = ElementPath("teams", index);
  if (!MayUseSomeService(document, team.name)) {
    warnings.push_back({path + ".name", Quoted(team.name), "a team that at least one service allows"});
  }
  const std::uint64_t allowed = WaitingTasksAllowed(document, team);
  if (allowed < document.limits.tasks_per_job) {
    warnings.push_back({path, "a quota of " + std::to_string(allowed) + " waiting tasks",
                        "at least limits.tasks_per_job, which is " + std::to_string(document.limits.tasks_per_job) +
                            ": larger jobs are always refused"});
  }
}

}  // namespace

void CheckRules(const intent_document& document, error_list& errors) {
  CheckUnique("failure_domains", "", document.failure_domains, errors);
  CheckUnique("services", ".name", NamesOf(document.services), errors);
  CheckUnique("teams", ".name", NamesOf(document.teams), errors);
  CheckServices(document, errors);
  CheckTeams(document, errors);
  CheckLimits(document.limits, errors);
  CheckDrains(document, errors);
}

void CheckWarnings(const intent_document& document, error_list& warnings) {
  for (std::size_t i = 0; i < document.services.size(); ++i) {
    WarnService(document, i, warnings);
  }
  for (std::size_t i = 0; i < document.teams.size(); ++i) {
    WarnTeam(document, i, warnings);
  }
}

}  // namespace bamboowing::intent_detail
