#include "bamboowing/wire/codec.h"
#include "convert.h"
#include "runs_codec.h"

namespace bamboowing {
namespace detail {

void WriteKey(const task_key& key, rpc::TaskKey::Builder out) {
  out.setJobId(key.job_id);
  out.setTask(key.task);
  out.setAttempt(key.attempt);
}

task_key ReadKey(rpc::TaskKey::Reader in) { return {ToString(in.getJobId()), in.getTask(), in.getAttempt()}; }

void WriteTexts(const std::vector<std::string>& texts, capnp::List<capnp::Text>::Builder out) {
  unsigned i = 0;
  for (const std::string& text : texts) {
    out.set(i++, text.c_str());
  }
}

std::vector<std::string> ReadTexts(capnp::List<capnp::Text>::Reader in) {
  std::vector<std::string> texts;
  texts.reserve(in.size());
  for (capnp::Text::Reader text : in) {
    texts.push_back(ToString(text));
  }
  return texts;
}

namespace {

void WriteHeader(const batch_header& header, rpc::BatchHeader::Builder out) {
  out.setSender(header.sender);
  out.setLife(header.incarnation);
  out.setSentAtUs(ToMicros(header.sent_at));
  out.setEchoUs(ToMicros(header.echo));
  out.setEchoLife(header.echo_incarnation);
  out.setConfig(header.config);
  out.setShardEpoch(header.shard_epoch);
}

batch_header ReadHeader(rpc::BatchHeader::Reader in) {
  batch_header header;
  header.sender = ToString(in.getSender());
  header.incarnation = in.getLife();
  header.sent_at = ToInstant(in.getSentAtUs());
  header.echo = ToInstant(in.getEchoUs());
  header.echo_incarnation = in.getEchoLife();
  header.config = in.getConfig();
  header.shard_epoch = in.getShardEpoch();
  return header;
}

void WriteKeys(const std::vector<task_key>& keys, capnp::List<rpc::TaskKey>::Builder out) {
  unsigned i = 0;
  for (const task_key& key : keys) {
    WriteKey(key, out[i++]);
  }
}

void WriteStarts(const std::vector<start_task>& starts, capnp::List<rpc::StartTask>::Builder out) {
  unsigned i = 0;
  for (const start_task& start : starts) {
    rpc::StartTask::Builder item = out[i++];
    WriteKey(start.key, item.initKey());
    item.setPayload(ToData(start.payload));
    item.setTimeLimitUs(start.time_limit.count());
    item.setIdempotent(start.idempotent);
  }
}

void WriteAnswers(const std::vector<task_answer>& answers, capnp::List<rpc::TaskAnswer>::Builder out) {
  unsigned i = 0;
  for (const task_answer& answer : answers) {
    rpc::TaskAnswer::Builder item = out[i++];
    WriteKey(answer.key, item.initKey());
    item.setStatus(static_cast<std::uint8_t>(answer.status));
    item.setResult(ToData(answer.result));
    item.setRunTimeUs(answer.run_time.count());
  }
}

void WriteRefusals(const std::vector<task_refusal>& refusals, capnp::List<rpc::TaskRefusal>::Builder out) {
  unsigned i = 0;
  for (const task_refusal& refusal : refusals) {
    rpc::TaskRefusal::Builder item = out[i++];
    WriteKey(refusal.key, item.initKey());
    item.setKind(static_cast<std::uint8_t>(refusal.kind));
  }
}

void WriteInventory(const std::vector<held_task>& inventory, capnp::List<rpc::HeldTask>::Builder out) {
  unsigned i = 0;
  for (const held_task& held : inventory) {
    rpc::HeldTask::Builder item = out[i++];
    WriteKey(held.key, item.initKey());
    item.setState(static_cast<std::uint8_t>(held.state));
  }
}

bool ReadAnswers(capnp::List<rpc::TaskAnswer>::Reader in, std::vector<task_answer>& answers) {
  for (rpc::TaskAnswer::Reader item : in) {
    const std::optional<task_status> status = ToEnum(item.getStatus(), task_status::kLost);
    if (!status) {
      return false;
    }
    answers.push_back({ReadKey(item.getKey()), *status, ToString(item.getResult()), duration(item.getRunTimeUs())});
  }
  return true;
}

bool ReadRefusals(capnp::List<rpc::TaskRefusal>::Reader in, std::vector<task_refusal>& refusals) {
  for (rpc::TaskRefusal::Reader item : in) {
    const std::optional<error_kind> kind = ToEnum(item.getKind(), error_kind::kInternal);
    if (!kind) {
      return false;
    }
    refusals.push_back({ReadKey(item.getKey()), *kind});
  }
  return true;
}

bool ReadInventory(capnp::List<rpc::HeldTask>::Reader in, std::vector<held_task>& inventory) {
  for (rpc::HeldTask::Reader item : in) {
    const std::optional<held_state> state = ToEnum(item.getState(), held_state::kReleased);
    if (!state) {
      return false;
    }
    inventory.push_back({ReadKey(item.getKey()), *state});
  }
  return true;
}

target_announcement ReadTarget(rpc::Announcement::Reader in) {
  target_announcement target;
  target.service = ToString(in.getService());
  target.failure_domain = ToString(in.getFailureDomain());
  target.slots = in.getSlots();
  target.draining = in.getDraining();
  return target;
}

}  // namespace
}  // namespace detail

void Write(const entry_batch& batch, rpc::EntryBatch::Builder out) {
  detail::WriteHeader(batch.header, out.initHeader());
  out.setService(batch.shard.service);
  out.setShardIndex(batch.shard.index);
  detail::WriteStarts(batch.starts, out.initStarts(batch.starts.size()));
  detail::WriteKeys(batch.cancels, out.initCancels(batch.cancels.size()));
  detail::WriteTexts(batch.released_jobs, out.initReleasedJobs(batch.released_jobs.size()));
  detail::WriteTexts(batch.fetch_jobs, out.initFetchJobs(batch.fetch_jobs.size()));
  out.setClaim(batch.claim);
  out.setStatusQuery(batch.status_query);
  out.setDraining(batch.draining);
  detail::WriteTexts(batch.entries, out.initEntries(batch.entries.size()));
  out.setHeartbeatIntervalUs(batch.heartbeat_interval.count());
  detail::WriteRunRequests(batch.runs, out.initRuns());
}

void Write(const agent_batch& batch, rpc::AgentBatch::Builder out) {
  detail::WriteHeader(batch.header, out.initHeader());
  out.setShardService(batch.shard.service);
  out.setShardIndex(batch.shard.index);
  out.setHasTarget(batch.target.has_value());
  if (batch.target) {
    rpc::Announcement::Builder target = out.initTarget();
    target.setService(batch.target->service);
    target.setFailureDomain(batch.target->failure_domain);
    target.setSlots(batch.target->slots);
    target.setDraining(batch.target->draining);
  }
  out.setBusySlots(batch.busy_slots);
  detail::WriteAnswers(batch.answers, out.initAnswers(batch.answers.size()));
  detail::WriteRefusals(batch.refusals, out.initRefusals(batch.refusals.size()));
  detail::WriteInventory(batch.inventory, out.initInventory(batch.inventory.size()));
  out.setInventoryOf(batch.inventory_of);
  out.setStatusReply(batch.status_reply);
  detail::WriteReport(batch.runs, out.initRuns());
}

std::optional<entry_batch> Read(rpc::EntryBatch::Reader in) {
  entry_batch batch;
  batch.header = detail::ReadHeader(in.getHeader());
  batch.shard = {detail::ToString(in.getService()), in.getShardIndex()};
  for (rpc::StartTask::Reader item : in.getStarts()) {
    batch.starts.push_back({detail::ReadKey(item.getKey()), detail::ToString(item.getPayload()),
                            duration(item.getTimeLimitUs()), item.getIdempotent()});
  }
  for (rpc::TaskKey::Reader item : in.getCancels()) {
    batch.cancels.push_back(detail::ReadKey(item));
  }
  batch.released_jobs = detail::ReadTexts(in.getReleasedJobs());
  batch.fetch_jobs = detail::ReadTexts(in.getFetchJobs());
  batch.claim = in.getClaim();
  batch.status_query = in.getStatusQuery();
  batch.draining = in.getDraining();
  batch.entries = detail::ReadTexts(in.getEntries());
  batch.heartbeat_interval = duration(in.getHeartbeatIntervalUs());
  batch.runs = detail::ReadRunRequests(in.getRuns());
  return batch;
}

std::optional<agent_batch> Read(rpc::AgentBatch::Reader in) {
  agent_batch batch;
  batch.header = detail::ReadHeader(in.getHeader());
  batch.shard = {detail::ToString(in.getShardService()), in.getShardIndex()};
  if (in.getHasTarget()) {
    batch.target = detail::ReadTarget(in.getTarget());
  }
  batch.busy_slots = in.getBusySlots();
  batch.inventory_of = in.getInventoryOf();
  batch.status_reply = in.getStatusReply();
  const bool valid =
      detail::ReadAnswers(in.getAnswers(), batch.answers) && detail::ReadRefusals(in.getRefusals(), batch.refusals) &&
      detail::ReadInventory(in.getInventory(), batch.inventory) && detail::ReadReport(in.getRuns(), batch.runs);
  if (!valid) {
    return std::nullopt;
  }
  return batch;
}

}  // namespace bamboowing
