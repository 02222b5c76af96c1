#include <algorithm>

#include "ctl/command.h"

namespace bamboowing::ctl {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr duration kPollWait = std::chrono::milliseconds(1000);  // longest time that one status call waits for the end
constexpr duration kPollPause = std::chrono::milliseconds(100);  // between status calls that return at once
/// Pauses before a submission without an answer is sent again. The entry's balancer needs about a second to leave out
/// an entry that died; a takeover takes about 5 s.
constexpr duration kResubmitPauses[] = {std::chrono::milliseconds(500), std::chrono::seconds(2),
                                        std::chrono::seconds(5)};
constexpr std::size_t kShownResult = 100;  // characters of a result in a table

std::string TextOf(const json& body, const char* key) {
  const json::const_iterator found = body.find(key);
  return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::int64_t NumberOf(const json& body, const char* key) {
  const json::const_iterator found = body.find(key);
  return found != body.end() && found->is_number() ? found->get<std::int64_t>() : 0;
}

/// Whether the same call may succeed soon, while an entry is replaced or a shard changes its home.
bool IsPassing(error_kind kind) {
  return kind == error_kind::kNotReady || kind == error_kind::kDraining || kind == error_kind::kTargetLost ||
         kind == error_kind::kOverloaded;
}

bool HasEnded(const json& job) {
  const std::string state = TextOf(job, "state");
  return state == "complete" || state == "failed";
}

command_failure JobFailure(const json& job) {
  const json::const_iterator nested = job.find("error");
  std::optional<failure> why = FailureFromJson(nested != job.end() ? *nested : job);
  if (!why) {
    why = failure(error_kind::kInternal, not_run_state::kUnknown, "the job failed without a reason");
  }
  why->reason = "job " + TextOf(job, "job_id") + " failed: " + why->reason;
  return {ExitCodeOf(*why), *why, AdviceFor(why->kind)};
}

std::string ResultText(const json& result) {
  std::string text = result.is_string() ? result.get<std::string>() : result.dump();
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text.size() > kShownResult ? text.substr(0, kShownResult) + "..." : text;
}

std::string Counts(const json& job) {
  return std::to_string(NumberOf(job, "tasks_done")) + " of " + std::to_string(NumberOf(job, "tasks_total")) + " tasks";
}

void PrintResults(printer& print, const json& job) {
  table results{{"TASK", "RESULT"}, {}};
  std::size_t task = 0;
  for (const json& result : job.value("results", json::array())) {
    results.rows.push_back({std::to_string(task++), ResultText(result)});
  }
  print.Table(results);
}

/// Prints a job in any state. A failed job is a failure of the command, so that scripts need not read the output.
exit_code Report(printer& print, const json& job) {
  if (TextOf(job, "state") == "failed") {
    if (print.json()) {
      print.Json(ordered_json(job));
    }
    return print.Fail(JobFailure(job));
  }
  if (print.json()) {
    print.Json(ordered_json(job));
    return exit_code::kOk;
  }
  print.Line("job " + TextOf(job, "job_id") + ": " + TextOf(job, "state") + ", " + Counts(job));
  if (TextOf(job, "state") == "complete") {
    PrintResults(print, job);
  }
  return exit_code::kOk;
}

/// Sends @p request and returns the job in the answer. A failed job comes with the status and the fields of its error;
/// an answer that says that the entry cannot tell at present is a failure of the call.
std::optional<json> CallJob(api_client& entry, http_request request, failure& why) {
  const std::optional<http_response> response = entry.Send(std::move(request), why);
  if (!response) {
    return std::nullopt;
  }
  json body = json::parse(response->body, nullptr, false);
  const bool good = response->status >= 200 && response->status <= 299;
  if (!body.is_object() || TextOf(body, "state").empty()) {
    why = good ? failure(error_kind::kInternal, "the server's answer is not a job") : api_client::FailureOf(*response);
    return std::nullopt;
  }
  if (!good) {
    why = api_client::FailureOf(*response);
    // A job may end with target_lost; from an answer, unlike from the connection, it is the end of the job.
    const bool lost = why.kind == error_kind::kTargetLost;
    if ((IsPassing(why.kind) && !lost) || why.kind == error_kind::kNotFound) {
      return std::nullopt;
    }
  }
  return body;
}

std::string JobPath(const std::string& id) { return "/v1/jobs/" + id; }

/// Waits for the end of a job. Returns nullopt and fills @p error when the calls fail or @p limit passes.
std::optional<json> WaitForEnd(invocation& call, api_client& entry, const std::string& id, duration limit,
                               command_failure& error) {
  const instant begin = call.env().now();
  while (true) {
    failure why;
    const std::map<std::string, std::string> query = {{"wait_ms", std::to_string(kPollWait.count() / 1000)}};
    std::optional<json> answer = CallJob(entry, MakeRequest("GET", JobPath(id), {}, query), why);
    const duration waited = call.env().now() - begin;
    if (!answer && (!IsPassing(why.kind) || waited >= limit)) {
      error = CallFailure(why, "Ask later: bamboowingctl job status " + id + ".");
      return std::nullopt;
    }
    if (answer && HasEnded(*answer)) {
      call.print().EndProgress();
      return answer;
    }
    if (waited >= limit) {
      error = {exit_code::kTimeout,
               failure(error_kind::kDeadlineExceeded, "job " + id + " has not ended after " + FormatDuration(waited)),
               "Ask later: bamboowingctl job status " + id + "."};
      return std::nullopt;
    }
    call.print().Progress("job " + id + ": " + (answer ? Counts(*answer) : why.reason) + ", " + FormatDuration(waited));
    call.env().sleep(kPollPause);
  }
}

std::optional<json> ReadJob(invocation& call, command_failure& error) {
  const std::string name = call.List(kOperand).front();
  const std::optional<std::string> text = call.ReadFile(name, error);
  if (!text) {
    return std::nullopt;
  }
  json job = json::parse(*text, nullptr, false);
  if (!job.is_object()) {
    error = {exit_code::kInvalidInput, failure(error_kind::kInvalidJson, "'" + name + "' does not hold a JSON object"),
             "Write a job as docs/cli.md shows."};
    return std::nullopt;
  }
  if (call.Has("job-id")) {
    job["job_id"] = call.Text("job-id");
  } else if (TextOf(job, "job_id").empty()) {
    // With an id of its own the tool can send the job again when an answer is lost; the job still runs once.
    job["job_id"] = call.env().random_id();
  }
  return job;
}

/// Sends the job, again when no answer comes. A second copy says how long ago the first was sent.
std::optional<json> Submit(invocation& call, api_client& entry, json job, command_failure& error) {
  const instant first = call.env().now();
  std::size_t attempt = 0;
  while (true) {
    failure why;
    std::optional<json> answer = CallJob(entry, MakeRequest("POST", "/v1/jobs", job.dump(), {{"wait", "false"}}), why);
    if (answer) {
      return answer;
    }
    if (why.kind != error_kind::kTargetLost || attempt == std::size(kResubmitPauses)) {
      error = CallFailure(why);
      return std::nullopt;
    }
    call.print().Progress("no answer (" + why.reason + "); sending the job again");
    call.env().sleep(kResubmitPauses[attempt++]);
    job["first_sent_ms_ago"] = (call.env().now() - first).count() / 1000;
  }
}

}  // namespace

void DefineJobSubmit(cxxopts::Options& options) {
  options.add_options()("job-id", "Id of the job, instead of the file's or a new one", cxxopts::value<std::string>(),
                        "ID")("no-wait", "Return when the job is accepted")(
      "wait-limit", "Longest wait for the end of the job, in seconds", cxxopts::value<double>()->default_value("600"),
      "S");
}

exit_code RunJobSubmit(invocation& call) {
  command_failure error;
  const std::optional<json> job = ReadJob(call, error);
  if (!job) {
    return call.print().Fail(error);
  }
  const std::optional<duration> limit = call.Seconds("wait-limit", error);
  const std::unique_ptr<api_client> entry = limit ? call.Entry(error) : nullptr;
  if (entry == nullptr) {
    return call.print().Fail(error);
  }
  const std::optional<json> accepted = Submit(call, *entry, *job, error);
  if (!accepted) {
    return call.print().Fail(error);
  }
  if (call.Has("no-wait") || HasEnded(*accepted)) {
    return Report(call.print(), *accepted);
  }
  const std::optional<json> ended = WaitForEnd(call, *entry, job->at("job_id").get<std::string>(), *limit, error);
  return ended ? Report(call.print(), *ended) : call.print().Fail(error);
}

void DefineJobStatus(cxxopts::Options& options) {
  options.add_options()("wait", "Wait for the end of the job")("wait-limit",
                                                               "Longest wait for the end of the job, in seconds",
                                                               cxxopts::value<double>()->default_value("600"), "S");
}

exit_code RunJobStatus(invocation& call) {
  command_failure error;
  const std::string id = call.List(kOperand).front();
  const std::optional<duration> limit = call.Seconds("wait-limit", error);
  const std::unique_ptr<api_client> entry = limit ? call.Entry(error) : nullptr;
  if (entry == nullptr) {
    return call.print().Fail(error);
  }
  if (call.Has("wait")) {
    const std::optional<json> ended = WaitForEnd(call, *entry, id, *limit, error);
    return ended ? Report(call.print(), *ended) : call.print().Fail(error);
  }
  failure why;
  const std::optional<json> answer = CallJob(*entry, MakeRequest("GET", JobPath(id)), why);
  return answer ? Report(call.print(), *answer) : call.print().Fail(CallFailure(why));
}

exit_code RunJobCancel(invocation& call) {
  command_failure error;
  const std::string id = call.List(kOperand).front();
  const std::unique_ptr<api_client> entry = call.Entry(error);
  if (entry == nullptr) {
    return call.print().Fail(error);
  }
  failure why;
  const std::optional<json> answer = CallJob(*entry, MakeRequest("DELETE", JobPath(id)), why);
  if (!answer) {
    return call.print().Fail(
        CallFailure(why, why.not_run == not_run_state::kUnknown && why.kind == error_kind::kTargetLost
                             ? "A cancellation may be repeated safely."
                             : ""));
  }
  const bool cancelled = TextOf(*answer, "kind") == ErrorRow(error_kind::kCancelled).name;
  if (call.print().json()) {
    call.print().Json(ordered_json(*answer));
  } else {
    call.print().Line("job " + id + ": " + (cancelled ? "cancelled" : "ended before, " + TextOf(*answer, "state")));
  }
  return exit_code::kOk;
}

}  // namespace bamboowing::ctl
