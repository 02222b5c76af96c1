#include "bamboowing/observe/timeline.h"

#include <algorithm>
#include <map>
#include <queue>
#include <set>
#include <tuple>

#include "bamboowing/observe/causal_pairs.h"
#include "bamboowing/observe/clock_offsets.h"

namespace bamboowing {
namespace {

using process_key = std::pair<std::string, incarnation_id>;

process_key KeyOf(const recorded_event& recorded) { return {recorded.process.id, recorded.process.incarnation}; }

/// Sorts the events of each process and incarnation into their recorded order. Numbered events are sorted by number,
/// because the files of a rotated log may be given in any order; events with equal numbers are duplicates.
std::vector<recorded_event> InRecordedOrder(std::vector<recorded_event> events) {
  std::map<process_key, std::vector<recorded_event>> logs;
  for (recorded_event& recorded : events) {
    logs[KeyOf(recorded)].push_back(std::move(recorded));
  }
  std::vector<recorded_event> result;
  for (std::pair<const process_key, std::vector<recorded_event>>& log : logs) {
    std::vector<recorded_event>& log_events = log.second;
    const bool numbered = std::all_of(log_events.begin(), log_events.end(),
                                      [](const recorded_event& recorded) { return recorded.record.sequence > 0; });
    if (numbered) {
      std::stable_sort(log_events.begin(), log_events.end(), [](const recorded_event& a, const recorded_event& b) {
        return a.record.sequence < b.record.sequence;
      });
      log_events.erase(std::unique(log_events.begin(), log_events.end(),
                                   [](const recorded_event& a, const recorded_event& b) {
                                     return a.record.sequence == b.record.sequence;
                                   }),
                       log_events.end());
    }
    std::move(log_events.begin(), log_events.end(), std::back_inserter(result));
  }
  return result;
}

std::string NumberedLabel(const process_key& key, std::size_t incarnation_number, bool several) {
  return several ? key.first + "#" + std::to_string(incarnation_number) : key.first;
}

/// Merges events that are in recorded order, one log after another.
class timeline_merger {
 public:
  explicit timeline_merger(std::vector<recorded_event> events)
      : events_(std::move(events)), process_of_(events_.size()) {}

  timeline Merge() {
    ListProcesses();
    pairs_ = FindCausalPairs(events_);
    EstimateOffsets();
    SortTopologically();
    AddLinks();
    return std::move(result_);
  }

 private:
  void ListProcesses() {
    std::map<std::string, std::size_t> incarnations;
    for (std::size_t i = 0; i < events_.size(); ++i) {
      if (i == 0 || KeyOf(events_[i]) != KeyOf(events_[i - 1])) {
        ++incarnations[events_[i].process.id];
        result_.processes.push_back({events_[i].process, {}, duration(0), std::nullopt});
      }
      process_of_[i] = result_.processes.size() - 1;
    }
    std::map<std::string, std::size_t> seen;
    for (timeline_process& process : result_.processes) {
      const process_identity& identity = process.identity;
      const std::size_t incarnation_number = ++seen[identity.id];
      process.label =
          NumberedLabel({identity.id, identity.incarnation}, incarnation_number, incarnations[identity.id] > 1);
    }
  }

  void EstimateOffsets() {
    std::vector<offset_bound> bounds;
    for (const causal_pair& pair : pairs_) {
      const duration limit = events_[pair.effect].record.at - events_[pair.cause].record.at;
      bounds.push_back({process_of_[pair.cause], process_of_[pair.effect], limit});
    }
    const offset_solution solution = SolveOffsets(result_.processes.size(), bounds);
    for (std::size_t i = 0; i < result_.processes.size(); ++i) {
      result_.processes[i].offset = solution.offsets[i];
      result_.processes[i].uncertainty = solution.uncertainty[i];
    }
    for (const offset_conflict& conflict : solution.conflicts) {
      result_.contradictions.push_back(DescribeConflict(conflict));
    }
  }

  std::string DescribeConflict(const offset_conflict& conflict) const {
    std::string names;
    for (const std::size_t clock : conflict.clocks) {
      names += (names.empty() ? "" : ", ") + result_.processes[clock].label;
    }
    return "clocks of " + names + ": causes and effects contradict each other by " +
           std::to_string(conflict.excess.count()) +
           " us under constant offsets; a clock drifts, or an event was recorded late. Merge a shorter window.";
  }

  duration CorrectedTime(std::size_t index) const {
    return events_[index].record.at.time_since_epoch() + result_.processes[process_of_[index]].offset;
  }

  /// Topological sort by log order and causality; among the events without remaining predecessors, the earliest comes
  /// first. Events of one process keep their recorded order even if their times are equal or decrease.
  void SortTopologically() {
    std::vector<std::vector<std::size_t>> successors(events_.size());
    std::vector<std::size_t> predecessor_counts(events_.size(), 0);
    for (std::size_t i = 1; i < events_.size(); ++i) {
      if (process_of_[i] == process_of_[i - 1]) {
        successors[i - 1].push_back(i);
        ++predecessor_counts[i];
      }
    }
    for (const causal_pair& pair : pairs_) {
      successors[pair.cause].push_back(pair.effect);
      ++predecessor_counts[pair.effect];
    }
    AppendReady(successors, predecessor_counts);
    AppendCyclic();
    FillEntries();
  }

  void AppendReady(const std::vector<std::vector<std::size_t>>& successors,
                   std::vector<std::size_t>& predecessor_counts) {
    using item = std::pair<duration, std::size_t>;
    std::priority_queue<item, std::vector<item>, std::greater<item>> ready;
    for (std::size_t i = 0; i < events_.size(); ++i) {
      if (predecessor_counts[i] == 0) {
        ready.push({CorrectedTime(i), i});
      }
    }
    while (!ready.empty()) {
      const std::size_t index = ready.top().second;
      ready.pop();
      order_.push_back(index);
      for (const std::size_t next : successors[index]) {
        if (--predecessor_counts[next] == 0) {
          ready.push({CorrectedTime(next), next});
        }
      }
    }
  }

  /// Appends the events of causal cycles, which only contradictory logs contain, in recorded order.
  void AppendCyclic() {
    if (order_.size() == events_.size()) {
      return;
    }
    std::vector<bool> appended(events_.size(), false);
    for (const std::size_t index : order_) {
      appended[index] = true;
    }
    result_.contradictions.push_back(std::to_string(events_.size() - order_.size()) +
                                     " events form a causal cycle; they are listed at the end.");
    for (std::size_t i = 0; i < events_.size(); ++i) {
      if (!appended[i]) {
        order_.push_back(i);
      }
    }
  }

  void FillEntries() {
    duration first = duration::max();
    for (std::size_t i = 0; i < events_.size(); ++i) {
      first = std::min(first, CorrectedTime(i));
    }
    entry_index_.resize(events_.size());
    for (const std::size_t index : order_) {
      entry_index_[index] = result_.entries.size();
      result_.entries.push_back({process_of_[index], CorrectedTime(index) - first, events_[index].record});
    }
  }

  void AddLinks() {
    for (const causal_pair& pair : pairs_) {
      result_.links.push_back({entry_index_[pair.cause], entry_index_[pair.effect]});
    }
  }

  std::vector<recorded_event> events_;
  std::vector<std::size_t> process_of_;
  std::vector<causal_pair> pairs_;
  std::vector<std::size_t> order_;
  std::vector<std::size_t> entry_index_;
  timeline result_;
};

template <typename Predicate>
timeline Select(const timeline& all, Predicate wanted) {
  timeline result;
  result.processes = all.processes;
  result.contradictions = all.contradictions;
  std::vector<std::optional<std::size_t>> new_index(all.entries.size());
  for (std::size_t i = 0; i < all.entries.size(); ++i) {
    if (wanted(all.entries[i])) {
      new_index[i] = result.entries.size();
      result.entries.push_back(all.entries[i]);
    }
  }
  for (const timeline_link& link : all.links) {
    if (new_index[link.cause] && new_index[link.effect]) {
      result.links.push_back({*new_index[link.cause], *new_index[link.effect]});
    }
  }
  return result;
}

}  // namespace

void AppendEventLog(std::string_view text, std::string_view source, event_collection& out) {
  std::size_t number = 0;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    ++number;
    if (line.empty()) {
      continue;
    }
    failure error;
    std::optional<recorded_event> recorded = ParseEvent(line, error);
    if (recorded) {
      out.events.push_back(std::move(*recorded));
    } else {
      out.skipped.push_back({std::string(source), number, error.reason});
    }
  }
}

timeline MergeTimeline(std::vector<recorded_event> events) {
  return timeline_merger(InRecordedOrder(std::move(events))).Merge();
}

timeline SelectJob(const timeline& all, std::string_view job_id) {
  return Select(all, [job_id](const timeline_entry& entry) { return entry.record.job_id == job_id; });
}

timeline SelectWindow(const timeline& all, duration from, duration to) {
  return Select(all, [from, to](const timeline_entry& entry) { return entry.at >= from && entry.at <= to; });
}

}  // namespace bamboowing
