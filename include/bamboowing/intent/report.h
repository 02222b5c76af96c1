/// @file
/// Full validation of a document: errors and warnings.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "bamboowing/intent/document.h"

namespace bamboowing {

/// Result of a validation. `document` is set if and only if `errors` is empty. Warnings name settings that are allowed
/// but probably unintended; they never reject a write.
struct intent_report {
  std::optional<intent_document> document;
  std::vector<intent_error> errors;
  std::vector<intent_error> warnings;
};

/// Checks @p text as ParseIntent does and also reports warnings. Rules between fields are checked even when other
/// fields are invalid; a rule that depends on an invalid field is skipped.
intent_report CheckIntent(std::string_view text);

/// Checks a document that was built or changed in memory, so that a program cannot write one that every reader rejects.
/// The line of each error is 0.
intent_report CheckIntent(const intent_document& document);

}  // namespace bamboowing
