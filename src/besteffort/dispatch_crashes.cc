// Tasks of dispatch_core under which targets have crashed.

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "bamboowing/besteffort/dispatch_core.h"

namespace bamboowing {
namespace {

// Share of the usable targets that are reserved for exclusive runs at a time, so that other jobs keep the rest.
constexpr std::size_t kReservedShare = 4;
// Exclusive runs that wait for the same target, so that it is drained once for several of them.
constexpr std::uint32_t kMaxExclusiveRuns = 4;

}  // namespace

failure CrashFailure() {
  return failure(error_kind::kTargetLost, not_run_state::kNo,
                 "targets have repeatedly crashed during the same task of the job");
}

void dispatch_core::RecordCrash(const crash_record& crash, instant now) {
  const std::vector<crashed_task> added = crashes_.Add(crash, now);
  if (added.empty()) {
    return;
  }
  LogEvent("target_crashed", "",
           "target " + crash.target + " started at " + std::to_string(crash.start_id) + ", agent " + crash.agent +
               ", new tasks " + std::to_string(added.size()));
  std::set<std::string> given_up;
  for (const crashed_task& crashed : added) {
    const job_map::const_iterator job = jobs_.find(crashed.task.job_id);
    if (job != jobs_.end() && crashes_.IsCrashing(crashed.task) && !IsDone(*job->second, crashed.task)) {
      given_up.insert(crashed.task.job_id);
    }
  }
  for (const std::string& id : given_up) {
    const job_map::iterator found = jobs_.find(id);
    if (found == jobs_.end() || found->second->answered) {
      continue;
    }
    LogEvent("job_given_up", id, "target " + crash.target + " crashed");
    Answer(*found->second, job_verdict::kFailed, CrashFailure());
    StopRuns(*found->second, now);
    EraseIfFinished(id);
  }
}

crashed_task dispatch_core::CrashedTask(const run_map::value_type& run, const open_job& job) {
  crash_evidence evidence = crash_evidence::kMayHaveRun;
  if (run.second.settled) {
    evidence = run.second.exclusive ? crash_evidence::kRanAlone : crash_evidence::kRan;
  }
  return {{run.first.job_id, run.first.step, run.first.index}, job.queue.name, evidence};
}

bool dispatch_core::IsDone(const open_job& job, const task_name& task) {
  return std::any_of(job.tasks.begin(), job.tasks.end(), [&task](const job_task& item) {
    return item.step == task.step && item.index == task.index && item.state == task_state::kDone;
  });
}

void dispatch_core::RecordReplacedTarget(fleet_target& at, const target_description& reported, incarnation_id reporter,
                                         instant now) {
  if (reported.id.empty()) {
    return;
  }
  const target_description before = std::exchange(at.known_target, reported);
  std::vector<crashed_task> tasks = std::exchange(at.unconfirmed_tasks, {});
  if (before.id == reported.id && before.start_id == reported.start_id) {
    return;
  }
  if (!before.id.empty() && !before.leaving) {
    for (const run_map::value_type& item : runs_) {
      const job_map::const_iterator job = jobs_.find(item.first.job_id);
      // The agent process that saw the crash records it itself, and knows better which runs had been accepted.
      const bool of_predecessor = item.second.agent_incarnation != reporter;
      if (item.second.target == at.index && item.second.target_generation == at.target_generation && of_predecessor &&
          job != jobs_.end()) {
        tasks.push_back(CrashedTask(item, *job->second));
      }
    }
    RecordCrash({at.agent, before.id, before.start_id, duration(0), std::move(tasks)}, now);
  }
  ++at.target_generation;
}

void dispatch_core::KeepUnconfirmedTasks(fleet_target& target, bool all_incarnations) const {
  for (const run_map::value_type& item : runs_) {
    const job_map::const_iterator job = jobs_.find(item.first.job_id);
    const bool at_target = item.second.target == target.index &&
                           item.second.target_generation == target.target_generation &&
                           (all_incarnations || item.second.agent_incarnation != target.agent_incarnation);
    if (at_target && job != jobs_.end() && target.unconfirmed_tasks.size() < crash_ledger::kMaxTasks) {
      // Whether the run was still active when the target crashed, if it did, is not known.
      crashed_task unconfirmed = CrashedTask(item, *job->second);
      unconfirmed.evidence = crash_evidence::kMayHaveRun;
      target.unconfirmed_tasks.push_back(std::move(unconfirmed));
    }
  }
}

bool dispatch_core::IsSuspect(const open_job& job, const job_task& task) const {
  if (crashes_.size() == 0) {
    return false;
  }
  // A single crash counts against its tasks only while another task shows that tasks crash targets. Otherwise all tasks
  // that are lost with a target would wait for targets of their own.
  const std::uint32_t crashes = crashes_.CrashesOf({job.spec.id, task.step, task.index});
  return crashes > 1 || (crashes == 1 && crashes_.HasRecentRepetition(last_now_));
}

bool dispatch_core::MayReserveTarget(const std::string& service, instant now) const {
  std::size_t usable = 0;
  std::size_t reserved = 0;
  for (const std::pair<const std::string, fleet_target>& item : fleet_.all()) {
    if (item.second.description.service != service) {
      continue;
    }
    usable += fleet_.IsUsable(item.second, now) ? 1 : 0;
    const bool exclusive = item.second.exclusive || item.second.own_exclusive_runs > 0;
    reserved += exclusive && item.second.session != 0 ? 1 : 0;
  }
  return reserved < std::max<std::size_t>(1, usable / kReservedShare);
}

dispatch_core::target_choice dispatch_core::ChooseExclusiveTarget(const open_job& job, const job_task& task,
                                                                  instant now) {
  const job_step& step = job.spec.steps[task.step];
  const bool may_reserve = MayReserveTarget(job.queue.service, now);
  fleet_target* best = nullptr;
  double least = std::numeric_limits<double>::max();
  for (std::pair<const std::string, fleet_target>& item : fleet_.all()) {
    fleet_target& target = item.second;
    const bool avoided = task.avoided_target == target.index && fleet_.HasOtherTarget(target);
    const bool reserved_here = target.own_exclusive_runs > 0;
    const bool reserved_elsewhere = target.exclusive && !reserved_here;
    if (avoided || reserved_elsewhere || (!reserved_here && !may_reserve) ||
        target.own_exclusive_runs >= kMaxExclusiveRuns || !IsEligible(job, task, target) ||
        !fleet_.IsUsable(target, now) || !FitsWithin(step.need, {}, target.description.capacity)) {
      continue;
    }
    // A reserved target counts as busier than any other, so that suspects are spread over the allowed targets first.
    const double load = reserved_here ? 1 + target.own_exclusive_runs : target.Utilization();
    if (load < least) {
      least = load;
      best = &target;
    }
  }
  if (best == nullptr) {
    return {};
  }
  return {best, EstimateOf(job, task.step).mean_us / fleet_.RelativeSpeed(*best)};
}

}  // namespace bamboowing
