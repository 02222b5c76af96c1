#include "bamboowing/chart/state_chart.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <map>

namespace bamboowing {
namespace {

constexpr std::int32_t kUnset = -1;
constexpr std::int32_t kIgnored = -2;

std::size_t Index(const std::vector<std::string>& names, std::string_view name) {
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

// Location and message of an error in a chart; caught by state_chart::Load().
struct chart_error {
  int line = 0;
  std::string text;
};

int LineOf(const YAML::Node& node) { return node.Mark().line + 1; }

YAML::Node Field(const YAML::Node& map, const char* name) {
  if (!map.IsMap()) {
    throw chart_error{LineOf(map), "expected a map"};
  }
  const YAML::Node field = map[name];
  if (!field) {
    throw chart_error{LineOf(map), std::string("missing '") + name + "'"};
  }
  return field;
}

std::string Text(const YAML::Node& node) {
  if (!node.IsScalar()) {
    throw chart_error{LineOf(node), "expected a name"};
  }
  return node.Scalar();
}

YAML::Node List(const YAML::Node& map, const char* name) {
  YAML::Node list = Field(map, name);
  if (!list.IsSequence()) {
    throw chart_error{LineOf(list), std::string("expected a list for '") + name + "'"};
  }
  return list;
}

std::vector<std::string> UniqueNames(const YAML::Node& map, const char* field) {
  std::vector<std::string> names;
  for (const YAML::Node& node : List(map, field)) {
    const std::string name = Text(node);
    if (Index(names, name) < names.size()) {
      throw chart_error{LineOf(node), "duplicate name '" + name + "' in '" + field + "'"};
    }
    names.push_back(name);
  }
  return names;
}

std::size_t Resolve(const std::vector<std::string>& names, const YAML::Node& node, const char* what) {
  const std::string name = Text(node);
  const std::size_t index = Index(names, name);
  if (index == names.size()) {
    throw chart_error{LineOf(node), std::string("unknown ") + what + " '" + name + "'"};
  }
  return index;
}

}  // namespace

// Builds and validates a chart from a parsed file.
class chart_loader {
 public:
  explicit chart_loader(const YAML::Node& root) : root_(root) {}

  state_chart Load() {
    CheckKeys();
    chart_.name_ = Text(Field(root_, "name"));
    chart_.states_ = UniqueNames(root_, "states");
    chart_.events_ = UniqueNames(root_, "events");
    chart_.initial_ = static_cast<state_id>(Resolve(chart_.states_, Field(root_, "initial"), "state"));
    chart_.final_.assign(chart_.states_.size(), false);
    for (const YAML::Node& node : List(root_, "final")) {
      chart_.final_[Resolve(chart_.states_, node, "state")] = true;
    }
    chart_.next_.assign(chart_.states_.size() * chart_.events_.size(), kUnset);
    ReadTransitions();
    ReadIgnored();
    CheckComplete();
    CheckReachable();
    return std::move(chart_);
  }

 private:
  void CheckKeys() const {
    static constexpr std::array<std::string_view, 7> kKeys = {"name",   "initial",     "states", "final",
                                                              "events", "transitions", "ignored"};
    for (const std::pair<YAML::Node, YAML::Node>& item : root_) {
      if (std::find(kKeys.begin(), kKeys.end(), Text(item.first)) == kKeys.end()) {
        throw chart_error{LineOf(item.first), "unknown key '" + Text(item.first) + "'"};
      }
    }
  }

  void ReadTransitions() {
    for (const YAML::Node& node : List(root_, "transitions")) {
      const std::size_t from = Resolve(chart_.states_, Field(node, "from"), "state");
      const std::size_t event = Resolve(chart_.events_, Field(node, "event"), "event");
      Set(from, event, static_cast<std::int32_t>(Resolve(chart_.states_, Field(node, "to"), "state")), LineOf(node));
    }
  }

  void ReadIgnored() {
    for (const YAML::Node& node : List(root_, "ignored")) {
      const std::size_t state = Resolve(chart_.states_, Field(node, "in"), "state");
      for (const YAML::Node& event : List(node, "events")) {
        Set(state, Resolve(chart_.events_, event, "event"), kIgnored, LineOf(event));
      }
    }
  }

  void Set(std::size_t state, std::size_t event, std::int32_t next, int line) {
    std::int32_t& cell = chart_.next_[state * chart_.events_.size() + event];
    if (cell != kUnset) {
      throw chart_error{line, "duplicate transition for event '" + chart_.events_[event] + "' in state '" +
                                  chart_.states_[state] + "'"};
    }
    if (chart_.final_[state]) {
      throw chart_error{line, "the final state '" + chart_.states_[state] + "' handles an event"};
    }
    cell = next;
  }

  void CheckComplete() const {
    for (std::size_t cell = 0; cell < chart_.next_.size(); ++cell) {
      const std::size_t state = cell / chart_.events_.size();
      if (chart_.next_[cell] == kUnset && !chart_.final_[state]) {
        throw chart_error{StateLine(state), "missing transition: state '" + chart_.states_[state] +
                                                "' neither handles nor ignores event '" +
                                                chart_.events_[cell % chart_.events_.size()] + "'"};
      }
    }
  }

  void CheckReachable() const {
    std::vector<bool> reached(chart_.states_.size(), false);
    std::vector<std::size_t> open = {static_cast<std::size_t>(chart_.initial_)};
    reached[open.back()] = true;
    while (!open.empty()) {
      const std::size_t state = open.back();
      open.pop_back();
      for (std::size_t event = 0; event < chart_.events_.size(); ++event) {
        const std::int32_t next = chart_.next_[state * chart_.events_.size() + event];
        if (next >= 0 && !reached[static_cast<std::size_t>(next)]) {
          reached[static_cast<std::size_t>(next)] = true;
          open.push_back(static_cast<std::size_t>(next));
        }
      }
    }
    const std::size_t missed =
        static_cast<std::size_t>(std::find(reached.begin(), reached.end(), false) - reached.begin());
    if (missed < reached.size()) {
      throw chart_error{StateLine(missed), "unreachable state '" + chart_.states_[missed] + "'"};
    }
  }

  int StateLine(std::size_t state) const { return LineOf(root_["states"][state]); }

  const YAML::Node root_;
  state_chart chart_;
};

std::optional<state_chart> state_chart::Load(std::string_view text, std::string_view file, failure& error) {
  chart_error details;
  try {
    return chart_loader(YAML::Load(std::string(text))).Load();
  } catch (const chart_error& found) {
    details = found;
  } catch (const YAML::Exception& found) {
    details = {found.mark.line + 1, found.msg};
  }
  error =
      failure(error_kind::kInvalidField, std::string(file) + ":" + std::to_string(details.line) + ": " + details.text);
  return std::nullopt;
}

std::optional<state_id> state_chart::State(std::string_view name) const {
  const std::size_t index = Index(states_, name);
  return index == states_.size() ? std::nullopt : std::optional<state_id>(static_cast<state_id>(index));
}

std::optional<event_id> state_chart::Event(std::string_view name) const {
  const std::size_t index = Index(events_, name);
  return index == events_.size() ? std::nullopt : std::optional<event_id>(static_cast<event_id>(index));
}

}  // namespace bamboowing
