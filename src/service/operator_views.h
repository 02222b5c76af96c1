/// @file
/// What operators see of an entry: JSON views and metrics, built on the thread that owns the decisions.
#pragma once

#include <string>

#include "bamboowing/entry/entry_core.h"
#include "bamboowing/observe/metrics.h"

namespace bamboowing::detail {

/// Body of GET /operator/v1/targets: the targets of all shards that this entry knows.
std::string TargetsJson(const entry_core& core);

/// Body of GET /operator/v1/instances: the registered entries and the attached agents.
std::string InstancesJson(const entry_core& core, const entry_identity& self);

/// Sets the metrics that are read off the decisions' state.
void UpdateMetrics(const entry_core& core, instant now, metrics_registry& metrics);

}  // namespace bamboowing::detail
