#include <algorithm>

#include "ctl/command.h"

namespace bamboowing::ctl {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr duration kLongPollTimeout = std::chrono::milliseconds(1000);  // server-side wait of one status request
constexpr duration kPollInterval = std::chrono::milliseconds(100);  // between status requests, which may return at once
/// Delays before an unanswered submission is sent again. The load balancer takes about a second to stop using a dead
/// entry; the takeover of its shards takes about 5 s.
constexpr duration kResubmitDelays[] = {std::chrono::milliseconds(500), std::chrono::seconds(2),
                                        std::chrono::seconds(5)};
constexpr std::size_t kMaxShownResultChars = 100;  // in a table; JSON output is not truncated

std::string StringField(const json& body, const char* key) {
  const json::const_iterator found = body.find(key);
  return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::int64_t IntegerField(const json& body, const char* key) {
  const json::const_iterator found = body.find(key);
  return found != body.end() && found->is_number() ? found->get<std::int64_t>() : 0;
}

/// Whether the same request may succeed soon, for example once an entry is replaced or a shard has a new leader.
bool IsTransient(error_kind kind) {
  return kind == error_kind::kNotReady || kind == error_kind::kDraining || kind == error_kind::kTargetLost ||
         kind == error_kind::kOverloaded;
}

bool HasEnded(const json& job) {
  const std::string state = StringField(job, "state");
  return state == "complete" || state == "failed";
}

command_failure JobFailure(const json& job) {
  const json::const_iterator nested = job.find("error");
  std::optional<failure> job_error = FailureFromJson(nested != job.end() ? *nested : job);
  if (!job_error) {
    job_error = failure(error_kind::kInternal, not_run_state::kUnknown, "the job failed without a reason");
  }
  job_error->reason = "job " + StringField(job, "job_id") + " failed: " + job_error->reason;
  return {ExitCodeForError(*job_error), *job_error, AdviceFor(job_error->kind)};
}

std::string ResultText(const json& result) {
  std::string text = result.is_string() ? result.get<std::string>() : result.dump();
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text.size() > kMaxShownResultChars ? text.substr(0, kMaxShownResultChars) + "..." : text;
}

std::string FormatProgress(const json& job) {
  return std::to_string(IntegerField(job, "tasks_done")) + " of " + std::to_string(IntegerField(job, "tasks_total")) +
         " tasks";
}

void PrintResults(printer& print, const json& job) {
  table results{{"TASK", "RESULT"}, {}};
  std::size_t task = 0;
  for (const json& result : job.value("results", json::array())) {
    results.rows.push_back({std::to_string(task++), ResultText(result)});
  }
  print.Table(results);
}

/// Prints a job in any state. For a failed job the exit code is not 0, so that scripts need not parse the output.
exit_code ReportJob(printer& print, const json& job) {
  if (StringField(job, "state") == "failed") {
    if (print.json()) {
      print.Json(ordered_json(job));
    }
    return print.Fail(JobFailure(job));
  }
  if (print.json()) {
    print.Json(ordered_json(job));
    return exit_code::kOk;
  }
  print.Line("job " + StringField(job, "job_id") + ": " + StringField(job, "state") + ", " + FormatProgress(job));
  if (StringField(job, "state") == "complete") {
    PrintResults(print, job);
  }
  return exit_code::kOk;
}

/// Sends @p request and returns the job in the response. A failed job has the HTTP status and the fields of its error.
/// Returns nullopt and sets @p error if no response arrives or the entry cannot determine the job's state at present.
std::optional<json> SendJobRequest(api_client& entry, http_request request, failure& error) {
  const std::optional<http_response> response = entry.Send(std::move(request), error);
  if (!response) {
    return std::nullopt;
  }
  json body = json::parse(response->body, nullptr, false);
  const bool success = response->status >= 200 && response->status <= 299;
  if (!body.is_object() || StringField(body, "state").empty()) {
    error = success ? failure(error_kind::kInternal, "the server's answer is not a job")
                    : api_client::FailureFromResponse(*response);
    return std::nullopt;
  }
  if (!success) {
    error = api_client::FailureFromResponse(*response);
    // In a response, target_lost is the final result of the job. Without a response it is a connection failure.
    const bool target_lost = error.kind == error_kind::kTargetLost;
    if ((IsTransient(error.kind) && !target_lost) || error.kind == error_kind::kNotFound) {
      return std::nullopt;
    }
  }
  return body;
}

std::string JobPath(const std::string& id) { return "/v1/jobs/" + id; }

/// Polls a job until it ends. Returns nullopt and sets @p error after a permanent error or when @p limit has passed.
std::optional<json> WaitForEnd(command_context& context, api_client& entry, const std::string& id, duration limit,
                               command_failure& error) {
  const instant started_at = context.env().now();
  while (true) {
    failure call_error;
    const std::map<std::string, std::string> query = {{"wait_ms", std::to_string(kLongPollTimeout.count() / 1000)}};
    std::optional<json> job = SendJobRequest(entry, MakeRequest("GET", JobPath(id), {}, query), call_error);
    const duration waited = context.env().now() - started_at;
    if (!job && (!IsTransient(call_error.kind) || waited >= limit)) {
      error = CallFailure(call_error, "Ask later: bamboowingctl job status " + id + ".");
      return std::nullopt;
    }
    if (job && HasEnded(*job)) {
      context.print().EndProgress();
      return job;
    }
    if (waited >= limit) {
      error = {exit_code::kTimeout,
               failure(error_kind::kDeadlineExceeded, "job " + id + " has not ended after " + FormatDuration(waited)),
               "Ask later: bamboowingctl job status " + id + "."};
      return std::nullopt;
    }
    context.print().Progress("job " + id + ": " + (job ? FormatProgress(*job) : call_error.reason) + ", " +
                             FormatDuration(waited));
    context.env().sleep(kPollInterval);
  }
}

std::optional<json> ReadJob(command_context& context, command_failure& error) {
  const std::string name = context.ListOption(kOperand).front();
  const std::optional<std::string> text = context.ReadFile(name, error);
  if (!text) {
    return std::nullopt;
  }
  json job = json::parse(*text, nullptr, false);
  if (!job.is_object()) {
    error = {exit_code::kInvalidInput, failure(error_kind::kInvalidJson, "'" + name + "' does not hold a JSON object"),
             "Write a job as docs/cli.md shows."};
    return std::nullopt;
  }
  if (context.HasOption("job-id")) {
    job["job_id"] = context.TextOption("job-id");
  } else if (StringField(job, "job_id").empty()) {
    // With an id chosen here, the job can be sent again if the response is lost, and still runs only once.
    job["job_id"] = context.env().random_id();
  }
  return job;
}

/// Submits the job, and retries if no response arrives. Retries state how long ago the first copy was sent.
std::optional<json> SubmitWithRetries(command_context& context, api_client& entry, json job, command_failure& error) {
  const instant first_sent_at = context.env().now();
  std::size_t attempt = 0;
  while (true) {
    failure call_error;
    std::optional<json> accepted =
        SendJobRequest(entry, MakeRequest("POST", "/v1/jobs", job.dump(), {{"wait", "false"}}), call_error);
    if (accepted) {
      return accepted;
    }
    if (call_error.kind != error_kind::kTargetLost || attempt == std::size(kResubmitDelays)) {
      error = CallFailure(call_error);
      return std::nullopt;
    }
    context.print().Progress("no answer (" + call_error.reason + "); sending the job again");
    context.env().sleep(kResubmitDelays[attempt++]);
    job["first_sent_ms_ago"] = (context.env().now() - first_sent_at).count() / 1000;
  }
}

}  // namespace

void DefineJobSubmit(cxxopts::Options& options) {
  options.add_options()("job-id", "Id of the job, instead of the file's or a new one", cxxopts::value<std::string>(),
                        "ID")("no-wait", "Return when the job is accepted")(
      "wait-limit", "Longest wait for the end of the job, in seconds", cxxopts::value<double>()->default_value("600"),
      "S");
}

exit_code RunJobSubmit(command_context& context) {
  command_failure error;
  const std::optional<json> job = ReadJob(context, error);
  if (!job) {
    return context.print().Fail(error);
  }
  const std::optional<duration> limit = context.DurationOption("wait-limit", error);
  const std::unique_ptr<api_client> entry = limit ? context.MakeEntryClient(error) : nullptr;
  if (entry == nullptr) {
    return context.print().Fail(error);
  }
  const std::optional<json> accepted = SubmitWithRetries(context, *entry, *job, error);
  if (!accepted) {
    return context.print().Fail(error);
  }
  if (context.HasOption("no-wait") || HasEnded(*accepted)) {
    return ReportJob(context.print(), *accepted);
  }
  const std::optional<json> ended = WaitForEnd(context, *entry, job->at("job_id").get<std::string>(), *limit, error);
  return ended ? ReportJob(context.print(), *ended) : context.print().Fail(error);
}

void DefineJobStatus(cxxopts::Options& options) {
  options.add_options()("wait", "Wait for the end of the job")("wait-limit",
                                                               "Longest wait for the end of the job, in seconds",
                                                               cxxopts::value<double>()->default_value("600"), "S");
}

exit_code RunJobStatus(command_context& context) {
  command_failure error;
  const std::string id = context.ListOption(kOperand).front();
  const std::optional<duration> limit = context.DurationOption("wait-limit", error);
  const std::unique_ptr<api_client> entry = limit ? context.MakeEntryClient(error) : nullptr;
  if (entry == nullptr) {
    return context.print().Fail(error);
  }
  if (context.HasOption("wait")) {
    const std::optional<json> ended = WaitForEnd(context, *entry, id, *limit, error);
    return ended ? ReportJob(context.print(), *ended) : context.print().Fail(error);
  }
  failure call_error;
  const std::optional<json> job = SendJobRequest(*entry, MakeRequest("GET", JobPath(id)), call_error);
  return job ? ReportJob(context.print(), *job) : context.print().Fail(CallFailure(call_error));
}

exit_code RunJobCancel(command_context& context) {
  command_failure error;
  const std::string id = context.ListOption(kOperand).front();
  const std::unique_ptr<api_client> entry = context.MakeEntryClient(error);
  if (entry == nullptr) {
    return context.print().Fail(error);
  }
  failure call_error;
  const std::optional<json> job = SendJobRequest(*entry, MakeRequest("DELETE", JobPath(id)), call_error);
  if (!job) {
    return context.print().Fail(CallFailure(
        call_error, call_error.not_run == not_run_state::kUnknown && call_error.kind == error_kind::kTargetLost
                        ? "A cancellation may be repeated safely."
                        : ""));
  }
  const bool cancelled = StringField(*job, "kind") == ErrorRow(error_kind::kCancelled).name;
  if (context.print().json()) {
    context.print().Json(ordered_json(*job));
  } else {
    context.print().Line("job " + id + ": " +
                         (cancelled ? "cancelled" : "ended before, " + StringField(*job, "state")));
  }
  return exit_code::kOk;
}

}  // namespace bamboowing::ctl
