#include "bamboowing/besteffort/job.h"

namespace bamboowing {

const queue_rule* queue_table::Find(std::string_view host, std::string_view path) const {
  const queue_rule* best = nullptr;
  for (const queue_rule& rule : rules_) {
    const bool matches = rule.host == host && path.substr(0, rule.prefix.size()) == rule.prefix;
    if (matches && (best == nullptr || rule.prefix.size() > best->prefix.size())) {
      best = &rule;
    }
  }
  return best;
}

std::string_view RunOutcomeName(run_outcome outcome) {
  switch (outcome) {
    case run_outcome::kDone:
      return "done";
    case run_outcome::kFailed:
      return "failed";
    case run_outcome::kStopped:
      return "stopped";
    case run_outcome::kLost:
      return "lost";
    case run_outcome::kNoRoom:
      return "no_room";
    case run_outcome::kUnavailable:
      return "unavailable";
    case run_outcome::kStaleAttempt:
      return "stale_attempt";
    case run_outcome::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace bamboowing
