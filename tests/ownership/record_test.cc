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

// Guards against an epoch or incarnation that wraps or is undefined, and against a stack overflow: a shard with such a
// record could never be claimed again.
TEST(ShardRecord, RejectsValuesOutOfRange) {
  const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
  const std::string start = R"({"home":"e","addresses":["127.0.0.1:1"],"released":true,"agents":[],"lost":[],)";
  failure error;
  ASSERT_TRUE(DecodeShardRecord(start + R"("life":1,"epoch":2,"write_id":"w"})", error).has_value()) << error.reason;
  ASSERT_TRUE(DecodeShardHolder(start + R"("life":1,"epoch":2,"write_id":"w"})", error).has_value()) << error.reason;
  for (const std::string& rest :
       {std::string(R"("life":-1,"epoch":2,"write_id":"w"})"), std::string(R"("life":1,"epoch":-2,"write_id":"w"})"),
        std::string(R"("life":1,"epoch":1e300,"write_id":"w"})"),
        std::string(R"("life":1.5,"epoch":2,"write_id":"w"})"),
        R"("life":1,"epoch":2,"write_id":"w","x":)" + deep + "}", R"("life":1,"epoch":2,"write_id":)" + deep + "}"}) {
    EXPECT_FALSE(DecodeShardRecord(start + rest, error).has_value()) << rest.substr(0, 60);
    EXPECT_FALSE(DecodeShardHolder(start + rest, error).has_value()) << rest.substr(0, 60);
  }
}

// Guards against an entry that relays calls to an address at which no leader can be reached, instead of keeping the
// holder that it knows.
TEST(ShardHolder, RejectsMalformedAddresses) {
  for (const char* address : {"127.0.0.1:99999", "127.0.0.1:0", "a.example:80", "unix:/x", ""}) {
    failure error;
    const std::string text = std::string(R"({"home":"e","life":1,"epoch":2,"write_id":"w","addresses":[")") + address;
    EXPECT_FALSE(DecodeShardHolder(text + "\"]}", error).has_value()) << address;
  }
}

}  // namespace
}  // namespace bamboowing
