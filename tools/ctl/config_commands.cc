#include "ctl/command.h"
#include "ctl/document.h"

namespace bamboowing::ctl {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

std::string TextOf(const json& body, const char* key) {
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

/// Lets an entry check the document, which also knows its targets and the present version.
exit_code ValidateRemotely(invocation& call, const std::string& name, const intent_document& document) {
  command_failure error;
  const std::unique_ptr<api_client> server = call.Operator(error);
  if (server == nullptr) {
    return call.print().Fail(error);
  }
  failure why;
  const std::optional<json_answer> answer =
      server->Call(MakeRequest("POST", "/operator/v1/config/validate", ToJson(document)), why);
  if (!answer) {
    return call.print().Fail(CallFailure(why));
  }
  const std::vector<intent_error> errors = FaultsFromJson(answer->body, "errors");
  if (!errors.empty()) {
    return ReportFaults(call.print(), name, errors);
  }
  return ReportValid(call.print(), name, answer->body.value("warnings", json::array()),
                     answer->body.value("normalized", json()));
}

/// What `config apply` knows while it runs.
struct apply_state {
  std::string write_id;
  std::uint64_t base = 0;
  intent_document document;
};

/// The version at which the document with our write id is in force; nullopt when another one is, or none answers.
std::optional<std::uint64_t> VersionOfWrite(api_client& server, const apply_state& state, failure& why) {
  const std::optional<versioned_document> present = FetchDocument(server, why);
  if (!present) {
    return std::nullopt;
  }
  if (TextOf(present->document, "write_id") == state.write_id) {
    return present->version;
  }
  why = failure(error_kind::kOutcomeUnknown, "the answer to the change was lost, and version " +
                                                 std::to_string(present->version) + " is another document");
  return std::nullopt;
}

exit_code ReportConflict(printer& print, const apply_state& state, const http_response& response) {
  const json body = json::parse(response.body, nullptr, false);
  const std::optional<versioned_document> current =
      body.is_object() ? VersionedFromJson(body.value("current", json())) : std::nullopt;
  failure why = api_client::FailureOf(response);
  if (!current) {
    return print.Fail(CallFailure(why));
  }
  const std::vector<intent_change> changes = ChangesFrom(current->document, state.document);
  if (print.json()) {
    print.Json({{"applied", false},
                {"your_base", state.base},
                {"current", current->version},
                {"changes", ChangesToJson(changes)}});
  } else {
    print.Line("Version " + std::to_string(current->version) + " is in force, your base is version " +
               std::to_string(state.base) + ". Your document would change version " + std::to_string(current->version) +
               " as follows:");
    PrintChanges(print, changes);
  }
  why.kind = error_kind::kConflict;
  return print.Fail({exit_code::kConflict, why,
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

/// Handles a change whose answer did not arrive: the write id shows whether it took effect.
exit_code Recognize(invocation& call, api_client& server, const apply_state& state, const failure& lost) {
  failure why = lost;
  if (lost.not_run == not_run_state::kYes) {
    return call.print().Fail(CallFailure(lost));
  }
  const std::optional<std::uint64_t> version = VersionOfWrite(server, state, why);
  if (version) {
    return ReportApplied(call.print(), *version);
  }
  return call.print().Fail(
      {exit_code::kOutcomeUnknown, why,
       "Compare with: bamboowingctl config show. Write id of the change: " + state.write_id + "."});
}

bool IsLost(const failure& why) {
  return why.kind == error_kind::kTargetLost || why.kind == error_kind::kStoreUnavailable ||
         why.kind == error_kind::kOutcomeUnknown;
}

exit_code Put(invocation& call, api_client& server, const apply_state& state) {
  failure why;
  const std::optional<http_response> response = server.Send(
      MakeRequest("PUT", "/operator/v1/config", ToJson(state.document), {{"base_version", std::to_string(state.base)}}),
      why);
  if (!response) {
    return Recognize(call, server, state, why);
  }
  if (response->status == 409) {
    return ReportConflict(call.print(), state, *response);
  }
  if (response->status != 200) {
    why = api_client::FailureOf(*response);
    const json refused = json::parse(response->body, nullptr, false);
    const std::vector<intent_error> faults =
        refused.is_object() ? FaultsFromJson(refused, "errors") : std::vector<intent_error>();
    if (!faults.empty()) {
      return ReportFaults(call.print(), "the document", faults);
    }
    return IsLost(why) ? Recognize(call, server, state, why) : call.print().Fail(CallFailure(why));
  }
  const json body = json::parse(response->body, nullptr, false);
  const std::uint64_t version = body.is_object() ? body.value("version", std::uint64_t{0}) : 0;
  return ReportApplied(call.print(), version);
}

}  // namespace

void DefineConfigValidate(cxxopts::Options& options) {
  options.add_options()("remote", "Also let an entry check the document (needs --operator)");
}

exit_code RunConfigValidate(invocation& call) {
  exit_code code = exit_code::kOk;
  const std::string name = call.List(kOperand).front();
  const std::optional<intent_document> document = ReadDocument(call, name, code);
  if (!document) {
    return code;
  }
  if (call.Has("remote")) {
    return ValidateRemotely(call, name, *document);
  }
  return ReportValid(call.print(), name, json::array(), json::parse(ToJson(*document)));
}

void DefineConfigDiff(cxxopts::Options& options) {
  options.add_options()("base", "Compare with this file instead of the document in force",
                        cxxopts::value<std::string>(), "FILE");
}

exit_code RunConfigDiff(invocation& call) {
  exit_code code = exit_code::kOk;
  const std::optional<intent_document> document = ReadDocument(call, call.List(kOperand).front(), code);
  if (!document) {
    return code;
  }
  std::vector<intent_change> changes;
  if (call.Has("base")) {
    const std::optional<intent_document> other = ReadDocument(call, call.Text("base"), code);
    if (!other) {
      return code;
    }
    changes = Difference(*other, *document);
  } else {
    command_failure error;
    failure why;
    const std::unique_ptr<api_client> server = call.Operator(error);
    if (server == nullptr) {
      return call.print().Fail(error);
    }
    const std::optional<versioned_document> present = FetchDocument(*server, why);
    if (!present) {
      return call.print().Fail(CallFailure(why));
    }
    changes = ChangesFrom(present->document, *document);
  }
  if (call.print().json()) {
    call.print().Json({{"changes", ChangesToJson(changes)}});
  } else {
    PrintChanges(call.print(), changes);
  }
  return exit_code::kOk;
}

void DefineConfigApply(cxxopts::Options& options) {
  options.add_options()("base-version", "Version that the change is based on; default: the version in force",
                        cxxopts::value<std::uint64_t>(), "N");
}

exit_code RunConfigApply(invocation& call) {
  exit_code code = exit_code::kOk;
  std::optional<intent_document> document = ReadDocument(call, call.List(kOperand).front(), code);
  if (!document) {
    return code;
  }
  command_failure error;
  const std::unique_ptr<api_client> server = call.Operator(error);
  if (server == nullptr) {
    return call.print().Fail(error);
  }
  // A write id of its own for each run lets the tool recognise this very change when the answer is lost.
  document->write_id = call.env().random_id();
  apply_state state{document->write_id, 0, *document};
  if (call.Has("base-version")) {
    state.base = call.options()["base-version"].as<std::uint64_t>();
  } else {
    failure why;
    const std::optional<versioned_document> present = FetchDocument(*server, why);
    if (!present && why.kind != error_kind::kNotFound) {
      return call.print().Fail(CallFailure(why));
    }
    state.base = present ? present->version : 0;
    if (present && !call.print().json()) {
      PrintChanges(call.print(), ChangesFrom(present->document, state.document));
    }
  }
  return Put(call, *server, state);
}

exit_code RunConfigShow(invocation& call) {
  command_failure error;
  failure why;
  const std::unique_ptr<api_client> server = call.Operator(error);
  if (server == nullptr) {
    return call.print().Fail(error);
  }
  const std::optional<versioned_document> present = FetchDocument(*server, why);
  if (!present) {
    return call.print().Fail(CallFailure(why));
  }
  if (call.print().json()) {
    call.print().Json({{"version", present->version}, {"document", present->document}});
    return exit_code::kOk;
  }
  call.print().Note("version " + std::to_string(present->version));
  call.print().Json(ordered_json(present->document));
  return exit_code::kOk;
}

}  // namespace bamboowing::ctl
