#include <gtest/gtest.h>

#include "bamboowing/ownership/shard_record.h"

namespace bamboowing {
namespace {

// Guards against a field that is written but not read back: a new leader would miss an agent, or handle a released
// shard as a crashed one.
TEST(ShardRecord, EncodingKeepsEveryField) {
  const shard_record record{"entry-1", 18446744073709551615ULL, {"127.0.0.1:7001"},           7,
                            true,      {{"a", 1}, {"b", 2}},    {{"c", 9007199254740993ULL}}, "entry-1/3/4"};
  failure error;
  const std::optional<shard_record> read = DecodeShardRecord(EncodeShardRecord(record), error);
  ASSERT_TRUE(read.has_value()) << error.reason;
  EXPECT_TRUE(*read == record);
}

// Guards against reading a corrupt record as an empty one, which could be claimed without waiting.
TEST(ShardRecord, RejectsCorruptText) {
  for (const char* text : {"", "{", "[]", "{}", R"({"home":1})", "null"}) {
    failure error;
    EXPECT_FALSE(DecodeShardRecord(text, error).has_value()) << text;
    EXPECT_FALSE(DecodeShardHolder(text, error).has_value()) << text;
    EXPECT_FALSE(error.reason.empty());
  }
}

}  // namespace
}  // namespace bamboowing
