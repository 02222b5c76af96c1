/// @file
/// The entry's duty for Cap'n Proto RPC: agents attach to it, and entries relay calls to each other.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "bamboowing/base/error.h"
#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/message/batch.h"

namespace bamboowing {

/// Receives what arrives. All functions are called on the RPC thread and must not wait long.
class entry_rpc_listener {
 public:
  virtual ~entry_rpc_listener() = default;
  virtual void OnSessionOpened(session_id session, std::string agent) = 0;
  virtual void OnSessionClosed(session_id session, std::string why) = 0;
  virtual void OnAgentBatch(session_id session, agent_batch batch) = 0;
  /// Another entry relays a call; it is answered with entry_rpc::ReplyRelay().
  virtual void OnRelayRequest(relay_id id, relay_request request) = 0;
  /// The other entry answered, or nullopt if the connection broke or can't be made.
  virtual void OnRelayReply(relay_id id, std::optional<relay_reply> reply) = 0;
};

/// Runs one thread with a kj event loop. The functions are safe for use from all threads and return at once.
class entry_rpc {
 public:
  /// Listens on @p address ("IP:PORT"). @p listener must live longer than the returned object. Returns nullptr and
  /// fills @p why if the address can't be bound.
  static std::unique_ptr<entry_rpc> Open(std::string_view address, entry_rpc_listener& listener, failure& why);

  virtual ~entry_rpc() = default;

  /// Sends a batch. A batch for a session that is closed is dropped; the listener was or will be told of the close.
  virtual void SendToAgent(session_id session, entry_batch batch) = 0;

  /// Closes the connection of a session.
  virtual void CloseSession(session_id session) = 0;

  /// Relays a call to the entry at @p address; the result comes through the listener.
  virtual void SendRelay(relay_id id, std::string address, relay_request request) = 0;

  /// Gives up an outgoing relay: closes its connection if the other side is silent; no reply will be reported.
  virtual void AbandonRelay(relay_id id) = 0;

  /// Answers an incoming relay.
  virtual void ReplyRelay(relay_id id, relay_reply reply) = 0;
};

}  // namespace bamboowing
