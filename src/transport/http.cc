#include "bamboowing/transport/http.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace bamboowing {

http_response ErrorResponse(const failure& why) {
  const error_row& row = ErrorRow(why.kind);
  nlohmann::json body = {{"kind", row.name}, {"reason", why.reason}, {"not_run", NotRunName(why.not_run)}};
  if (why.retry_after) {
    body["retry_after_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*why.retry_after).count();
  }
  http_response response;
  response.status = row.http_status;
  // Reasons can quote what a caller sent, which need not be valid UTF-8.
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  response.retry_after = why.retry_after;
  return response;
}

}  // namespace bamboowing
