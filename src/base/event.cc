#include "bamboowing/base/event.h"

#include <array>

namespace bamboowing {
namespace {

constexpr std::array<std::string_view, kEventKindCount> kNames = {
    "job_accepted",   "job_refused",      "job_completed",   "job_failed",    "job_cancelled",  "job_relayed",
    "job_recovered",  "task_sent",        "task_started",    "task_answered", "task_refused",   "target_announced",
    "target_ejected", "target_restored",  "target_draining", "target_left",   "session_opened", "session_closed",
    "shard_claimed",  "shard_released",   "epoch_raised",    "lease_renewed", "lease_lost",     "config_applied",
    "process_ready",  "process_draining", "process_stopped", "call_received", "call_answered",  "target_resumed"};

}  // namespace

std::string_view EventName(event_kind kind) { return kNames.at(static_cast<std::size_t>(kind)); }

std::optional<event_kind> EventKindFromName(std::string_view name) {
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames.at(i) == name) {
      return static_cast<event_kind>(i);
    }
  }
  return std::nullopt;
}

}  // namespace bamboowing
