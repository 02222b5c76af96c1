#include "bamboowing/observe/event_line.h"

#include <gtest/gtest.h>

namespace bamboowing {
namespace {

event FullEvent() {
  event record;
  record.kind = event_kind::kTaskRefused;
  record.at = instant(duration(-17));
  record.job_id = "job \"1\"\n";
  record.task = 0;
  record.peer = "agent-3";
  record.number = UINT64_MAX;
  record.detail = "späte";
  record.attempt = 2;
  record.count = 0;
  record.error = error_kind::kStaleEpoch;
  record.not_run = not_run_state::kYes;
  record.sequence = 9;
  record.idempotent = true;
  return record;
}

const process_identity kProcess = {"entry-1", UINT64_MAX, "entry", "Hobart"};

// Guards against a field that is written but not read back, and against rounding of 64-bit numbers.
TEST(EventLine, RoundTripsEveryField) {
  failure error;
  const event sent = FullEvent();
  const std::string line = FormatEvent(sent, kProcess);
  EXPECT_EQ(line.find('\n'), std::string::npos);
  const std::optional<recorded_event> read = ParseEvent(line, error);
  ASSERT_TRUE(read.has_value()) << error.reason;
  EXPECT_EQ(read->process, kProcess);
  EXPECT_EQ(read->record.kind, sent.kind);
  EXPECT_EQ(read->record.at, sent.at);
  EXPECT_EQ(read->record.job_id, sent.job_id);
  EXPECT_EQ(read->record.task, sent.task);
  EXPECT_EQ(read->record.peer, sent.peer);
  EXPECT_EQ(read->record.number, sent.number);
  EXPECT_EQ(read->record.detail, sent.detail);
  EXPECT_EQ(read->record.attempt, sent.attempt);
  EXPECT_EQ(read->record.count, sent.count);
  EXPECT_EQ(read->record.error, sent.error);
  EXPECT_EQ(read->record.not_run, sent.not_run);
  EXPECT_EQ(read->record.sequence, sent.sequence);
  EXPECT_EQ(read->record.idempotent, sent.idempotent);
}

// Guards against a kind whose name cannot be read back, and against empty fields in the line.
TEST(EventLine, RoundTripsEveryKindAndOmitsEmptyFields) {
  for (int i = 0; i < kEventKindCount; ++i) {
    event record;
    record.kind = static_cast<event_kind>(i);
    failure error;
    const std::string line = FormatEvent(record, kProcess);
    EXPECT_EQ(line.find("task\":"), std::string::npos) << line;
    const std::optional<recorded_event> read = ParseEvent(line, error);
    ASSERT_TRUE(read.has_value()) << error.reason;
    EXPECT_EQ(read->record.kind, record.kind);
    EXPECT_EQ(read->record.task, -1);
  }
}

// Guards against a thrown exception or an invalid line when a caller's job id is not UTF-8.
TEST(EventLine, ReplacesInvalidUtf8) {
  event record;
  record.job_id = "a\xff";
  failure error;
  EXPECT_TRUE(ParseEvent(FormatEvent(record, kProcess), error).has_value());
}

// Guards against a damaged line, or one of another format, that is accepted as an event.
TEST(EventLine, ReportsTheInvalidField) {
  const std::string good = FormatEvent(FullEvent(), kProcess);
  const std::pair<std::string, std::string> cases[] = {{"\"event\":\"task_refused\"", "\"event\":\"no_such\""},
                                                       {"\"at_us\":-17", "\"at_us\":\"x\""},
                                                       {"\"task\":0", "\"task\":-4"},
                                                       {"\"not_run\":\"yes\"", "\"not_run\":\"maybe\""},
                                                       {"\"error\":\"stale_epoch\"", "\"error\":\"bad\""},
                                                       {"\"process\":\"entry-1\"", "\"process\":7"},
                                                       {"\"incarnation\":\"1844", "\"incarnation\":\"x1844"},
                                                       {"\"sequence\":9", "\"sequence\":9.5"},
                                                       {"\"idempotent\":true", "\"idempotent\":1"}};
  for (const std::pair<std::string, std::string>& wrong : cases) {
    std::string line = good;
    const std::size_t position = line.find(wrong.first);
    ASSERT_NE(position, std::string::npos) << wrong.first;
    line.replace(position, wrong.first.size(), wrong.second);
    failure error;
    EXPECT_FALSE(ParseEvent(line, error).has_value()) << line;
    const std::string field = wrong.first.substr(1, wrong.first.find('"', 1) - 1);
    EXPECT_NE(error.reason.find("'" + field + "'"), std::string::npos) << error.reason;
  }
  failure error;
  EXPECT_FALSE(ParseEvent(good.substr(0, good.size() / 2), error).has_value());
  EXPECT_FALSE(ParseEvent("[]", error).has_value());
  EXPECT_FALSE(ParseEvent("", error).has_value());
}

}  // namespace
}  // namespace bamboowing
