/// @file
/// The callers' HTTP calls that wait for an answer.
#pragma once

#include <map>
#include <mutex>
#include <utility>

#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/service/caller_api.h"
#include "bamboowing/transport/http_server.h"

namespace bamboowing::detail {

/// Safe for use from all threads.
class open_calls {
 public:
  call_id Add(const caller_request& request, http_server::responder answer) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const call_id id = ++last_;
    caller_request shape;
    shape.verb = request.verb;
    shape.job.request = request.job.request;
    calls_[id] = {std::move(shape), std::move(answer)};
    return id;
  }

  void Answer(call_id id, const caller_reply& reply) {
    std::map<call_id, open_call>::node_type call;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      call = calls_.extract(id);
    }
    if (!call.empty()) {
      call.mapped().answer(FormatReply(call.mapped().shape, reply));
    }
  }

 private:
  struct open_call {
    caller_request shape;  ///< what FormatReply() needs of the request
    http_server::responder answer;
  };

  std::mutex mutex_;
  call_id last_ = 0;
  std::map<call_id, open_call> calls_;
};

}  // namespace bamboowing::detail
