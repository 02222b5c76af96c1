/// @file
/// All decisions of an entry.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/random.h"
#include "bamboowing/entry/agent_sessions.h"
#include "bamboowing/entry/call_router.h"
#include "bamboowing/entry/config_writer.h"
#include "bamboowing/entry/directory.h"
#include "bamboowing/entry/entry_actions.h"
#include "bamboowing/entry/entry_settings.h"
#include "bamboowing/entry/intent_state.h"
#include "bamboowing/entry/lookup_table.h"
#include "bamboowing/entry/registration.h"
#include "bamboowing/entry/shard_controller.h"
#include "bamboowing/entry/store_watcher.h"

namespace bamboowing {

/// An entry accepts callers' jobs, is home of some shards, and relays jobs of the others. It does no I/O and reads no
/// clock: each input carries the time, and each may append actions, which the process takes with actions() and
/// ClearActions(). After a group of inputs the process calls Advance() once, so that what concerns one agent leaves in
/// one batch. Times must not go backwards.
class entry_core {
 public:
  /// @param seed decides generated job ids and jitter.
  entry_core(const entry_settings& settings, std::uint64_t seed, instant now);

  /// A caller's call. It is answered exactly once, or never if the caller goes.
  void OnCall(call_id call, caller_request request, instant now);

  /// The caller's connection ended. A job that was accepted goes on.
  void OnCallerGone(call_id call, instant now);

  void OnSessionOpened(session_id session, std::string agent, instant now);
  void OnSessionClosed(session_id session, instant now);
  void OnAgentBatch(session_id session, const agent_batch& batch, instant now);

  void OnRelayRequest(relay_id relay, relay_request request, instant now);
  /// The end of an outgoing relay; nullopt when the connection broke.
  void OnRelayReply(relay_id relay, std::optional<relay_reply> reply, instant now);

  void OnStoreResult(std::uint64_t call, store_result result, instant now);
  void OnWatchResult(std::uint64_t call, const directory_update& result, instant now);

  /// An operator's document, already checked, that is to replace version @p base. Answered by a config_write_result.
  void OnConfigWrite(call_id call, config_version base, std::string document, std::string write_id, instant now);

  /// The process is asked to exit: gives up its shards and accepts nothing new.
  void OnDrain(instant now);
  /// Whether the process may exit: draining, and every accepted call was answered.
  bool drained() const;

  /// Handles what is due, places waiting calls, starts tasks and completes the batches.
  void Advance(instant now);
  std::optional<instant> next_wakeup() const;

  /// Actions in order. Valid until the next call that is not const.
  span<const entry_action> actions() const { return actions_; }
  void ClearActions() { actions_.clear(); }

  /// Whether the entry can serve callers: it knows the configuration in force and is not draining.
  bool ready() const { return (watcher_.seen() || intent_.version() > 0) && !draining_; }
  /// Whether the store answered the last watch.
  bool store_answers() const { return watcher_.answered(); }
  /// When the store answered last.
  instant store_seen() const { return watcher_.seen_at(); }
  bool draining() const { return draining_; }

  const std::map<shard_id, std::unique_ptr<shard_home>>& shards() const { return shards_; }
  const intent_state& intent() const { return intent_; }
  const directory& known() const { return directory_; }
  const agent_sessions& sessions() const { return sessions_; }
  std::size_t waiting_calls() const { return router_.waiting(); }
  std::size_t relayed_calls() const { return router_.relayed(); }

 private:
  shard_id ShardOfJob(const job_spec& job) const;
  shard_home& Shard(const shard_id& shard, instant now);
  call_destination Destination(const shard_id& shard, bool relayed, instant now) const;
  std::set<std::string> OtherHomes() const;
  void Accept(routed_call call, instant now);
  void Place(routed_call call, instant now);
  void LookUp(caller_request request, reply_route route, instant now);
  void ContinueLookup(pending_lookup lookup, instant now);
  bool AnswerLocally(const caller_request& request, reply_route route, instant now);
  void Reply(reply_route route, caller_reply reply);
  void ReplyNotHome(reply_route route);
  void RefuseCall(const routed_call& call, failure why);
  void PlaceWaiting(instant now);
  void Collect(instant now);
  void CollectShard(shard_home& home, instant now);
  void Displace(const displaced_job& job);
  void CloseSilentSessions(instant now);
  void AttachSession(agent_session& session, instant now);
  void ApplyConfig(config_version version, std::string_view text, instant now);
  void ApplyIntentToShards(instant now);
  void NoteConfigOfPeer(config_version version, const std::string& address);
  void TellEntries(agent_session& session);
  void RecordEvent(event_kind kind, instant now, std::string peer, std::uint64_t number, std::string detail);
  /// Interval of heartbeats of idle sessions, in both directions; it grows with the number of sessions.
  duration HeartbeatInterval() const;
  /// Whether an agent has tasks of this entry in flight.
  bool IsBusy(const agent_session& session) const;
  duration SendInterval(const agent_session& session) const;
  void AppendStoreCall(const shard_id& shard, const owner_action& action);
  config_version config() const { return intent_.version(); }

  entry_settings settings_;
  seeded_random random_;
  agent_sessions sessions_;
  directory directory_;
  store_watcher watcher_;
  registration registration_;
  intent_state intent_;
  config_writer config_writer_;
  relay_id config_fetch_ = 0;  ///< relay that fetches the document from another entry; 0 if none
  call_router router_;
  lookup_table lookups_;
  std::map<shard_id, std::unique_ptr<shard_home>> shards_;
  std::map<std::uint64_t, std::pair<shard_id, store_call_id>> store_calls_;  ///< calls of the shards' owners
  std::vector<entry_action> actions_;
  std::set<call_id> open_calls_;
  std::uint64_t last_id_ = 0;
  instant retry_due_;
  bool draining_ = false;
};

}  // namespace bamboowing
