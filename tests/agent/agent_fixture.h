// One agent_core with stub entries in virtual time.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "bamboowing/agent/agent_core.h"

namespace bamboowing {

inline const shard_id kShard{"defects", 0};
inline const std::string kHome = "127.0.0.1:7001";
inline const std::string kOther = "127.0.0.1:7002";

inline agent_settings RigSettings() {
  agent_settings settings;
  settings.id = "agent-1";
  settings.life = 7;
  settings.failure_domain = "hobart";
  settings.entries = {kHome, kOther};
  return settings;
}

class agent_rig {
 public:
  instant now{std::chrono::seconds(1000)};
  agent_core agent;
  std::vector<send_batch> sent;
  std::vector<run_task> runs;
  std::vector<stop_task> stops;
  std::vector<std::pair<instant, std::string>> opens;
  std::vector<std::pair<instant, std::string>> closes;
  bool accept = true;  ///< whether attempts to connect succeed

  explicit agent_rig(const agent_settings& settings = RigSettings(), std::uint64_t seed = 1)
      : agent(settings, seed, now), life_(settings.life) {
    agent.OnTargetAnnounced({"defects", "", 2, false}, now);
  }

  // Opens all sessions and lets @p address claim the shard.
  void ClaimBy(const std::string& address, epoch claimed) {
    Run(std::chrono::milliseconds(200));
    entry_batch claim = Batch(address, claimed);
    claim.claim = true;
    Deliver(address, claim);
  }

  // A batch as an entry would send it now.
  entry_batch Batch(const std::string& address, epoch known) {
    entry_batch batch;
    batch.header = {"entry@" + address, lives[address] + 1, now, clocks[address], life_, 0, known};
    batch.shard = kShard;
    return batch;
  }

  entry_batch StartBatch(const std::string& address, epoch known, const task_key& key) {
    entry_batch batch = Batch(address, known);
    batch.starts.push_back({key, "payload", std::chrono::seconds(5), false});
    return batch;
  }

  void Deliver(const std::string& address, const entry_batch& batch) {
    agent.OnBatch(address, batch, now);
    Collect();
  }

  void End(const task_key& key, task_status status = task_status::kSucceeded) {
    agent.OnTaskEnded({key, status, "result", std::chrono::milliseconds(100)}, now);
    Collect();
  }

  // Runs the agent to now + @p time; @p beat: entries send heartbeats, so that no session is silent.
  void Run(duration time, bool beat = true) {
    const instant end = now + time;
    while (now < end) {
      now += std::chrono::milliseconds(10);
      agent.OnTick(now);
      Collect();
      for (const std::string& address : open_) {
        if (beat && now.time_since_epoch() % std::chrono::milliseconds(500) == duration(0)) {
          Deliver(address, Batch(address, 0));
        }
      }
      if (target_announces) {
        agent.OnTargetAnnounced({"defects", "", 2, false}, now);
        Collect();
      }
    }
  }

  void Break(const std::string& address) {
    agent.OnSessionClosed(address, now);
    open_.erase(address);
    Collect();
  }

  void Collect() {
    const std::vector<agent_action> actions(agent.actions().begin(), agent.actions().end());
    agent.ClearActions();
    for (const agent_action& action : actions) {
      Take(action);
    }
  }

  // All answers, refusals and inventories sent to @p address.
  std::vector<task_answer> AnswersTo(const std::string& address) const {
    std::vector<task_answer> found;
    for (const send_batch& message : sent) {
      if (message.peer == address) {
        found.insert(found.end(), message.batch.answers.begin(), message.batch.answers.end());
      }
    }
    return found;
  }

  std::vector<task_refusal> Refusals() const {
    std::vector<task_refusal> found;
    for (const send_batch& message : sent) {
      found.insert(found.end(), message.batch.refusals.begin(), message.batch.refusals.end());
    }
    return found;
  }

  const agent_batch& LastTo(const std::string& address) const {
    const agent_batch* last = nullptr;
    for (const send_batch& message : sent) {
      last = message.peer == address ? &message.batch : last;
    }
    EXPECT_NE(last, nullptr);
    static const agent_batch none;
    return last == nullptr ? none : *last;
  }

  std::map<std::string, instant> clocks;  ///< newest clock of the agent that each entry has seen
  std::map<std::string, incarnation> lives;
  bool target_announces = true;

 private:
  void Take(const agent_action& action) {
    if (std::holds_alternative<send_batch>(action)) {
      sent.push_back(std::get<send_batch>(action));
      clocks[sent.back().peer] = sent.back().batch.header.sent_at;
    } else if (std::holds_alternative<run_task>(action)) {
      runs.push_back(std::get<run_task>(action));
    } else if (std::holds_alternative<stop_task>(action)) {
      stops.push_back(std::get<stop_task>(action));
    } else if (std::holds_alternative<close_session>(action)) {
      closes.emplace_back(now, std::get<close_session>(action).address);
      open_.erase(std::get<close_session>(action).address);
    } else if (std::holds_alternative<open_session>(action)) {
      const std::string address = std::get<open_session>(action).address;
      opens.emplace_back(now, address);
      if (accept) {
        open_.insert(address);
        agent.OnSessionOpened(address, now);
      } else {
        agent.OnSessionClosed(address, now);
      }
      Collect();
    }
  }

  incarnation life_;
  std::set<std::string> open_;
};

}  // namespace bamboowing
