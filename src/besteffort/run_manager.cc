#include "bamboowing/besteffort/run_manager.h"

#include <algorithm>
#include <utility>

#include "bamboowing/besteffort/job.h"

namespace bamboowing {
namespace {

run_outcome OutcomeOfRefusal(request_status result) {
  switch (result) {
    case request_status::kNoRoom:
      return run_outcome::kNoRoom;
    case request_status::kStaleAttempt:
      return run_outcome::kStaleAttempt;
    case request_status::kLeaseExpired:
    case request_status::kOtherIncarnation:
    case request_status::kConnectionRefused:
      return run_outcome::kLost;
    default:
      return run_outcome::kUnavailable;
  }
}

std::string Milliseconds(duration time) { return std::to_string(time.count() / 1000) + " ms"; }

}  // namespace

std::string_view run_manager::RunStateName(run_state state) {
  switch (state) {
    case run_state::kWaiting:
      return "waiting";
    case run_state::kStarting:
      return "starting";
    case run_state::kUnconfirmed:
      return "unconfirmed";
    case run_state::kRunning:
      return "running";
    case run_state::kStopping:
      break;
  }
  return "stopping";
}

run_manager::run_manager(const run_manager_settings& settings, std::uint64_t seed, instant now)
    : settings_(settings),
      sessions_(settings.agent, seed, now),
      selection_(settings.agent.id, settings.selection),
      token_(settings.first_token),
      token_step_(1),
      started_at_(now),
      unsettled_starts_(settings.max_request_delay),
      last_now_(now) {}

void run_manager::LogEvent(std::string event, const std::string& job_id, std::string detail) {
  actions_.emplace_back(log_run_event{std::move(event), job_id, std::move(detail)});
}

void run_manager::Admit(const std::string& entry, const run_start& start, instant view_at, instant now) {
  if (const run_map::iterator present = runs_.find(start.key); present != runs_.end()) {
    HandleRepeatedRun(present, entry, now);
    return;
  }
  managed_run run;
  run.start = start;
  run.owner = entry;
  run.state_since = now;
  const run_map::iterator added = runs_.emplace(start.key, std::move(run)).first;
  AddTo(waiting_amount_, start.need);
  // A resumed entry may act on outdated reports; its callers may already have retried elsewhere.
  const owner& from = owners_[entry];
  const bool stale = now - view_at >= settings_.max_report_age;
  if (StartsForbidden()) {
    EndRun(added, run_outcome::kUnavailable,
           evacuation_.known() ? "the failure domain is evacuated" : "the evacuations are not known yet", now);
    return;
  }
  if (!accepting() || stale || from.released_at) {
    EndRun(added, run_outcome::kUnavailable, stale ? "the entry's view is outdated" : "no starts are accepted", now);
    return;
  }
  if (!FitsWithin(start.need, {}, target_.capacity)) {
    EndRun(added, run_outcome::kNoRoom, "larger than the target", now);
    return;
  }
  if (!start.exclusive && !FitsBesideOthers(added->second) && ExpectedWait(added->second) > start.start_within) {
    EndRun(added, run_outcome::kNoRoom, "no free capacity is expected in time", now);
    return;
  }
  InsertWaiting(start.key, added->second);
}

std::string run_manager::DescribeRun(const run_key& key, const managed_run& run, instant now) const {
  std::string text = "task " + std::to_string(key.step) + "." + std::to_string(key.index) + " attempt " +
                     std::to_string(key.attempt) + ", " + std::string(RunStateName(run.state)) + " for " +
                     Milliseconds(now - run.state_since) + ", entry " + run.owner + ", start requests " +
                     std::to_string(run.start_requests) + ", without response " +
                     std::to_string(run.start_requests - run.start_responses);
  if (run.start_requests > 0) {
    text += ", the newest " + Milliseconds(now - run.last_start_request_at) + " ago";
  }
  text += HasPendingStart(key) ? ", one pending" : "";
  text +=
      run.accepted_at == instant{} ? ", never accepted" : ", accepted " + Milliseconds(now - run.accepted_at) + " ago";
  text += run.stop_accepted_at ? ", stop accepted " + Milliseconds(now - *run.stop_accepted_at) + " ago" : "";
  text += run.may_run_until ? ", the target was lost or restarted" : "";
  return text + ", contact with the entry " + Milliseconds(now - LastContact(run.owner)) + " ago";
}

instant run_manager::LastContact(const std::string& entry) const {
  const std::map<std::string, owner>::const_iterator found = owners_.find(entry);
  return found == owners_.end() ? instant{} : found->second.last_contact_at;
}

void run_manager::EndRun(run_map::iterator run, run_outcome outcome, std::string_view reason, instant now) {
  managed_run& ended = run->second;
  // A run that was sent to the target and has no result there: the entry may start its task again.
  if (ended.state != run_state::kWaiting &&
      (outcome == run_outcome::kLost || outcome == run_outcome::kStopped || outcome == run_outcome::kUnknown)) {
    LogEvent(
        "run_released", run->first.job_id,
        std::string(RunOutcomeName(outcome)) + ", " + std::string(reason) + ": " + DescribeRun(run->first, ended, now));
  }
  SubtractFrom(ended.state == run_state::kWaiting ? waiting_amount_ : committed_at_target_, ended.start.need);
  run_result end;
  end.key = run->first;
  end.outcome = outcome;
  end.start_unanswered = IsUnsettled(ended, now);
  const bool ran = outcome == run_outcome::kDone || outcome == run_outcome::kFailed;
  if (ran) {
    end_interval_.OnEvent(now);
  }
  if (ran && ended.accepted_at != instant{}) {
    end.run_time = now - ended.accepted_at;
  }
  if (outcome == run_outcome::kUnknown) {
    ReportUnknown(run->first, now);
    runs_.erase(run);
    return;
  }
  AddResult(ended.owner, std::move(end));
  for (const std::string& entry : ended.later_owners) {
    // The attempt is used up at the target, so the entry continues with a higher one.
    AddResult(entry, {0, run->first, run_outcome::kStaleAttempt, duration(0)});
  }
  runs_.erase(run);
}

void run_manager::HandleRepeatedRun(run_map::iterator run, const std::string& entry, instant now) {
  managed_run& present = run->second;
  if (present.owner == entry) {
    return;
  }
  LogEvent("run_requested_twice", run->first.job_id, "entry " + entry + ", " + DescribeRun(run->first, present, now));
  present.later_owners.insert(entry);
  if (present.state == run_state::kWaiting) {
    EndRun(run, run_outcome::kStopped, "requested by another entry", now);
  } else {
    RequestStop(present, now);
  }
}

void run_manager::AddResult(const std::string& entry, run_result result) {
  owner& to = owners_[entry];
  result.sequence = ++to.last_result_number;
  to.unacknowledged_results.push_back(std::move(result));
}

void run_manager::EndRunsOfTarget(run_outcome outcome, std::string_view reason, instant now) {
  for (run_map::iterator run = runs_.begin(); run != runs_.end();) {
    const run_map::iterator ending = run++;
    const bool waiting = ending->second.state == run_state::kWaiting;
    if (waiting || ending->second.target_generation == target_generation_) {
      EndRun(ending, waiting ? run_outcome::kUnavailable : outcome, reason, now);
    }
  }
}

void run_manager::OnDrain(instant now) {
  draining_ = true;
  EndWaitingRuns("the agent drains", now);
  for (std::pair<const std::string, owner>& to : owners_) {
    to.second.target_update_pending = true;
  }
}

bool run_manager::drained() const {
  const bool all_received = std::all_of(
      owners_.begin(), owners_.end(),
      [](const std::pair<const std::string, owner>& item) { return item.second.unacknowledged_results.empty(); });
  return draining_ && runs_.empty() && all_received;
}

void run_manager::EndWaitingRuns(std::string_view reason, instant now) {
  for (const run_key& key : std::exchange(waiting_, {})) {
    const run_map::iterator run = runs_.find(key);
    if (run != runs_.end() && run->second.state == run_state::kWaiting) {
      EndRun(run, run_outcome::kUnavailable, reason, now);
    }
  }
}

void run_manager::OnEvacuation(const evacuation_state& state, instant now) { MergeEvacuation(state, "the store", now); }

void run_manager::MergeEvacuation(const evacuation_state& state, const std::string& source, instant now) {
  if (evacuation_.Merge(state) == evacuation_change::kNone) {
    return;
  }
  LogEvent("evacuation_changed", "",
           "evacuated failure domains: [" + evacuation_.Describe() + "], revision " + std::to_string(state.revision) +
               ", from " + source + (StartsForbidden() ? ", no task is started here" : ""));
  for (std::pair<const std::string, owner>& to : owners_) {
    to.second.target_update_pending = true;
  }
  if (StartsForbidden()) {
    EndWaitingRuns("the failure domain is evacuated", now);
  }
}

void run_manager::ExpireWaitingRuns(instant now) {
  std::deque<run_key> still_waiting;
  for (const run_key& key : waiting_) {
    const run_map::iterator found = runs_.find(key);
    if (found == runs_.end() || found->second.state != run_state::kWaiting) {
      continue;
    }
    if (!TargetResponsive(now) || !capacity_known_) {
      EndRun(found, run_outcome::kUnavailable,
             capacity_known_ ? "the target does not respond" : "the target has not announced its capacity", now);
    } else if (now - found->second.state_since >= found->second.start.start_within) {
      EndRun(found, run_outcome::kNoRoom, "no free capacity in time", now);
    } else {
      still_waiting.push_back(key);
    }
  }
  waiting_ = std::move(still_waiting);
}

bool run_manager::StartsBefore(const managed_run& run, const managed_run& other) {
  if (!run.start.order || !other.start.order) {
    return false;
  }
  const auto key = [](const managed_run& waiting) {
    return std::make_pair(waiting.start.order->priority, waiting.state_since + waiting.start.order->start_slack);
  };
  return key(run) < key(other);
}

void run_manager::InsertWaiting(const run_key& key, const managed_run& run) {
  std::deque<run_key>::iterator position = waiting_.end();
  for (std::deque<run_key>::iterator before = waiting_.end(); before != waiting_.begin();) {
    --before;
    const run_map::const_iterator other = runs_.find(*before);
    if (other == runs_.end() || other->second.state != run_state::kWaiting) {
      continue;  // has ended or started
    }
    if (!StartsBefore(run, other->second)) {
      break;
    }
    position = before;
  }
  waiting_.insert(position, key);
}

duration run_manager::ExpectedWait(const managed_run& arriving) const {
  const std::size_t ahead =
      static_cast<std::size_t>(std::count_if(waiting_.begin(), waiting_.end(), [this, &arriving](const run_key& key) {
        const run_map::const_iterator run = runs_.find(key);
        return run != runs_.end() && run->second.state == run_state::kWaiting && !StartsBefore(arriving, run->second);
      }));
  return end_interval_.mean() * static_cast<std::int64_t>(ahead + 1);
}

void run_manager::StartWaitingRuns(instant now) {
  const std::optional<target_time> lease_end = LeaseEnd(now);
  if (phase_ != phase::kServing || !capacity_known_ || !lease_end || !TargetResponsive(now) ||
      !IncarnationConfirmed(now)) {
    return;
  }
  for (const run_key& key : waiting_) {
    const run_map::iterator found = runs_.find(key);
    if (found == runs_.end() || found->second.state != run_state::kWaiting || !FitsBesideOthers(found->second)) {
      continue;
    }
    managed_run& run = found->second;
    SubtractFrom(waiting_amount_, run.start.need);
    AddTo(committed_at_target_, run.start.need);
    run.state = run_state::kStarting;
    run.state_since = now;
    SendStart(key, run, *lease_end, now);
  }
}

void run_manager::SendStart(const run_key& key, managed_run& run, target_time lease_end, instant now) {
  ++run.start_requests;
  run.last_start_request_at = now;
  run.start_token = token_;
  run.target_generation = target_generation_;
  newest_start_token_ = token_;
  pending_starts_.emplace(++last_request_id_, pending_request{key, now, token_, target_generation_});
  actions_.emplace_back(send_start_request{last_request_id_, {RequestContext(), key, run.start.payload, lease_end}});
  last_lease_sent_at_ = now;
  RecordRequestSent(now);
}

bool run_manager::MayRetryStart(const managed_run& run) const {
  // A repeated request could start a run whose first request was lost.
  return run.state == run_state::kStarting && run.start_requests < settings_.max_start_requests && !StartsForbidden();
}

void run_manager::RetryStarts(instant now) {
  const std::optional<target_time> lease_end = LeaseEnd(now);
  if (phase_ != phase::kServing || !lease_end || !TargetResponsive(now)) {
    return;
  }
  for (std::pair<const run_key, managed_run>& item : runs_) {
    managed_run& run = item.second;
    if (MayRetryStart(run) && now - run.last_start_request_at >= settings_.start_retry_interval) {
      LogEvent("start_repeated", item.first.job_id, "attempt " + std::to_string(item.first.attempt));
      SendStart(item.first, run, *lease_end, now);
    }
  }
}

void run_manager::OnStartResponse(std::uint64_t request_id, const request_response& response, instant now) {
  const std::map<std::uint64_t, pending_request>::node_type pending = pending_starts_.extract(request_id);
  if (pending.empty()) {
    return;
  }
  const bool of_present_target = HandleResponse(response, pending.mapped(), now);
  if (response.status == request_status::kNoResponse) {
    late_start_until_ = std::max(late_start_until_, pending.mapped().sent_at + settings_.max_request_delay);
    RecordUnansweredStart(pending.mapped(), now);
  }
  if (const run_map::iterator run = runs_.find(pending.mapped().key); run != runs_.end()) {
    run->second.start_responses += response.status == request_status::kNoResponse ? 0 : 1;
    HandleStartResponse(run, response.status, now);
  }
  if (!of_present_target) {
    return;
  }
  if (response.status == request_status::kOtherIncarnation) {
    ReplaceTarget("a start request reached another incarnation", now);
  } else if (response.status == request_status::kConnectionRefused) {
    HandleTargetLoss("connection refused for a start request", pending.mapped().sent_at, now);
  }
}

void run_manager::HandleStartResponse(run_map::iterator run, request_status status, instant now) {
  managed_run& target_run = run->second;
  const bool retried = target_run.start_requests > 1;
  if (status == request_status::kAccepted || (retried && status == request_status::kStaleAttempt)) {
    // If a retried start is stale, an earlier request was executed; the target lists the result of the run.
    MarkAccepted(target_run, now);
    return;
  }
  if (status == request_status::kNoResponse) {
    HandleUnansweredStart(run, now);
    return;
  }
  if (!retried) {
    EndRun(run, OutcomeOfRefusal(status), "the target refused the start", now);
    return;
  }
  // An earlier request may still be executed. HandleTargetLoss() handles refused connections.
  const bool starting = target_run.state == run_state::kStarting || target_run.state == run_state::kUnconfirmed;
  if (starting && status != request_status::kConnectionRefused) {
    RequestStop(target_run, now);
  }
}

void run_manager::MarkAccepted(managed_run& run, instant now) {
  run.accepted_at = run.accepted_at == instant{} ? now : run.accepted_at;
  run.crash_counted = false;
  run.start.payload.clear();
  if (run.state == run_state::kStarting || run.state == run_state::kUnconfirmed) {
    run.state = run_state::kRunning;
    run.state_since = now;
  }
}

bool run_manager::HasPendingStart(const run_key& key) const {
  return std::any_of(
      pending_starts_.begin(), pending_starts_.end(),
      [&key](const std::pair<const std::uint64_t, pending_request>& call) { return call.second.key == key; });
}

void run_manager::HandleUnansweredStart(run_map::iterator run, instant now) {
  managed_run& target_run = run->second;
  target_run.start_unanswered_at = now;
  if (target_run.state != run_state::kStarting || HasPendingStart(run->first)) {
    return;
  }
  target_run.state = run_state::kUnconfirmed;
  target_run.state_since = now;
  poll_now_ = true;
  LogEvent("start_unanswered", run->first.job_id, "attempt " + std::to_string(run->first.attempt));
}

bool run_manager::HandleResponse(const request_response& response, const pending_request& request, instant now) {
  if (request.target_generation != target_generation_) {
    return false;
  }
  SampleClock(response.clock, now);
  if (response.status != request_status::kNoResponse) {
    RecordResponse(now);
  }
  if (response.status == request_status::kFenced) {
    HandleFenced(request.token);
  }
  return true;
}

void run_manager::HandleFenced(std::uint64_t token) {
  // A request that was overtaken by one with a higher token of this agent is refused as intended.
  if (token == token_) {
    RaiseToken();
  }
}

void run_manager::RequestStop(managed_run& run, instant now) {
  if (run.state == run_state::kStopping) {
    return;
  }
  run.state = run_state::kStopping;
  run.state_since = now;
  run.last_stop_request_at = now;
  SendStop(run.start.key, now);
}

void run_manager::SendStop(const run_key& key, instant now) {
  RecordRequestSent(now);
  pending_stops_.emplace(++last_request_id_, pending_request{key, now, token_, target_generation_});
  actions_.emplace_back(send_stop_request{last_request_id_, {RequestContext(), key}});
}

void run_manager::RetryStops(instant now) {
  if (phase_ == phase::kUnknown || phase_ == phase::kLost) {
    return;
  }
  for (std::pair<const run_key, managed_run>& item : runs_) {
    managed_run& run = item.second;
    if (run.state == run_state::kStopping && !run.stop_accepted_at &&
        now - *run.last_stop_request_at >= settings_.stop_retry_interval) {
      run.last_stop_request_at = now;
      SendStop(item.first, now);
    }
  }
}

void run_manager::OnStopResponse(std::uint64_t request_id, const request_response& response, instant now) {
  const std::map<std::uint64_t, pending_request>::node_type pending = pending_stops_.extract(request_id);
  if (pending.empty()) {
    return;
  }
  if (!HandleResponse(response, pending.mapped(), now)) {
    return;
  }
  if (response.status == request_status::kOtherIncarnation) {
    ReplaceTarget("a stop request reached another incarnation", now);
    return;
  }
  if (response.status == request_status::kConnectionRefused) {
    HandleTargetLoss("connection refused for a stop request", pending.mapped().sent_at, now);
    return;
  }
  const run_map::iterator run = runs_.find(pending.mapped().key);
  if (run == runs_.end() || run->second.state != run_state::kStopping) {
    return;
  }
  if (response.status == request_status::kAccepted || response.status == request_status::kStaleAttempt) {
    run->second.stop_accepted_at = now;
    poll_now_ = true;
  }
}

void run_manager::Advance(instant now) {
  last_now_ = now;
  MaintainSessions(now);
  AdoptCandidate(now);
  UpdateCapacityKnown(now);
  ExpireRecordWait(now);
  ExpireOwners(now);
  EndUnsettledRunsOfLostTargets(now);
  ExpireUnleasedRuns(now);
  ExpireWaitingRuns(now);
  StartWaitingRuns(now);
  RetryStarts(now);
  RetryStops(now);
  SchedulePoll(now);
  SendReports(now);
}

}  // namespace bamboowing
