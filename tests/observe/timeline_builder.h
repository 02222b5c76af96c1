/// @file
/// Builds event logs of several processes whose clocks differ, for tests.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "bamboowing/observe/timeline.h"

namespace bamboowing {

class log_builder {
 public:
  /// Adds a process whose clock shows @p offset at true time 0.
  void AddProcess(const std::string& id, const std::string& role, duration offset = duration(0),
                  incarnation_id incarnation = 1) {
    processes_[id] = {{id, incarnation, role, "Hobart"}, offset};
  }

  /// Records an event at a true time in microseconds. The reference is valid until the next call.
  event& At(std::int64_t time, const std::string& id, event_kind kind, const std::string& job = {},
            std::int64_t task = -1) {
    const source& process = processes_.at(id);
    recorded_event recorded;
    recorded.process = process.identity;
    recorded.record.kind = kind;
    recorded.record.at = instant(duration(time) + process.offset);
    recorded.record.job_id = job;
    recorded.record.task = task;
    events_.push_back(recorded);
    return events_.back().record;
  }

  const std::vector<recorded_event>& events() const { return events_; }
  timeline Merge() const { return MergeTimeline(events_); }

 private:
  struct source {
    process_identity identity;
    duration offset;
  };
  std::map<std::string, source> processes_;
  std::vector<recorded_event> events_;
};

}  // namespace bamboowing
