/// @file
/// HTTP and JSON interface for callers (docs/api.md): conversion between HTTP messages and typed calls.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "bamboowing/base/error.h"
#include "bamboowing/message/job.h"
#include "bamboowing/transport/http.h"

namespace bamboowing {

/// Limits of a job submission.
inline constexpr std::size_t kMaxTasksPerJob = 180;
inline constexpr std::size_t kMaxNameLength = 128;
inline constexpr duration kMinDeadline = std::chrono::milliseconds(1);
inline constexpr duration kMaxDeadline = std::chrono::minutes(10);

/// Converts an HTTP request on /v1/jobs, /v1/jobs/ID or /v1/requests. Returns nullopt and sets @p error for an
/// unknown path or method, malformed JSON, unknown fields, and values out of range.
std::optional<caller_request> ParseCall(const http_request& request, failure& error);

/// Converts the reply to @p call. The status is 202 for a job that has not ended, 200 for a complete job, and the
/// status from the error table for a failed or refused job.
http_response FormatReply(const caller_request& call, const caller_reply& reply);

/// Whether @p name may be used as a job id, team or service: 1 to 128 letters, digits, '.', '_', ':' or '-'.
bool IsValidName(std::string_view name);

}  // namespace bamboowing
