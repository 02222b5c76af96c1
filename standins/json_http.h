/// @file
/// JSON bodies and query parameters of HTTP messages.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "bamboowing/transport/http.h"

namespace bamboowing::standin {

/// A response with @p body as JSON text. Bytes that are not valid UTF-8 are replaced.
http_response JsonResponse(int status, const nlohmann::json& body);

/// Parses the body; returns an empty object if it is empty or not a JSON object.
nlohmann::json ParseJsonBody(const http_request& request);

/// The value of the query parameter @p name, or @p default_value if it is missing or not a number.
std::uint64_t QueryNumber(const http_request& request, const std::string& name, std::uint64_t default_value);

/// The value of the query parameter @p name; empty if it is missing.
std::string QueryText(const http_request& request, const std::string& name);

}  // namespace bamboowing::standin
