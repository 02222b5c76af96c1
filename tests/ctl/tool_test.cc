#include <array>

#include "bamboowing/observe/event_line.h"
#include "ctl/reference.h"
#include "tool_fixture.h"

namespace bamboowing::ctl {
namespace {

using nlohmann::json;

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

class timeline_command_test : public tool_test {
 protected:
  static std::string EventLine(const char* process, event_kind kind, std::int64_t at, std::int64_t task = 0,
                               std::uint64_t sequence = 0) {
    event record;
    record.kind = kind;
    record.at = instant(duration(at));
    record.job_id = "a";
    record.task = task;
    record.sequence = sequence;
    const process_identity identity = {process, 1, process[0] == 'e' ? "entry" : "agent", "Hobart"};
    return FormatEvent(record, identity) + "\n";
  }

  std::string EntryLog() {
    return WriteTestFile(
        "entry", EventLine("e1", event_kind::kTaskSent, 1000) + EventLine("e1", event_kind::kTaskAnswered, 9000));
  }
  std::string AgentLog(const std::string& more = {}) {
    return WriteTestFile("agent", EventLine("a1", event_kind::kTaskStarted, 502000) +
                                      EventLine("a1", event_kind::kTaskAnswered, 505000) + more);
  }
};

// Guards against concatenating event logs instead of merging them by time.
TEST_F(timeline_command_test, MergesFiles) {
  EXPECT_EQ(Run({"timeline", AgentLog(), EntryLog(), "--check"}), 0) << Err();
  EXPECT_LT(Out().find("task_sent"), Out().find("task_started")) << Out();
  EXPECT_LT(Out().find("a1  task_answered"), Out().find("e1  task_answered")) << Out();
  EXPECT_NE(Out().find("checked: 1 starts"), std::string::npos) << Out();
}

// Guards against exit code 0 despite a violation.
TEST_F(timeline_command_test, FailsOnAViolation) {
  const std::string doubled = AgentLog(EventLine("a1", event_kind::kTaskStarted, 600000));
  EXPECT_EQ(Run({"timeline", EntryLog(), doubled, "--check", "--quiet"}), 11);
  EXPECT_NE(Out().find("violation: started_twice: job a task 0"), std::string::npos) << Out();
  EXPECT_EQ(Run({"timeline", EntryLog(), doubled, "--check", "--output", "json"}), 11);
  EXPECT_EQ(json::parse(Out()).at("check").at("violations").at(0).at("rule"), "started_twice");
}

// Guards against exports that are not written, and ignored filters.
TEST_F(timeline_command_test, WritesExports) {
  const std::string chrome = WriteTestFile("trace.json", "");
  const std::string html = WriteTestFile("page.html", "");
  EXPECT_EQ(Run({"timeline", EntryLog(), AgentLog(), "--job", "a", "--chrome", chrome, "--html", html}), 0) << Err();
  EXPECT_TRUE(json::parse(ReadText(chrome)).contains("traceEvents"));
  EXPECT_NE(ReadText(html).find("<svg"), std::string::npos);
  EXPECT_EQ(Run({"timeline", EntryLog(), "--job", "b"}), 9);
  EXPECT_EQ(Run({"timeline", EntryLog(), "--to", "1", "--output", "json"}), 0);
  EXPECT_EQ(json::parse(Out()).at("events").size(), 1U);
  EXPECT_EQ(Run({"timeline", EntryLog(), "--html", "/no/such/directory/page.html"}), 3);
}

// Guards against skipping unparsable lines silently, and against success without any event.
TEST_F(timeline_command_test, ReportsSkippedLines) {
  EXPECT_EQ(
      Run({"timeline", WriteTestFile("log", "{\"what\":\"listening\"}\n" + EventLine("e1", event_kind::kTaskSent, 1))}),
      0);
  EXPECT_NE(Err().find(":1: event field"), std::string::npos) << Err();
  EXPECT_EQ(Run({"timeline", WriteTestFile("log", "nothing\n")}), 3);
  EXPECT_EQ(Run({"timeline"}), 2);
}

// Guards against leaving out events that only the entry holds, and against fetching only the first page.
TEST_F(timeline_command_test, FetchesEvents) {
  script_ = [&](const http_request& request, failure& /*error*/) {
    EXPECT_EQ(request.path, "/operator/v1/events");
    const int after = std::stoi(request.query.at("after"));
    return Reply(200, after > 2 ? "" : EventLine("e1", event_kind::kTaskSent, 1000 + after, after, after + 1));
  };
  EXPECT_EQ(Run({"timeline", AgentLog(), "--fetch"}), 0) << Err();
  EXPECT_EQ(requests_.size(), 4U);
  EXPECT_NE(Out().find("task_sent job a task 2"), std::string::npos);
}

class usage_test : public tool_test {};

// Guards against invalid command lines that send requests, and against usage errors without advice.
TEST_F(usage_test, RejectsInvalidCommandLines) {
  const std::vector<std::vector<std::string>> wrong = {{"jobs"},
                                                       {"job"},
                                                       {"job", "start"},
                                                       {"job", "status"},
                                                       {"job", "status", "a", "b"},
                                                       {"job", "status", "a", "--x"},
                                                       {"job", "status", "a", "--output", "xml"},
                                                       {"job", "status", "a", "--timeout", "0"},
                                                       {"job", "status", "a", "--timeout", "x"},
                                                       {"target", "list", "more"},
                                                       {"completion", "fish"}};
  for (const std::vector<std::string>& line : wrong) {
    EXPECT_EQ(Run(line), 2) << line.back();
    EXPECT_EQ(Err().find("error: "), 0U) << Err();
    EXPECT_NE(Err().find("\nnext: "), std::string::npos) << Err();
    EXPECT_EQ(Out(), "");
  }
  EXPECT_TRUE(requests_.empty());
}

// Guards against a command without --help or --version.
TEST_F(usage_test, EachCommandHasHelpAndVersion) {
  for (const command_spec& command : Commands()) {
    std::istringstream words{std::string(command.name)};
    std::vector<std::string> line{std::istream_iterator<std::string>(words), std::istream_iterator<std::string>()};
    line.emplace_back("--help");
    EXPECT_EQ(Run(line), 0);
    EXPECT_NE(Out().find("bamboowingctl " + std::string(command.name) + " [options]"), std::string::npos) << Out();
    line.back() = "--version";
    EXPECT_EQ(Run(line), 0);
    EXPECT_EQ(Out(), "bamboowingctl " BAMBOOWING_VERSION "\n");
  }
  EXPECT_TRUE(requests_.empty());
}

// Guards against changes of exit codes, which scripts depend on.
TEST(ExitCode, NumbersNeverChange) {
  const std::array<std::string_view, 13> names = {"ok",           "internal",  "usage",      "invalid_input",
                                                  "unavailable",  "refused",   "job_failed", "outcome_unknown",
                                                  "unauthorized", "not_found", "conflict",   "violation",
                                                  "timeout"};
  ASSERT_EQ(static_cast<std::size_t>(ExitCodeTable().size()), names.size());
  for (std::size_t i = 0; i < names.size(); ++i) {
    EXPECT_EQ(ExitCodeRow(static_cast<exit_code>(i)).name, names[i]);
    EXPECT_EQ(static_cast<std::size_t>(ExitCodeRow(static_cast<exit_code>(i)).code), i);
  }
}

// Guards against a completion script that bash rejects or that offers nothing.
TEST_F(usage_test, BashCompletionOffersWords) {
  ASSERT_EQ(Run({"completion", "bash"}), 0);
  const std::string script = WriteTestFile("completion", Out());
  const auto complete = [&](const std::string& words, int at) {
    const std::string line = "bash -c '. \"" + script + "\" || exit 1; COMP_WORDS=(" + words +
                             "); COMP_CWORD=" + std::to_string(at) + "; _bamboowingctl; echo \"${COMPREPLY[@]}\"'";
    FILE* pipe = popen(line.c_str(), "r");
    std::string text;
    std::array<char, 4096> block{};
    while (pipe != nullptr && fgets(block.data(), block.size(), pipe) != nullptr) {
      text += block.data();
    }
    EXPECT_EQ(pclose(pipe), 0) << line;
    return text;
  };
  EXPECT_EQ(complete("bamboowingctl con", 1), "config\n");
  EXPECT_EQ(complete("bamboowingctl job s", 2), "submit status\n");
  EXPECT_EQ(complete("bamboowingctl config apply --b", 3), "--base-version\n");
  EXPECT_EQ(complete("bamboowingctl completion b", 2), "bash\n");
  EXPECT_EQ(complete("bamboowingctl top --output j", 3), "json\n");
}

// Guards against docs pages that differ from the code. scripts/generate-reference updates them.
TEST(Reference, PagesAgreeWithTheCode) {
  for (const char* page : {"cli", "errors", "metrics"}) {
    const std::string text = ReadText(std::string(BAMBOOWING_SOURCE_DIR "/docs/") + page + ".md");
    const std::optional<std::string> expected = WithReference(text, page);
    ASSERT_TRUE(expected.has_value()) << page << ".md has no markers";
    EXPECT_EQ(text, *expected) << page << ".md is out of date";
  }
}

}  // namespace
}  // namespace bamboowing::ctl
