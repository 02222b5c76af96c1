/// @file
/// Configuration documents as the tool handles them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/intent/difference.h"
#include "bamboowing/intent/document.h"
#include "ctl/api.h"
#include "ctl/command.h"

namespace bamboowing::ctl {

/// A document with the version that the server gives it.
struct versioned_document {
  std::uint64_t version = 0;
  nlohmann::json document;
};

/// Reads and checks the document in the file @p name. Reports faults and warnings on @p call; nullopt after a fault.
std::optional<intent_document> ReadDocument(command_context& context, const std::string& name, exit_code& code);

/// Prints the faults of a document and returns the exit code.
exit_code ReportDocumentErrors(printer& print, const std::string& source, const std::vector<intent_error>& errors);

/// Fetches the document in force.
std::optional<versioned_document> FetchDocument(api_client& server, failure& error);

/// Reads {version, document}, in which the document is an object or its text.
std::optional<versioned_document> VersionedDocumentFromJson(const nlohmann::json& body);

/// The differences from the document that a server gave to @p after. Everything is new when there is no document yet,
/// or when it has properties that this release does not know.
std::vector<intent_change> ChangesFrom(const nlohmann::json& before, const intent_document& after);

/// Prints the differences, one line each.
void PrintChanges(printer& print, const std::vector<intent_change>& changes);

/// The differences as JSON: [{path, before?, after?}].
nlohmann::ordered_json ChangesToJson(const std::vector<intent_change>& changes);

/// The faults in the list @p key of a server's answer.
std::vector<intent_error> ErrorsFromJson(const nlohmann::json& body, const char* key);

}  // namespace bamboowing::ctl
