#include "standins/announcer.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace bamboowing::standin {
namespace {

constexpr duration kAnnounceInterval = std::chrono::seconds(1);
constexpr duration kRequestTimeout = std::chrono::seconds(1);

std::string ToJson(const announcement& target) {
  return nlohmann::json{{"service", target.service}, {"slots", target.slots}, {"run_url", target.run_url}}.dump();
}

}  // namespace

std::unique_ptr<announcer> announcer::Start(const std::string& agent, const announcement& target, failure& error) {
  std::unique_ptr<http_client> client = http_client::Open(agent, error);
  if (!client) {
    return nullptr;
  }
  std::unique_ptr<announcer> result(new announcer(std::move(client), target));
  result->Announce();
  return result;
}

announcer::announcer(std::unique_ptr<http_client> client, const announcement& target)
    : client_(std::move(client)), body_(ToJson(target)) {}

void announcer::Announce() {
  if (leaving_) {
    return;
  }
  // Errors are ignored, since the next announcement replaces a lost one.
  client_->SendAsync({"POST", "/v1/announce", {}, body_, ""}, kRequestTimeout,
                     [](const std::optional<http_response>&, const failure&) {});
  timers_.ScheduleAt(Now() + kAnnounceInterval, [this] { Announce(); });
}

void announcer::Leave() {
  leaving_ = true;
  failure error;
  client_->Send({"POST", "/v1/leave", {}, body_, ""}, kRequestTimeout, error);
}

}  // namespace bamboowing::standin
