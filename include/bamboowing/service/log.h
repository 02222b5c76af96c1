/// @file
/// Log of a daemon: JSON lines through Boost.Log.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bamboowing/service/settings.h"

namespace bamboowing {

/// Severity of a log line.
enum class log_level { kDebug, kInfo, kWarning, kError };

/// Additional fields of a log line: name and value.
using log_fields = std::vector<std::pair<std::string_view, std::string>>;

/// Opens the log. Call once, before the first Log().
void OpenLog(const daemon_settings& settings);

/// Writes one JSON line with time, level, instance, failure domain, @p event_name (for example "listening") and
/// @p fields. Does nothing before OpenLog(). Thread-safe.
void Log(log_level level, std::string_view event_name, const log_fields& fields = {});

/// Waits a short time for buffered lines to be written; a reader that is stuck does not block the exit.
void FlushLog();

}  // namespace bamboowing
