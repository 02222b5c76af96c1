/// @file
/// Converts between the typed document and its JSON value.
#pragma once

#include <nlohmann/json.hpp>

#include "bamboowing/intent/document.h"

namespace bamboowing::intent_detail {

/// Converts a value that conforms to the schema and has all defaults filled in.
intent_document Decode(const nlohmann::json& value);

/// Converts a document to a value with every property; a quota that is not set is omitted.
nlohmann::json Encode(const intent_document& document);

}  // namespace bamboowing::intent_detail
