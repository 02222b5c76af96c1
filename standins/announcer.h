/// @file
/// Announces a target to the agent beside it.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "bamboowing/transport/http_client.h"
#include "standins/timer_queue.h"

namespace bamboowing::standin {

/// What a target says of itself.
struct announcement {
  std::string service;
  unsigned slots = 0;
  std::string run_url;  ///< where the agent sends tasks
};

/// Sends `POST /v1/announce` at once and then every second, until Leave().
class announcer {
 public:
  /// @param agent address of the agent, "127.0.0.1:8081". Returns null and fills @p why when it is malformed.
  static std::unique_ptr<announcer> Start(const std::string& agent, const announcement& target, failure& error);

  /// Sends `POST /v1/leave`, waits for the answer for at most a second and announces no more.
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
