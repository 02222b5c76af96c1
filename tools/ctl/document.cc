#include "ctl/document.h"

#include "bamboowing/intent/report.h"

namespace bamboowing::ctl {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

std::string StringField(const json& body, const char* key) {
  const json::const_iterator found = body.find(key);
  return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

}  // namespace

exit_code ReportDocumentErrors(printer& print, const std::string& source, const std::vector<intent_error>& errors) {
  const std::string reason =
      source + " has " + std::to_string(errors.size()) + (errors.size() == 1 ? " fault" : " faults");
  if (print.json()) {
    ordered_json list = ordered_json::array();
    for (const intent_error& error : errors) {
      list.push_back(
          {{"path", error.path}, {"line", error.line}, {"found", error.found}, {"expected", error.expected}});
    }
    print.Json({{"valid", false}, {"errors", list}});
  } else {
    for (const intent_error& error : errors) {
      print.Line(FormatIntentError(error));
    }
  }
  return print.Fail({exit_code::kInvalidInput, failure(error_kind::kInvalidField, reason),
                     "Correct the properties above; docs/configuration.md describes them."});
}

std::optional<intent_document> ReadDocument(command_context& context, const std::string& name, exit_code& code) {
  command_failure error;
  const std::optional<std::string> text = context.ReadFile(name, error);
  if (!text) {
    code = context.print().Fail(error);
    return std::nullopt;
  }
  intent_report report = CheckIntent(*text);
  if (!report.document) {
    code = ReportDocumentErrors(context.print(), name, report.errors);
    return std::nullopt;
  }
  for (const intent_error& warning : report.warnings) {
    context.print().Notice("warning: " + FormatIntentError(warning));
  }
  return std::move(report.document);
}

std::optional<versioned_document> VersionedDocumentFromJson(const json& body) {
  if (!body.is_object() || !body.contains("version") || !body["version"].is_number_unsigned()) {
    return std::nullopt;
  }
  versioned_document result;
  result.version = body["version"].get<std::uint64_t>();
  result.document = body.value("document", json());
  if (result.document.is_string()) {
    result.document = json::parse(result.document.get<std::string>(), nullptr, false);
  }
  return result;
}

std::optional<versioned_document> FetchDocument(api_client& server, failure& error) {
  const std::optional<json_response> response = server.Call(MakeRequest("GET", "/operator/v1/config"), error);
  if (!response) {
    return std::nullopt;
  }
  std::optional<versioned_document> result = VersionedDocumentFromJson(response->body);
  if (!result) {
    error = failure(error_kind::kInternal, "the server's answer has no version");
  }
  return result;
}

std::vector<intent_change> ChangesFrom(const json& before, const intent_document& after) {
  std::vector<intent_error> errors;
  const std::optional<intent_document> parsed = ParseIntent(before.dump(), errors);
  return Difference(parsed.value_or(intent_document()), after);
}

void PrintChanges(printer& print, const std::vector<intent_change>& changes) {
  if (changes.empty()) {
    print.Line("no differences");
  }
  for (const intent_change& change : changes) {
    print.Line(FormatIntentChange(change));
  }
}

std::vector<intent_error> ErrorsFromJson(const json& body, const char* key) {
  std::vector<intent_error> errors;
  for (const json& item : body.value(key, json::array())) {
    errors.push_back(
        {StringField(item, "path"), StringField(item, "found"), StringField(item, "expected"), item.value("line", 0)});
  }
  return errors;
}

ordered_json ChangesToJson(const std::vector<intent_change>& changes) {
  ordered_json list = ordered_json::array();
  for (const intent_change& change : changes) {
    ordered_json item;
    item["path"] = change.path;
    if (!change.before.empty()) {
      item["before"] = json::parse(change.before);
    }
    if (!change.after.empty()) {
      item["after"] = json::parse(change.after);
    }
    list.push_back(item);
  }
  return list;
}

}  // namespace bamboowing::ctl
