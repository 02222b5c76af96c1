/// @file
/// JSON bodies and query parameters of HTTP messages.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "bamboowing/transport/http.h"

namespace bamboowing::standin {

/// An answer with the JSON text of @p body. Text that is not valid UTF-8 is replaced.
http_response JsonResponse(int status, const nlohmann::json& body);

/// Parses the body; an empty object when it is empty or not a JSON object.
nlohmann::json ParseJsonBody(const http_request& request);

/// The value of the query parameter @p name, or @p otherwise when it is missing or not a number.
std::uint64_t QueryNumber(const http_request& request, const std::string& name, std::uint64_t default_value);

/// The value of the query parameter @p name; empty when it is missing.
std::string QueryText(const http_request& request, const std::string& name);

}  // namespace bamboowing::standin
