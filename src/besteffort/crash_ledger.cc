#include "bamboowing/besteffort/crash_ledger.h"

#include <algorithm>
#include <utility>

namespace bamboowing {
namespace {

// Unsigned addition of this value subtracts one.
constexpr std::uint32_t kDecrement = static_cast<std::uint32_t>(-1);

}  // namespace

std::vector<crashed_task> crash_ledger::Add(const crash_record& crash, instant now) {
  std::vector<crashed_task> added;
  if (crash.tasks.empty() || crash.age >= kRetention) {
    return added;
  }
  const instant noticed_at = now - std::max(duration(0), crash.age);
  record& present =
      records_.try_emplace({crash.agent, crash.target, crash.start_id}, record{noticed_at, 0, {}}).first->second;
  present.noticed_at = std::min(present.noticed_at, noticed_at);
  for (const crashed_task& crashed : crash.tasks) {
    if (present.tasks.size() >= kMaxTasks && present.tasks.count(crashed.task) == 0) {
      continue;
    }
    const auto [item, is_new] = present.tasks.try_emplace(crashed.task, task_record{crashed.queue, crashed.evidence});
    if (!is_new && item->second.evidence >= crashed.evidence) {
      continue;
    }
    crash_count& count = counts_[crashed.task];
    if (!is_new) {
      Count(count, item->second.evidence, kDecrement);
      item->second.evidence = crashed.evidence;
    }
    Count(count, crashed.evidence, 1);
    if (count.ran > 1 && crashed.evidence != crash_evidence::kMayHaveRun) {
      repeated_at_ = std::max(repeated_at_.value_or(present.noticed_at), present.noticed_at);
    }
    added.push_back(crashed);
  }
  if (!added.empty()) {
    present.revision = ++revision_;
  }
  if (records_.size() > kMaxRecords) {
    RemoveOldest();
  }
  return added;
}

void crash_ledger::Count(crash_count& count, crash_evidence evidence, std::uint32_t change) {
  count.possible += change;
  count.ran += evidence != crash_evidence::kMayHaveRun ? change : 0;
  count.alone += evidence == crash_evidence::kRanAlone ? change : 0;
}

bool crash_ledger::ReachesLimit(const crash_count& count) {
  return count.ran >= kMaxCrashes || (count.alone > 0 && count.ran >= kMaxCrashesAlone) ||
         count.possible >= kMaxPossibleCrashes;
}

void crash_ledger::Expire(instant now) {
  for (record_map::iterator item = records_.begin(); item != records_.end();) {
    item = now - item->second.noticed_at >= kRetention ? Remove(item) : std::next(item);
  }
}

void crash_ledger::RemoveOldest() {
  Remove(std::min_element(records_.begin(), records_.end(),
                          [](const record_map::value_type& a, const record_map::value_type& b) {
                            return a.second.noticed_at < b.second.noticed_at;
                          }));
}

crash_ledger::record_map::iterator crash_ledger::Remove(record_map::iterator removed) {
  for (const std::pair<const task_name, task_record>& crashed : removed->second.tasks) {
    const std::map<task_name, crash_count>::iterator count = counts_.find(crashed.first);
    Count(count->second, crashed.second.evidence, kDecrement);
    if (count->second.possible == 0) {
      counts_.erase(count);
    }
  }
  return records_.erase(removed);
}

std::uint32_t crash_ledger::CrashesOf(const task_name& task) const {
  const std::map<task_name, crash_count>::const_iterator count = counts_.find(task);
  return count == counts_.end() ? 0 : count->second.ran;
}

bool crash_ledger::IsCrashing(const task_name& task) const {
  const std::map<task_name, crash_count>::const_iterator count = counts_.find(task);
  return count != counts_.end() && ReachesLimit(count->second);
}

bool crash_ledger::HasCrashingTask(std::string_view job_id) const {
  for (std::map<task_name, crash_count>::const_iterator count = counts_.lower_bound({std::string(job_id), 0, 0});
       count != counts_.end() && count->first.job_id == job_id; ++count) {
    if (ReachesLimit(count->second)) {
      return true;
    }
  }
  return false;
}

std::vector<crash_record> crash_ledger::Since(std::uint64_t revision, instant now) const {
  std::vector<crash_record> changed;
  for (const record_map::value_type& item : records_) {
    if (item.second.revision <= revision) {
      continue;
    }
    crash_record crash{
        std::get<0>(item.first), std::get<1>(item.first), std::get<2>(item.first), now - item.second.noticed_at, {}};
    for (const std::pair<const task_name, task_record>& crashed : item.second.tasks) {
      crash.tasks.push_back({crashed.first, crashed.second.queue, crashed.second.evidence});
    }
    changed.push_back(std::move(crash));
  }
  return changed;
}

}  // namespace bamboowing
