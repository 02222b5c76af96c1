/// @file
/// The daemon's log: JSON lines through Boost.Log.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bamboowing/service/settings.h"

namespace bamboowing {

/// Importance of a log line.
enum class log_level { kDebug, kInfo, kWarning, kError };

/// Additional fields of a log line: name and text.
using log_fields = std::vector<std::pair<std::string_view, std::string>>;

/// Opens the log. Call once, before the first Log().
void OpenLog(const daemon_settings& settings);

/// Writes one JSON line with time, level, instance, failure domain, @p what (a name such as "listening") and @p fields.
/// Safe for use from all threads.
void Log(log_level level, std::string_view event_name, const log_fields& fields = {});

/// Writes everything that is buffered.
void FlushLog();

}  // namespace bamboowing
