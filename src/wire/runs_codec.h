/// @file
/// Wire form of the messages about runs of best-effort jobs.
#pragma once

#include "convert.h"

namespace bamboowing::detail {

void WriteRunRequests(const run_requests& requests, rpc::RunOrders::Builder out);
run_requests ReadRunRequests(rpc::RunOrders::Reader in);

void WriteReport(const run_report& report, rpc::RunReport::Builder out);
/// Returns false if a value is out of range.
bool ReadReport(rpc::RunReport::Reader in, run_report& report);

}  // namespace bamboowing::detail
