#include "standins/kv_state.h"

#include <algorithm>

namespace bamboowing::standin {
namespace {

bool StartsWith(std::string_view text, std::string_view prefix) { return text.substr(0, prefix.size()) == prefix; }

}  // namespace

std::optional<kv_item> kv_state::Get(std::string_view key) const {
  const std::map<std::string, kv_item, std::less<>>::const_iterator found = items_.find(key);
  return found == items_.end() ? std::nullopt : std::optional<kv_item>(found->second);
}

kv_change kv_state::Put(kv_item item, std::optional<std::uint64_t> expected) {
  const std::optional<kv_item> current = Get(item.key);
  const std::uint64_t version = current ? current->version : 0;
  if (expected && *expected != version) {
    return {false, current};
  }
  item.version = ++revision_;
  deletion_revisions_.erase(item.key);
  items_[item.key] = item;
  return {true, item};
}

kv_change kv_state::Delete(std::string_view key, std::optional<std::uint64_t> expected) {
  const std::optional<kv_item> current = Get(key);
  if (!current || (expected && *expected != current->version)) {
    return {false, current};
  }
  deletion_revisions_[current->key] = ++revision_;
  items_.erase(current->key);
  return {true, std::nullopt};
}

std::vector<kv_item> kv_state::List(std::string_view prefix, std::uint64_t after_revision) const {
  std::vector<kv_item> found;
  for (auto it = items_.lower_bound(prefix); it != items_.end() && StartsWith(it->first, prefix); ++it) {
    if (it->second.version > after_revision) {
      found.push_back(it->second);
    }
  }
  return found;
}

std::vector<std::string> kv_state::ListDeleted(std::string_view prefix, std::uint64_t after_revision) const {
  std::vector<std::string> found;
  for (auto it = deletion_revisions_.lower_bound(prefix);
       it != deletion_revisions_.end() && StartsWith(it->first, prefix); ++it) {
    if (it->second > after_revision) {
      found.push_back(it->first);
    }
  }
  return found;
}

std::uint64_t kv_state::GrantLease(duration time_to_live, instant now) {
  leases_[++last_lease_id_] = {time_to_live, now + time_to_live};
  return last_lease_id_;
}

bool kv_state::RenewLease(std::uint64_t lease, instant now) {
  ExpireLeases(now);
  const std::map<std::uint64_t, lease_record>::iterator found = leases_.find(lease);
  if (found == leases_.end()) {
    return false;
  }
  found->second.expires_at = now + found->second.time_to_live;
  return true;
}

void kv_state::RevokeLease(std::uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const std::pair<const std::string, kv_item>& item : items_) {
    if (item.second.lease == lease) {
      keys.push_back(item.first);
    }
  }
  for (const std::string& key : keys) {
    Delete(key, std::nullopt);
  }
}

bool kv_state::ExpireLeases(instant now) {
  std::vector<std::uint64_t> expired;
  for (const std::pair<const std::uint64_t, lease_record>& lease : leases_) {
    if (lease.second.expires_at <= now) {
      expired.push_back(lease.first);
    }
  }
  for (const std::uint64_t lease : expired) {
    RevokeLease(lease);
  }
  return !expired.empty();
}

std::optional<instant> kv_state::NextExpiry() const {
  std::optional<instant> next;
  for (const std::pair<const std::uint64_t, lease_record>& lease : leases_) {
    next = next ? std::min(*next, lease.second.expires_at) : lease.second.expires_at;
  }
  return next;
}

}  // namespace bamboowing::standin
