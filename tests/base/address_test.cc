#include "bamboowing/base/address.h"

#include <gtest/gtest.h>

#include <string>

namespace bamboowing {
namespace {

// Guards against a client of an address at which no process can listen: its refused connections look like the end of
// the process.
TEST(RemoteEndpoint, RejectsAddressesThatNoProcessCanHave) {
  failure error;
  for (const std::string& text :
       {std::string("127.0.0.1:0"), std::string("127.0.0.1:65536"), std::string("127.0.0.1:99999"),
        std::string("127.0.0.1:-1"), std::string("127.0.0.1:-0"), std::string("127.0.0.1:0000000080"),
        std::string("127.0.0.1:8e3"), std::string("127.0.0.1:"), std::string("127.0.0.1"), std::string("host:80"),
        std::string("1.2.3:80"), std::string(":80"), std::string("*:80"), std::string("unix:80"), std::string(),
        std::string("127.0.0.1\0:80", 13), std::string(1U << 20U, '1')}) {
    EXPECT_FALSE(ParseRemoteEndpoint(text, error).has_value()) << text;
    EXPECT_LT(error.reason.size(), 200U);
  }
}

// Guards against the rejection of a valid address.
TEST(RemoteEndpoint, AcceptsNumericAddresses) {
  failure error;
  const std::optional<ip_endpoint> parsed = ParseRemoteEndpoint("10.128.0.9:65535", error);
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed->host, "10.128.0.9");
  EXPECT_EQ(parsed->port, 65535);
  EXPECT_TRUE(ParseEndpoint("127.0.0.1:0", error).has_value());
}

}  // namespace
}  // namespace bamboowing
