// A fake key-value store in virtual time with fault injection.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>

#include "bamboowing/ownership/owner_actions.h"

namespace bamboowing {

class fake_store {
 public:
  bool down = false;         ///< calls have no effect and get no response
  bool lose_answer = false;  ///< calls take effect but get no response
  int calls = 0;

  /// Executes a store action; nullopt if it is not a store action or gets no response.
  std::optional<store_result> Apply(const owner_action& action, instant now) {
    Expire(now);
    std::optional<store_result> result;
    if (std::holds_alternative<store_read>(action)) {
      result = Read(std::get<store_read>(action));
    } else if (std::holds_alternative<store_swap>(action)) {
      result = Swap(std::get<store_swap>(action));
    } else if (std::holds_alternative<lease_grant>(action)) {
      result = Grant(std::get<lease_grant>(action), now);
    } else if (std::holds_alternative<lease_renew>(action)) {
      result = Renew(std::get<lease_renew>(action), now);
    } else if (std::holds_alternative<lease_revoke>(action)) {
      result = Revoke(std::get<lease_revoke>(action), now);
    }
    if (result.has_value()) {
      ++calls;
    }
    return down || lose_answer ? std::nullopt : result;
  }

  std::optional<shard_record> Record(const shard_id& shard) const {
    const std::map<std::string, entry>::const_iterator found = keys_.find(ShardRecordKey(shard));
    failure error;
    return found == keys_.end() ? std::nullopt : DecodeShardRecord(found->second.value, error);
  }

  /// Writes a record that an earlier leader left behind.
  void Put(const shard_id& shard, const shard_record& record) {
    keys_[ShardRecordKey(shard)] = {EncodeShardRecord(record), ++versions_, 0};
  }

  bool HolderExists(const shard_id& shard, instant now) {
    Expire(now);
    return keys_.count(ShardHolderKey(shard)) != 0;
  }

 private:
  struct entry {
    std::string value;
    store_version version = 0;
    lease_id lease = 0;
  };
  struct lease_state {
    instant ends;
    duration time{0};
  };

  void Expire(instant now) {
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (it->second.ends <= now) {
        RemoveKeys(it->first);
        it = leases_.erase(it);
      } else {
        ++it;
      }
    }
  }

  void RemoveKeys(lease_id lease) {
    for (auto it = keys_.begin(); it != keys_.end();) {
      it = it->second.lease == lease ? keys_.erase(it) : std::next(it);
    }
  }

  store_result Read(const store_read& call) const {
    store_result result{call.call, store_outcome::kOk, std::nullopt, 0, 0};
    const std::map<std::string, entry>::const_iterator found = keys_.find(call.key);
    if (found != keys_.end()) {
      result.value = found->second.value;
      result.version = found->second.version;
    }
    return result;
  }

  store_result Swap(const store_swap& call) {
    const std::map<std::string, entry>::const_iterator found = keys_.find(call.key);
    const store_version version = found == keys_.end() ? 0 : found->second.version;
    if (call.lease != 0 && leases_.count(call.lease) == 0) {
      return {call.call, store_outcome::kLeaseGone, std::nullopt, 0, 0};
    }
    if (version != call.expected) {
      return {call.call, store_outcome::kConflict, std::nullopt, version, 0};
    }
    if (!down) {
      keys_[call.key] = {call.value, ++versions_, call.lease};
    }
    return {call.call, store_outcome::kOk, std::nullopt, versions_, 0};
  }

  store_result Grant(const lease_grant& call, instant now) {
    if (!down) {
      leases_[++lease_ids_] = {now + call.time_to_live, call.time_to_live};
    }
    return {call.call, store_outcome::kOk, std::nullopt, 0, lease_ids_};
  }

  store_result Renew(const lease_renew& call, instant now) {
    const std::map<lease_id, lease_state>::iterator found = leases_.find(call.lease);
    if (found == leases_.end()) {
      return {call.call, store_outcome::kLeaseGone, std::nullopt, 0, 0};
    }
    if (!down) {
      found->second.ends = now + found->second.time;
    }
    return {call.call, store_outcome::kOk, std::nullopt, 0, call.lease};
  }

  store_result Revoke(const lease_revoke& call, instant) {
    if (!down) {
      RemoveKeys(call.lease);
      leases_.erase(call.lease);
    }
    return {call.call, store_outcome::kOk, std::nullopt, 0, call.lease};
  }

  std::map<std::string, entry> keys_;
  std::map<lease_id, lease_state> leases_;
  store_version versions_ = 0;
  lease_id lease_ids_ = 0;
};

}  // namespace bamboowing
