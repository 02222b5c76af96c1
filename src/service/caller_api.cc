#include "bamboowing/service/caller_api.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "bamboowing/base/json_reader.h"

namespace bamboowing {
namespace {

using nlohmann::json;

constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kRequestsPath = "/v1/requests";
constexpr std::int64_t kMaxDeclaredMs = 3'600'000;
constexpr std::int64_t kMaxFirstSentAgoMs = 30LL * 24 * 3'600'000;

/// Reads the fields of one JSON object and reports the first error.
class object_reader {
 public:
  object_reader(const json& object, std::string path, failure& error)
      : object_(object), path_(std::move(path)), error_(error) {}

  bool ok() const { return ok_; }

  void RejectUnknownFields(std::initializer_list<std::string_view> known) {
    for (json::const_iterator it = object_.begin(); it != object_.end(); ++it) {
      if (std::find(known.begin(), known.end(), it.key()) == known.end()) {
        ReportError(it.key(), "is not a known field");
      }
    }
  }

  void Name(const char* key, std::string& out, bool required) {
    if (!object_.contains(key)) {
      if (required) {
        ReportError(key, "is missing");
      }
      return;
    }
    if (!object_[key].is_string() || !IsValidName(object_[key].get_ref<const std::string&>())) {
      ReportError(key, "must be 1 to 128 letters, digits, '.', '_', ':' or '-'");
      return;
    }
    out = object_[key].get<std::string>();
  }

  std::optional<std::int64_t> Integer(const char* key, std::int64_t low, std::int64_t high, bool required) {
    if (!object_.contains(key)) {
      if (required) {
        ReportError(key, "is missing");
      }
      return std::nullopt;
    }
    const json& value = object_[key];
    const double number = value.is_number() ? value.get<double>() : NAN;
    if (!(number >= static_cast<double>(low) && number <= static_cast<double>(high))) {
      ReportError(key, "must be a number from " + std::to_string(low) + " to " + std::to_string(high));
      return std::nullopt;
    }
    return static_cast<std::int64_t>(std::llround(number));
  }

  /// Reads a string as it is, and any other JSON value in serialized form.
  void Payload(const char* key, std::string& out) {
    if (!object_.contains(key)) {
      ReportError(key, "is missing");
      return;
    }
    out = object_[key].is_string() ? object_[key].get<std::string>() : object_[key].dump();
  }

  void Boolean(const char* key, bool& out) {
    if (!object_.contains(key)) {
      return;
    }
    if (!object_[key].is_boolean()) {
      ReportError(key, "must be true or false");
      return;
    }
    out = object_[key].get<bool>();
  }

  void ReportError(std::string_view key, std::string_view problem) {
    if (ok_) {
      ok_ = false;
      error_ = failure(error_kind::kInvalidField, path_ + std::string(key) + " " + std::string(problem));
    }
  }

 private:
  const json& object_;
  std::string path_;
  failure& error_;
  bool ok_ = true;
};

bool ReadTask(const json& item, const std::string& path, bool nested, task_spec& task, failure& error) {
  object_reader reader(item, path, error);
  if (nested) {
    reader.RejectUnknownFields({"payload", "declared_ms", "size"});
  }
  reader.Payload("payload", task.payload);
  if (const std::optional<std::int64_t> declared = reader.Integer("declared_ms", 0, kMaxDeclaredMs, false); declared) {
    task.declared_run_time = std::chrono::milliseconds(*declared);
  }
  if (const std::optional<std::int64_t> size = reader.Integer("size", 0, INT64_MAX / 2, false); size) {
    task.input_size = static_cast<std::uint64_t>(*size);
  }
  return reader.ok();
}

bool ReadTasks(const json& body, job_spec& job, failure& error) {
  if (!body.contains("tasks") || !body["tasks"].is_array() || body["tasks"].empty()) {
    error = failure(error_kind::kInvalidField, "tasks must be a list with at least one task");
    return false;
  }
  const json& tasks = body["tasks"];
  if (tasks.size() > kMaxTasksPerJob) {
    error = failure(error_kind::kTooLarge, "tasks has " + std::to_string(tasks.size()) + " elements, the limit is " +
                                               std::to_string(kMaxTasksPerJob));
    return false;
  }
  job.tasks.resize(tasks.size());
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    const std::string path = "tasks[" + std::to_string(i) + "].";
    if (!tasks[i].is_object()) {
      error = failure(error_kind::kInvalidField, path + " must be an object");
      return false;
    }
    if (!ReadTask(tasks[i], path, true, job.tasks[i], error)) {
      return false;
    }
  }
  return true;
}

bool ReadCommon(object_reader& reader, job_spec& job) {
  reader.Name("job_id", job.job_id, false);
  reader.Name("team", job.team, true);
  reader.Name("service", job.service, true);
  constexpr std::int64_t kLow = std::chrono::duration_cast<std::chrono::milliseconds>(kMinDeadline).count();
  constexpr std::int64_t kHigh = std::chrono::duration_cast<std::chrono::milliseconds>(kMaxDeadline).count();
  if (const std::optional<std::int64_t> deadline = reader.Integer("deadline_ms", kLow, kHigh, true); deadline) {
    job.deadline = std::chrono::milliseconds(*deadline);
  }
  if (const std::optional<std::int64_t> age = reader.Integer("first_sent_ms_ago", 0, kMaxFirstSentAgoMs, false); age) {
    job.first_sent_ago = std::chrono::milliseconds(*age);
  }
  return reader.ok();
}

std::optional<caller_request> ParseSubmission(const http_request& request, bool single, failure& error) {
  const std::optional<json> parsed = ParseJson(request.body, error);
  if (!parsed) {
    return std::nullopt;
  }
  const json& body = *parsed;
  if (!body.is_object()) {
    error = failure(error_kind::kInvalidField, "the body must be a JSON object");
    return std::nullopt;
  }
  caller_request call;
  object_reader reader(body, "", error);
  if (single) {
    reader.RejectUnknownFields({"job_id", "team", "service", "deadline_ms", "first_sent_ms_ago", "payload",
                                "declared_ms", "size", "idempotent"});
    reader.Boolean("idempotent", call.job.idempotent);
    call.job.is_request = true;
    call.job.tasks.resize(1);
  } else {
    reader.RejectUnknownFields({"job_id", "team", "service", "deadline_ms", "first_sent_ms_ago", "tasks"});
  }
  if (!ReadCommon(reader, call.job)) {
    return std::nullopt;
  }
  const bool read = single ? ReadTask(body, "", false, call.job.tasks[0], error) : ReadTasks(body, call.job, error);
  if (!read) {
    return std::nullopt;
  }
  const std::map<std::string, std::string>::const_iterator wait = request.query.find("wait");
  const bool waits = wait == request.query.end() || wait->second != "false";
  call.wait_limit = waits ? call.job.deadline + std::chrono::seconds(5) : duration(0);
  return call;
}

std::optional<caller_request> ParseById(const http_request& request, failure& error) {
  caller_request call;
  call.job.job_id = request.path.substr(kJobsPath.size() + 1);
  if (!IsValidName(call.job.job_id)) {
    error = failure(error_kind::kNotFound, "no job has the id " + call.job.job_id);
    return std::nullopt;
  }
  call.verb = request.method == "DELETE" ? caller_verb::kCancel : caller_verb::kStatus;
  const std::map<std::string, std::string>::const_iterator wait = request.query.find("wait_ms");
  if (wait == request.query.end()) {
    return call;
  }
  const std::string& digits = wait->second;
  const bool number = !digits.empty() && digits.size() <= 6 &&
                      std::all_of(digits.begin(), digits.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
  if (!number) {
    error = failure(error_kind::kInvalidField, "wait_ms must be a number from 0 to 999999");
    return std::nullopt;
  }
  call.wait_limit = std::chrono::milliseconds(std::stol(digits));
  return call;
}

std::string_view StateName(job_state state) {
  switch (state) {
    case job_state::kQueued:
      return "queued";
    case job_state::kRunning:
      return "running";
    case job_state::kComplete:
      return "complete";
    case job_state::kFailed:
      break;
  }
  return "failed";
}

double ToMs(duration value) { return static_cast<double>(value.count()) / 1000.0; }

}  // namespace

bool IsValidName(std::string_view name) {
  const bool sized = !name.empty() && name.size() <= kMaxNameLength;
  return sized && std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '.' || c == '_' || c == ':' || c == '-';
         });
}

std::optional<caller_request> ParseCall(const http_request& request, failure& error) {
  if (request.path == kJobsPath && request.method == "POST") {
    return ParseSubmission(request, false, error);
  }
  if (request.path == kRequestsPath && request.method == "POST") {
    return ParseSubmission(request, true, error);
  }
  const bool by_id = request.path.size() > kJobsPath.size() + 1 &&
                     request.path.compare(0, kJobsPath.size() + 1, std::string(kJobsPath) + "/") == 0;
  if (by_id && (request.method == "GET" || request.method == "DELETE")) {
    return ParseById(request, error);
  }
  error = failure(error_kind::kNotFound, not_run_state::kYes, "no such call: " + request.method + " " + request.path);
  return std::nullopt;
}

http_response FormatReply(const caller_request& call, const caller_reply& reply) {
  nlohmann::ordered_json body;
  http_response response;
  body["job_id"] = reply.job_id;
  body["state"] = StateName(reply.state);
  if (reply.error) {
    const failure& error = *reply.error;
    body["kind"] = ErrorRow(error.kind).name;
    body["reason"] = error.reason;
    body["not_run"] = NotRunName(error.not_run);
    if (error.retry_after) {
      body["retry_after_ms"] = (error.retry_after->count() + 999) / 1000;
      response.retry_after = error.retry_after;
    }
    response.status = ErrorRow(error.kind).http_status;
  } else if (reply.state == job_state::kComplete) {
    if (call.job.is_request && reply.results.size() == 1) {
      body["result"] = reply.results[0];
    } else {
      body["results"] = reply.results;
    }
  } else {
    constexpr int kAccepted = 202;
    response.status = kAccepted;
  }
  body["tasks_done"] = reply.tasks_done;
  body["tasks_total"] = reply.tasks_total;
  body["response_ms"] = ToMs(reply.response_time);
  body["ideal_ms"] = ToMs(reply.ideal_time);
  body["messages"] = reply.messages;
  response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

}  // namespace bamboowing
