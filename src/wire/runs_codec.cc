#include "runs_codec.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace bamboowing::detail {
namespace {

// Highest priority number in messages, which add 1 to it.
constexpr std::uint32_t kMaxWirePriority = UINT32_MAX - 1;

void WriteAmount(const resource_amount& amount, rpc::ResourceAmount::Builder out) {
  out.setCpuMillicores(amount.cpu_millicores);
  out.setMemoryMb(amount.memory_mb);
  out.setAccelerators(amount.accelerators);
}

resource_amount ReadAmount(rpc::ResourceAmount::Reader in) {
  return {in.getCpuMillicores(), in.getMemoryMb(), in.getAccelerators()};
}

void WriteRunKey(const run_key& key, rpc::RunKey::Builder out) {
  out.setJobId(key.job_id);
  out.setStep(key.step);
  out.setIndex(key.index);
  out.setAttempt(key.attempt);
}

run_key ReadRunKey(rpc::RunKey::Reader in) {
  return {ToString(in.getJobId()), in.getStep(), in.getIndex(), in.getAttempt()};
}

void WriteRunKeys(const std::vector<run_key>& keys, capnp::List<rpc::RunKey>::Builder out) {
  unsigned i = 0;
  for (const run_key& key : keys) {
    WriteRunKey(key, out[i++]);
  }
}

std::vector<run_key> ReadRunKeys(capnp::List<rpc::RunKey>::Reader in) {
  std::vector<run_key> keys;
  keys.reserve(in.size());
  for (rpc::RunKey::Reader item : in) {
    keys.push_back(ReadRunKey(item));
  }
  return keys;
}

void WriteTarget(const target_description& target, rpc::TargetDescription::Builder out) {
  out.setService(target.service);
  out.setFailureDomain(target.failure_domain);
  WriteTexts(target.labels, out.initLabels(target.labels.size()));
  WriteAmount(target.capacity, out.initCapacity());
  out.setDraining(target.draining);
  out.setId(target.id);
  out.setStartId(target.start_id);
  out.setLeaving(target.leaving);
}

target_description ReadTarget(rpc::TargetDescription::Reader in) {
  return {ToString(in.getService()), ToString(in.getFailureDomain()),
          ReadTexts(in.getLabels()), ReadAmount(in.getCapacity()),
          in.getDraining(),          ToString(in.getId()),
          in.getStartId(),           in.getLeaving()};
}

void WriteCrashes(const std::vector<crash_record>& crashes, capnp::List<rpc::CrashRecord>::Builder out) {
  unsigned i = 0;
  for (const crash_record& crash : crashes) {
    rpc::CrashRecord::Builder item = out[i++];
    item.setAgent(crash.agent);
    item.setTarget(crash.target);
    item.setStartId(crash.start_id);
    item.setAgeUs(crash.age.count());
    capnp::List<rpc::CrashedTask>::Builder tasks = item.initTasks(crash.tasks.size());
    unsigned j = 0;
    for (const crashed_task& crashed : crash.tasks) {
      rpc::CrashedTask::Builder task = tasks[j++];
      task.setJobId(crashed.task.job_id);
      task.setStep(crashed.task.step);
      task.setIndex(crashed.task.index);
      task.setQueue(crashed.queue);
      task.setEvidence(static_cast<std::uint8_t>(crashed.evidence));
    }
  }
}

std::vector<crash_record> ReadCrashes(capnp::List<rpc::CrashRecord>::Reader in) {
  std::vector<crash_record> crashes;
  for (rpc::CrashRecord::Reader item : in) {
    crash_record crash{
        ToString(item.getAgent()), ToString(item.getTarget()), item.getStartId(), duration(item.getAgeUs()), {}};
    for (rpc::CrashedTask::Reader task : item.getTasks()) {
      const std::uint8_t evidence = std::min(task.getEvidence(), static_cast<std::uint8_t>(crash_evidence::kRanAlone));
      crash.tasks.push_back({{ToString(task.getJobId()), task.getStep(), task.getIndex()},
                             ToString(task.getQueue()),
                             static_cast<crash_evidence>(evidence)});
    }
    crashes.push_back(std::move(crash));
  }
  return crashes;
}

void WriteJobs(const std::vector<job_expiry>& jobs, capnp::List<rpc::JobExpiry>::Builder out) {
  unsigned i = 0;
  for (const job_expiry& job : jobs) {
    rpc::JobExpiry::Builder item = out[i++];
    item.setJobId(job.job_id);
    item.setRemainingUs(job.remaining.count());
  }
}

std::vector<job_expiry> ReadJobs(capnp::List<rpc::JobExpiry>::Reader in) {
  std::vector<job_expiry> jobs;
  jobs.reserve(in.size());
  for (rpc::JobExpiry::Reader item : in) {
    jobs.push_back({ToString(item.getJobId()), duration(item.getRemainingUs())});
  }
  return jobs;
}

/// Leaves the field unset if the state is unknown, which is read as revision 0.
template <typename Message>
void WriteEvacuation(const evacuation_state& evacuation, Message& out) {
  if (evacuation.revision == 0) {
    return;
  }
  rpc::Evacuation::Builder item = out.initEvacuation();
  item.setRevision(evacuation.revision);
  WriteTexts(evacuation.failure_domains, item.initFailureDomains(evacuation.failure_domains.size()));
}

evacuation_state ReadEvacuation(rpc::Evacuation::Reader in) {
  evacuation_state evacuation{in.getRevision(), ReadTexts(in.getFailureDomains())};
  std::sort(evacuation.failure_domains.begin(), evacuation.failure_domains.end());
  return evacuation;
}

}  // namespace

void WriteRunRequests(const run_requests& requests, rpc::RunOrders::Builder out) {
  capnp::List<rpc::RunStart>::Builder starts = out.initStarts(requests.starts.size());
  unsigned i = 0;
  for (const run_start& start : requests.starts) {
    rpc::RunStart::Builder item = starts[i++];
    WriteRunKey(start.key, item.initKey());
    item.setPayload(ToData(start.payload));
    WriteAmount(start.need, item.initNeed());
    item.setStartWithinUs(start.start_within.count());
    item.setQueue(start.queue);
    item.setExclusive(start.exclusive);
    if (start.order) {
      item.setPriority(std::min(start.order->priority, kMaxWirePriority) + 1);
      item.setStartSlackUs(start.order->start_slack.count());
    }
  }
  WriteRunKeys(requests.stops, out.initStops(requests.stops.size()));
  out.setStartsSent(requests.starts_sent);
  out.setEndsReceived(requests.results_received);
  WriteCrashes(requests.crashes, out.initCrashes(requests.crashes.size()));
  WriteJobs(requests.unrepeatable, out.initUnrepeatable(requests.unrepeatable.size()));
  WriteEvacuation(requests.evacuation, out);
}

run_requests ReadRunRequests(rpc::RunOrders::Reader in) {
  run_requests requests;
  for (rpc::RunStart::Reader item : in.getStarts()) {
    requests.starts.push_back({ReadRunKey(item.getKey()), ToString(item.getPayload()), ReadAmount(item.getNeed()),
                               duration(item.getStartWithinUs()), ToString(item.getQueue()), item.getExclusive(),
                               std::nullopt});
    if (item.getPriority() > 0) {
      requests.starts.back().order = run_order{item.getPriority() - 1, duration(item.getStartSlackUs())};
    }
  }
  requests.stops = ReadRunKeys(in.getStops());
  requests.starts_sent = in.getStartsSent();
  requests.results_received = in.getEndsReceived();
  requests.crashes = ReadCrashes(in.getCrashes());
  requests.unrepeatable = ReadJobs(in.getUnrepeatable());
  requests.evacuation = ReadEvacuation(in.getEvacuation());
  return requests;
}

void WriteReport(const run_report& report, rpc::RunReport::Builder out) {
  out.setHasTarget(report.has_target);
  if (report.has_target) {
    WriteTarget(report.target, out.initTarget());
  }
  WriteAmount(report.committed, out.initCommitted());
  out.setStartsReceived(report.starts_received);
  capnp::List<rpc::RunEnd>::Builder results = out.initEnds(report.results.size());
  unsigned i = 0;
  for (const run_result& result : report.results) {
    rpc::RunEnd::Builder item = results[i++];
    item.setNumber(result.sequence);
    WriteRunKey(result.key, item.initKey());
    const bool unknown = result.outcome == run_outcome::kUnknown;
    item.setOutcome(static_cast<std::uint8_t>(unknown ? run_outcome::kLost : result.outcome));
    item.setUnknown(unknown);
    item.setStartUnanswered(result.start_unanswered);
    item.setRunTimeUs(result.run_time.count());
  }
  out.setHasInventory(report.has_inventory);
  WriteRunKeys(report.active_runs, out.initHeld(report.active_runs.size()));
  WriteRunKeys(report.unsettled_runs, out.initUnsettled(report.unsettled_runs.size()));
  WriteCrashes(report.crashes, out.initCrashes(report.crashes.size()));
  out.setExclusive(report.exclusive);
  WriteJobs(report.unrepeatable, out.initUnrepeatable(report.unrepeatable.size()));
  WriteJobs(report.unanswered, out.initUnanswered(report.unanswered.size()));
  out.setRepliesAreContact(report.replies_are_contact);
  WriteEvacuation(report.evacuation, out);
  out.setEarlierStartsFenced(report.earlier_starts_fenced);
}

bool ReadReport(rpc::RunReport::Reader in, run_report& report) {
  report.has_target = in.getHasTarget();
  if (report.has_target) {
    report.target = ReadTarget(in.getTarget());
  }
  report.committed = ReadAmount(in.getCommitted());
  report.starts_received = in.getStartsReceived();
  for (rpc::RunEnd::Reader item : in.getEnds()) {
    const std::optional<run_outcome> outcome = ToEnum(item.getOutcome(), run_outcome::kStaleAttempt);
    if (!outcome) {
      return false;
    }
    const run_outcome reported = item.getUnknown() ? run_outcome::kUnknown : *outcome;
    report.results.push_back({item.getNumber(), ReadRunKey(item.getKey()), reported, duration(item.getRunTimeUs()),
                              item.getStartUnanswered()});
  }
  report.has_inventory = in.getHasInventory();
  report.active_runs = ReadRunKeys(in.getHeld());
  report.unsettled_runs = ReadRunKeys(in.getUnsettled());
  report.crashes = ReadCrashes(in.getCrashes());
  report.exclusive = in.getExclusive();
  report.unrepeatable = ReadJobs(in.getUnrepeatable());
  report.unanswered = ReadJobs(in.getUnanswered());
  report.replies_are_contact = in.getRepliesAreContact();
  report.evacuation = ReadEvacuation(in.getEvacuation());
  report.earlier_starts_fenced = in.getEarlierStartsFenced();
  return true;
}

}  // namespace bamboowing::detail
