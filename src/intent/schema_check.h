/// @file
/// Checks a value against the schema of the intent document and fills in its defaults.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bamboowing/intent/document.h"

namespace bamboowing::intent_detail {

/// Returns the parsed schema. Valid for the lifetime of the program.
const nlohmann::json& IntentSchema();

/// Checks @p value against the schema with valijson, draft 7. The lines of the errors are not set.
/// @return whether the value is valid; errors are added if and only if it is not
bool CheckSchema(const nlohmann::json& value, std::vector<intent_error>& errors);

/// Replaces every value of @p value at one of the paths of @p errors, and every missing required one, by its default or
/// by an empty value of its type, so that the value can be decoded and its other parts checked.
void ReplaceInvalidValues(const std::vector<intent_error>& errors, nlohmann::json& value);

/// Adds the schema's default of every property that the valid @p value omits.
void FillDefaults(const nlohmann::json& schema, nlohmann::json& value);

/// Returns what the schema node allows, for example "an integer from 1 to 1024".
std::string DescribeExpected(const nlohmann::json& schema);

}  // namespace bamboowing::intent_detail
