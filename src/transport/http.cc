#include "bamboowing/transport/http.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace bamboowing {

http_response ErrorResponse(const failure& error) {
  const error_row& row = ErrorRow(error.kind);
  nlohmann::json body = {{"kind", row.name}, {"reason", error.reason}, {"not_run", NotRunName(error.not_run)}};
  if (error.retry_after) {
    body["retry_after_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*error.retry_after).count();
  }
  http_response response;
  response.status = row.http_status;
  // Reasons can quote caller input, which need not be valid UTF-8.
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  response.retry_after = error.retry_after;
  return response;
}

}  // namespace bamboowing
