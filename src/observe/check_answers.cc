#include <map>
#include <optional>
#include <utility>

#include "invariant_context.h"

namespace bamboowing::detail {
namespace {

/// Events of one caller's call at one process.
struct call_events {
  std::optional<std::size_t> received;
  std::vector<std::size_t> answered;
};

/// Calls by process and number of the call.
using call_map = std::map<std::pair<std::size_t, std::uint64_t>, call_events>;

call_map CollectCalls(const check_context& context) {
  call_map calls;
  for (std::size_t i = 0; i < context.all.entries.size(); ++i) {
    const timeline_entry& entry = context.At(i);
    const bool received = entry.record.kind == event_kind::kCallReceived;
    if (entry.record.number == 0 || (!received && entry.record.kind != event_kind::kCallAnswered)) {
      continue;
    }
    call_events& call = calls[{entry.process, entry.record.number}];
    if (received) {
      call.received = i;
    } else {
      call.answered.push_back(i);
    }
  }
  return calls;
}

std::string DescribeCall(const check_context& context, std::size_t index) {
  const event& record = context.At(index).record;
  return "call " + std::to_string(record.number) + " for " + DescribeWork(record.job_id, -1) + ", " +
         context.ProcessAndTime(index);
}

void CheckResultCount(check_context& context, std::optional<std::size_t> received, std::size_t answered) {
  const event& answer = context.At(answered).record;
  if (answer.error) {
    if (answer.count > 0) {
      context.Add(invariant::kPartialAnswer, {answered},
                  DescribeCall(context, answered) + ": failed, but with " + std::to_string(answer.count) + " results");
    }
    return;
  }
  if (!received) {
    return;
  }
  const std::int64_t expected = context.At(*received).record.count;
  if (expected >= 0 && answer.count >= 0 && answer.count != expected) {
    context.Add(invariant::kPartialAnswer, {*received, answered},
                DescribeCall(context, answered) + ": " + std::to_string(answer.count) + " results for " +
                    std::to_string(expected) + " tasks");
  }
}

void CheckAnsweredJob(check_context& context, std::size_t received, std::size_t answered) {
  const std::string& requested_job = context.At(received).record.job_id;
  const std::string& answered_job = context.At(answered).record.job_id;
  if (!requested_job.empty() && !answered_job.empty() && requested_job != answered_job) {
    context.Add(invariant::kForeignAnswer, {received, answered},
                DescribeCall(context, received) + ": answered with job " + answered_job);
  }
}

void CheckCall(check_context& context, const call_events& call) {
  context.report.answers += call.answered.size();
  if (call.answered.size() > 1) {
    context.Add(
        invariant::kAnsweredTwice, call.answered,
        DescribeCall(context, call.answered[1]) + ": answered " + std::to_string(call.answered.size()) + " times");
  }
  for (const std::size_t answered : call.answered) {
    CheckResultCount(context, call.received, answered);
    if (call.received) {
      CheckAnsweredJob(context, *call.received, answered);
    }
  }
}

/// A process that records process_stopped has shut down gracefully, so it must have answered all its callers.
void CheckUnansweredCalls(check_context& context, const call_map& calls) {
  std::map<std::size_t, std::size_t> stopped;
  for (std::size_t i = 0; i < context.all.entries.size(); ++i) {
    if (context.At(i).record.kind == event_kind::kProcessStopped) {
      stopped[context.At(i).process] = i;
    }
  }
  for (const std::pair<const std::pair<std::size_t, std::uint64_t>, call_events>& one : calls) {
    const std::map<std::size_t, std::size_t>::iterator stop = stopped.find(one.first.first);
    if (one.second.answered.empty() && stop != stopped.end()) {
      context.Add(invariant::kNotAnswered, {*one.second.received, stop->second},
                  DescribeCall(context, *one.second.received) + ": not answered when " +
                      context.ProcessAndTime(stop->second) + " stopped");
    }
  }
}

/// Checks the number of results that the shard leader recorded for a complete job.
void CheckCompletions(check_context& context) {
  std::map<std::string, std::size_t> accepted;
  for (std::size_t i = 0; i < context.all.entries.size(); ++i) {
    const event& record = context.At(i).record;
    if (record.kind == event_kind::kJobAccepted && record.count >= 0) {
      accepted[record.job_id] = i;
    }
    const std::map<std::string, std::size_t>::iterator begin = accepted.find(record.job_id);
    if (record.kind != event_kind::kJobCompleted || record.count < 0 || begin == accepted.end()) {
      continue;
    }
    const std::int64_t expected = context.At(begin->second).record.count;
    if (record.count != expected) {
      context.Add(invariant::kPartialAnswer, {begin->second, i},
                  DescribeWork(record.job_id, -1) + ", " + context.ProcessAndTime(i) + ": complete with " +
                      std::to_string(record.count) + " results for " + std::to_string(expected) + " tasks");
    }
  }
}

}  // namespace

void CheckAnswers(check_context& context) {
  const call_map calls = CollectCalls(context);
  for (const std::pair<const std::pair<std::size_t, std::uint64_t>, call_events>& one : calls) {
    CheckCall(context, one.second);
  }
  CheckUnansweredCalls(context, calls);
  CheckCompletions(context);
}

}  // namespace bamboowing::detail
