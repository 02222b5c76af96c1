#include "bamboowing/service/settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "bamboowing/base/address.h"

namespace bamboowing {
namespace {

constexpr duration kMillisecond = std::chrono::milliseconds(1);
constexpr duration kSecond = std::chrono::seconds(1);

/// Reads values from a YAML map and records which keys are known.
class map_reader {
 public:
  map_reader(const YAML::Node& map, std::string path, std::vector<settings_error>& errors)
      : map_(map), path_(std::move(path)), errors_(errors) {}

  YAML::Node Get(const std::string& key) {
    known_.insert(key);
    return map_[key];
  }

  void Text(const std::string& key, std::string& out, bool required) {
    const YAML::Node node = Get(key);
    if (!node) {
      if (required) {
        Report(key, map_, "missing", "a string");
      }
      return;
    }
    if (!node.IsScalar()) {
      Report(key, node, Found(node), "a string");
      return;
    }
    out = node.Scalar();
  }

  void Address(const std::string& key, std::string& out, bool required) {
    Text(key, out, required);
    if (!out.empty() && !IsAddress(out)) {
      Report(key, map_[key], out, "IP:PORT, for example 127.0.0.1:8080");
    }
  }

  template <typename Number>
  void Integer(const std::string& key, Number& out, std::int64_t low, std::int64_t high) {
    const YAML::Node node = Get(key);
    if (!node) {
      return;
    }
    try {
      const std::int64_t value = node.as<std::int64_t>();
      if (value >= low && value <= high) {
        out = static_cast<Number>(value);
        return;
      }
    } catch (const YAML::Exception&) {  // reported below together with values out of range
    }
    Report(key, node, Found(node), "an integer from " + std::to_string(low) + " to " + std::to_string(high));
  }

  /// Reads a number of @p unit, which may be a fraction. The bounds are multiples of @p unit.
  void Duration(const std::string& key, duration& out, duration unit, std::int64_t low, std::int64_t high) {
    const YAML::Node node = Get(key);
    if (!node) {
      return;
    }
    try {
      const double value = node.as<double>();
      if (value >= static_cast<double>(low) && value <= static_cast<double>(high)) {
        out = duration(std::llround(value * static_cast<double>(unit.count())));
        return;
      }
    } catch (const YAML::Exception&) {  // reported below together with values out of range
    }
    Report(key, node, Found(node), "a number from " + std::to_string(low) + " to " + std::to_string(high));
  }

  void Boolean(const std::string& key, bool& out) {
    const YAML::Node node = Get(key);
    if (!node) {
      return;
    }
    try {
      out = node.as<bool>();
    } catch (const YAML::Exception&) {
      Report(key, node, Found(node), "true or false");
    }
  }

  void OneOf(const std::string& key, std::string& out, const std::vector<std::string>& allowed, bool required) {
    Text(key, out, required);
    if (out.empty() || std::find(allowed.begin(), allowed.end(), out) != allowed.end()) {
      return;
    }
    std::string list;
    for (const std::string& value : allowed) {
      list += (list.empty() ? "" : ", ") + value;
    }
    Report(key, map_[key], out, "one of: " + list);
  }

  void Addresses(const std::string& key, std::vector<std::string>& out) {
    const YAML::Node node = Get(key);
    if (!node || !node.IsSequence() || node.size() == 0) {
      Report(key, node ? node : map_, node ? "not a list" : "missing", "a list of IP:PORT with at least one element");
      return;
    }
    for (const YAML::Node& item : node) {
      const std::string address = item.IsScalar() ? item.Scalar() : "";
      if (!IsAddress(address)) {
        Report(key, item, address, "IP:PORT, for example 127.0.0.1:7101");
      }
      out.push_back(address);
    }
  }

  /// Reports every key that was not read.
  void ReportUnknownKeys() {
    if (!map_.IsMap()) {
      return;
    }
    for (const auto& item : map_) {
      const std::string key = item.first.Scalar();
      if (known_.count(key) == 0) {
        std::string list;
        for (const std::string& name : known_) {
          list += (list.empty() ? "" : ", ") + name;
        }
        Report(key, item.first, "an unknown key", "one of: " + list);
      }
    }
  }

  void Report(const std::string& key, const YAML::Node& where, std::string found, std::string allowed) {
    std::uint32_t line = where ? static_cast<std::uint32_t>(where.Mark().line + 1) : 0;
    // The parser places a missing value on the line after its key.
    if (where && where.IsNull()) {
      line = LineOf(key).value_or(line);
    }
    errors_.push_back({path_.empty() ? key : path_ + "." + key, line, std::move(found), std::move(allowed)});
  }

  /// Returns the map under @p key, or an empty map after reporting that it is missing or of another type.
  YAML::Node Map(const std::string& key) {
    const YAML::Node node = Get(key);
    if (!node || !node.IsMap()) {
      Report(key, node ? node : map_, node ? "not a map" : "missing", "a map");
      return YAML::Node(YAML::NodeType::Map);
    }
    return node;
  }

 private:
  std::optional<std::uint32_t> LineOf(const std::string& key) const {
    for (const auto& item : map_) {
      if (item.first.Scalar() == key) {
        return static_cast<std::uint32_t>(item.first.Mark().line + 1);
      }
    }
    return std::nullopt;
  }

  static std::string Found(const YAML::Node& node) {
    if (node.IsNull()) {
      return "no value";
    }
    return node.IsScalar() ? node.Scalar() : "a list or map";
  }

  static bool IsAddress(const std::string& text) {
    failure malformed;
    return ParseEndpoint(text, malformed).has_value();
  }

  YAML::Node map_;
  std::string path_;
  std::vector<settings_error>& errors_;
  std::set<std::string> known_;
};

void ReadCommon(map_reader& top, daemon_settings& settings) {
  top.Text("id", settings.id, true);
  top.Text("failure_domain", settings.failure_domain, true);
  top.Text("log_file", settings.log_file, false);
  top.OneOf("log_level", settings.log_level, {"debug", "info", "warning", "error"}, false);
  top.Text("events_file", settings.events_file, false);
  std::int64_t drain_ms = std::chrono::duration_cast<std::chrono::milliseconds>(settings.drain_limit).count();
  top.Integer("drain_limit_ms", drain_ms, 0, 3'600'000);
  settings.drain_limit = std::chrono::milliseconds(drain_ms);
}

void ReadEntry(map_reader& top, daemon_settings& settings, std::vector<settings_error>& errors) {
  map_reader entry(top.Map("entry"), "entry", errors);
  entry.Address("callers_address", settings.callers_address, true);
  entry.Address("operators_address", settings.operators_address, false);
  entry.Text("operators_token_file", settings.operators_token_file, !settings.operators_address.empty());
  entry.Address("peers_address", settings.peers_address, true);
  entry.Address("store_address", settings.store_address, true);
  entry.Integer("max_body_bytes", settings.max_body_bytes, 1'000, 64'000'000);
  entry.Integer("max_open_calls", settings.max_open_calls, 1, 1'000'000);
  entry.ReportUnknownKeys();
}

void ReadAgent(map_reader& top, daemon_settings& settings, std::vector<settings_error>& errors) {
  map_reader agent(top.Map("agent"), "agent", errors);
  agent.Addresses("entries", settings.entries);
  agent.OneOf("target_kind", settings.target_kind, {"minion", "worker"}, false);
  agent.Address("target_address", settings.target_address, true);
  agent.Integer("worker_cores", settings.worker_capacity.cores, 1, 4096);
  agent.Integer("worker_memory_bytes", settings.worker_capacity.memory_bytes, 1, INT64_MAX);
  agent.Integer("worker_task_cores", settings.worker_task_size.cores, 1, 4096);
  agent.Integer("worker_task_memory_bytes", settings.worker_task_size.memory_bytes, 1, INT64_MAX);
  agent.Address("announce_address", settings.announce_address, true);
  agent.ReportUnknownKeys();
}

/// Reads the seed addresses and replaces each port by the port on which entries serve agents.
void ReadSeeds(map_reader& map, daemon_settings& settings) {
  std::int64_t port = 0;
  map.Integer("peers_port", port, 1, 65535);
  const YAML::Node seeds = map.Get("seeds");
  if (!seeds || !seeds.IsSequence()) {
    map.Report("seeds", seeds, seeds ? "not a list" : "missing", "a list of IP:PORT, possibly empty");
    return;
  }
  for (const YAML::Node& seed : seeds) {
    const std::string address = seed.IsScalar() ? seed.Scalar() : "";
    settings.entries.push_back(address.substr(0, address.rfind(':')) + ":" + std::to_string(port));
  }
}

void ReadCallersLimits(map_reader& best_effort, connection_limits& limits, std::vector<settings_error>& errors) {
  if (!best_effort.Get("callers_limits")) {
    return;
  }
  map_reader map(best_effort.Map("callers_limits"), "best_effort.callers_limits", errors);
  map.Integer("connections", limits.max_connections, 1, 1'000'000);
  map.Integer("header_bytes", limits.max_header_bytes, 1024, 1 << 20);
  map.Integer("trailer_bytes", limits.max_trailer_bytes, 1024, 1 << 20);
  map.Integer("body_bytes", limits.max_body_bytes, 1024, 1 << 30);
  map.Integer("buffered_bytes", limits.max_buffered_bytes, 1 << 16, std::int64_t{1} << 40);
  map.Duration("receive_timeout_ms", limits.receive_timeout, kMillisecond, 100, 600'000);
  map.Duration("idle_timeout_ms", limits.idle_timeout, kMillisecond, 100, 3'600'000);
  map.ReportUnknownKeys();
}

void ReadBestEffort(map_reader& top, daemon_settings& settings, std::vector<settings_error>& errors) {
  best_effort_settings& best_effort = settings.best_effort;
  best_effort.enabled = true;
  map_reader map(top.Map("best_effort"), "best_effort", errors);
  map.Address("store_address", settings.store_address, true);
  map.Duration("lease_ms", best_effort.lease, kMillisecond, 100, 600'000);
  map.Duration("grace_s", best_effort.grace, kSecond, 0, 3600);
  map.Boolean("evacuation", best_effort.evacuation);
  if (settings.role == daemon_role::kEntry) {
    map.Address("callers_address", best_effort.callers_address, true);
    ReadCallersLimits(map, best_effort.callers_limits, errors);
    map.Address("metrics_address", best_effort.metrics_address, false);
    map.Address("readiness_address", best_effort.readiness_address, true);
    map.Address("peers_address", settings.peers_address, true);
    std::string order;
    map.OneOf("overload_order", order, {"deadline", "cost"}, false);
    best_effort.order = order == "cost" ? overload_order::kCost : overload_order::kDeadline;
  } else {
    map.Address("announce_address", best_effort.announce_address, true);
    map.Duration("announcement_interval_ms", best_effort.announcement_interval, kMillisecond, 100, 600'000);
    ReadSeeds(map, settings);
  }
  map.ReportUnknownKeys();
}

}  // namespace

std::optional<daemon_settings> ParseSettings(std::string_view yaml, std::vector<settings_error>& errors) {
  YAML::Node root;
  try {
    root = YAML::Load(std::string(yaml));
  } catch (const YAML::Exception& broken) {
    errors.push_back({"", static_cast<std::uint32_t>(broken.mark.line + 1), broken.msg, "a YAML document"});
    return std::nullopt;
  }
  if (!root.IsMap()) {
    errors.push_back({"", 1, "not a map", "a YAML map with the key role"});
    return std::nullopt;
  }
  daemon_settings settings;
  map_reader top(root, "", errors);
  std::string role;
  top.OneOf("role", role, {"entry", "agent"}, true);
  ReadCommon(top, settings);
  settings.role = role == "agent" ? daemon_role::kAgent : daemon_role::kEntry;
  if (!role.empty() && top.Get("best_effort")) {
    ReadBestEffort(top, settings, errors);
  } else if (role == "agent") {
    ReadAgent(top, settings, errors);
  } else if (role == "entry") {
    ReadEntry(top, settings, errors);
  }
  if (!role.empty()) {
    top.ReportUnknownKeys();
  }
  if (!errors.empty()) {
    return std::nullopt;
  }
  return settings;
}

std::string Describe(const settings_error& error) {
  std::string text = "settings";
  if (error.line > 0) {
    text += " line " + std::to_string(error.line);
  }
  if (!error.path.empty()) {
    text += ": " + error.path;
  }
  return text + ": found " + error.found + ", expected " + error.allowed;
}

}  // namespace bamboowing
