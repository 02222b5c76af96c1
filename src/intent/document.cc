#include "bamboowing/intent/document.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "bamboowing/intent/report.h"
#include "codec.h"

namespace bamboowing {
namespace {

constexpr double kPercent = 100.0;

template <typename T>
const T* FindNamed(const std::vector<T>& list, std::string_view name) {
  const auto found = std::find_if(list.begin(), list.end(), [name](const T& item) { return item.name == name; });
  return found == list.end() ? nullptr : &*found;
}

bool Contains(const std::vector<std::string>& list, std::string_view value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

bool MatchesAny(const std::vector<std::string>& patterns, std::string_view id) {
  return std::any_of(patterns.begin(), patterns.end(),
                     [id](const std::string& pattern) { return MatchesIdPattern(pattern, id); });
}

}  // namespace

std::optional<intent_document> ParseIntent(std::string_view text, std::vector<intent_error>& errors) {
  intent_report report = CheckIntent(text);
  errors.insert(errors.end(), report.errors.begin(), report.errors.end());
  return std::move(report.document);
}

std::string ToJson(const intent_document& document) {
  constexpr int kIndent = 2;
  return intent_detail::Encode(document).dump(kIndent);
}

const service_intent* FindService(const intent_document& document, std::string_view name) {
  return FindNamed(document.services, name);
}

const team_intent* FindTeam(const intent_document& document, std::string_view name) {
  return FindNamed(document.teams, name);
}

std::uint64_t WaitingTasksAllowed(const intent_document& document, const team_intent& team) {
  const std::uint64_t capacity = document.limits.waiting_tasks;
  if (team.quota_waiting_tasks) {
    return std::min(*team.quota_waiting_tasks, capacity);
  }
  if (!team.quota_percent) {
    return capacity;
  }
  const double share = std::floor(static_cast<double>(capacity) * *team.quota_percent / kPercent);
  return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(share));
}

bool MatchesIdPattern(std::string_view pattern, std::string_view id) {
  std::size_t in_pattern = 0;
  std::size_t in_id = 0;
  std::size_t star = std::string_view::npos;
  std::size_t resume = 0;
  while (in_id < id.size()) {
    if (in_pattern < pattern.size() && pattern[in_pattern] == '*') {
      star = in_pattern++;
      resume = in_id;
    } else if (in_pattern < pattern.size() && pattern[in_pattern] == id[in_id]) {
      ++in_pattern;
      ++in_id;
    } else if (star != std::string_view::npos) {
      in_pattern = star + 1;
      in_id = ++resume;
    } else {
      return false;
    }
  }
  return pattern.find_first_not_of('*', in_pattern) == std::string_view::npos;
}

bool MayServe(const service_intent& service, std::string_view id, std::string_view failure_domain) {
  const service_targets& targets = service.targets;
  const bool in_domain = targets.failure_domains.empty() || Contains(targets.failure_domains, failure_domain);
  return in_domain && (targets.ids.empty() || MatchesAny(targets.ids, id));
}

bool IsDrained(const drains_intent& drains, std::string_view id, std::string_view agent,
               std::string_view failure_domain) {
  return MatchesAny(drains.targets, id) || Contains(drains.agents, agent) ||
         Contains(drains.failure_domains, failure_domain);
}

std::string FormatIntentError(const intent_error& error) {
  std::string text;
  if (error.line > 0) {
    text += "line " + std::to_string(error.line) + ": ";
  }
  if (!error.path.empty()) {
    text += error.path + ": ";
  }
  return text + "found " + error.found + ", expected " + error.expected;
}

}  // namespace bamboowing
