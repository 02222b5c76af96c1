#include <algorithm>
#include <map>
#include <utility>

#include "invariant_context.h"

namespace bamboowing::detail {
namespace {

/// Events of one job that show whether its refusals are true, as indices in ascending order.
struct job_history {
  std::vector<std::size_t> starts;
  std::vector<std::size_t> submissions;      ///< call, relay, acceptance or recovery; a later start may belong to it
  std::vector<std::size_t> calls;            ///< call_received
  std::vector<std::size_t> answers;          ///< call_answered
  std::vector<std::size_t> not_run_reports;  ///< events that report the job as not run
  std::vector<std::size_t> refusals;         ///< task_refused
  std::vector<std::size_t> sent;             ///< task_sent
};

bool IsJobOutcome(event_kind kind) {
  return kind == event_kind::kJobRefused || kind == event_kind::kJobFailed || kind == event_kind::kJobCancelled ||
         kind == event_kind::kCallAnswered;
}

void Collect(std::size_t index, const event& record, job_history& job) {
  switch (record.kind) {
    case event_kind::kTaskStarted:
      job.starts.push_back(index);
      break;
    case event_kind::kCallReceived:
      job.calls.push_back(index);
      job.submissions.push_back(index);
      break;
    case event_kind::kJobRelayed:
    case event_kind::kJobAccepted:
    case event_kind::kJobRecovered:
      job.submissions.push_back(index);
      break;
    case event_kind::kCallAnswered:
      job.answers.push_back(index);
      break;
    case event_kind::kTaskSent:
      job.sent.push_back(index);
      break;
    case event_kind::kTaskRefused:
      job.refusals.push_back(index);
      break;
    default:
      break;
  }
  if (IsJobOutcome(record.kind) && StatesNotRun(record)) {
    job.not_run_reports.push_back(index);
  }
}

bool SameCall(const timeline_entry& a, const timeline_entry& b) {
  return a.process == b.process && a.record.number == b.record.number;
}

/// Returns the number of calls for the job that are unanswered at @p index, excluding the call that this event answers.
std::size_t CountOtherOpenCalls(const check_context& context, const job_history& job, std::size_t index) {
  std::size_t open = 0;
  for (const std::size_t call : job.calls) {
    const bool answered = std::any_of(job.answers.begin(), job.answers.end(), [&](std::size_t answer) {
      return answer <= index && SameCall(context.At(answer), context.At(call));
    });
    open += call < index && !answered ? 1 : 0;
  }
  const bool is_answer = context.At(index).record.kind == event_kind::kCallAnswered;
  return is_answer || open == 0 ? open : open - 1;
}

bool AnyBetween(const std::vector<std::size_t>& sorted, std::size_t from, std::size_t to) {
  const std::vector<std::size_t>::const_iterator next = std::upper_bound(sorted.begin(), sorted.end(), from);
  return next != sorted.end() && *next < to;
}

/// A start before the report makes it false. So does a start after it, unless another submission may have caused it.
void CheckNotRunReport(check_context& context, const job_history& job, std::size_t not_run_report) {
  for (const std::size_t start : job.starts) {
    const bool other =
        AnyBetween(job.submissions, not_run_report, start) || CountOtherOpenCalls(context, job, not_run_report) > 0;
    if (start > not_run_report && other) {
      continue;
    }
    const event& record = context.At(start).record;
    context.Add(invariant::kFalseRefusal, {not_run_report, start},
                DescribeWork(record.job_id, -1) + ": reported as not run by " + context.ProcessAndTime(not_run_report) +
                    ", but task " + std::to_string(record.task) + " started, " + context.ProcessAndTime(start));
    return;
  }
}

/// Whether @p start is the start that @p refusal rejected. Unless both events hold an attempt, only a start at the
/// refusing process counts, and only when the task was not sent again after the refusal.
bool IsRefusedStart(const check_context& context, const job_history& job, std::size_t refusal, std::size_t start) {
  const timeline_entry& refused = context.At(refusal);
  const timeline_entry& started = context.At(start);
  if (refused.record.task != started.record.task) {
    return false;
  }
  if (refused.record.attempt >= 0 && started.record.attempt >= 0) {
    return refused.record.attempt == started.record.attempt;
  }
  return refused.process == started.process && !AnyBetween(job.sent, refusal, start);
}

void CheckTaskRefusal(check_context& context, const job_history& job, std::size_t refusal) {
  for (const std::size_t start : job.starts) {
    if (!IsRefusedStart(context, job, refusal, start)) {
      continue;
    }
    const event& record = context.At(start).record;
    context.Add(invariant::kFalseRefusal, {refusal, start},
                DescribeWork(record.job_id, record.task) + ": refused as not run by " +
                    context.ProcessAndTime(refusal) + ", but it started, " + context.ProcessAndTime(start));
    return;
  }
}

}  // namespace

void CheckRefusals(check_context& context) {
  std::map<std::string, job_history> jobs;
  for (std::size_t i = 0; i < context.all.entries.size(); ++i) {
    const event& record = context.At(i).record;
    if (!record.job_id.empty()) {
      Collect(i, record, jobs[record.job_id]);
    }
  }
  for (const std::pair<const std::string, job_history>& one : jobs) {
    const job_history& job = one.second;
    context.report.refusals += job.not_run_reports.size() + job.refusals.size();
    for (const std::size_t not_run_report : job.not_run_reports) {
      CheckNotRunReport(context, job, not_run_report);
    }
    for (const std::size_t refusal : job.refusals) {
      CheckTaskRefusal(context, job, refusal);
    }
  }
}

}  // namespace bamboowing::detail
