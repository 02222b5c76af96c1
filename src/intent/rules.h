/// @file
/// The rules between the fields of an intent document.
#pragma once

#include <vector>

#include "bamboowing/intent/document.h"

namespace bamboowing::intent_detail {

/// Adds every violation of a rule. An empty name stands for an invalid one, which already has an error: rules that need
/// the name are skipped.
void CheckRules(const intent_document& document, std::vector<intent_error>& errors);

/// Adds a warning for every setting that is allowed but probably unintended.
void CheckWarnings(const intent_document& document, std::vector<intent_error>& warnings);

}  // namespace bamboowing::intent_detail
