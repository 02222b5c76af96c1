/// @file
/// Announces a target to its agent.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "bamboowing/transport/http_client.h"
#include "standins/timer_queue.h"

namespace bamboowing::standin {

/// Contents of an announcement.
struct announcement {
  std::string service;
  unsigned slots = 0;   ///< tasks that the target runs at the same time
  std::string run_url;  ///< URL that the agent sends tasks to
};

/// Sends `POST /v1/announce` at once and then every second until Leave() is called.
class announcer {
 public:
  /// @param agent address of the agent, "127.0.0.1:8081". Returns null and sets @p error if it is malformed.
  static std::unique_ptr<announcer> Start(const std::string& agent, const announcement& target, failure& error);

  /// Stops announcing, sends `POST /v1/leave` and waits at most a second for the response.
  void Leave();

 private:
  announcer(std::unique_ptr<http_client> client, const announcement& target);
  void Announce();

  const std::unique_ptr<http_client> client_;
  const std::string body_;
  std::atomic<bool> leaving_ = false;
  timer_queue timers_;
};

}  // namespace bamboowing::standin
