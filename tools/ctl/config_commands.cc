#include "ctl/command.h"
#include "ctl/document.h"

namespace bamboowing::ctl {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

std::string StringField(const json& body, const char* key) {
  const json::const_iterator found = body.find(key);
  return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

exit_code ReportValid(printer& print, const std::string& name, const json& warnings, const json& normalized) {
  if (print.json()) {
    print.Json({{"valid", true}, {"errors", json::array()}, {"warnings", warnings}, {"normalized", normalized}});
    return exit_code::kOk;
  }
  print.Line(name + ": valid");
  return exit_code::kOk;
}

/// Validates the document at an entry, which also checks it against its targets and the current version.
exit_code ValidateRemotely(command_context& context, const std::string& name, const intent_document& document) {
  command_failure error;
  const std::unique_ptr<api_client> server = context.MakeOperatorClient(error);
  if (server == nullptr) {
    return context.print().Fail(error);
  }
  failure call_error;
  const std::optional<json_response> response =
      server->Call(MakeRequest("POST", "/operator/v1/config/validate", ToJson(document)), call_error);
  if (!response) {
    return context.print().Fail(CallFailure(call_error));
  }
  const std::vector<intent_error> errors = ErrorsFromJson(response->body, "errors");
  if (!errors.empty()) {
    return ReportDocumentErrors(context.print(), name, errors);
  }
  return ReportValid(context.print(), name, response->body.value("warnings", json::array()),
                     response->body.value("normalized", json()));
}

/// A document to write, its write id and the version that it is based on.
struct apply_request {
  std::string write_id;
  std::uint64_t base_version = 0;
  intent_document document;
};

/// Returns the current version if its document has the write id of @p request. Returns nullopt and sets @p error if
/// another document is in force or the server does not respond.
std::optional<std::uint64_t> FindVersionByWriteId(api_client& server, const apply_request& request, failure& error) {
  const std::optional<versioned_document> current = FetchDocument(server, error);
  if (!current) {
    return std::nullopt;
  }
  if (StringField(current->document, "write_id") == request.write_id) {
    return current->version;
  }
  error = failure(error_kind::kOutcomeUnknown, "the answer to the change was lost, and version " +
                                                   std::to_string(current->version) + " is another document");
  return std::nullopt;
}

exit_code ReportConflict(printer& print, const apply_request& request, const http_response& response) {
  const json body = json::parse(response.body, nullptr, false);
  const std::optional<versioned_document> current =
      body.is_object() ? VersionedDocumentFromJson(body.value("current", json())) : std::nullopt;
  failure error = api_client::FailureFromResponse(response);
  if (!current) {
    return print.Fail(CallFailure(error));
  }
  const std::vector<intent_change> changes = ChangesFrom(current->document, request.document);
  if (print.json()) {
    print.Json({{"applied", false},
                {"your_base", request.base_version},
                {"current", current->version},
                {"changes", ChangesToJson(changes)}});
  } else {
    print.Line("Version " + std::to_string(current->version) + " is in force, your base is version " +
               std::to_string(request.base_version) + ". Your document would change version " +
               std::to_string(current->version) + " as follows:");
    PrintChanges(print, changes);
  }
  error.kind = error_kind::kConflict;
  return print.Fail({exit_code::kConflict, error,
                     "If these changes are what you want, repeat the command with --base-version " +
                         std::to_string(current->version) + "."});
}

exit_code ReportApplied(printer& print, std::uint64_t version) {
  if (print.json()) {
    print.Json({{"applied", true}, {"version", version}});
  } else {
    print.Line("version " + std::to_string(version) + " is in force");
  }
  return exit_code::kOk;
}

/// Determines by its write id whether a change took effect although its response was lost, and reports the outcome.
exit_code ResolveLostResponse(command_context& context, api_client& server, const apply_request& request,
                              const failure& send_error) {
  failure error = send_error;
  if (send_error.not_run == not_run_state::kYes) {
    return context.print().Fail(CallFailure(send_error));
  }
  const std::optional<std::uint64_t> version = FindVersionByWriteId(server, request, error);
  if (version) {
    return ReportApplied(context.print(), *version);
  }
  return context.print().Fail(
      {exit_code::kOutcomeUnknown, error,
       "Compare with: bamboowingctl config show. Write id of the change: " + request.write_id + "."});
}

bool MayHaveTakenEffect(const failure& error) {
  return error.kind == error_kind::kTargetLost || error.kind == error_kind::kStoreUnavailable ||
         error.kind == error_kind::kOutcomeUnknown;
}

exit_code PutDocument(command_context& context, api_client& server, const apply_request& request) {
  failure error;
  const std::optional<http_response> response =
      server.Send(MakeRequest("PUT", "/operator/v1/config", ToJson(request.document),
                              {{"base_version", std::to_string(request.base_version)}}),
                  error);
  if (!response) {
    return ResolveLostResponse(context, server, request, error);
  }
  if (response->status == 409) {
    return ReportConflict(context.print(), request, *response);
  }
  if (response->status != 200) {
    error = api_client::FailureFromResponse(*response);
    const json error_body = json::parse(response->body, nullptr, false);
    const std::vector<intent_error> errors =
        error_body.is_object() ? ErrorsFromJson(error_body, "errors") : std::vector<intent_error>();
    if (!errors.empty()) {
      return ReportDocumentErrors(context.print(), "the document", errors);
    }
    return MayHaveTakenEffect(error) ? ResolveLostResponse(context, server, request, error)
                                     : context.print().Fail(CallFailure(error));
  }
  const json body = json::parse(response->body, nullptr, false);
  const std::uint64_t version = body.is_object() ? body.value("version", std::uint64_t{0}) : 0;
  return ReportApplied(context.print(), version);
}

}  // namespace

void DefineConfigValidate(cxxopts::Options& options) {
  options.add_options()("remote", "Also let an entry check the document (needs --operator)");
}

exit_code RunConfigValidate(command_context& context) {
  exit_code code = exit_code::kOk;
  const std::string name = context.ListOption(kOperand).front();
  const std::optional<intent_document> document = ReadDocument(context, name, code);
  if (!document) {
    return code;
  }
  if (context.HasOption("remote")) {
    return ValidateRemotely(context, name, *document);
  }
  return ReportValid(context.print(), name, json::array(), json::parse(ToJson(*document)));
}

void DefineConfigDiff(cxxopts::Options& options) {
  options.add_options()("base", "Compare with this file instead of the document in force",
                        cxxopts::value<std::string>(), "FILE");
}

exit_code RunConfigDiff(command_context& context) {
  exit_code code = exit_code::kOk;
  const std::optional<intent_document> document = ReadDocument(context, context.ListOption(kOperand).front(), code);
  if (!document) {
    return code;
  }
  std::vector<intent_change> changes;
  if (context.HasOption("base")) {
    const std::optional<intent_document> other = ReadDocument(context, context.TextOption("base"), code);
    if (!other) {
      return code;
    }
    changes = Difference(*other, *document);
  } else {
    command_failure error;
    failure call_error;
    const std::unique_ptr<api_client> server = context.MakeOperatorClient(error);
    if (server == nullptr) {
      return context.print().Fail(error);
    }
    const std::optional<versioned_document> current = FetchDocument(*server, call_error);
    if (!current) {
      return context.print().Fail(CallFailure(call_error));
    }
    changes = ChangesFrom(current->document, *document);
  }
  if (context.print().json()) {
    context.print().Json({{"changes", ChangesToJson(changes)}});
  } else {
    PrintChanges(context.print(), changes);
  }
  return exit_code::kOk;
}

void DefineConfigApply(cxxopts::Options& options) {
  options.add_options()("base-version", "Version that the change is based on; default: the version in force",
                        cxxopts::value<std::uint64_t>(), "N");
}

exit_code RunConfigApply(command_context& context) {
  exit_code code = exit_code::kOk;
  std::optional<intent_document> document = ReadDocument(context, context.ListOption(kOperand).front(), code);
  if (!document) {
    return code;
  }
  command_failure error;
  const std::unique_ptr<api_client> server = context.MakeOperatorClient(error);
  if (server == nullptr) {
    return context.print().Fail(error);
  }
  // A unique write id per run lets the tool recognise its own change if the response is lost.
  document->write_id = context.env().random_id();
  apply_request request{document->write_id, 0, *document};
  if (context.HasOption("base-version")) {
    request.base_version = context.options()["base-version"].as<std::uint64_t>();
  } else {
    failure call_error;
    const std::optional<versioned_document> current = FetchDocument(*server, call_error);
    if (!current && call_error.kind != error_kind::kNotFound) {
      return context.print().Fail(CallFailure(call_error));
    }
    request.base_version = current ? current->version : 0;
    if (current && !context.print().json()) {
      PrintChanges(context.print(), ChangesFrom(current->document, request.document));
    }
  }
  return PutDocument(context, *server, request);
}

exit_code RunConfigShow(command_context& context) {
  command_failure error;
  failure call_error;
  const std::unique_ptr<api_client> server = context.MakeOperatorClient(error);
  if (server == nullptr) {
    return context.print().Fail(error);
  }
  const std::optional<versioned_document> current = FetchDocument(*server, call_error);
  if (!current) {
    return context.print().Fail(CallFailure(call_error));
  }
  if (context.print().json()) {
    context.print().Json({{"version", current->version}, {"document", current->document}});
    return exit_code::kOk;
  }
  context.print().Notice("version " + std::to_string(current->version));
  context.print().Json(ordered_json(current->document));
  return exit_code::kOk;
}

}  // namespace bamboowing::ctl
