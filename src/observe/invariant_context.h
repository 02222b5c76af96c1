/// @file
/// Declarations shared by the invariant checks.
#pragma once

#include <string>
#include <vector>

#include "bamboowing/observe/invariants.h"

namespace bamboowing::detail {

/// The timeline to be checked and the report that the checks fill.
struct check_context {
  const timeline& all;
  const invariant_settings& settings;
  invariant_report& report;

  const timeline_entry& At(std::size_t index) const { return all.entries[index]; }

  /// Returns the process and time of an event, for example "agent-1 at 12.345 ms".
  std::string ProcessAndTime(std::size_t index) const;

  void Add(invariant rule, std::vector<std::size_t> entries, std::string text) {
    report.violations.push_back({rule, std::move(entries), std::move(text)});
  }
};

/// Returns "job a task 3", or "job a" when @p task is -1.
std::string DescribeWork(const std::string& job_id, std::int64_t task);

/// Whether @p record reports that its job, call or task was not run.
bool StatesNotRun(const event& record);

void CheckStarts(check_context& context);
void CheckAnswers(check_context& context);
void CheckRefusals(check_context& context);
void CheckConfigurations(check_context& context);
void CheckLeavingTargets(check_context& context);
void CountMissingEvents(check_context& context);

}  // namespace bamboowing::detail
