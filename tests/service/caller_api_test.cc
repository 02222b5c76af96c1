#include "bamboowing/service/caller_api.h"

#include <gtest/gtest.h>

namespace bamboowing {
namespace {

std::optional<caller_request> Submit(const std::string& payload, failure& error) {
  http_request request;
  request.method = "POST";
  request.path = "/v1/requests";
  request.body = R"({"job_id":"j","team":"t","service":"s","deadline_ms":1000,"payload":)" + payload + "}";
  return ParseCall(request, error);
}

// Guards against an entry that ends because a caller's payload is nested so deeply that writing it exhausts the stack.
TEST(CallerApi, RefusesADeeplyNestedPayload) {
  failure error;
  EXPECT_TRUE(Submit(R"({"a":[1,{"b":2}]})", error).has_value()) << error.reason;
  for (const std::size_t levels : {100U, 100'000U, 400'000U}) {
    EXPECT_FALSE(Submit(std::string(levels, '[') + std::string(levels, ']'), error).has_value());
    EXPECT_EQ(error.kind, error_kind::kInvalidJson);
    EXPECT_EQ(error.not_run, not_run_state::kYes);
  }
}

}  // namespace
}  // namespace bamboowing
