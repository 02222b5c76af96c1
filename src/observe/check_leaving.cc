#include <map>
#include <optional>
#include <set>
#include <utility>

#include "invariant_context.h"

namespace bamboowing::detail {
namespace {

/// Reasons why a target is leaving, each with the index of the first event that reports it.
struct leaving_state {
  /// target_left at the agent, until the target is announced again.
  std::optional<std::size_t> left;
  /// target_draining at the agent, until the operators end the drain (target_resumed).
  std::optional<std::size_t> drained;
  /// target_draining at an entry, until the agent announces or resumes the target.
  std::optional<std::size_t> entry_drained;
  /// process_draining, by process. It is never cleared, because a draining process exits.
  std::map<std::size_t, std::size_t> draining_process;

  /// Returns the earliest event after which the target must receive no new work.
  std::optional<std::size_t> LeavingSince(std::size_t process) const {
    std::optional<std::size_t> first;
    const std::map<std::size_t, std::size_t>::const_iterator found = draining_process.find(process);
    const std::optional<std::size_t> own =
        found == draining_process.end() ? std::nullopt : std::optional<std::size_t>(found->second);
    for (const std::optional<std::size_t>& one : {left, drained, entry_drained, own}) {
      first = one && (!first || *one < *first) ? one : first;
    }
    return first;
  }
};

void SetIfEmpty(std::optional<std::size_t>& event_index, std::size_t index) {
  if (!event_index) {
    event_index = index;
  }
}

class leaving_check {
 public:
  explicit leaving_check(check_context& context) : context_(context) {
    for (const timeline_process& process : context.all.processes) {
      if (process.identity.role == "agent") {
        agents_.insert(process.identity.id);
      }
    }
  }

  void Run() {
    for (std::size_t i = 0; i < context_.all.entries.size(); ++i) {
      const std::optional<std::string> target = TargetOf(context_.At(i));
      if (target) {
        Apply(i, targets_[*target]);
      }
    }
  }

 private:
  /// The agent that the event is about: the recording agent, or the agent that an entry names as peer.
  std::optional<std::string> TargetOf(const timeline_entry& entry) const {
    const process_identity& recorder = context_.all.processes[entry.process].identity;
    if (recorder.role == "agent") {
      return recorder.id;
    }
    return agents_.count(entry.record.peer) != 0 ? std::optional<std::string>(entry.record.peer) : std::nullopt;
  }

  void Apply(std::size_t index, leaving_state& state) {
    const timeline_entry& entry = context_.At(index);
    if (context_.all.processes[entry.process].identity.role == "agent") {
      ApplyAgentEvent(index, entry, state);
    } else if (entry.record.kind == event_kind::kTargetDraining) {
      // An entry's target_left only means that this entry lost the agent, which may still serve another entry.
      CountIfNewlyLeaving(state, entry.process);
      SetIfEmpty(state.entry_drained, index);
    }
  }

  void ApplyAgentEvent(std::size_t index, const timeline_entry& entry, leaving_state& state) {
    switch (entry.record.kind) {
      case event_kind::kTargetLeft:
        CountIfNewlyLeaving(state, entry.process);
        SetIfEmpty(state.left, index);
        break;
      case event_kind::kTargetDraining:
        CountIfNewlyLeaving(state, entry.process);
        SetIfEmpty(state.drained, index);
        break;
      case event_kind::kProcessDraining:
        CountIfNewlyLeaving(state, entry.process);
        state.draining_process.emplace(entry.process, index);
        break;
      case event_kind::kTargetAnnounced:
        state.left.reset();
        state.entry_drained.reset();
        break;
      case event_kind::kTargetResumed:
        state.drained.reset();
        state.entry_drained.reset();
        break;
      case event_kind::kTaskStarted:
        CheckStart(index, state);
        break;
      default:
        break;
    }
  }

  void CountIfNewlyLeaving(const leaving_state& state, std::size_t process) {
    context_.report.leaving_targets += state.LeavingSince(process) ? 0 : 1;
  }

  void CheckStart(std::size_t index, const leaving_state& state) {
    const timeline_entry& start = context_.At(index);
    const std::optional<std::size_t> since = state.LeavingSince(start.process);
    if (!since || start.at - context_.At(*since).at <= context_.settings.leaving_bound) {
      return;
    }
    context_.Add(invariant::kLateStart, {*since, index},
                 DescribeWork(start.record.job_id, start.record.task) + " started, " + context_.ProcessAndTime(index) +
                     ", on a target that has been leaving since " + context_.ProcessAndTime(*since));
  }

  check_context& context_;
  std::set<std::string> agents_;
  std::map<std::string, leaving_state> targets_;
};

}  // namespace

void CheckLeavingTargets(check_context& context) { leaving_check(context).Run(); }

}  // namespace bamboowing::detail
