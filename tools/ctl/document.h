/// @file
/// Configuration documents as the tool handles them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/intent/document.h"
#include "ctl/api.h"
#include "ctl/command.h"

namespace bamboowing::ctl {

/// A document with the version that the server gives it.
struct versioned_document {
  std::uint64_t version = 0;
  nlohmann::json document;
};

/// One difference between two documents.
struct document_change {
  std::string path;   ///< for example "services[seal].shards"
  std::string left;   ///< value before; empty when it is new
  std::string right;  ///< value after; empty when it is removed
};

/// Reads and checks the document in the file @p name. Reports faults on @p call and returns nullopt.
std::optional<intent_document> ReadDocument(invocation& call, const std::string& name, exit_code& code);

/// Prints the faults of a document and returns the exit code.
exit_code ReportFaults(printer& print, const std::string& source, const std::vector<intent_error>& errors);

/// Fetches the document in force.
std::optional<versioned_document> FetchDocument(api_client& server, failure& why);

/// Reads {version, document}, in which the document is an object or its text.
std::optional<versioned_document> VersionedFromJson(const nlohmann::json& body);

/// The document in the form with all properties, so that two documents can be compared; as given when it cannot be
/// parsed (a newer release may know more properties).
nlohmann::json Normalized(const nlohmann::json& document);

/// The differences from @p before to @p after without `write_id`. Entries of lists are matched by their names.
std::vector<document_change> Changes(const nlohmann::json& before, const nlohmann::json& after);

/// Prints the differences, one line each.
void PrintChanges(printer& print, const std::vector<document_change>& changes);

/// The differences as JSON: [{path, before?, after?}].
nlohmann::ordered_json ChangesToJson(const std::vector<document_change>& changes);

}  // namespace bamboowing::ctl
