/// @file
/// Operator API of an entry.
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

/// Reads the operators' token from the first line of a file; it has at least 8 characters. Returns nullopt and sets
/// @p error otherwise. The token must not be logged.
std::optional<std::string> ReadToken(const std::string& file, failure& error);

/// Answers calls that need no state and rejects calls without a valid token; returns nullopt for all others.
/// Thread-safe.
std::optional<http_response> AnswerWithoutState(const std::string& token, const http_request& request);

/// Answers GET /operator/v1/events?after=N with JSON lines. Thread-safe.
http_response AnswerEvents(const http_request& request, const event_log& events);

/// Operator calls that need the core state. Add() and Answer() are thread-safe; all others run on the core thread.
class operator_service {
 public:
  operator_service(entry_core& core, const event_log& events) : core_(core), events_(events) {}

  call_id Add(http_server::responder answer);
  void Answer(call_id call, http_response response);

  void Handle(call_id call, const http_request& request, instant now);
  void FinishWrite(const config_write_result& result);

  /// Updates the metrics of callers' replies.
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
