#include "tool_fixture.h"

namespace bamboowing::ctl {
namespace {

using nlohmann::json;

constexpr const char* kJob = R"({"team":"crews","service":"lines","deadline_ms":5000,"tasks":[{"payload":"a"}]})";
constexpr const char* kRunning = R"({"job_id":"id-1","state":"running","tasks_done":0,"tasks_total":1})";
constexpr const char* kComplete =
    R"({"job_id":"id-1","state":"complete","tasks_done":1,"tasks_total":1,"results":["fine"]})";

class job_test : public tool_test {};

// Guards against a submission without a job id, which cannot be retried safely, and against lost results.
TEST_F(job_test, SubmitsAndWaitsForTheResults) {
  int polls = 0;
  script_ = [&](const http_request& request, failure& /*error*/) {
    if (request.method == "POST") {
      return Reply(202, kRunning);
    }
    return Reply(200, ++polls < 3 ? kRunning : kComplete);
  };
  EXPECT_EQ(Run({"job", "submit", WriteTestFile("job", kJob)}), 0) << Err();
  ASSERT_EQ(requests_.size(), 4U);
  EXPECT_EQ(requests_[0].path, "/v1/jobs");
  EXPECT_EQ(requests_[0].query.at("wait"), "false");
  EXPECT_EQ(json::parse(requests_[0].body).at("job_id"), "id-1");
  EXPECT_EQ(requests_[1].path, "/v1/jobs/id-1");
  EXPECT_EQ(address_, "127.0.0.1:1");
  EXPECT_NE(Out().find("job id-1: complete, 1 of 1 tasks"), std::string::npos) << Out();
  EXPECT_NE(Out().find("fine"), std::string::npos);
  EXPECT_EQ(Err(), "") << "progress belongs on a terminal only";
}

// Guards against a duplicate job when the response to a submission is lost: the retry has the same id and its age.
TEST_F(job_test, RetriesWithTheSameJobIdWhenNoResponseArrives) {
  script_ = [&](const http_request& /*request*/, failure& error) -> std::optional<http_response> {
    if (requests_.size() == 1) {
      error = failure(error_kind::kTargetLost, not_run_state::kUnknown, "connection closed");
      return std::nullopt;
    }
    return Reply(200, kComplete);
  };
  EXPECT_EQ(Run({"job", "submit", WriteTestFile("job", kJob)}), 0) << Err();
  ASSERT_EQ(requests_.size(), 2U);
  const json again = json::parse(requests_[1].body);
  EXPECT_EQ(again.at("job_id"), "id-1");
  EXPECT_EQ(again.at("first_sent_ms_ago"), 500);
}

// Guards against reporting that nothing ran after all attempts went unanswered.
TEST_F(job_test, ReportsAnUnknownOutcome) {
  script_ = [](const http_request& /*request*/, failure& error) -> std::optional<http_response> {
    error = failure(error_kind::kTargetLost, not_run_state::kUnknown, "no answer in 30 s");
    return std::nullopt;
  };
  EXPECT_EQ(Run({"job", "submit", WriteTestFile("job", kJob)}), 7);
  EXPECT_EQ(requests_.size(), 4U);
  EXPECT_NE(Err().find("error: 127.0.0.1:1: no answer in 30 s\nnext: "), std::string::npos) << Err();
}

// Guards against exit code 0 for a failed job, and against confusing jobs that ran, did not run and may have run.
TEST_F(job_test, MapsFailedJobsToExitCodes) {
  const std::vector<std::pair<std::string, int>> cases = {
      {R"({"kind":"target_failed","reason":"r","not_run":"no"})", 6},
      {R"({"kind":"target_lost","reason":"r","not_run":"unknown"})", 7},
      {R"({"kind":"no_target","reason":"r","not_run":"yes"})", 5}};
  for (const std::pair<std::string, int>& test_case : cases) {
    script_ = [&](const http_request& /*request*/, failure& /*error*/) {
      json job = json::parse(test_case.first);
      job["job_id"] = "x";
      job["state"] = "failed";
      return Reply(502, job.dump());
    };
    EXPECT_EQ(Run({"job", "status", "x"}), test_case.second) << test_case.first;
    EXPECT_NE(Err().find("error: job x failed: r\nnext: "), std::string::npos) << Err();
  }
}

// Guards against treating a not_ready response, which has the state failed, as the end of the job.
TEST_F(job_test, DoesNotTreatNotReadyAsTheEndOfTheJob) {
  script_ = [&](const http_request& /*request*/, failure& /*error*/) {
    const char* unready =
        R"({"job_id":"id-1","state":"failed","kind":"not_ready","reason":"no home","not_run":"unknown"})";
    return requests_.size() < 3 ? Reply(503, unready) : Reply(200, kComplete);
  };
  EXPECT_EQ(Run({"job", "status", "id-1", "--wait"}), 0) << Err();
  EXPECT_EQ(requests_.size(), 3U);
}

// Guards against a successful cancellation reported as a failure because the state of the job is failed.
TEST_F(job_test, CancelsAJob) {
  script_ = [](const http_request& /*request*/, failure& /*error*/) {
    return Reply(409, R"({"job_id":"x","state":"failed","kind":"cancelled","reason":"r","not_run":"unknown"})");
  };
  EXPECT_EQ(Run({"job", "cancel", "x"}), 0) << Err();
  EXPECT_EQ(Out(), "job x: cancelled\n");
  script_ = [](const http_request& /*request*/, failure& /*error*/) { return Reply(200, kComplete); };
  EXPECT_EQ(Run({"job", "cancel", "id-1"}), 0);
  EXPECT_EQ(Out(), "job id-1: ended before, complete\n");
}

// Guards against refusals that scripts cannot distinguish, and against dropping retry_after_ms.
TEST_F(job_test, MapsRefusalsToExitCodes) {
  const std::vector<std::pair<http_response, int>> cases = {
      {Reply(503, R"({"kind":"overloaded","reason":"full","not_run":"yes","retry_after_ms":1500})"), 5},
      {Reply(400, R"({"kind":"invalid_field","reason":"team: found nothing","not_run":"yes"})"), 3},
      {Reply(409, R"({"kind":"conflict","reason":"id in use","not_run":"yes"})"), 10},
      {Reply(503, R"({"kind":"not_ready","reason":"no home","not_run":"yes"})"), 4},
      {Reply(502, "<html>bad gateway</html>"), 1},
      {Reply(200, "not json"), 1}};
  for (const std::pair<http_response, int>& test_case : cases) {
    script_ = [&](const http_request& /*request*/, failure& /*error*/) { return test_case.first; };
    EXPECT_EQ(Run({"job", "submit", "--no-wait", WriteTestFile("job", kJob)}), test_case.second)
        << test_case.first.body;
  }
  script_ = [&](const http_request& /*request*/, failure& /*error*/) { return cases[0].first; };
  Run({"job", "submit", WriteTestFile("job", kJob)});
  EXPECT_NE(Err().find("try again in: 1.5 s"), std::string::npos) << Err();
}

// Guards against waiting past the limit, and against polling without a pause.
TEST_F(job_test, EndsTheWaitAtItsLimit) {
  script_ = [](const http_request& /*request*/, failure& /*error*/) { return Reply(200, kRunning); };
  EXPECT_EQ(Run({"job", "status", "id-1", "--wait", "--wait-limit", "2"}), 12);
  EXPECT_NE(Err().find("next: Ask later: bamboowingctl job status id-1."), std::string::npos) << Err();
  EXPECT_EQ(requests_.size(), 21U);
}

// Guards against aborting the wait on a connection failure while the entry is replaced.
TEST_F(job_test, KeepsWaitingWhileAnEntryIsReplaced) {
  script_ = [&](const http_request& /*request*/, failure& error) -> std::optional<http_response> {
    if (requests_.size() < 3) {
      error = failure(error_kind::kTargetLost, not_run_state::kYes, "connection refused");
      return std::nullopt;
    }
    return Reply(200, kComplete);
  };
  EXPECT_EQ(Run({"job", "status", "id-1", "--wait"}), 0) << Err();
}

// Guards against missing progress output on a terminal, and against progress that scrolls.
TEST_F(job_test, ShowsProgressOnATerminal) {
  env_.err_is_terminal = true;
  script_ = [&](const http_request& /*request*/, failure& /*error*/) {
    return Reply(200, requests_.size() < 3 ? kRunning : kComplete);
  };
  EXPECT_EQ(Run({"job", "status", "id-1", "--wait"}), 0);
  EXPECT_NE(Err().find("\rjob id-1: 0 of 1 tasks"), std::string::npos) << Err();
  EXPECT_EQ(Err().find('\n'), std::string::npos);
}

// Guards against JSON output that drops fields or is mixed with text.
TEST_F(job_test, PrintsTheServersResponseAsJson) {
  script_ = [](const http_request& /*request*/, failure& /*error*/) { return Reply(200, kComplete); };
  EXPECT_EQ(Run({"job", "status", "id-1", "--output", "json"}), 0);
  EXPECT_EQ(json::parse(Out()), json::parse(kComplete));
  script_ = [](const http_request& /*request*/, failure& /*error*/) {
    return Reply(404, R"({"kind":"not_found","reason":"no such job","not_run":"unknown"})");
  };
  EXPECT_EQ(Run({"job", "cancel", "x", "--output", "json"}), 9);
  EXPECT_EQ(requests_.back().method, "DELETE");
  EXPECT_EQ(json::parse(Err()).at("exit"), "not_found");
  EXPECT_EQ(json::parse(Err()).at("kind"), "not_found");
}

// Guards against sending a file that cannot be read or is not a JSON object.
TEST_F(job_test, RejectsAFileThatIsNotAJob) {
  EXPECT_EQ(Run({"job", "submit", WriteTestFile("job", "[1]")}), 3);
  EXPECT_EQ(Run({"job", "submit", "/no/such/file"}), 3);
  EXPECT_NE(Err().find("cannot read '/no/such/file'"), std::string::npos) << Err();
  EXPECT_EQ(Run({"job", "submit", ::testing::TempDir()}), 3);
  EXPECT_TRUE(requests_.empty());
}

}  // namespace
}  // namespace bamboowing::ctl
