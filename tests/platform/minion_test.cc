#include "minion.h"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <nlohmann/json.hpp>

#include "bamboowing/transport/http_server.h"

namespace bamboowing::platform {
namespace {

using nlohmann::json;

json Heartbeat() {
  return {{"backend", "inspect"},
          {"address", "10.128.0.9:8080"},
          {"zone", "hobart"},
          {"state", "ready"},
          {"labels", {"a", "r1-3"}},
          {"capacity", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 0}}},
          {"clock_ms", 482113.5},
          {"born", 1764900000000},
          {"seq", 4}};
}

std::string Nested(std::size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

// Guards against a heartbeat that the adapter refuses although it follows the format.
TEST(Heartbeat, IsRead) {
  failure error;
  const std::optional<heartbeat> read = ParseHeartbeat("i-1", Heartbeat().dump(), error);
  ASSERT_TRUE(read.has_value()) << error.reason;
  EXPECT_EQ(read->incarnation.id, "i-1");
  EXPECT_EQ(read->incarnation.start_id, 1764900000000U);
  EXPECT_EQ(read->incarnation.address, "10.128.0.9:8080");
  EXPECT_EQ(read->target.capacity.cpu_millicores, 16000U);
  EXPECT_EQ(read->target.labels, (std::vector<std::string>{"a", "r1-3"}));
  EXPECT_EQ(read->clock, target_time(482113));
}

// Guards against a number that wraps, or is undefined, after its conversion, and against an address that no minion has.
TEST(Heartbeat, WithAFieldOutOfRangeIsRefused) {
  const std::vector<std::pair<std::string, json>> odd = {
      {"born", -1},
      {"born", 1.5},
      {"born", 1e300},
      {"born", "7"},
      {"born", 9007199254740993},
      {"clock_ms", -1},
      {"clock_ms", 9.2e18},
      {"clock_ms", "7"},
      {"capacity", {{"cpu", -1}}},
      {"capacity", {{"cpu", 1e300}}},
      {"capacity", {{"cpu", 1.5}}},
      {"capacity", {{"mem_mb", 4294967296}}},
      {"capacity", {{"gpu", "1"}}},
      {"capacity", 7},
      {"address", "10.128.0.9:0"},
      {"address", "10.128.0.9:65536"},
      {"address", "10.128.0.9:99999"},
      {"address", "10.128.0.9:http"},
      {"address", "nowhere"},
      {"address", ""},
      {"address", 7},
      {"backend", ""},
      {"backend", nullptr},
      {"backend", std::string(1U << 16U, 'x')},
      {"zone", 7},
      {"state", "sleeping"},
      {"state", 1},
      {"labels", {"a", 7}},
      {"labels", "a"},
      {"labels", {std::string(1U << 16U, 'x')}},
      {"labels", std::vector<std::string>(1000, "x")},
  };
  for (const std::pair<std::string, json>& change : odd) {
    json fields = Heartbeat();
    fields[change.first] = change.second;
    failure error;
    EXPECT_FALSE(ParseHeartbeat("i-1", fields.dump(), error).has_value()) << change.first << " " << change.second;
    EXPECT_FALSE(error.reason.empty());
    EXPECT_LT(error.reason.size(), 300U);
  }
}

// Guards against a heartbeat without a field that the agent needs.
TEST(Heartbeat, WithoutARequiredFieldIsRefused) {
  for (const char* field : {"backend", "address", "zone", "state", "capacity"}) {
    json fields = Heartbeat();
    fields.erase(field);
    failure error;
    EXPECT_FALSE(ParseHeartbeat("i-1", fields.dump(), error).has_value()) << field;
  }
}

// Guards against a stack overflow or an exception for bytes of another writer.
TEST(Heartbeat, OfBytesThatCannotBeReadIsRefused) {
  for (const std::string& body :
       {std::string(), std::string("{"), std::string("\xff\xfe{}"), std::string("[]"), std::string("7"),
        std::string("null"), Nested(400'000), std::string(400'000, '['), "{\"labels\":" + Nested(400'000) + "}"}) {
    failure error;
    EXPECT_FALSE(ParseHeartbeat("i-1", body, error).has_value());
  }
}

// Guards against an id that adds header lines to each request to the target.
TEST(Heartbeat, OfAnIdThatIsNotPrintableIsRefused) {
  failure error;
  for (const std::string& id :
       {std::string(), std::string("a\r\nX: y"), std::string("a b"), std::string("\xff"), std::string(10'000, 'x')}) {
    EXPECT_FALSE(ParseHeartbeat(id, Heartbeat().dump(), error).has_value());
  }
}

/// A minion that answers each request with the same body.
class scripted_minion {
 public:
  scripted_minion() {
    failure error;
    server_ = http_server::Open(
        "127.0.0.1:0",
        [this](const http_request&, const http_server::responder& answer) {
          answer({status, "application/json", body, std::nullopt});
        },
        http_limits(), error);
    target_ = OpenMinion("127.0.0.1:" + std::to_string(server_->port()), error);
  }

  poll_response Poll() {
    std::promise<poll_response> answered;
    target_->Poll({{"i-1", 1}, 0, std::nullopt, duration(0)}, std::chrono::seconds(5),
                  [&answered](poll_response response) { answered.set_value(std::move(response)); });
    return answered.get_future().get();
  }

  request_response Start() {
    std::promise<request_response> answered;
    target_->Start({{"i-1", 1}, {"j", 0, 0, 1}, "x", target_time(1)}, std::chrono::seconds(5),
                   [&answered](request_response response) { answered.set_value(response); });
    return answered.get_future().get();
  }

  int status = 200;
  std::string body;

 private:
  std::unique_ptr<http_server> server_;
  std::unique_ptr<leased_target> target_;
};

// Guards against a list of runs whose odd row or number is taken as the end of runs, or acknowledges runs that have not
// been listed.
TEST(PollResponse, WithAnOddListIsRejected) {
  scripted_minion minion;
  minion.body = R"({"clock_ms":7,"born":9,"running":[["j.0.0.1",1,"",5]],"finished":[[3,"j.0.0.2",1,"done",""]]})";
  const poll_response read = minion.Poll();
  ASSERT_EQ(read.status, request_status::kAccepted);
  EXPECT_EQ(read.running.size(), 1U);
  ASSERT_EQ(read.finished.size(), 1U);
  EXPECT_EQ(read.finished[0].sequence, 3U);
  EXPECT_EQ(read.start_id, 9U);
  for (const std::string& odd :
       {std::string(R"({"running":[["j.0.0.1",-1,"",5]],"finished":[]})"),
        std::string(R"({"running":[["j.0.0.1",1e300,"",5]],"finished":[]})"),
        std::string(R"({"running":[[]],"finished":[]})"), std::string(R"({"running":[7],"finished":[]})"),
        std::string(R"({"running":{},"finished":[]})"), std::string(R"({"running":[]})"), std::string(R"([])"),
        std::string(R"({"running":[],"finished":[[-1,"j.0.0.2",1,"done",""]]})"),
        std::string(R"({"running":[],"finished":[[1e300,"j.0.0.2",1,"done",""]]})"),
        std::string(R"({"running":[],"finished":[[1.5,"j.0.0.2",1,"done",""]]})"),
        std::string(R"({"running":[],"finished":[[1,"j.0.0.2",1]]})"),
        std::string(R"({"running":[],"finished":[],"born":-1})"),
        std::string(R"({"running":[],"finished":[],"born":"x"})"), "{\"running\":" + Nested(200'000) + "}",
        "{\"running\":[],\"finished\":[],\"x\":" + Nested(200'000) + "}"}) {
    minion.body = odd;
    const poll_response response = minion.Poll();
    EXPECT_EQ(response.status, request_status::kRejected) << odd.substr(0, 80);
    EXPECT_TRUE(response.running.empty() && response.finished.empty() && !response.start_id);
  }
}

// Guards against an exception in the callback thread, which ends the process, and against a clock that is undefined.
TEST(StartResponse, WithOddFieldsIsReadWithoutThem) {
  scripted_minion minion;
  for (const char* odd : {R"({"clock_ms":1e300,"reason":7})", R"({"clock_ms":-5,"reason":{}})", R"([])", "\xff"}) {
    minion.body = odd;
    minion.status = 409;
    const request_response response = minion.Start();
    EXPECT_EQ(response.status, request_status::kRejected) << odd;
    EXPECT_FALSE(response.clock.has_value()) << odd;
  }
}

}  // namespace
}  // namespace bamboowing::platform
