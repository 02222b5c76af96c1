/// @file
/// JSON views and metrics of an entry for operators, built on the core thread.
#pragma once

#include <string>

#include "bamboowing/entry/entry_core.h"
#include "bamboowing/observe/metrics.h"

namespace bamboowing::detail {

/// Body of GET /operator/v1/targets: the targets of all shards known to this entry.
std::string TargetsJson(const entry_core& core);

/// Body of GET /operator/v1/instances: the registered entries and the attached agents.
std::string InstancesJson(const entry_core& core, const entry_identity& self);

/// Updates the metrics that are derived from the core state.
void UpdateMetrics(const entry_core& core, instant now, metrics_registry& metrics);

}  // namespace bamboowing::detail
