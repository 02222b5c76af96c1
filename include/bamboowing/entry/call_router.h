/// @file
/// Calls that wait for the home of their shard, or were relayed to it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/entry/entry_settings.h"
#include "bamboowing/entry/job_table.h"

namespace bamboowing {

/// Where a call should go now.
struct call_destination {
  enum class place : std::uint8_t {
    kWait,     ///< no home is known
    kLocal,    ///< this entry is home and may accept
    kEntry,    ///< the entry at `address` is home
    kNotHere,  ///< a relayed call for which this entry is not home
  };
  place where = place::kWait;
  std::string address;
  incarnation life = 0;  ///< of the entry at `address`
};

/// A submission on its way to the home.
struct routed_call {
  caller_request request;
  reply_route route;
  instant arrived;
  instant give_up;      ///< refused if no home accepted it by then
  bool sent = false;    ///< whether it was relayed before, so that an entry may have accepted it
  std::string address;  ///< entry to which it is relayed now; empty while it waits
  incarnation life = 0;
};

/// Holds submissions until the home of their shard answered. When the home is lost, a submission goes to the next home
/// under the same job id; the home's records keep its tasks from starting twice.
class call_router {
 public:
  explicit call_router(const entry_settings& settings) : settings_(settings) {}

  /// Adds a submission that waits.
  void Add(routed_call call) { waiting_.push_back(std::move(call)); }

  /// Takes out the calls that wait, to be placed again by the caller of this function with Add(), Relay() or an answer.
  std::vector<routed_call> TakeWaiting();

  /// Relays a call. Returns the action.
  send_relay Relay(routed_call call, const call_destination& to, relay_id id, config_version config, instant now);

  /// Ends a relay: returns its call, or nullopt if the relay is unknown.
  std::optional<routed_call> EndRelay(relay_id id);

  /// Gives up relays for which @p is_current is false, and lets their calls wait for the present home.
  template <typename Predicate>
  void Reroute(const Predicate& is_current, std::vector<entry_action>& out);

  /// The caller of a route has gone. A submission that was not yet sent is dropped; one that was sent goes on at its
  /// home, only the relay is forgotten.
  void Forget(reply_route route);

  std::size_t waiting() const { return waiting_.size(); }
  std::size_t relayed() const { return relayed_.size(); }

 private:
  entry_settings settings_;
  std::vector<routed_call> waiting_;
  std::map<relay_id, routed_call> relayed_;
};

template <typename Predicate>
void call_router::Reroute(const Predicate& is_current, std::vector<entry_action>& out) {
  for (std::map<relay_id, routed_call>::iterator it = relayed_.begin(); it != relayed_.end();) {
    if (is_current(it->second)) {
      ++it;
      continue;
    }
    out.emplace_back(abandon_relay{it->first});
    it->second.address.clear();
    waiting_.push_back(std::move(it->second));
    it = relayed_.erase(it);
  }
}

}  // namespace bamboowing
