#include "operator_service.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "bamboowing/base/json_reader.h"
#include "bamboowing/intent/operator_api.h"
#include "bamboowing/service/clock.h"
#include "operator_views.h"

namespace bamboowing::detail {
namespace {

constexpr std::size_t kMinTokenLength = 8;
constexpr std::size_t kMaxEventBytes = 4U << 20U;

http_response ToHttpResponse(operator_answer answer) {
  return {answer.status, std::move(answer.content_type), std::move(answer.body), std::nullopt};
}

http_response JsonResponse(std::string body) { return {200, "application/json", std::move(body), std::nullopt}; }

/// Takes a time that does not depend on where the strings differ, so that response times do not help to guess the
/// token.
bool ConstantTimeEquals(const std::string& a, const std::string& b) {
  unsigned difference = a.size() == b.size() ? 0U : 1U;
  for (std::size_t i = 0; i < a.size() && !b.empty(); ++i) {
    difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i % b.size()]);
  }
  return difference == 0;
}

std::optional<std::uint64_t> QueryNumber(const http_request& request, const char* name) {
  const std::map<std::string, std::string>::const_iterator found = request.query.find(name);
  if (found == request.query.end() || found->second.empty() || found->second.size() > 18 ||
      found->second.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::stoull(found->second);
}

/// Rejects a changed number of shards: a resubmitted job must reach the shard leader that has its record.
std::optional<intent_error> FindShardCountChange(const intent_document& before, const intent_document& after) {
  for (std::size_t i = 0; i < after.services.size(); ++i) {
    const service_intent* old = FindService(before, after.services[i].name);
    if (old != nullptr && old->shards != after.services[i].shards) {
      return intent_error{"services[" + std::to_string(i) + "].shards", std::to_string(after.services[i].shards),
                          std::to_string(old->shards) + ", or a new service with another name", 0};
    }
  }
  return std::nullopt;
}

std::string NewWriteId() {
  char id[20];
  std::snprintf(id, sizeof(id), "w%016llx", static_cast<unsigned long long>(RandomNumber()));
  return id;
}

}  // namespace

std::optional<std::string> ReadToken(const std::string& file, failure& error) {
  std::ifstream in(file);
  std::string token;
  if (!in || !std::getline(in, token)) {
    error = failure(error_kind::kInvalidField, "cannot read the operators' token from " + file);
    return std::nullopt;
  }
  if (token.size() < kMinTokenLength) {
    error = failure(error_kind::kInvalidField, "the operators' token in " + file + " is shorter than 8 characters");
    return std::nullopt;
  }
  return token;
}

std::optional<http_response> AnswerWithoutState(const std::string& token, const http_request& request) {
  if (request.method == "GET") {
    if (std::optional<operator_answer> file = ConsoleFile(request.path); file) {
      return ToHttpResponse(std::move(*file));
    }
  }
  if (!ConstantTimeEquals(request.authorization, "Bearer " + token)) {
    return ErrorResponse(failure(error_kind::kUnauthorized, "the operators' token is missing or wrong"));
  }
  if (std::optional<operator_answer> answer = HandleStatelessRequest(request.method, request.path, request.body);
      answer) {
    return ToHttpResponse(std::move(*answer));
  }
  return std::nullopt;
}

http_response AnswerEvents(const http_request& request, const event_log& events) {
  std::uint64_t last = 0;
  std::string lines = events.Lines(QueryNumber(request, "after").value_or(0), kMaxEventBytes, last);
  return {200, "application/x-ndjson", std::move(lines), std::nullopt};
}

call_id operator_service::Add(http_server::responder answer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  responders_[++last_id_] = std::move(answer);
  return last_id_;
}

void operator_service::Answer(call_id call, http_response response) {
  std::map<call_id, http_server::responder>::node_type open;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    open = responders_.extract(call);
  }
  if (!open.empty()) {
    open.mapped()(std::move(response));
  }
}

void operator_service::Handle(call_id call, const http_request& request, instant now) {
  const std::string route = request.method + " " + request.path;
  if (route == "GET /metrics") {
    AnswerMetrics(call, now);
  } else if (route == "GET /operator/v1/targets") {
    Answer(call, JsonResponse(TargetsJson(core_)));
  } else if (route == "GET /operator/v1/instances") {
    Answer(call, JsonResponse(InstancesJson(core_, core_.sessions().self())));
  } else if (route == "GET /operator/v1/config") {
    const bool known = core_.intent().version() > 0;
    Answer(call,
           ToHttpResponse(ConfigResponse(core_.intent().version(), known ? &core_.intent().document() : nullptr)));
  } else if (route == "PUT /operator/v1/config") {
    WriteConfig(call, request, now);
  } else if (route == "POST /operator/v1/drain") {
    DrainTarget(call, request, now);
  } else {
    Answer(call, ErrorResponse(failure(error_kind::kNotFound, not_run_state::kYes, "no such call: " + route)));
  }
}

void operator_service::FinishWrite(const config_write_result& result) {
  const std::map<call_id, pending_write>::iterator found = pending_writes_.find(result.call);
  const config_version base = found == pending_writes_.end() ? 0 : found->second.base_version;
  if (found != pending_writes_.end()) {
    pending_writes_.erase(found);
  }
  if (!result.error) {
    Answer(result.call, ToHttpResponse(WriteResponse(result.version)));
    return;
  }
  if (result.error->kind != error_kind::kConflict) {
    Answer(result.call, ErrorResponse(*result.error));
    return;
  }
  std::vector<intent_error> errors;
  const std::optional<intent_document> current = ParseIntent(result.current, errors);
  Answer(result.call, ToHttpResponse(ConflictResponse(base, result.version, current ? &*current : nullptr)));
}

void operator_service::CountReply(const caller_reply& reply) {
  if (reply.error) {
    const bool refused = reply.tasks_total == 0;
    metrics_.Add(metric::kJobs, refused ? "refused" : "failed");
    metrics_.Add(metric::kRefusals, ErrorRow(reply.error->kind).name);
    return;
  }
  if (reply.state != job_state::kComplete) {
    return;
  }
  metrics_.Add(metric::kJobs, "complete");
  if (reply.ideal_time > duration(0)) {
    metrics_.Observe(metric::kResponseOverIdeal, "all",
                     static_cast<double>(reply.response_time.count()) / static_cast<double>(reply.ideal_time.count()));
  }
}

void operator_service::AnswerMetrics(call_id call, instant now) {
  UpdateMetrics(core_, now, metrics_);
  metrics_.Set(metric::kControlCpu, static_cast<double>(ProcessCpuTime().count()) / 1e6);
  metrics_.Set(metric::kEventsDropped, static_cast<double>(events_.dropped()));
  Answer(call, {200, "text/plain; version=0.0.4", metrics_.ToText(), std::nullopt});
}

void operator_service::WriteConfig(call_id call, const http_request& request, instant now) {
  const std::optional<std::uint64_t> base = QueryNumber(request, "base_version");
  if (!base) {
    Answer(call, ErrorResponse(failure(error_kind::kInvalidField, "base_version must be a number")));
    return;
  }
  intent_report report = CheckIntent(request.body);
  if (report.document) {
    if (std::optional<intent_error> change = FindShardCountChange(core_.intent().document(), *report.document);
        change) {
      report.errors.push_back(std::move(*change));
    }
  }
  if (!report.document || !report.errors.empty()) {
    Answer(call, ToHttpResponse(InvalidDocumentResponse(report)));
    return;
  }
  if (report.document->write_id.empty()) {
    report.document->write_id = NewWriteId();
  }
  pending_writes_[call] = {*base};
  core_.OnConfigWrite(call, *base, ToJson(*report.document), report.document->write_id, now);
}

void operator_service::DrainTarget(call_id call, const http_request& request, instant now) {
  failure malformed;
  const nlohmann::json body = ParseJson(request.body, malformed).value_or(nlohmann::json());
  if (!body.is_object() || !body.contains("target") || !body["target"].is_string()) {
    Answer(call, ErrorResponse(failure(error_kind::kInvalidField, "target must be the id of a target")));
    return;
  }
  if (core_.intent().version() == 0) {
    Answer(call,
           ErrorResponse(failure(error_kind::kNotReady, "no configuration has been applied yet; apply one first")));
    return;
  }
  intent_document changed = core_.intent().document();
  const std::string target = body["target"].get<std::string>();
  std::vector<std::string>& targets = changed.drains.targets;
  if (std::find(targets.begin(), targets.end(), target) == targets.end()) {
    targets.push_back(target);
  }
  changed.write_id = NewWriteId();
  // All entries reject an invalid document, for example one that drains all targets, so it must not be written.
  const intent_report report = CheckIntent(changed);
  if (!report.document) {
    Answer(call, ToHttpResponse(InvalidDocumentResponse(report)));
    return;
  }
  pending_writes_[call] = {core_.intent().version()};
  core_.OnConfigWrite(call, core_.intent().version(), ToJson(changed), changed.write_id, now);
}

}  // namespace bamboowing::detail
