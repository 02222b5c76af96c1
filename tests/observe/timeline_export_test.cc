#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "bamboowing/observe/timeline.h"
#include "bamboowing/observe/timeline_spans.h"
#include "timeline_builder.h"

namespace bamboowing {
namespace {

using kind = event_kind;
using nlohmann::json;

/// One job of two overlapping tasks, on one entry and one agent.
timeline OneJob() {
  log_builder log;
  log.AddProcess("entry-1", "entry", duration(1'000'000));
  log.AddProcess("agent-<1>", "agent");
  log.At(0, "entry-1", kind::kJobAccepted, "a&b").count = 2;
  log.At(1000, "entry-1", kind::kTaskSent, "a&b", 0);
  log.At(1000, "entry-1", kind::kTaskSent, "a&b", 1);
  log.At(2000, "agent-<1>", kind::kTaskStarted, "a&b", 0);
  log.At(2000, "agent-<1>", kind::kTaskStarted, "a&b", 1);
  log.At(5000, "agent-<1>", kind::kTaskAnswered, "a&b", 0);
  log.At(6000, "entry-1", kind::kTaskAnswered, "a&b", 0);
  log.At(7000, "agent-<1>", kind::kTaskAnswered, "a&b", 1);
  log.At(8000, "entry-1", kind::kTaskAnswered, "a&b", 1);
  log.At(8001, "entry-1", kind::kJobCompleted, "a&b").count = 2;
  log.At(9000, "entry-1", kind::kJobAccepted, "other");
  return log.Merge();
}

// Guards against overlapping spans that are drawn in one row, and against a confusion of the in-flight and run spans.
TEST(TimelineSpans, OverlappingSpansHaveDifferentRows) {
  const timeline job = SelectJob(OneJob(), "a&b");
  std::map<span_kind, std::set<std::size_t>> rows;
  for (const timeline_span& one : FindSpans(job)) {
    EXPECT_EQ(job.entries[one.begin].process, job.entries[one.end].process);
    EXPECT_TRUE(rows[one.kind].insert(one.row).second);
  }
  EXPECT_EQ(rows[span_kind::kRun].size(), 2U);
  EXPECT_EQ(rows[span_kind::kInFlight].size(), 2U);
  EXPECT_EQ(rows[span_kind::kJob].size(), 1U);
}

// Guards against a selection that shows other jobs, or keeps links to events that it omits.
TEST(Timeline, SelectsAJobOrAWindow) {
  const timeline all = OneJob();
  EXPECT_EQ(SelectJob(all, "a&b").entries.size(), 10U);
  EXPECT_EQ(SelectJob(all, "none").entries.size(), 0U);
  const timeline window = SelectWindow(all, duration(1500), duration(5500));
  EXPECT_EQ(window.entries.size(), 3U);
  EXPECT_TRUE(window.links.empty());
}

// Guards against a trace file that the viewer rejects: spans without an end, items without a time or process.
TEST(ChromeTrace, IsCompleteJson) {
  const json file = json::parse(FormatChromeTrace(SelectJob(OneJob(), "a&b")));
  std::map<std::string, int> phases;
  std::map<int, int> open;
  for (const json& item : file.at("traceEvents")) {
    const std::string phase = item.at("ph");
    ++phases[phase];
    EXPECT_TRUE(item.at("pid").is_number());
    if (phase != "M") {
      EXPECT_GE(item.at("ts").get<std::int64_t>(), 0);
    }
    if (phase == "b" || phase == "e") {
      open[item.at("id")] += phase == "b" ? 1 : -1;
    }
  }
  for (const std::pair<const int, int>& one : open) {
    EXPECT_EQ(one.second, 0);
  }
  EXPECT_EQ(phases["M"], 2);
  EXPECT_EQ(phases["b"], 5);
  EXPECT_EQ(phases["i"], 10);
  EXPECT_EQ(phases["s"], 4);
  EXPECT_EQ(phases["f"], 4);
}

// Guards against callers' ids that break the HTML, and against a page that loads other files.
TEST(TimelineHtml, EscapesTextAndIsSelfContained) {
  const std::string page = FormatTimelineHtml(OneJob(), "job <a&b>");
  EXPECT_NE(page.find("<title>job &lt;a&amp;b&gt;</title>"), std::string::npos);
  EXPECT_NE(page.find("agent-&lt;1&gt;"), std::string::npos);
  EXPECT_EQ(page.find("agent-<1>"), std::string::npos);
  EXPECT_NE(page.find("<rect class=\"run\""), std::string::npos);
  EXPECT_NE(page.find("<line class=\"link\""), std::string::npos);
  EXPECT_EQ(page.find("src="), std::string::npos);
  EXPECT_EQ(page.find("href="), std::string::npos);
}

// Guards against a page of hundreds of megabytes, and against events that are omitted without a note.
TEST(TimelineHtml, BoundsTheNumberOfEvents) {
  log_builder log;
  log.AddProcess("entry-1", "entry");
  for (int i = 0; i < 10007; ++i) {
    log.At(i, "entry-1", kind::kLeaseRenewed);
  }
  const std::string page = FormatTimelineHtml(log.Merge(), "leases");
  EXPECT_NE(page.find("7 later events are left out"), std::string::npos);
}

// Guards against a text form that hides the process, the time or a contradiction.
TEST(TimelineText, ShowsTimeProcessAndEvent) {
  const std::string text = FormatTimeline(SelectJob(OneJob(), "a&b"));
  EXPECT_NE(text.find("0.000 ms  entry-1    job_accepted job a&b count 2\n"), std::string::npos) << text;
  EXPECT_NE(text.find("agent-<1>  task_started job a&b task 1\n"), std::string::npos) << text;
  timeline broken = OneJob();
  broken.contradictions.emplace_back("clocks of x");
  EXPECT_NE(FormatTimeline(broken).find("contradiction: clocks of x\n"), std::string::npos);
}

}  // namespace
}  // namespace bamboowing
