/// @file
/// The agent's duty for Cap'n Proto RPC: sessions to entries.
#pragma once

#include <memory>
#include <string>

#include "bamboowing/message/batch.h"

namespace bamboowing {

/// Receives what arrives. All functions are called on the RPC thread and must not wait long.
class agent_rpc_listener {
 public:
  virtual ~agent_rpc_listener() = default;
  virtual void OnSessionOpened(std::string address) = 0;
  /// The session ended, or could not be opened, for the reason @p why.
  virtual void OnSessionClosed(std::string address, std::string reason) = 0;
  virtual void OnEntryBatch(std::string address, entry_batch batch) = 0;
};

/// Runs one thread with a kj event loop. The functions are safe for use from all threads and return at once.
class agent_rpc {
 public:
  /// @p listener must live longer than the returned object.
  static std::unique_ptr<agent_rpc> Open(std::string agent_id, agent_rpc_listener& listener);

  virtual ~agent_rpc() = default;

  /// Opens a session to the entry at @p address; an older session to the same address is closed without a report.
  virtual void OpenSession(std::string address) = 0;

  /// Closes the session to @p address without a report.
  virtual void CloseSession(std::string address) = 0;

  /// Sends a batch; dropped if there is no session.
  virtual void Send(std::string address, agent_batch batch) = 0;
};

}  // namespace bamboowing
