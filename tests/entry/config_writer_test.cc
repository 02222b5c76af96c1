#include "bamboowing/entry/config_writer.h"

#include <gtest/gtest.h>

namespace bamboowing {
namespace {

/// Runs a write with @p write_id on base version 1 while the store holds @p stored as version 2.
config_write_result ResultOfConflict(const std::string& write_id, const std::string& stored) {
  config_writer writer;
  std::uint64_t next_id = 0;
  std::vector<entry_action> actions;
  writer.Begin(7, 1, "unused", write_id, instant(), next_id, actions);
  store_result conflict;
  conflict.outcome = store_outcome::kConflict;
  EXPECT_TRUE(writer.OnResult(next_id, conflict, instant(), next_id, actions));
  store_result read;
  read.outcome = store_outcome::kOk;
  read.value = stored;
  read.version = 2;
  EXPECT_TRUE(writer.OnResult(next_id, read, instant(), next_id, actions));
  std::vector<config_write_result> results;
  writer.TakeResults(results);
  EXPECT_EQ(results.size(), 1U);
  return results.empty() ? config_write_result{} : results[0];
}

constexpr const char* kStored = R"({"write_id": "write-0001", "services": [{"name": "seal-check"}],
                                    "teams": [{"name": "bench"}]})";

// Guards against a failed write that is reported as successful because its id occurs as other text in the stored
// document.
TEST(ConfigWriter, ReportsAConflictUnlessTheStoredWriteIdIsTheSame) {
  EXPECT_FALSE(ResultOfConflict("write-0001", kStored).error.has_value());
  for (const char* id : {"services", "seal-check", "write-000", "write-0002"}) {
    const config_write_result result = ResultOfConflict(id, kStored);
    ASSERT_TRUE(result.error.has_value()) << id;
    EXPECT_EQ(result.error->kind, error_kind::kConflict);
    EXPECT_EQ(result.current, kStored);
  }
}

}  // namespace
}  // namespace bamboowing
