/// @file
/// The difference between two intent documents.
#pragma once

#include <string>
#include <vector>

#include "bamboowing/intent/document.h"

namespace bamboowing {

/// One change. List elements are identified by name rather than by index, for example `teams[crew].weight` or
/// `drains.targets[minion-7]`, so that reordering is not a change.
struct intent_change {
  std::string path;
  std::string before;  ///< JSON text; empty when the value was added
  std::string after;   ///< JSON text; empty when the value was removed
};

/// Returns what changes from @p before to @p after, ordered by path. `write_id` is ignored, because it differs between
/// any two writes. Both documents must have been accepted by ParseIntent.
std::vector<intent_change> Difference(const intent_document& before, const intent_document& after);

/// Returns a change as one line, for example `teams[crew].weight: 1 -> 3`.
std::string FormatIntentChange(const intent_change& change);

}  // namespace bamboowing
