/// @file
/// State charts that are loaded from YAML and interpreted at run time.
///
/// A chart is a YAML file in `charts/`, embedded at build time:
///
///     name: lease
///     initial: none
///     states: [none, held, lost]
///     final: [lost]
///     events: [granted, expired]
///     transitions:
///       - {from: none, event: granted, to: held}
///       - {from: held, event: expired, to: lost}
///     ignored:
///       - {in: none, events: [expired]}
///       - {in: held, events: [granted]}
///
/// A decision library resolves the names once, stores the ids with its own state, and makes every transition through
/// the chart:
///
///     const state_chart& chart = BuiltInChart("lease");
///     const event_id expired = chart.Event("expired").value();
///     state_id state = chart.initial();
///     ...
///     state = chart.Next(state, expired).value_or(state);
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/error.h"
#include "bamboowing/base/types.h"

namespace bamboowing {

/// Index of a state in its chart's `states` list.
enum class state_id : std::uint16_t {};

/// Index of an event in its chart's `events` list.
enum class event_id : std::uint16_t {};

/// A validated, immutable state chart. Thread-safe.
class state_chart {
 public:
  /// Loads a chart from @p text. @p file is the name used in errors, which have the form "FILE:LINE: MESSAGE". Errors
  /// are unknown keys, states or events; a duplicate state, event or transition; a state that can't be reached; a state
  /// that is not final and neither handles nor ignores an event; and a final state that handles one.
  static std::optional<state_chart> Load(std::string_view text, std::string_view file, failure& error);

  const std::string& name() const { return name_; }
  state_id initial() const { return initial_; }

  /// Finds a state or an event by its name; nullopt if the chart has none of that name.
  std::optional<state_id> State(std::string_view name) const;
  std::optional<event_id> Event(std::string_view name) const;

  /// Name of a state or an event of this chart. Valid as long as the chart exists.
  std::string_view StateName(state_id state) const { return states_[static_cast<std::size_t>(state)]; }
  std::string_view EventName(event_id event) const { return events_[static_cast<std::size_t>(event)]; }

  std::size_t state_count() const { return states_.size(); }
  std::size_t event_count() const { return events_.size(); }

  bool IsFinal(state_id state) const { return final_[static_cast<std::size_t>(state)]; }

  /// The state after @p event; nullopt when @p state ignores the event or is final. One table lookup.
  std::optional<state_id> Next(state_id state, event_id event) const {
    const std::size_t at = static_cast<std::size_t>(state) * events_.size() + static_cast<std::size_t>(event);
    const std::int32_t next = next_[at];
    return next < 0 ? std::nullopt : std::optional<state_id>(static_cast<state_id>(next));
  }

 private:
  friend class chart_loader;

  std::string name_;
  state_id initial_{};
  std::vector<std::string> states_;
  std::vector<std::string> events_;
  std::vector<bool> final_;
  std::vector<std::int32_t> next_;  // indexed by state and event; negative for no transition
};

/// Returns the chart of this name from `charts/`. The reference is valid until the program exits. Aborts if a chart is
/// missing or invalid: both are build defects that the library's tests find.
const state_chart& BuiltInChart(std::string_view name);

/// Returns the names of all charts in `charts/`.
std::vector<std::string> BuiltInChartNames();

}  // namespace bamboowing
