// The record of run_manager's target in the key-value service, and starts of earlier processes of the agent.

#include "bamboowing/besteffort/run_manager.h"

namespace bamboowing {

void run_manager::OnRecordedTarget(const std::optional<target_incarnation>& recorded, instant now) {
  if (phase_ != phase::kUnknown || target_generation_ > 0) {
    return;  // the target has announced itself
  }
  if (!recorded) {
    // Records outlast the start requests of the processes that have written them.
    FenceEarlierStarts("no earlier process has recorded a target", now);
    return;
  }
  LogEvent("target_recorded", "", "target " + recorded->id + ", address " + recorded->address);
  recorded_target_ = recorded;
  ++target_generation_;
  target_incarnation_ = *recorded;
  actions_.emplace_back(use_target{recorded->address});
  BeginReconciliation();
}

void run_manager::RecordTarget() {
  if (settings_.record_target) {
    actions_.emplace_back(record_target{target_incarnation_});
  }
}

void run_manager::OnTargetRecorded(instant /*now*/) {
  if (!awaits_record_since_) {
    return;
  }
  awaits_record_since_.reset();
  for (std::pair<const std::string, owner>& to : owners_) {
    to.second.target_update_pending = true;
  }
}

bool run_manager::LeavesNoStarts(instant now) {
  return earlier_starts_fenced_ && pending_starts_.empty() && unsettled_starts_.Keys(now).empty();
}

void run_manager::ExpireRecordWait(instant now) {
  if (awaits_record_since_ && now - *awaits_record_since_ >= settings_.record_wait) {
    LogEvent("target_not_recorded", "", "the key-value service has not confirmed the record of the target in time");
    OnTargetRecorded(now);
  }
}

void run_manager::FenceEarlierStarts(std::string_view reason, instant now) {
  // Another target says nothing of one that is known from the record, unless it has its address.
  const bool concerned = !recorded_target_ || recorded_target_->id == target_incarnation_.id ||
                         recorded_target_->address == target_incarnation_.address;
  if (earlier_starts_fenced_ || !concerned) {
    return;
  }
  earlier_starts_fenced_ = true;
  LogEvent("earlier_starts_fenced", "",
           "target " + target_incarnation_.id + ", " + std::string(reason) + ", " +
               std::to_string((now - started_at_).count() / 1000) + " ms after the start of the agent");
  for (std::pair<const std::string, owner>& to : owners_) {
    to.second.target_update_pending = true;
  }
}

}  // namespace bamboowing
