/// @file
/// Cap'n Proto RPC of an agent: sessions to entries.
#pragma once

#include <memory>
#include <string>

#include "bamboowing/message/batch.h"

namespace bamboowing {

/// Receives session events and batches. All functions are called on the RPC thread and must return promptly.
class agent_rpc_listener {
 public:
  virtual ~agent_rpc_listener() = default;
  virtual void OnSessionOpened(std::string address) = 0;
  /// The session ended or could not be opened; @p reason describes the cause.
  virtual void OnSessionClosed(std::string address, std::string reason) = 0;
  virtual void OnEntryBatch(std::string address, entry_batch batch) = 0;
  /// The entry's process has received the batch that the agent sent at @p sent_at.
  virtual void OnBatchAcknowledged(std::string address, instant sent_at) = 0;
};

/// Runs a kj event loop on its own thread. All functions are thread-safe and non-blocking.
class agent_rpc {
 public:
  /// @p listener must outlive the returned object.
  static std::unique_ptr<agent_rpc> Open(std::string agent_id, agent_rpc_listener& listener);

  virtual ~agent_rpc() = default;

  /// Opens a session to the entry at @p address. A previous session to the same address is closed without a call to the
  /// listener.
  virtual void OpenSession(std::string address) = 0;

  /// Closes the session to @p address without a call to the listener.
  virtual void CloseSession(std::string address) = 0;

  /// Sends a batch. The batch is dropped if no session to @p address is open.
  virtual void Send(std::string address, agent_batch batch) = 0;
};

}  // namespace bamboowing
