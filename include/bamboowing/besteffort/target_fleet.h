/// @file
/// What an entry knows of the targets that it may start tasks on.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/dispatch/target_health.h"
#include "bamboowing/dispatch/target_table.h"
#include "bamboowing/message/batch.h"

namespace bamboowing {

/// One agent and the target beside it, as an entry sees them.
struct fleet_target {
  std::string agent;
  target_index index = kNoTarget;  ///< stable; numbers of targets that are gone are used again
  incarnation_id life = 0;         ///< of the agent; 0 until its first report
  session_id session = 0;          ///< 0 while there is none
  target_description description;
  bool known = false;        ///< whether `description` was reported in this session
  resource_amount reported;  ///< committed at the target by the newest report
  /// Starts sent in this session that the newest report does not include, by number.
  std::deque<std::pair<std::uint64_t, resource_amount>> unreported;
  resource_amount unreported_sum;
  std::uint64_t starts_sent = 0;    ///< in this session
  std::uint64_t ends_received = 0;  ///< newest end of this life of the agent
  instant heard;                    ///< when the newest report arrived
  instant peer_clock;               ///< agent's clock in the newest report
  instant sent;                     ///< when the newest orders were sent
  instant done_at;                  ///< when the newest run of ours ended there with success
  instant refuses_until;            ///< no starts before this time, after a refusal
  speed_estimate speed;
  std::uint32_t own_runs = 0;  ///< runs of this entry there
  run_orders pending;

  /// What is committed there as far as this entry knows.
  resource_amount Committed() const {
    resource_amount sum = reported;
    AddTo(sum, unreported_sum);
    return sum;
  }
};

/// The targets of all services, by agent.
class target_fleet {
 public:
  target_fleet(const health_settings& health, std::uint64_t seed) : health_(health, seed) {}

  /// A session began. Returns the agent's older session, which the caller closes.
  std::optional<session_id> Open(session_id session, const std::string& agent, instant now);

  /// A session ended. Returns the target, or nullptr if the session is not the agent's present one.
  fleet_target* Close(session_id session);

  fleet_target* Find(session_id session);
  fleet_target* FindAgent(const std::string& agent);
  /// The target with this index, or nullptr.
  fleet_target* At(target_index index);

  /// Takes over load and description of a report. Returns whether the agent has started again since the last one.
  bool OnReport(fleet_target& target, const agent_batch& batch, instant now);

  /// Counts a start that is sent now.
  void CountStart(fleet_target& target, const resource_amount& need);

  /// Whether new runs may go there, room aside.
  bool Usable(const fleet_target& target, instant now) const;

  /// Speed relative to the mean of the known targets of all services.
  double RelativeSpeed(const fleet_target& target) const;
  void ObserveSpeed(fleet_target& target, double log_ratio);

  /// Forgets targets without a session that were heard last before @p before and run nothing of ours.
  void ForgetSilent(instant before);

  /// Agents with a session.
  std::size_t sessions() const { return sessions_.size(); }

  target_health& health() { return health_; }
  std::map<std::string, fleet_target>& all() { return by_agent_; }
  const std::map<std::string, fleet_target>& all() const { return by_agent_; }

 private:
  /// A target that was silent for this long receives nothing new.
  static constexpr duration kSuspectAfter = std::chrono::milliseconds(450);

  std::map<std::string, fleet_target> by_agent_;
  std::map<session_id, std::string> sessions_;
  std::vector<std::string> by_index_;  ///< agent of each index; empty if unused
  target_health health_;
  double log_speeds_ = 0;  ///< sum over all targets
};

}  // namespace bamboowing
