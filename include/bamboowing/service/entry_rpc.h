/// @file
/// Cap'n Proto RPC of an entry: sessions of agents, and calls between entries.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "bamboowing/base/error.h"
#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/message/batch.h"
#include "bamboowing/message/job_claim.h"

namespace bamboowing {

/// Identifies a request for claims from another entry. Never reused while the process runs.
using claim_call_id = std::uint64_t;

/// Receives session events, batches and relayed calls. All functions are called on the RPC thread and must return
/// promptly.
class entry_rpc_listener {
 public:
  virtual ~entry_rpc_listener() = default;
  virtual void OnSessionOpened(session_id session, std::string agent) = 0;
  virtual void OnSessionClosed(session_id session, std::string reason) = 0;
  /// Returns whether the batch is acknowledged to the agent.
  virtual bool OnAgentBatch(session_id session, agent_batch batch) = 0;
  /// Another entry relays a call. The reply is sent with entry_rpc::ReplyRelay().
  virtual void OnRelayRequest(relay_id id, relay_request request) = 0;
  /// @p reply is nullopt if the connection broke or could not be established.
  virtual void OnRelayReply(relay_id id, std::optional<relay_reply> reply) = 0;
  /// Another entry claims jobs. The reply is sent with entry_rpc::ReplyClaims().
  virtual void OnClaimRequest(claim_call_id id, claim_request request) = 0;
  /// @p reply is nullopt if the connection broke or could not be established.
  virtual void OnClaimReply(std::uint64_t exchange, std::optional<claim_reply> reply) = 0;
};

/// Runs a kj event loop on its own thread. All functions are thread-safe and non-blocking.
class entry_rpc {
 public:
  /// Listens on @p address ("IP:PORT"). @p listener must outlive the returned object. Returns nullptr and sets @p error
  /// if the address cannot be bound.
  static std::unique_ptr<entry_rpc> Open(std::string_view address, entry_rpc_listener& listener, failure& error);

  virtual ~entry_rpc() = default;

  /// Sends a batch. A batch for a closed session is dropped; the close is reported through the listener.
  virtual void SendToAgent(session_id session, entry_batch batch) = 0;

  /// Closes the connection on which @p session was opened, with all its sessions.
  virtual void CloseSession(session_id session) = 0;

  /// Relays a call to the entry at @p address. The reply is reported through the listener.
  virtual void SendRelay(relay_id id, std::string address, relay_request request) = 0;

  /// Cancels an outgoing relay and closes the connection to that entry. No reply is reported for @p id.
  virtual void AbandonRelay(relay_id id) = 0;

  /// Replies to an incoming relay.
  virtual void ReplyRelay(relay_id id, relay_reply reply) = 0;

  /// Sends a request for claims to the entry at @p address. The reply is reported through the listener.
  virtual void SendClaims(std::uint64_t exchange, std::string address, claim_request request) = 0;

  /// Cancels an outgoing request for claims and closes the connection to that entry. No reply is reported.
  virtual void AbandonClaims(std::uint64_t exchange) = 0;

  /// Replies to an incoming request for claims.
  virtual void ReplyClaims(claim_call_id id, claim_reply reply) = 0;
};

}  // namespace bamboowing
