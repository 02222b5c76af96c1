/// @file
/// What an entry's decisions ask of the process around them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bamboowing/base/event.h"
#include "bamboowing/message/batch.h"
#include "bamboowing/message/job.h"
#include "bamboowing/ownership/owner_actions.h"

namespace bamboowing {

/// Names a relayed call, outgoing or incoming. Never reused within the life of a process.
using relay_id = std::uint64_t;

/// Sends a batch to an agent.
struct send_to_agent {
  session_id session = 0;
  entry_batch batch;
};

/// Closes an agent's session.
struct close_agent_session {
  session_id session = 0;
};

/// Answers a caller.
struct answer_call {
  call_id call = 0;
  caller_reply reply;
};

/// Answers another entry.
struct answer_relay {
  relay_id relay = 0;
  relay_reply reply;
};

/// Relays a call to the entry at `address`.
struct send_relay {
  relay_id relay = 0;
  std::string address;
  relay_request request;
};

/// Gives up an outgoing relay.
struct abandon_relay {
  relay_id relay = 0;
};

/// Adds an event to the process's event log.
struct record_entry_event {
  event what;
};

/// Waits for a change of keys with a prefix.
struct store_watch {
  std::string prefix;
  std::uint64_t after_revision = 0;  ///< 0 returns the present state at once
  duration wait{0};
};

/// Calls the key-value service. The result comes back with the same id.
struct call_store {
  std::uint64_t id = 0;
  std::variant<store_read, store_swap, lease_grant, lease_renew, lease_revoke, store_watch> call;
};

/// One key with its value.
struct store_item {
  std::string key;
  std::string value;
  store_version version = 0;
};

/// The end of a store_watch.
struct directory_update {
  bool answered = false;       ///< false: the store did not answer
  bool complete = false;       ///< whether `items` is all that the store holds below the prefix
  std::uint64_t revision = 0;  ///< state of the store that this result shows
  std::vector<store_item> items;
  std::vector<std::string> deleted;
};

/// The end of an operator's write of the configuration.
struct config_write_result {
  call_id call = 0;
  config_version version = 0;    ///< version in force: the new one, or the winner's of a lost race
  std::optional<failure> error;  ///< kConflict or kStoreUnavailable
  std::string current;           ///< for kConflict: the document in force
};

/// One action. The process carries actions out in order.
using entry_action = std::variant<send_to_agent, close_agent_session, answer_call, answer_relay, send_relay,
                                  abandon_relay, call_store, config_write_result, record_entry_event>;

}  // namespace bamboowing
