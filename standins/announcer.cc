#include "standins/announcer.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace bamboowing::standin {
namespace {

constexpr duration kPeriod = std::chrono::seconds(1);
constexpr duration kTimeout = std::chrono::seconds(1);

std::string ToJson(const announcement& text) {
  return nlohmann::json{{"service", text.service}, {"slots", text.slots}, {"run_url", text.run_url}}.dump();
}

}  // namespace

std::unique_ptr<announcer> announcer::Start(const std::string& agent, const announcement& text, failure& why) {
  std::unique_ptr<http_client> client = http_client::Open(agent, why);
  if (!client) {
    return nullptr;
  }
  std::unique_ptr<announcer> result(new announcer(std::move(client), text));
  result->Announce();
  return result;
}

announcer::announcer(std::unique_ptr<http_client> client, const announcement& text)
    : client_(std::move(client)), body_(ToJson(text)) {}

void announcer::Announce() {
  if (leaving_) {
    return;
  }
  // A lost announcement is made good by the next one.
  client_->SendAsync({"POST", "/v1/announce", {}, body_, ""}, kTimeout,
                     [](const std::optional<http_response>&, const failure&) {});
  timers_.At(Now() + kPeriod, [this] { Announce(); });
}

void announcer::Leave() {
  leaving_ = true;
  failure why;
  client_->Send({"POST", "/v1/leave", {}, body_, ""}, kTimeout, why);
}

}  // namespace bamboowing::standin
