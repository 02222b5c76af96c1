#include "ctl/document.h"

#include <map>
#include <set>

namespace bamboowing::ctl {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

bool IsNamedList(const json& value) {
  if (!value.is_array() || value.empty()) {
    return false;
  }
  std::set<std::string> names;
  for (const json& item : value) {
    const json name = item.is_object() ? item.value("name", json()) : json();
    if (!name.is_string() || !names.insert(name.get<std::string>()).second) {
      return false;
    }
  }
  return true;
}

/// The members of an object, or of a list whose items have names, by path below @p path.
std::map<std::string, json> Members(const std::string& path, const json& value) {
  std::map<std::string, json> members;
  if (value.is_object()) {
    for (json::const_iterator item = value.begin(); item != value.end(); ++item) {
      members[path.empty() ? item.key() : path + "." + item.key()] = item.value();
    }
  } else {
    for (const json& item : value) {
      members[path + "[" + item.at("name").get<std::string>() + "]"] = item;
    }
  }
  return members;
}

bool HasMembers(const json& value) { return value.is_object() || IsNamedList(value); }

void Compare(const std::string& path, const json& before, const json& after, std::vector<document_change>& changes) {
  if (before == after || path == "write_id") {
    return;
  }
  const bool lists = before.is_array() && after.is_array() && (IsNamedList(before) || IsNamedList(after)) &&
                     (IsNamedList(before) || before.empty()) && (IsNamedList(after) || after.empty());
  const bool descend = lists || (HasMembers(before) && before.type() == after.type());
  if (!descend) {
    changes.push_back({path, before.is_null() ? "" : before.dump(), after.is_null() ? "" : after.dump()});
    return;
  }
  std::map<std::string, json> left = Members(path, before);
  std::map<std::string, json> right = Members(path, after);
  std::set<std::string> paths;
  for (const std::map<std::string, json>& side : {left, right}) {
    for (const std::pair<const std::string, json>& one : side) {
      paths.insert(one.first);
    }
  }
  for (const std::string& member : paths) {
    Compare(member, left[member], right[member], changes);
  }
}

}  // namespace

exit_code ReportFaults(printer& print, const std::string& source, const std::vector<intent_error>& errors) {
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

std::optional<intent_document> ReadDocument(invocation& call, const std::string& name, exit_code& code) {
  command_failure error;
  const std::optional<std::string> text = call.ReadFile(name, error);
  if (!text) {
    code = call.print().Fail(error);
    return std::nullopt;
  }
  std::vector<intent_error> errors;
  std::optional<intent_document> document = ParseIntent(*text, errors);
  if (!document) {
    code = ReportFaults(call.print(), name, errors);
  }
  return document;
}

std::optional<versioned_document> VersionedFromJson(const json& body) {
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

std::optional<versioned_document> FetchDocument(api_client& server, failure& why) {
  const std::optional<json_answer> answer = server.Call(MakeRequest("GET", "/operator/v1/config"), why);
  if (!answer) {
    return std::nullopt;
  }
  std::optional<versioned_document> result = VersionedFromJson(answer->body);
  if (!result) {
    why = failure(error_kind::kInternal, "the server's answer has no version");
  }
  return result;
}

json Normalized(const json& document) {
  std::vector<intent_error> errors;
  const std::optional<intent_document> parsed = ParseIntent(document.dump(), errors);
  return parsed ? json::parse(ToJson(*parsed)) : document;
}

std::vector<document_change> Changes(const json& before, const json& after) {
  std::vector<document_change> changes;
  Compare("", before, after, changes);
  return changes;
}

void PrintChanges(printer& print, const std::vector<document_change>& changes) {
  if (changes.empty()) {
    print.Line("no differences");
  }
  for (const document_change& change : changes) {
    const std::string path = change.path.empty() ? "document" : change.path;
    if (change.left.empty()) {
      print.Line("+ " + path + ": " + change.right);
    } else if (change.right.empty()) {
      print.Line("- " + path + ": " + change.left);
    } else {
      print.Line("~ " + path + ": " + change.left + " -> " + change.right);
    }
  }
}

ordered_json ChangesToJson(const std::vector<document_change>& changes) {
  ordered_json list = ordered_json::array();
  for (const document_change& change : changes) {
    ordered_json one;
    one["path"] = change.path;
    if (!change.left.empty()) {
      one["before"] = json::parse(change.left);
    }
    if (!change.right.empty()) {
      one["after"] = json::parse(change.right);
    }
    list.push_back(one);
  }
  return list;
}

}  // namespace bamboowing::ctl
