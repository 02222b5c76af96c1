#include "bamboowing/observe/invariants.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>
#include <set>

#include "invariant_context.h"

namespace bamboowing {
namespace detail {

std::string check_context::ProcessAndTime(std::size_t index) const {
  const timeline_entry& entry = At(index);
  char time[32];
  std::snprintf(time, sizeof time, "%.3f ms", static_cast<double>(entry.at.count()) / 1000.0);
  return all.processes[entry.process].label + " at " + time;
}

std::string DescribeWork(const std::string& job_id, std::int64_t task) {
  return task < 0 ? "job " + job_id : "job " + job_id + " task " + std::to_string(task);
}

bool StatesNotRun(const event& record) {
  if (record.not_run) {
    return *record.not_run == not_run_state::kYes;
  }
  return record.error && ErrorRow(*record.error).not_run == not_run_state::kYes;
}

void CheckStarts(check_context& context) {
  std::map<std::pair<std::string, std::int64_t>, std::vector<std::size_t>> starts;
  std::set<std::string> idempotent;
  for (std::size_t i = 0; i < context.all.entries.size(); ++i) {
    const event& record = context.At(i).record;
    if (record.idempotent) {
      idempotent.insert(record.job_id);
    }
    if (record.kind == event_kind::kTaskStarted) {
      starts[{record.job_id, record.task}].push_back(i);
      ++context.report.starts;
    }
  }
  for (const std::pair<const std::pair<std::string, std::int64_t>, std::vector<std::size_t>>& one : starts) {
    if (one.second.size() < 2 || idempotent.count(one.first.first) != 0) {
      continue;
    }
    std::string text = DescribeWork(one.first.first, one.first.second) + " started " +
                       std::to_string(one.second.size()) + " times, expected once:";
    for (const std::size_t index : one.second) {
      text += (index == one.second.front() ? " " : ", ") + context.ProcessAndTime(index);
    }
    context.Add(invariant::kStartedTwice, one.second, text);
  }
}

void CheckConfigurations(check_context& context) {
  std::map<std::size_t, std::size_t> newest;
  for (std::size_t i = 0; i < context.all.entries.size(); ++i) {
    const timeline_entry& entry = context.At(i);
    if (entry.record.kind != event_kind::kConfigApplied) {
      continue;
    }
    ++context.report.configurations;
    std::size_t& highest = newest.emplace(entry.process, i).first->second;
    const std::uint64_t before = context.At(highest).record.number;
    if (entry.record.number < before) {
      context.Add(invariant::kConfigReverted, {highest, i},
                  context.ProcessAndTime(i) + " applied configuration version " + std::to_string(entry.record.number) +
                      " after version " + std::to_string(before));
    } else {
      highest = i;
    }
  }
}

void CountMissingEvents(check_context& context) {
  std::map<std::size_t, std::uint64_t> last;
  for (const timeline_entry& entry : context.all.entries) {
    const std::uint64_t number = entry.record.sequence;
    if (number == 0) {
      continue;
    }
    std::uint64_t& previous = last[entry.process];
    context.report.missing_events += number > previous + 1 ? number - previous - 1 : 0;
    previous = number;
  }
}

}  // namespace detail

std::string_view InvariantName(invariant rule) {
  switch (rule) {
    case invariant::kStartedTwice:
      return "started_twice";
    case invariant::kPartialAnswer:
      return "partial_answer";
    case invariant::kAnsweredTwice:
      return "answered_twice";
    case invariant::kForeignAnswer:
      return "foreign_answer";
    case invariant::kNotAnswered:
      return "not_answered";
    case invariant::kFalseRefusal:
      return "false_refusal";
    case invariant::kConfigReverted:
      return "config_reverted";
    case invariant::kLateStart:
      break;
  }
  return "late_start";
}

invariant_report CheckInvariants(const timeline& all, const invariant_settings& settings) {
  invariant_report report;
  detail::check_context context{all, settings, report};
  detail::CheckStarts(context);
  detail::CheckAnswers(context);
  detail::CheckRefusals(context);
  detail::CheckConfigurations(context);
  detail::CheckLeavingTargets(context);
  detail::CountMissingEvents(context);
  return report;
}

}  // namespace bamboowing
