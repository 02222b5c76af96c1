/// @file
/// What an entry's decisions ask of the process around them.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "bamboowing/base/event.h"
#include "bamboowing/message/batch.h"
#include "bamboowing/message/job.h"
#include "bamboowing/message/store.h"

namespace bamboowing {

/// Names an agent's session with this entry. Never reused within the life of a process.
using session_id = std::uint64_t;

/// Names a relayed call, outgoing or incoming. Never reused within the life of a process.
using relay_id = std::uint64_t;

/// Names a caller's HTTP call. Never reused within the life of a process.
using call_id = std::uint64_t;

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

/// One action. The process carries actions out in order.
using entry_action = std::variant<send_to_agent, close_agent_session, answer_call, answer_relay, send_relay,
                                  abandon_relay, store_call, record_entry_event>;

}  // namespace bamboowing
