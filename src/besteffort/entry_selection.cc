#include "bamboowing/besteffort/entry_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace bamboowing {
namespace {

using ranked_names = std::vector<std::pair<std::uint64_t, std::string>>;

std::uint64_t Rank(const std::string& agent, const std::string& name) {
  return XXH3_64bits_withSeed(name.data(), name.size(), XXH3_64bits(agent.data(), agent.size()));
}

std::vector<std::string> Sorted(ranked_names&& ranked) {
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> names;
  for (std::pair<std::uint64_t, std::string>& item : ranked) {
    names.push_back(std::move(item.second));
  }
  return names;
}

}  // namespace

void entry_selection::SetEntries(span<const entry_endpoint> entries) {
  std::map<std::string, std::string> domain_of;
  agent_seeking_.clear();
  for (const entry_endpoint& entry : entries) {
    if (entry.wants_agents) {
      agent_seeking_.push_back(entry.address);
    }
    std::string& domain = domain_of[entry.address];
    domain = entry.failure_domain.empty() ? domain : entry.failure_domain;
  }
  std::map<std::string, ranked_names> by_domain;
  ranked_names ranked_domains;
  for (const std::pair<const std::string, std::string>& item : domain_of) {
    ranked_names& members = by_domain[item.second];
    if (members.empty()) {
      ranked_domains.emplace_back(Rank(agent_, item.second), item.second);
    }
    members.emplace_back(Rank(agent_, item.first), item.first);
  }
  domains_.clear();
  for (const std::string& domain : Sorted(std::move(ranked_domains))) {
    domains_.push_back(Sorted(std::move(by_domain[domain])));
  }
  entries_ = domain_of.size();
}

std::vector<std::string> entry_selection::Select(
    const std::function<bool(const std::string& address)>& reachable) const {
  const std::size_t wanted = entries_ <= settings_.max_entries
                                 ? entries_
                                 : std::clamp(domains_.size(), settings_.min_entries, settings_.max_entries);
  std::vector<std::size_t> next(domains_.size(), 0);
  std::vector<std::string> selected;
  std::size_t usable = 0;
  bool left = true;
  while (left && usable < wanted) {
    left = false;
    for (std::size_t i = 0; i < domains_.size() && usable < wanted; ++i) {
      // Adds one usable entry per failure domain in each round.
      bool found = false;
      while (!found && next[i] < domains_[i].size()) {
        const std::string& address = domains_[i][next[i]++];
        found = reachable(address);
        selected.push_back(address);
      }
      usable += found ? 1 : 0;
      left = left || next[i] < domains_[i].size();
    }
  }
  for (const std::string& address : agent_seeking_) {
    if (std::find(selected.begin(), selected.end(), address) == selected.end()) {
      selected.push_back(address);
    }
  }
  return selected;
}

}  // namespace bamboowing
