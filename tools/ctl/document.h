/// @file
/// Reads, fetches, compares and prints configuration documents.
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

/// A configuration document and the version that the server assigned to it.
struct versioned_document {
  std::uint64_t version = 0;
  nlohmann::json document;
};

/// Reads and validates the document in the file @p name, and prints its errors and warnings. Returns nullopt and sets
/// @p code if the file cannot be read or the document has errors.
std::optional<intent_document> ReadDocument(command_context& context, const std::string& name, exit_code& code);

/// Prints the validation errors of the document named @p source and returns the exit code.
exit_code ReportDocumentErrors(printer& print, const std::string& source, const std::vector<intent_error>& errors);

/// Fetches the document in force. Returns nullopt and sets @p error on failure.
std::optional<versioned_document> FetchDocument(api_client& server, failure& error);

/// Parses {version, document}, where the document is an object or a string of JSON. Returns nullopt without a version.
std::optional<versioned_document> VersionedDocumentFromJson(const nlohmann::json& body);

/// The differences from the server's document @p before to @p after. Everything counts as new if there is no document
/// yet, or if it has properties that this release does not know.
std::vector<intent_change> ChangesFrom(const nlohmann::json& before, const intent_document& after);

/// Prints the differences, one line each.
void PrintChanges(printer& print, const std::vector<intent_change>& changes);

/// The differences as JSON: [{path, before?, after?}].
nlohmann::ordered_json ChangesToJson(const std::vector<intent_change>& changes);

/// The validation errors in the array @p key of a response body.
std::vector<intent_error> ErrorsFromJson(const nlohmann::json& body, const char* key);

}  // namespace bamboowing::ctl
