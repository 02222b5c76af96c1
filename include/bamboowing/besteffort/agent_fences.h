/// @file
/// Whether start requests of ended processes may still be executed.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/base/types.h"

namespace bamboowing {

struct agent_fences_settings {
  /// Longest time from the end of a process until a target executes a start request that the process has sent.
  duration late_start_limit{12'000'000};
  /// An agent without a session for this long is not waited for. A process that was killed is back within 2 s and then
  /// has sessions, so its machine has ended with the target, or is cut off and the process fences the target there.
  duration absence_limit{2'500'000};
  /// How long the other entries are asked for an agent that this one has no session with, before it counts as absent.
  duration query_limit{500'000};
  /// How long the contact that another entry reports may be past.
  duration report_age{1'000'000};
  duration query_interval{250'000};  ///< between requests to the other entries
};

/// An entry's view of which agents have fenced their targets, and when they were last known to run. An agent that runs
/// and has fenced its target knows all starts that the target may still execute: those of its predecessors are refused,
/// and it reports its own. So once each agent has shown that at a time after the loss of an entry, no start request of
/// that entry is executed without the knowledge of a running process. Does no I/O and reads no clock.
class agent_fences {
 public:
  explicit agent_fences(const agent_fences_settings& settings) : settings_(settings) {}

  /// Replaces the list of the agents that the key-value service shows.
  void OnListed(const std::vector<std::string>& agents, instant now);
  /// A report of an agent has arrived. @p fenced is whether its target executes no start of an earlier agent process.
  void OnReport(const std::string& agent, bool fenced, instant now);
  /// Another entry has contact with these agents, whose targets are fenced.
  void OnOtherEntry(const std::vector<std::string>& agents, instant now);

  /// Whether each start request that was sent before @p before is refused, known to a running agent, or has ended by
  /// now.
  bool ExcludesStartsBefore(instant before, instant now);
  /// The agents for which that has not been shown.
  std::vector<std::string> Missing(instant before, instant now) const;
  /// Whether the other entries are to be asked for their agents now. Call while a job waits for the agents.
  bool TakeQueryDue(instant now);
  /// No job waits any more.
  void EndQueries() { asked_since_.reset(); }

  /// Agents with a report since @p since whose targets are fenced.
  std::vector<std::string> FencedSince(instant since) const;

  /// Forgets the agents that are not listed and have not reported since @p before.
  void Expire(instant before);

 private:
  struct agent_state {
    bool listed = false;
    instant known_since;
    std::optional<instant> reported_at;  ///< to this entry
    std::optional<instant> fenced_at;    ///< newest time at which it was known to run and to have fenced its target
  };

  agent_state& Find(const std::string& agent, instant now);
  bool Excludes(const agent_state& agent, instant before, instant now) const;

  agent_fences_settings settings_;
  bool listed_ = false;  ///< whether the list of agents is known
  std::map<std::string, agent_state> agents_;
  std::optional<instant> excluded_before_;  ///< all starts that were sent before this time are excluded
  std::optional<instant> asked_since_;      ///< since when the other entries are asked
  instant asked_at_;                        ///< when they were asked last
};

}  // namespace bamboowing
