/// @file
/// HTTP calls of callers that await an answer.
#pragma once

#include <map>
#include <mutex>
#include <utility>

#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/service/caller_api.h"
#include "bamboowing/transport/http_server.h"

namespace bamboowing::detail {

/// Thread-safe.
class open_calls {
 public:
  call_id Add(const caller_request& request, http_server::responder answer) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const call_id id = ++last_id_;
    caller_request stored_request;
    stored_request.verb = request.verb;
    stored_request.job.is_request = request.job.is_request;
    calls_[id] = {std::move(stored_request), std::move(answer)};
    return id;
  }

  void Answer(call_id id, const caller_reply& reply) {
    std::map<call_id, open_call>::node_type call;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      call = calls_.extract(id);
    }
    if (!call.empty()) {
      call.mapped().answer(FormatReply(call.mapped().request, reply));
    }
  }

 private:
  struct open_call {
    caller_request request;  ///< only the fields that FormatReply() uses
    http_server::responder answer;
  };

  std::mutex mutex_;
  call_id last_id_ = 0;
  std::map<call_id, open_call> calls_;
};

}  // namespace bamboowing::detail
