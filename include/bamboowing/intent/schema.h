/// @file
/// The JSON Schema of the intent document.
#pragma once

#include <string_view>

namespace bamboowing {

/// Returns schema/intent.schema.json as it was at build time. Valid for the lifetime of the program.
std::string_view IntentSchemaText();

}  // namespace bamboowing
