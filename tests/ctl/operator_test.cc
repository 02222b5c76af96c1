#include "bamboowing/transport/http_server.h"
#include "tool_fixture.h"

namespace bamboowing::ctl {
namespace {

using nlohmann::json;

constexpr const char* kTargets = R"({"targets":[
  {"id":"m2","service":"lines","failure_domain":"Burnie","slots":8,"in_flight":3,"state":"serving","speed":1.5},
  {"id":"m1","service":"lines","failure_domain":"Hobart","slots":8,"in_flight":0,"state":"detached","speed":0.5},
  {"id":"m3","service":"seals","failure_domain":"Hobart","slots":4,"in_flight":4,"state":"draining","speed":1}]})";
constexpr const char* kInstances = R"({"instances":[
  {"id":"a1","role":"agent","incarnation":"7","address":"127.0.0.1:7","failure_domain":"Hobart","config_version":4,
   "home_of":[],"ready":true},
  {"id":"e2","role":"entry","incarnation":"9","address":"127.0.0.1:9","failure_domain":"Burnie","home_of":[]},
  {"id":"e1","role":"entry","incarnation":"8","address":"127.0.0.1:8","failure_domain":"Hobart","config_version":4,
   "home_of":["lines/0","seals/0"],"ready":false}]})";
constexpr const char* kMetrics =
    "# HELP x y\n# TYPE bamboowing_queue_depth_tasks gauge\nbamboowing_queue_depth_tasks{shard=\"a\\\"b/0\"} 12\n"
    "bamboowing_config_version 4\nbamboowing_messages_wasted_total{cause=\"late\"} 2\nbad line {\n";

class operator_test : public tool_test {
 protected:
  operator_test() {
    script_ = [](const http_request& request, failure& /*error*/) {
      if (request.path == "/operator/v1/targets") {
        return Reply(200, kTargets);
      }
      return request.path == "/metrics" ? Reply(200, kMetrics) : Reply(200, kInstances);
    };
  }
};

// Guards against requests without the operators' token, or with the trailing newline of its file.
TEST_F(operator_test, SendsTheTokenOfTheFile) {
  EXPECT_EQ(Run({"target", "list"}), 0) << Err();
  EXPECT_EQ(requests_.at(0).authorization, "Bearer secret");
  EXPECT_EQ(address_, "127.0.0.1:2");
  EXPECT_EQ(Run({"target", "list", "--token-file", WriteTestFile("empty", " \n")}), 3);
  env_.variables.erase("BAMBOOWINGCTL_TOKEN_FILE");
  EXPECT_EQ(Run({"target", "list"}), 2);
  EXPECT_NE(Err().find("next: Pass --token-file FILE"), std::string::npos) << Err();
  EXPECT_EQ(requests_.size(), 1U);
}

// Guards against misaligned columns, colours in a pipe or despite NO_COLOR, and ignored filters.
TEST_F(operator_test, ListsTargetsAsATable) {
  EXPECT_EQ(Run({"target", "list", "--service", "lines"}), 0);
  EXPECT_EQ(Out(),
            "TARGET  SERVICE  FAILURE DOMAIN  SLOTS  IN FLIGHT  SPEED  STATE\n"
            "m1      lines    Hobart              8          0   0.50  detached\n"
            "m2      lines    Burnie              8          3   1.50  serving\n");
  env_.out_is_terminal = true;
  EXPECT_EQ(Run({"target", "list"}), 0);
  EXPECT_NE(Out().find("\x1b[31mdetached\x1b[0m"), std::string::npos);
  env_.variables["NO_COLOR"] = "1";
  EXPECT_EQ(Run({"target", "list"}), 0);
  EXPECT_EQ(Out().find('\x1b'), std::string::npos);
  EXPECT_EQ(Run({"target", "list", "--state", "detached", "--output", "json"}), 0);
  EXPECT_EQ(json::parse(Out()).at("targets").size(), 1U);
}

// Guards against entries listed below agents, against showing values that the server did not report as 0, and against
// showing a process that is not ready as ready.
TEST_F(operator_test, ListsInstances) {
  EXPECT_EQ(Run({"instance", "list"}), 0);
  EXPECT_LT(Out().find("e1"), Out().find("a1")) << Out();
  EXPECT_NE(Out().find("lines/0, seals/0  no"), std::string::npos) << Out();
  EXPECT_NE(Out().find("Burnie               -  -                 -"), std::string::npos) << Out();
}

// Guards against reporting a drain as complete while tasks still run.
TEST_F(operator_test, WaitsForADrain) {
  int polls = 0;
  script_ = [&](const http_request& request, failure& /*error*/) {
    if (request.method == "POST") {
      return Reply(200, "{}");
    }
    const std::string busy = ++polls < 4 ? "2" : "0";
    return Reply(200, R"({"targets":[{"id":"m1","in_flight":)" + busy + R"(,"state":"draining"}]})");
  };
  EXPECT_EQ(Run({"target", "drain", "m1", "--wait"}), 0) << Err();
  EXPECT_EQ(json::parse(requests_.at(0).body).at("target"), "m1");
  EXPECT_EQ(polls, 4);
  EXPECT_EQ(Out(), "m1: drained\n");
  polls = -1000;
  EXPECT_EQ(Run({"target", "drain", "m1", "--wait", "--wait-limit", "3"}), 12);
  EXPECT_NE(Err().find("still runs 2 tasks"), std::string::npos) << Err();
}

// Guards against a drain that fails because of a concurrent change of the configuration.
TEST_F(operator_test, RetriesADrainAfterAConflict) {
  script_ = [&](const http_request& /*request*/, failure& /*error*/) {
    return requests_.size() < 3 ? Reply(409, R"({"kind":"conflict","reason":"r","not_run":"yes"})") : Reply(200, "{}");
  };
  EXPECT_EQ(Run({"target", "drain", "m1"}), 0) << Err();
  EXPECT_EQ(requests_.size(), 3U);
}

// Guards against misreading labels with escaped characters, and against failing on malformed lines.
TEST_F(operator_test, ShowsMetrics) {
  EXPECT_EQ(Run({"metrics", "--name", "queue"}), 0);
  EXPECT_NE(Out().find("shard a\"b/0     12\n"), std::string::npos) << Out();
  EXPECT_EQ(Run({"metrics", "--output", "json"}), 0);
  const json list = json::parse(Out());
  ASSERT_EQ(list.size(), 3U);
  EXPECT_EQ(list[0].at("labels").at("shard"), "a\"b/0");
  EXPECT_EQ(Run({"metrics", "--raw"}), 0);
  EXPECT_EQ(Out(), kMetrics);
  EXPECT_EQ(Run({"metrics", "--explain", "no_such"}), 9);
}

// Guards against rates that are not per second, and against terminal escape sequences in a pipe.
TEST_F(operator_test, TopShowsLoadAndRates) {
  EXPECT_EQ(Run({"top", "--count", "2", "--interval", "4"}), 0) << Err();
  EXPECT_EQ(now_, instant(std::chrono::seconds(4)));
  EXPECT_NE(Out().find("queue 12 tasks"), std::string::npos) << Out();
  EXPECT_NE(Out().find("lines          2           1     16          3   18%"), std::string::npos) << Out();
  EXPECT_NE(Out().find("jobs/s 0"), std::string::npos) << Out();
  EXPECT_EQ(Out().find('\x1b'), std::string::npos);
  EXPECT_EQ(Run({"top", "--output", "json"}), 0);
  EXPECT_EQ(json::parse(Out()).at("targets").size(), 3U);
}

// Guards against uncaught exceptions on responses with an unexpected JSON structure.
TEST_F(operator_test, ReportsAResponseWithUnexpectedStructure) {
  for (const char* body : {"[]", "{}", "{\"targets\":7}", "null"}) {
    script_ = [&](const http_request& /*request*/, failure& /*error*/) { return Reply(200, body); };
    EXPECT_EQ(Run({"target", "list"}), 1) << body;
  }
  script_ = [](const http_request& /*request*/, failure& /*error*/) {
    return Reply(401, R"({"kind":"unauthorized","reason":"bad token","not_run":"yes"})");
  };
  EXPECT_EQ(Run({"instance", "list"}), 8);
}

// Guards against commands that work with the scripted server but not over a real HTTP connection.
TEST_F(operator_test, WorksOverARealConnection) {
  failure open_error;
  const std::unique_ptr<http_server> server = http_server::Open(
      "127.0.0.1:0",
      [](http_request request, http_server::responder respond) {
        respond(request.authorization == "Bearer secret" ? Reply(200, kTargets) : Reply(401, "{}"));
      },
      {}, open_error);
  ASSERT_NE(server, nullptr) << open_error.reason;
  env_.connect = [](std::string_view address, failure& error) { return http_client::Open(address, error); };
  const std::string address = "127.0.0.1:" + std::to_string(server->port());
  EXPECT_EQ(Run({"target", "list", "--operator", address, "--timeout", "5"}), 0) << Err();
  EXPECT_NE(Out().find("m3"), std::string::npos);
  server->Close();
}

}  // namespace
}  // namespace bamboowing::ctl
