/// @file
/// The requests of the operator API that need no state, and the response bodies of the others. docs/console.md
/// describes the API.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "bamboowing/base/types.h"
#include "bamboowing/intent/document.h"
#include "bamboowing/intent/report.h"

namespace bamboowing {

/// HTTP response to an operator API request.
struct operator_answer {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// Returns a file of the console by the path of its URL (`/console`, `/console/main.js`); nullopt for other paths. The
/// files contain no secrets and are served without a token.
std::optional<operator_answer> ConsoleFile(std::string_view path);

/// Handles the requests that depend on nothing but their body: `GET /operator/v1/schema`,
/// `POST /operator/v1/config/validate` and `POST /operator/v1/config/diff`. The caller must check the token first.
/// @param method "GET", "POST" or "PUT"
/// @param path without the query
/// @return nullopt for every other method or path
std::optional<operator_answer> HandleStatelessRequest(std::string_view method, std::string_view path,
                                                      std::string_view body);

/// Returns the response to `GET /operator/v1/config`.
/// @param document nullptr when there is none; @p version is 0 then
operator_answer ConfigResponse(config_version version, const intent_document* document);

/// Returns the response to a write that took effect as @p version.
operator_answer WriteResponse(config_version version);

/// Returns the response to a write of an invalid document: 400 with the error body and the lists that the validate
/// request returns.
operator_answer InvalidDocumentResponse(const intent_report& report);

/// Returns the response to a write based on an outdated version: 409 with the error body and the current version.
operator_answer ConflictResponse(config_version base_version, config_version version, const intent_document* document);

}  // namespace bamboowing
