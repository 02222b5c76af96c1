#include "overrides.h"

#include <functional>
#include <map>
#include <stdexcept>

namespace bamboowing::bench {
namespace {

using setter = std::function<void(dispatch_settings&, double)>;

duration Micros(double us) { return duration(static_cast<std::int64_t>(us)); }

const std::map<std::string, setter>& Setters() {
  static const std::map<std::string, setter> kSetters = {
      {"work_share", [](dispatch_settings& s, double v) { s.order.work_share = v; }},
      {"slack_share", [](dispatch_settings& s, double v) { s.order.slack_share = v; }},
      {"deadline_share", [](dispatch_settings& s, double v) { s.order.deadline_share = v; }},
      {"hold_back", [](dispatch_settings& s, double v) { s.order.hold_back = v; }},
      {"risk_share", [](dispatch_settings& s, double v) { s.order.risk_share = v; }},
      {"slow_speed", [](dispatch_settings& s, double v) { s.order.slow_speed = v; }},
      {"slow_choice", [](dispatch_settings& s, double v) { s.order.slow_choice = static_cast<int>(v); }},
      {"hold_limit", [](dispatch_settings& s, double v) { s.order.hold_limit = Micros(v); }},
      {"burst_credit", [](dispatch_settings& s, double v) { s.share.burst_credit = Micros(v); }},
      {"priority_lead", [](dispatch_settings& s, double v) { s.share.priority_lead = Micros(v); }},
      {"longest_debt", [](dispatch_settings& s, double v) { s.share.longest_debt = Micros(v); }},
      {"backlog_share", [](dispatch_settings& s, double v) { s.admission.backlog_share = v; }},
      {"run_time_margin", [](dispatch_settings& s, double v) { s.admission.run_time_margin = v; }},
      {"evidence", [](dispatch_settings& s, double v) { s.health.evidence = v; }},
      {"ejected_share", [](dispatch_settings& s, double v) { s.health.ejected_share = v; }},
      {"first_ejection", [](dispatch_settings& s, double v) { s.health.first_ejection = Micros(v); }},
  };
  return kSetters;
}

}  // namespace

void ApplyOverride(const std::string& text, dispatch_settings& settings) {
  const std::size_t equals = text.find('=');
  const auto found = Setters().find(text.substr(0, equals));
  if (equals == std::string::npos || found == Setters().end()) {
    throw std::invalid_argument("unknown setting or missing value in \"" + text + "\"");
  }
  found->second(settings, std::stod(text.substr(equals + 1)));
}

}  // namespace bamboowing::bench
