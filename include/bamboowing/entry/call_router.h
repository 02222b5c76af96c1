/// @file
/// Submissions that wait for the leader of their shard or were relayed to it.
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

/// Where to route a call.
struct call_destination {
  enum class destination_type : std::uint8_t {
    kWait,       ///< no leader is known or ready to accept
    kLocal,      ///< this entry is the leader and may accept
    kRemote,     ///< the entry at `address` is the leader
    kNotLeader,  ///< the call was relayed and this entry is not the leader
  };
  destination_type type = destination_type::kWait;
  std::string address;
  incarnation_id incarnation = 0;  ///< of the entry at `address`
};

/// A submission that is being routed to the leader of its shard.
struct routed_call {
  caller_request request;
  reply_route route;
  instant arrived_at;
  instant expires_at;              ///< refused if no leader has accepted it by then
  bool possibly_accepted = false;  ///< relayed or accepted before: its tasks may have started
  std::string address;             ///< entry that it is relayed to; empty while it waits
  incarnation_id incarnation = 0;
};

/// Holds submissions until the leader of their shard answers. After a change of leader a submission is sent to the new
/// leader under the same job id, whose records prevent its tasks from starting twice.
class call_router {
 public:
  explicit call_router(const entry_settings& settings) : settings_(settings) {}

  /// Adds a submission that waits to be routed.
  void Add(routed_call call) { waiting_.push_back(std::move(call)); }

  /// Removes and returns the waiting calls. Each must be passed to Add() or Relay() again, or be answered.
  std::vector<routed_call> TakeWaiting();

  /// Records @p call as relayed and returns the action that sends it. The time since its arrival is subtracted from its
  /// deadline and wait limit.
  send_relay Relay(routed_call call, const call_destination& destination, relay_id id, config_version config,
                   instant now);

  /// Removes a relay and returns its call; nullopt if the relay is unknown.
  std::optional<routed_call> EndRelay(relay_id id);

  /// Abandons relays for which @p is_current is false; their calls wait to be routed to the current leader.
  template <typename Predicate>
  void Reroute(const Predicate& is_current, std::vector<entry_action>& out);

  /// The caller of a route has disconnected. A submission that was never relayed is dropped; a relayed one continues at
  /// the leader, and only the relay is removed.
  void RemoveRoute(reply_route route);

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
