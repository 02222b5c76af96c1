#include "bamboowing/ownership/shard_record.h"

#include <nlohmann/json.hpp>

namespace bamboowing {
namespace {

using nlohmann::json;

json AgentsToJson(const std::vector<recorded_agent>& agents) {
  json list = json::array();
  for (const recorded_agent& agent : agents) {
    list.push_back({{"id", agent.id}, {"life", agent.life}});
  }
  return list;
}

std::vector<recorded_agent> AgentsFromJson(const json& list) {
  std::vector<recorded_agent> agents;
  for (const json& item : list) {
    agents.push_back({item.at("id").get<std::string>(), item.at("life").get<incarnation_id>()});
  }
  return agents;
}

// Calls @p read on the parsed text; turns what the JSON library throws into a failure.
template <typename T, typename F>
std::optional<T> Decode(std::string_view text, failure& reason, F read) {
  const json document = json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    reason = failure(error_kind::kInvalidJson, "the value in the store is not JSON");
    return std::nullopt;
  }
  try {
    return read(document);
  } catch (const json::exception& error) {
    reason = failure(error_kind::kInvalidField, error.what());
    return std::nullopt;
  }
}

}  // namespace

std::string ShardRecordKey(const shard_id& shard) {
  return "shards/" + shard.service + "/" + std::to_string(shard.index);
}

std::string ShardHolderKey(const shard_id& shard) { return ShardRecordKey(shard) + "/holder"; }

std::string EncodeShardRecord(const shard_record& record) {
  const json document = {{"home", record.home},
                         {"life", record.life},
                         {"addresses", record.addresses},
                         {"epoch", record.shard_epoch},
                         {"released", record.released},
                         {"agents", AgentsToJson(record.agents)},
                         {"lost", AgentsToJson(record.lost)},
                         {"write_id", record.write_id}};
  return document.dump();
}

std::optional<shard_record> DecodeShardRecord(std::string_view text, failure& reason) {
  return Decode<shard_record>(text, reason, [](const json& document) {
    shard_record record;
    record.home = document.at("home").get<std::string>();
    record.life = document.at("life").get<incarnation_id>();
    record.addresses = document.at("addresses").get<std::vector<std::string>>();
    record.shard_epoch = document.at("epoch").get<epoch>();
    record.released = document.at("released").get<bool>();
    record.agents = AgentsFromJson(document.at("agents"));
    record.lost = AgentsFromJson(document.at("lost"));
    record.write_id = document.at("write_id").get<std::string>();
    return record;
  });
}

std::string EncodeShardHolder(const shard_holder& holder) {
  const json document = {{"home", holder.home},
                         {"life", holder.life},
                         {"addresses", holder.addresses},
                         {"epoch", holder.shard_epoch},
                         {"write_id", holder.write_id}};
  return document.dump();
}

std::optional<shard_holder> DecodeShardHolder(std::string_view text, failure& reason) {
  return Decode<shard_holder>(text, reason, [](const json& document) {
    shard_holder holder;
    holder.home = document.at("home").get<std::string>();
    holder.life = document.at("life").get<incarnation_id>();
    holder.addresses = document.at("addresses").get<std::vector<std::string>>();
    holder.shard_epoch = document.at("epoch").get<epoch>();
    holder.write_id = document.at("write_id").get<std::string>();
    return holder;
  });
}

}  // namespace bamboowing
