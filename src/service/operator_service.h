/// @file
/// The operators' calls of an entry.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "bamboowing/entry/entry_core.h"
#include "bamboowing/observe/metrics.h"
#include "bamboowing/service/event_log.h"
#include "bamboowing/transport/http_server.h"

namespace bamboowing::detail {

/// Reads the operators' token from a file: its first line, at least 8 characters. The token is never logged.
std::optional<std::string> ReadToken(const std::string& file, failure& error);

/// Answers calls that need no state, and all calls without a valid token; nullopt for the others. Runs on any thread.
std::optional<http_response> AnswerWithoutState(const std::string& token, const http_request& request);

/// GET /operator/v1/events?after=N: JSON lines. Runs on any thread.
http_response AnswerEvents(const http_request& request, const event_log& events);

/// Calls that need the decisions' state. Add() and Answer() run on any thread, the others on the decisions' thread.
class operator_service {
 public:
  operator_service(entry_core& core, const event_log& events) : core_(core), events_(events) {}

  call_id Add(http_server::responder answer);
  void Answer(call_id call, http_response response);

  void Handle(call_id call, const http_request& request, instant now);
  void FinishWrite(const config_write_result& result);

  /// Counts an answer to a caller.
  void CountReply(const caller_reply& reply);

 private:
  struct pending_write {
    config_version base_version = 0;
  };

  void AnswerMetrics(call_id call, instant now);
  void WriteConfig(call_id call, const http_request& request, instant now);
  void DrainTarget(call_id call, const http_request& request, instant now);

  entry_core& core_;
  const event_log& events_;
  metrics_registry metrics_;
  std::map<call_id, pending_write> pending_writes_;
  std::mutex mutex_;
  call_id last_id_ = 0;
  std::map<call_id, http_server::responder> responders_;
};

}  // namespace bamboowing::detail
