#include "bamboowing/entry/call_router.h"

#include <algorithm>
#include <utility>

namespace bamboowing {

std::vector<routed_call> call_router::TakeWaiting() { return std::exchange(waiting_, {}); }

send_relay call_router::Relay(routed_call call, const call_destination& destination, relay_id id, config_version config,
                              instant now) {
  const duration elapsed = now - call.arrived_at;
  relay_request request;
  request.sender = settings_.self.id;
  request.incarnation = settings_.self.incarnation;
  request.config = config;
  request.call = call.request;
  request.call.job.deadline -= elapsed;
  request.call.wait_limit = std::max(duration(0), request.call.wait_limit - elapsed);
  if (call.possibly_accepted) {
    // An earlier leader may have accepted it, so it is a resubmission even if the caller sent it only once.
    request.call.job.generated_id = false;
    request.call.job.first_sent_ago = call.request.job.first_sent_ago.value_or(duration(0)) + elapsed;
  }
  call.possibly_accepted = true;
  call.address = destination.address;
  call.incarnation = destination.incarnation;
  relayed_[id] = std::move(call);
  return {id, destination.address, std::move(request)};
}

std::optional<routed_call> call_router::EndRelay(relay_id id) {
  const std::map<relay_id, routed_call>::iterator found = relayed_.find(id);
  if (found == relayed_.end()) {
    return std::nullopt;
  }
  routed_call call = std::move(found->second);
  relayed_.erase(found);
  return call;
}

void call_router::RemoveRoute(reply_route route) {
  const auto is_route = [route](const routed_call& call) {
    return call.route.relayed == route.relayed && call.route.id == route.id;
  };
  waiting_.erase(
      std::remove_if(waiting_.begin(), waiting_.end(),
                     [&is_route](const routed_call& call) { return is_route(call) && !call.possibly_accepted; }),
      waiting_.end());
  for (std::map<relay_id, routed_call>::iterator it = relayed_.begin(); it != relayed_.end(); ++it) {
    if (is_route(it->second)) {
      relayed_.erase(it);
      break;
    }
  }
}

}  // namespace bamboowing
