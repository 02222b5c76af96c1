#include "bamboowing/besteffort/agent_fences.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bamboowing {

agent_fences::agent_state& agent_fences::Find(const std::string& agent, instant now) {
  const std::pair<std::map<std::string, agent_state>::iterator, bool> found = agents_.try_emplace(agent);
  if (found.second) {
    found.first->second.known_since = now;
  }
  return found.first->second;
}

void agent_fences::OnListed(const std::vector<std::string>& agents, instant now) {
  listed_ = true;
  for (std::pair<const std::string, agent_state>& item : agents_) {
    item.second.listed = false;
  }
  for (const std::string& agent : agents) {
    Find(agent, now).listed = true;
  }
}

void agent_fences::OnReport(const std::string& agent, bool fenced, instant now) {
  agent_state& from = Find(agent, now);
  from.reported_at = now;
  if (fenced) {
    from.fenced_at = now;
  }
}

void agent_fences::OnOtherEntry(const std::vector<std::string>& agents, instant now) {
  const instant fenced_at = now - settings_.report_age;
  for (const std::string& agent : agents) {
    std::optional<instant>& known = Find(agent, now).fenced_at;
    known = std::max(known.value_or(fenced_at), fenced_at);
  }
}

bool agent_fences::Excludes(const agent_state& agent, instant before, instant now) const {
  if (agent.fenced_at && *agent.fenced_at >= before) {
    return true;
  }
  const bool asked = agent.reported_at || (asked_since_ && now - *asked_since_ >= settings_.query_limit);
  const instant contact = std::max({before, agent.known_since, agent.reported_at.value_or(before)});
  return asked && now - contact >= settings_.absence_limit;
}

bool agent_fences::ExcludesStartsBefore(instant before, instant now) {
  if ((excluded_before_ && before <= *excluded_before_) || now - before >= settings_.late_start_limit) {
    return true;
  }
  bool excluded = listed_;
  instant bound = now;
  for (const std::pair<const std::string, agent_state>& item : agents_) {
    const agent_state& agent = item.second;
    excluded = excluded && Excludes(agent, before, now);
    const bool fenced = agent.fenced_at && *agent.fenced_at >= before;
    bound = std::min(bound, fenced ? *agent.fenced_at : now - settings_.absence_limit);
  }
  if (excluded) {
    excluded_before_ = std::max(before, bound);
  }
  return excluded;
}

std::vector<std::string> agent_fences::Missing(instant before, instant now) const {
  std::vector<std::string> missing;
  for (const std::pair<const std::string, agent_state>& item : agents_) {
    if (!Excludes(item.second, before, now)) {
      missing.push_back(item.first);
    }
  }
  return missing;
}

bool agent_fences::TakeQueryDue(instant now) {
  if (asked_since_ && now - asked_at_ < settings_.query_interval) {
    return false;
  }
  asked_since_ = asked_since_.value_or(now);
  asked_at_ = now;
  return true;
}

std::vector<std::string> agent_fences::FencedSince(instant since) const {
  std::vector<std::string> fenced;
  for (const std::pair<const std::string, agent_state>& item : agents_) {
    const agent_state& agent = item.second;
    if (agent.reported_at && *agent.reported_at >= since && agent.fenced_at && *agent.fenced_at >= since) {
      fenced.push_back(item.first);
    }
  }
  return fenced;
}

void agent_fences::Expire(instant before) {
  for (std::map<std::string, agent_state>::iterator item = agents_.begin(); item != agents_.end();) {
    const agent_state& agent = item->second;
    const bool forgotten = !agent.listed && agent.known_since < before && agent.reported_at.value_or(before) <= before;
    item = forgotten ? agents_.erase(item) : std::next(item);
  }
}

}  // namespace bamboowing
