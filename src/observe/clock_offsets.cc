#include "bamboowing/observe/clock_offsets.h"

#include <algorithm>
#include <map>

namespace bamboowing {
namespace {

constexpr int kMaxSweeps = 64;        // each sweep about halves the error, so offsets converge to a microsecond
constexpr int kMaxCycleRepairs = 64;  // cycles of more than two clocks are rare; each repair costs one Bellman-Ford run
constexpr std::size_t kNone = static_cast<std::size_t>(-1);

/// Returns the tightest bound for each ordered pair of clocks.
std::vector<offset_bound> TightestBounds(span<const offset_bound> bounds) {
  std::map<std::pair<std::size_t, std::size_t>, duration> limits;
  for (const offset_bound& bound : bounds) {
    if (bound.first == bound.second) {
      continue;
    }
    const std::pair<std::size_t, std::size_t> key(bound.first, bound.second);
    const std::map<std::pair<std::size_t, std::size_t>, duration>::iterator existing =
        limits.emplace(key, bound.limit).first;
    existing->second = std::min(existing->second, bound.limit);
  }
  std::vector<offset_bound> result;
  result.reserve(limits.size());
  for (const std::pair<const std::pair<std::size_t, std::size_t>, duration>& one : limits) {
    result.push_back({one.first.first, one.first.second, one.second});
  }
  return result;
}

/// Widens the bounds at @p cycle, whose limits sum to a negative number, until they sum to 0.
offset_conflict WidenCycle(std::vector<offset_bound>& bounds, const std::vector<std::size_t>& cycle) {
  offset_conflict conflict;
  for (const std::size_t index : cycle) {
    conflict.clocks.push_back(bounds.at(index).first);
    conflict.excess -= bounds.at(index).limit;
  }
  const std::int64_t count = static_cast<std::int64_t>(cycle.size());
  const duration share((conflict.excess.count() + count - 1) / count);
  for (const std::size_t index : cycle) {
    bounds.at(index).limit += share;
  }
  return conflict;
}

/// Repairs all contradictions between two clocks, which are the common case, in one pass.
void WidenPairs(std::vector<offset_bound>& bounds, std::vector<offset_conflict>& conflicts) {
  std::map<std::pair<std::size_t, std::size_t>, std::size_t> index;
  for (std::size_t i = 0; i < bounds.size(); ++i) {
    index[{bounds[i].first, bounds[i].second}] = i;
  }
  for (std::size_t i = 0; i < bounds.size(); ++i) {
    if (bounds[i].first > bounds[i].second) {
      continue;
    }
    const std::map<std::pair<std::size_t, std::size_t>, std::size_t>::iterator reverse =
        index.find({bounds[i].second, bounds[i].first});
    if (reverse != index.end() && bounds[i].limit + bounds[reverse->second].limit < duration::zero()) {
      conflicts.push_back(WidenCycle(bounds, {i, reverse->second}));
    }
  }
}

/// Bellman-Ford from a virtual source at distance 0 of every clock.
class offset_search {
 public:
  offset_search(std::size_t clocks, const std::vector<offset_bound>& bounds)
      : bounds_(bounds), offsets_(clocks, duration::zero()), parent_(clocks, kNone) {}

  /// Returns the bounds of a negative cycle, or an empty list when offsets() satisfies all bounds.
  std::vector<std::size_t> Run() {
    std::size_t changed = kNone;
    for (std::size_t round = 0; round <= offsets_.size(); ++round) {
      changed = Relax();
      if (changed == kNone) {
        return {};
      }
    }
    return FindCycle(changed);
  }

  const std::vector<duration>& offsets() const { return offsets_; }

 private:
  std::size_t Relax() {
    std::size_t changed = kNone;
    for (std::size_t i = 0; i < bounds_.size(); ++i) {
      const offset_bound& bound = bounds_[i];
      const duration limit = offsets_[bound.second] + bound.limit;
      if (limit < offsets_[bound.first]) {
        offsets_[bound.first] = limit;
        parent_[bound.first] = i;
        changed = bound.first;
      }
    }
    return changed;
  }

  std::vector<std::size_t> FindCycle(std::size_t clock) const {
    for (std::size_t i = 0; i < offsets_.size(); ++i) {
      clock = bounds_[parent_[clock]].second;
    }
    std::vector<std::size_t> cycle;
    std::size_t at = clock;
    do {
      cycle.push_back(parent_[at]);
      at = bounds_[parent_[at]].second;
    } while (at != clock);
    return cycle;
  }

  const std::vector<offset_bound>& bounds_;
  std::vector<duration> offsets_;
  std::vector<std::size_t> parent_;
};

/// The range that the offsets of the other clocks allow for one clock.
struct offset_range {
  std::optional<duration> low;
  std::optional<duration> high;
};

std::vector<std::vector<std::size_t>> BoundsOfClocks(std::size_t clocks, const std::vector<offset_bound>& bounds) {
  std::vector<std::vector<std::size_t>> result(clocks);
  for (std::size_t i = 0; i < bounds.size(); ++i) {
    result.at(bounds[i].first).push_back(i);
    result.at(bounds[i].second).push_back(i);
  }
  return result;
}

offset_range RangeOf(std::size_t clock, const std::vector<offset_bound>& bounds,
                     const std::vector<std::size_t>& clock_bounds, const std::vector<duration>& offsets) {
  offset_range range;
  for (const std::size_t index : clock_bounds) {
    const offset_bound& bound = bounds[index];
    if (bound.first == clock) {
      const duration high = offsets[bound.second] + bound.limit;
      range.high = range.high ? std::min(*range.high, high) : high;
    } else {
      const duration low = offsets[bound.first] - bound.limit;
      range.low = range.low ? std::max(*range.low, low) : low;
    }
  }
  return range;
}

/// Moves each clock but the reference to the middle of its range. Every step keeps all bounds satisfied.
void MoveToMiddle(const std::vector<offset_bound>& bounds, const std::vector<std::vector<std::size_t>>& clock_bounds,
                  offset_solution& solution) {
  for (int sweep = 0; sweep < kMaxSweeps; ++sweep) {
    bool changed = false;
    for (std::size_t clock = 0; clock < clock_bounds.size(); ++clock) {
      const offset_range range = RangeOf(clock, bounds, clock_bounds[clock], solution.offsets);
      if (clock == solution.reference || !range.low || !range.high) {
        continue;
      }
      const duration middle = *range.low + (*range.high - *range.low) / 2;
      changed = changed || middle != solution.offsets[clock];
      solution.offsets[clock] = middle;
    }
    if (!changed) {
      return;
    }
  }
}

std::size_t ClockWithMostBounds(const std::vector<std::vector<std::size_t>>& clock_bounds) {
  std::size_t best = 0;
  for (std::size_t clock = 0; clock < clock_bounds.size(); ++clock) {
    best = clock_bounds[clock].size() > clock_bounds[best].size() ? clock : best;
  }
  return best;
}

void FillUncertainty(const std::vector<offset_bound>& bounds, const std::vector<std::vector<std::size_t>>& clock_bounds,
                     offset_solution& solution) {
  for (std::size_t clock = 0; clock < clock_bounds.size(); ++clock) {
    const offset_range range = RangeOf(clock, bounds, clock_bounds[clock], solution.offsets);
    if (clock == solution.reference) {
      solution.uncertainty[clock] = duration::zero();
    } else if (range.low && range.high) {
      solution.uncertainty[clock] = (*range.high - *range.low + duration(1)) / 2;
    }
  }
}

/// Returns offsets that satisfy the bounds, after widening the bounds that contradict each other.
std::vector<duration> FeasibleOffsets(std::size_t clocks, std::vector<offset_bound>& bounds,
                                      std::vector<offset_conflict>& conflicts) {
  WidenPairs(bounds, conflicts);
  for (int repair = 0; repair < kMaxCycleRepairs; ++repair) {
    offset_search search(clocks, bounds);
    const std::vector<std::size_t> cycle = search.Run();
    if (cycle.empty()) {
      return search.offsets();
    }
    conflicts.push_back(WidenCycle(bounds, cycle));
  }
  return std::vector<duration>(clocks, duration::zero());
}

}  // namespace

offset_solution SolveOffsets(std::size_t clocks, span<const offset_bound> bounds) {
  offset_solution solution;
  solution.uncertainty.resize(clocks);
  if (clocks == 0) {
    return solution;
  }
  std::vector<offset_bound> tightest = TightestBounds(bounds);
  const std::vector<std::vector<std::size_t>> clock_bounds = BoundsOfClocks(clocks, tightest);
  solution.reference = ClockWithMostBounds(clock_bounds);
  solution.offsets = FeasibleOffsets(clocks, tightest, solution.conflicts);
  MoveToMiddle(tightest, clock_bounds, solution);
  FillUncertainty(tightest, clock_bounds, solution);
  const duration base = solution.offsets[solution.reference];
  for (duration& offset : solution.offsets) {
    offset -= base;
  }
  return solution;
}

}  // namespace bamboowing
