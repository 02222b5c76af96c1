#include "bamboowing/intent/operator_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "bamboowing/base/error.h"
#include "bamboowing/base/json_reader.h"
#include "bamboowing/intent/difference.h"
#include "bamboowing/intent/schema.h"
#include "codec.h"
#include "embedded.h"

namespace bamboowing {
namespace {

using nlohmann::json;

constexpr std::string_view kConsolePage = "/console";
constexpr std::string_view kConsolePrefix = "/console/";

std::string Dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

std::string_view ContentType(std::string_view name) {
  const std::string_view extension = name.substr(std::min(name.rfind('.'), name.size()));
  if (extension == ".html") {
    return "text/html; charset=utf-8";
  }
  if (extension == ".css") {
    return "text/css; charset=utf-8";
  }
  return extension == ".js" ? "text/javascript; charset=utf-8" : "application/octet-stream";
}

json ErrorBody(error_kind kind, const std::string& reason) {
  const error_row& row = ErrorRow(kind);
  return {{"kind", row.name}, {"reason", reason}, {"not_run", NotRunName(row.not_run)}};
}

operator_answer MakeErrorResponse(error_kind kind, const json& body) {
  return {ErrorRow(kind).http_status, "application/json", Dump(body)};
}

json ErrorList(const std::vector<intent_error>& errors) {
  json list = json::array();
  for (const intent_error& error : errors) {
    list.push_back({{"path", error.path}, {"found", error.found}, {"expected", error.expected}, {"line", error.line}});
  }
  return list;
}

json ReportBody(const intent_report& report) {
  return {{"errors", ErrorList(report.errors)},
          {"warnings", ErrorList(report.warnings)},
          {"normalized", report.document ? intent_detail::Encode(*report.document) : json()}};
}

json VersionBody(config_version version, const intent_document* document) {
  return {{"version", version}, {"document", document == nullptr ? json() : intent_detail::Encode(*document)}};
}

/// Returns the document under @p key of the body of a diff request. The path of each error starts with the key.
std::optional<intent_document> DocumentMember(const json& body, const std::string& key,
                                              std::vector<intent_error>& errors) {
  if (!body.is_object() || !body.contains(key)) {
    errors.push_back({key, "nothing", "a document"});
    return std::nullopt;
  }
  const intent_report report = CheckIntent(Dump(body[key]));
  for (intent_error error : report.errors) {
    error.path = key + (error.path.empty() ? "" : ".") + error.path;
    error.line = 0;
    errors.push_back(error);
  }
  return report.document;
}

operator_answer DiffResponse(std::string_view text) {
  failure malformed;
  const std::optional<json> parsed = ParseJson(text, malformed);
  if (!parsed) {
    return MakeErrorResponse(error_kind::kInvalidJson, ErrorBody(error_kind::kInvalidJson, malformed.reason));
  }
  const json& body = *parsed;
  std::vector<intent_error> errors;
  const std::optional<intent_document> before = DocumentMember(body, "before", errors);
  const std::optional<intent_document> after = DocumentMember(body, "after", errors);
  if (!before || !after) {
    json response_body = ErrorBody(error_kind::kInvalidField, FormatIntentError(errors.front()));
    response_body["errors"] = ErrorList(errors);
    return MakeErrorResponse(error_kind::kInvalidField, response_body);
  }
  json changes = json::array();
  for (const intent_change& change : Difference(*before, *after)) {
    changes.push_back({{"path", change.path}, {"before", change.before}, {"after", change.after}});
  }
  return {200, "application/json", Dump({{"changes", changes}})};
}

}  // namespace

std::optional<operator_answer> ConsoleFile(std::string_view path) {
  if (path == kConsolePage) {
    return ConsoleFile(kConsolePrefix);
  }
  if (path.substr(0, kConsolePrefix.size()) != kConsolePrefix) {
    return std::nullopt;
  }
  const std::string_view rest = path.substr(kConsolePrefix.size());
  const std::string_view name = rest.empty() ? "index.html" : rest;
  for (std::size_t i = 0; i < embedded::kConsoleFilesCount; ++i) {
    const embedded::embedded_file& file = embedded::kConsoleFiles[i];
    if (file.first == name) {
      return operator_answer{200, std::string(ContentType(name)), std::string(file.second)};
    }
  }
  return std::nullopt;
}

std::optional<operator_answer> HandleStatelessRequest(std::string_view method, std::string_view path,
                                                      std::string_view body) {
  if (method == "GET" && path == "/operator/v1/schema") {
    return operator_answer{200, "application/schema+json", std::string(IntentSchemaText())};
  }
  if (method == "POST" && path == "/operator/v1/config/validate") {
    return operator_answer{200, "application/json", Dump(ReportBody(CheckIntent(body)))};
  }
  if (method == "POST" && path == "/operator/v1/config/diff") {
    return DiffResponse(body);
  }
  return std::nullopt;
}

operator_answer ConfigResponse(config_version version, const intent_document* document) {
  return {200, "application/json", Dump(VersionBody(version, document))};
}

operator_answer WriteResponse(config_version version) {
  return {200, "application/json", Dump({{"version", version}})};
}

operator_answer InvalidDocumentResponse(const intent_report& report) {
  const std::size_t count = report.errors.size();
  const std::string first = report.errors.empty() ? "" : ": " + FormatIntentError(report.errors.front());
  const std::string reason = "the document has " + std::to_string(count) + (count == 1 ? " error" : " errors") + first;
  json body = ErrorBody(error_kind::kInvalidField, reason);
  body.update(ReportBody(report));
  return MakeErrorResponse(error_kind::kInvalidField, body);
}

operator_answer ConflictResponse(config_version base_version, config_version version, const intent_document* document) {
  json body = ErrorBody(error_kind::kConflict, "the configuration has changed: the document is based on version " +
                                                   std::to_string(base_version) + ", the current version is " +
                                                   std::to_string(version));
  body["your_base"] = base_version;
  body["current"] = VersionBody(version, document);
  return MakeErrorResponse(error_kind::kConflict, body);
}

}  // namespace bamboowing
