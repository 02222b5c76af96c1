/// @file
/// The operators' calls as far as they need no state, and the bodies of the others. docs/console.md describes the
/// calls.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "bamboowing/base/types.h"
#include "bamboowing/intent/document.h"
#include "bamboowing/intent/report.h"

namespace bamboowing {

/// Answer to one call.
struct operator_answer {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// Returns a file of the console by the path of its URL (`/console`, `/console/main.js`); nullopt for other paths. The
/// files hold nothing secret and are served without a token.
std::optional<operator_answer> ConsoleFile(std::string_view path);

/// Answers the calls that depend on nothing but their body: `GET /operator/v1/schema`,
/// `POST /operator/v1/config/validate` and `POST /operator/v1/config/diff`. The caller checks the token first.
/// @param method "GET", "POST" or "PUT"
/// @param path without the query
/// @return nullopt for every other method or path
std::optional<operator_answer> HandleStatelessRequest(std::string_view method, std::string_view path,
                                                      std::string_view body);

/// The answer to `GET /operator/v1/config`.
/// @param document nullptr when there is none; @p version is 0 then
operator_answer ConfigResponse(config_version version, const intent_document* document);

/// The answer to a write that took effect as @p version.
operator_answer WriteResponse(config_version version);

/// The answer to a write of a document with errors: 400 with the error body and the lists of the validate call.
operator_answer InvalidDocumentResponse(const intent_report& report);

/// The answer to a write that lost a race: 409 with the error body and the version in force.
operator_answer ConflictResponse(config_version base_version, config_version version, const intent_document* document);

}  // namespace bamboowing
