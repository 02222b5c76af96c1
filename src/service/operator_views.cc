#include "operator_views.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace bamboowing::detail {
namespace {

using nlohmann::ordered_json;

std::string ShardName(const shard_id& shard) { return shard.service + "/" + std::to_string(shard.index); }

std::string StateName(const shard_controller::target_view& target) {
  if (!target.attached) {
    return "detached";
  }
  if (target.draining) {
    return "draining";
  }
  return target.usable ? "serving" : "joining";
}

ordered_json EntryJson(const entry_core& core, const entry_identity& entry, bool is_self) {
  ordered_json item;
  item["id"] = entry.id;
  item["role"] = "entry";
  item["incarnation"] = std::to_string(entry.incarnation);
  item["address"] = entry.peers_address;
  item["failure_domain"] = entry.failure_domain;
  item["home_of"] = ordered_json::array();
  for (const std::pair<const shard_id, shard_holder>& holder : core.store_directory().holders()) {
    if (holder.second.incarnation == entry.incarnation) {
      item["home_of"].push_back(ShardName(holder.first));
    }
  }
  if (is_self) {
    item["config_version"] = core.intent().version();
    item["ready"] = core.ready();
  }
  return item;
}

void SetShardMetrics(const shard_controller& controller, metrics_registry& metrics) {
  const std::string name = ShardName(controller.shard());
  const dispatch_counts counts = controller.counts();
  metrics.Set(metric::kQueueDepth, name, counts.waiting);
  metrics.Set(metric::kTasksInFlight, name, counts.in_flight);
  metrics.Set(metric::kEjections, controller.shard().service, static_cast<double>(controller.ejections()));
  metrics.Set(metric::kRetryBudgetLeft, controller.shard().service, counts.retry_budget);
  metrics.Set(metric::kShardHome, name, controller.is_leader() ? 1 : 0);
  metrics.Set(metric::kShardEpoch, name, static_cast<double>(controller.claimed_epoch()));
}

void AddMessages(const message_counts& from, message_counts& to) {
  to.starts += from.starts;
  to.answers += from.answers;
  to.refused_starts += from.refused_starts;
  to.cancels += from.cancels;
  to.late_answers += from.late_answers;
  to.batches_sent += from.batches_sent;
  to.batches_received += from.batches_received;
}

}  // namespace

std::string TargetsJson(const entry_core& core) {
  ordered_json body;
  body["targets"] = ordered_json::array();
  for (const std::pair<const shard_id, std::unique_ptr<shard_controller>>& shard : core.shards()) {
    for (const shard_controller::target_view& target : shard.second->Targets()) {
      ordered_json item;
      item["id"] = target.agent;
      item["service"] = shard.first.service;
      item["failure_domain"] = target.failure_domain;
      item["slots"] = target.slots;
      item["in_flight"] = target.in_flight;
      item["state"] = StateName(target);
      item["agent_incarnation"] = std::to_string(target.incarnation);
      body["targets"].push_back(std::move(item));
    }
  }
  return body.dump();
}

std::string InstancesJson(const entry_core& core, const entry_identity& self) {
  ordered_json body;
  body["instances"] = ordered_json::array();
  bool listed = false;
  for (const std::pair<const std::string, entry_identity>& item : core.store_directory().entries()) {
    const bool is_self = item.second.incarnation == self.incarnation;
    listed = listed || is_self;
    body["instances"].push_back(EntryJson(core, item.second, is_self));
  }
  if (!listed) {
    body["instances"].push_back(EntryJson(core, self, true));
  }
  for (const std::pair<const session_id, agent_session>& item : core.sessions().all()) {
    ordered_json agent;
    agent["id"] = item.second.agent;
    agent["role"] = "agent";
    agent["incarnation"] = std::to_string(item.second.incarnation);
    agent["failure_domain"] = item.second.target ? item.second.target->failure_domain : "";
    agent["config_version"] = item.second.config;
    agent["ready"] = item.second.target.has_value();
    body["instances"].push_back(std::move(agent));
  }
  return body.dump();
}

void UpdateMetrics(const entry_core& core, instant now, metrics_registry& metrics) {
  message_counts messages;
  for (const std::pair<const shard_id, std::unique_ptr<shard_controller>>& shard : core.shards()) {
    SetShardMetrics(*shard.second, metrics);
    AddMessages(shard.second->messages(), messages);
  }
  metrics.Set(metric::kMessagesNecessary, "start", static_cast<double>(messages.starts));
  metrics.Set(metric::kMessagesNecessary, "answer", static_cast<double>(messages.answers));
  metrics.Set(metric::kMessagesWasted, "refused_start", static_cast<double>(messages.refused_starts));
  metrics.Set(metric::kMessagesWasted, "cancel", static_cast<double>(messages.cancels));
  metrics.Set(metric::kMessagesWasted, "late_answer", static_cast<double>(messages.late_answers));
  metrics.Set(metric::kMessagesWasted, "heartbeat_sent", static_cast<double>(core.sessions().heartbeats_sent()));
  metrics.Set(metric::kMessagesWasted, "heartbeat_received",
              static_cast<double>(core.sessions().heartbeats_received()));
  metrics.Set(metric::kSessions, "agent", static_cast<double>(core.sessions().all().size()));
  metrics.Set(metric::kConfigVersion, static_cast<double>(core.intent().version()));
  const duration age = core.store_available() ? duration(0) : now - core.store_last_answered_at();
  metrics.Set(metric::kConfigAge, static_cast<double>(age.count()) / 1e6);
  metrics.Set(metric::kReady, core.ready() ? 1 : 0);
}

}  // namespace bamboowing::detail
