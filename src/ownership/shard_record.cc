#include "bamboowing/ownership/shard_record.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "bamboowing/base/address.h"
#include "bamboowing/base/json_reader.h"

namespace bamboowing {
namespace {

using nlohmann::json;

json AgentsToJson(const std::vector<recorded_agent>& agents) {
  json list = json::array();
  for (const recorded_agent& agent : agents) {
    list.push_back({{"id", agent.id}, {"life", agent.incarnation}});
  }
  return list;
}

std::vector<recorded_agent> AgentsFromJson(const json& list) {
  std::vector<recorded_agent> agents;
  for (const json& item : list) {
    agents.push_back({item.at("id").get<std::string>(), WholeNumberAt(item, "life", UINT64_MAX)});
  }
  return agents;
}

// Throws if one of the addresses is malformed.
void RequireRemoteAddresses(const std::vector<std::string>& addresses) {
  for (const std::string& address : addresses) {
    failure error;
    if (!ParseRemoteEndpoint(address, error)) {
      throw std::invalid_argument(error.reason);
    }
  }
}

// Calls @p read on the parsed text and converts its exceptions to a failure.
template <typename T, typename F>
std::optional<T> Decode(std::string_view text, failure& error, F read) {
  const std::optional<json> document = ParseJson(text, error);
  if (!document) {
    error.reason = "the value in the key-value store is not readable: " + error.reason;
    return std::nullopt;
  }
  try {
    return read(*document);
  } catch (const std::exception& exception) {
    error = failure(error_kind::kInvalidField, exception.what());
    return std::nullopt;
  }
}

}  // namespace

std::string ShardRecordKey(const shard_id& shard) {
  return "shards/" + shard.service + "/" + std::to_string(shard.index);
}

std::string ShardHolderKey(const shard_id& shard) { return ShardRecordKey(shard) + "/holder"; }

std::string EncodeShardRecord(const shard_record& record) {
  const json document = {{"home", record.leader},
                         {"life", record.incarnation},
                         {"addresses", record.addresses},
                         {"epoch", record.shard_epoch},
                         {"released", record.released},
                         {"agents", AgentsToJson(record.agents)},
                         {"lost", AgentsToJson(record.lost)},
                         {"write_id", record.write_id}};
  return document.dump();
}

std::optional<shard_record> DecodeShardRecord(std::string_view text, failure& error) {
  return Decode<shard_record>(text, error, [](const json& document) {
    shard_record record;
    record.leader = document.at("home").get<std::string>();
    record.incarnation = WholeNumberAt(document, "life", UINT64_MAX);
    record.addresses = document.at("addresses").get<std::vector<std::string>>();
    record.shard_epoch = WholeNumberAt(document, "epoch", UINT64_MAX);
    record.released = document.at("released").get<bool>();
    record.agents = AgentsFromJson(document.at("agents"));
    record.lost = AgentsFromJson(document.at("lost"));
    record.write_id = document.at("write_id").get<std::string>();
    return record;
  });
}

std::string EncodeShardHolder(const shard_holder& holder) {
  const json document = {{"home", holder.leader},
                         {"life", holder.incarnation},
                         {"addresses", holder.addresses},
                         {"epoch", holder.shard_epoch},
                         {"write_id", holder.write_id}};
  return document.dump();
}

std::optional<shard_holder> DecodeShardHolder(std::string_view text, failure& error) {
  return Decode<shard_holder>(text, error, [](const json& document) {
    shard_holder holder;
    holder.leader = document.at("home").get<std::string>();
    holder.incarnation = WholeNumberAt(document, "life", UINT64_MAX);
    holder.addresses = document.at("addresses").get<std::vector<std::string>>();
    RequireRemoteAddresses(holder.addresses);
    holder.shard_epoch = WholeNumberAt(document, "epoch", UINT64_MAX);
    holder.write_id = document.at("write_id").get<std::string>();
    return holder;
  });
}

}  // namespace bamboowing
