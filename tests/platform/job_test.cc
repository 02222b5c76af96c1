#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "callers.h"

namespace bamboowing::platform {
namespace {

using nlohmann::json;

json Job() {
  return {{"spec", "x"},
          {"best_effort", true},
          {"steps",
           {{{"count", 4}, {"cpu", 500}, {"mem_mb", 256}, {"estimate_ms", 900.5}},
            {{"count", 2}, {"after", {0}}, {"anti_affinity", 1}}}}};
}

// Guards against a job that is refused although it follows the format.
TEST(Job, IsRead) {
  failure error;
  const std::optional<best_effort_job> read = ParseJob("j", Job().dump(), error);
  ASSERT_TRUE(read.has_value()) << error.reason;
  ASSERT_EQ(read->steps.size(), 2U);
  EXPECT_EQ(read->steps[0].estimate, std::chrono::milliseconds(900));
  EXPECT_EQ(read->steps[1].after, std::vector<std::uint32_t>{0});
}

// Guards against a request that is served with another number than the caller wrote.
TEST(Job, WithAValueOutOfRangeIsRefused) {
  const std::vector<std::pair<std::string, json>> odd = {{"count", -1},
                                                         {"count", 1e300},
                                                         {"count", 1.5},
                                                         {"count", "1"},
                                                         {"cpu", -1},
                                                         {"cpu", 1e300},
                                                         {"cpu", 0.5},
                                                         {"mem_mb", 4294967296},
                                                         {"gpu", -1},
                                                         {"estimate_ms", -5},
                                                         {"estimate_ms", 9.2e18},
                                                         {"after", {-1}},
                                                         {"after", {1.5}},
                                                         {"after", {"0"}},
                                                         {"after", 0},
                                                         {"requirements", 7},
                                                         {"affinity", {}},
                                                         {"anti_affinity", -1},
                                                         {"anti_affinity", 1e300},
                                                         {"gang", 1}};
  for (const std::pair<std::string, json>& change : odd) {
    json fields = Job();
    fields["steps"][1][change.first] = change.second;
    failure error;
    EXPECT_FALSE(ParseJob("j", fields.dump(), error).has_value()) << change.first << " " << change.second;
    EXPECT_EQ(error.not_run, not_run_state::kYes);
  }
  const json not_a_list = {{"best_effort", true}, {"steps", {{"a", {{"count", 1}}}}}};
  failure error;
  EXPECT_FALSE(ParseJob("j", not_a_list.dump(), error).has_value());
}

// Guards against a stack overflow or an exception for bytes that are not a job.
TEST(Job, OfBytesThatCannotBeReadIsRefused) {
  const std::string deep = std::string(400'000, '[') + std::string(400'000, ']');
  for (const std::string& body : {std::string(), std::string("\xff"), std::string("[]"), deep,
                                  R"({"best_effort":true,"steps":[{"count":1}],"x":)" + deep + "}"}) {
    failure error;
    EXPECT_FALSE(ParseJob("j", body, error).has_value());
  }
}

/// Records the calls that reach the entry. The only route is "/checks/", unless there is no configuration.
class recording_gateway final : public job_gateway {
 public:
  explicit recording_gateway(bool configured) {
    if (configured) {
      queue_rule rule;
      rule.name = "checks";
      rule.prefix = "/checks/";
      queues_ = std::make_shared<const queue_table>(1, std::vector<queue_rule>{rule});
    }
  }

  std::shared_ptr<const queue_table> Queues() const override { return queues_; }
  void Submit(call_id /*call*/, best_effort_job job, queue_rule /*queue*/) override {
    calls.push_back("submit " + job.id);
  }
  void CallerDisconnected(call_id /*call*/) override {}
  void Cancel(call_id /*call*/, std::string job_id) override { calls.push_back("cancel " + job_id); }
  void QueryPhase(call_id /*call*/, std::string job_id) override { calls.push_back("phase " + job_id); }
  void QueryPendingJobs(call_id /*call*/, std::string queue) override { calls.push_back("pending " + queue); }
  bool Ready() const override { return true; }

  std::vector<std::string> calls;

 private:
  std::shared_ptr<const queue_table> queues_;
};

class recording_server final : public connection_server {
 public:
  void Serve() override {}
  void Respond(call_id /*call*/, http_response response) override { statuses.push_back(response.status); }
  void DisableKeepAlive() override {}
  void StopAccepting() override {}
  int port() const override { return 0; }

  std::vector<int> statuses;
};

/// What one request leads to: a call of the entry, or "answer STATUS" if the request doesn't reach it.
std::string OutcomeOf(const std::string& method, const std::string& path, bool configured = true) {
  recording_gateway gateway(configured);
  recording_server server;
  job_request_handler handler;
  handler.Attach(gateway, server);
  http_request request;
  request.method = method;
  request.path = path;
  request.body = Job().dump();
  handler.OnRequest(1, request);
  if (gateway.calls.size() + server.statuses.size() != 1) {
    return "not exactly one outcome";
  }
  return server.statuses.empty() ? gateway.calls[0] : "answer " + std::to_string(server.statuses[0]);
}

// Guards against a job that can't be cancelled because its route was removed, or because another route covers its path.
TEST(Cancel, OfAJobIdDoesNotDependOnTheRoute) {
  EXPECT_EQ(OutcomeOf("DELETE", "/checks/8a00000000000001"), "cancel 8a00000000000001");
  EXPECT_EQ(OutcomeOf("DELETE", "/removed/8a00000000000001"), "cancel 8a00000000000001");
  EXPECT_EQ(OutcomeOf("DELETE", "/checks/removed/8A0000000000000F"), "cancel 8A0000000000000F");
  EXPECT_EQ(OutcomeOf("DELETE", "/8a00000000000001"), "cancel 8a00000000000001");
}

// Guards against a success under a removed route, which only an older configuration allows: the cancel takes effect and
// is answered as one of a job that is gone.
TEST(Cancel, UnderARemovedRouteIsAnsweredAsGone) {
  recording_gateway gateway(true);
  recording_server server;
  job_request_handler handler;
  handler.Attach(gateway, server);
  http_request request;
  request.method = "DELETE";
  call_id call = 0;
  for (const char* path : {"/removed/8a00000000000001", "/checks/8a00000000000001"}) {
    request.path = path;
    handler.OnRequest(++call, request);
    handler.OnCancelled(call, cancel_outcome::kCancelled);
  }
  EXPECT_EQ(server.statuses, std::vector<int>({410, 200}));
}

// Guards against a cancel of something that is not a job id, and against jobs whose other ids can no longer be
// cancelled.
TEST(Cancel, WithoutAJobIdNeedsARoute) {
  for (const char* path :
       {"/removed/", "/removed/8a0000000000001", "/removed/8a000000000000001", "/removed/8a0000000000000g",
        "/removed/8a00000000000001/", "/removed/x8a00000000000001", "/", ""}) {
    EXPECT_EQ(OutcomeOf("DELETE", path), "answer 404") << path;
  }
  EXPECT_EQ(OutcomeOf("DELETE", "/checks/patrol-8"), "cancel patrol-8");
}

// Guards against jobs that are admitted or reported under a route that the configuration doesn't have.
TEST(Request, UnderARemovedRouteIsNotFound) {
  EXPECT_EQ(OutcomeOf("POST", "/removed/8a00000000000001"), "answer 404");
  EXPECT_EQ(OutcomeOf("GET", "/removed/8a00000000000001"), "answer 404");
  EXPECT_EQ(OutcomeOf("POST", "/checks/8a00000000000001"), "submit 8a00000000000001");
  EXPECT_EQ(OutcomeOf("GET", "/checks/8a00000000000001"), "phase 8a00000000000001");
}

// Guards against an entry without a configuration that answers as if it knew the routes.
TEST(Request, WithoutAConfigurationIsUnavailable) {
  for (const char* method : {"POST", "GET", "DELETE"}) {
    EXPECT_EQ(OutcomeOf(method, "/checks/8a00000000000001", false), "answer 503") << method;
  }
}

}  // namespace
}  // namespace bamboowing::platform
