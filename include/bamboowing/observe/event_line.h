/// @file
/// Events as JSON lines: the format of event logs and of responses to `GET /operator/v1/events`.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "bamboowing/base/error.h"
#include "bamboowing/base/event.h"

namespace bamboowing {

/// The process that recorded an event.
struct process_identity {
  std::string id;
  incarnation_id incarnation = 0;
  std::string role;  ///< "entry" or "agent"
  std::string failure_domain;

  friend bool operator==(const process_identity& a, const process_identity& b) {
    return a.incarnation == b.incarnation && a.id == b.id && a.role == b.role && a.failure_domain == b.failure_domain;
  }
};

/// An event together with the process that recorded it.
struct recorded_event {
  process_identity process;
  event record;
};

/// Returns @p record as one JSON object without a trailing newline. Empty fields are omitted; invalid UTF-8 is
/// replaced. The incarnation is written as a string, because many JSON readers round numbers above 2^53.
std::string FormatEvent(const event& record, const process_identity& process);

/// Reads one line written by FormatEvent(). Unknown fields are ignored, so that logs of newer releases can be read.
/// Returns nullopt for a line that is not an event and sets @p error to the found and the expected value.
std::optional<recorded_event> ParseEvent(std::string_view line, failure& error);

}  // namespace bamboowing
