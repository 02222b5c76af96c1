// Serves the console and the operator API from an in-memory document, for the browser test. Prints its port and
// exits when its standard input is closed.
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>
#include <utility>

#include "bamboowing/base/error.h"
#include "bamboowing/intent/operator_api.h"
#include "bamboowing/transport/http_server.h"

namespace {

using bamboowing::config_version;
using bamboowing::error_kind;
using bamboowing::ErrorResponse;
using bamboowing::failure;
using bamboowing::http_request;
using bamboowing::http_response;
using bamboowing::intent_report;
using bamboowing::operator_answer;

constexpr const char* kAuthorization = "Bearer test-token";

http_response ToHttpResponse(const operator_answer& answer) {
  http_response response;
  response.status = answer.status;
  response.content_type = answer.content_type;
  response.body = answer.body;
  return response;
}

/// Holds the current document, which is replaced by compare-and-swap as in the key-value service.
class config_state {
 public:
  /// @param text the initial document; it must be valid
  explicit config_state(const std::string& text) : report_(bamboowing::CheckIntent(text)) {}

  operator_answer Get() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return bamboowing::ConfigResponse(version_, &*report_.document);
  }

  operator_answer Put(const std::string& text, config_version base) {
    intent_report report = bamboowing::CheckIntent(text);
    if (!report.document) {
      return bamboowing::InvalidDocumentResponse(report);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::uint32_t shards = report_.document->services.front().shards;
    if (report.document->services.front().shards != shards) {
      const std::string found = std::to_string(report.document->services.front().shards);
      report.errors.push_back(
          {"services[0].shards", found, std::to_string(shards) + ", or a new service with another name"});
      return bamboowing::InvalidDocumentResponse(report);
    }
    if (base != version_) {
      return bamboowing::ConflictResponse(base, version_, &*report_.document);
    }
    report_ = std::move(report);
    return bamboowing::WriteResponse(++version_);
  }

 private:
  std::mutex mutex_;
  config_version version_ = 1;
  intent_report report_;
};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Returns a file of the console, with the test script added if the query has `test`.
http_response Page(const operator_answer& file, const http_request& request) {
  http_response response = ToHttpResponse(file);
  const std::size_t end = response.body.rfind("</body>");
  if (request.query.count("test") != 0 && end != std::string::npos) {
    response.body.insert(end, "<script type=\"module\" src=\"/test/drive.js\"></script>\n");
  }
  return response;
}

http_response HandleOperatorCall(config_state& state, const http_request& request) {
  if (request.authorization != kAuthorization) {
    return ErrorResponse(failure(error_kind::kUnauthorized, "the token is not valid"));
  }
  const std::optional<operator_answer> answer =
      bamboowing::HandleStatelessRequest(request.method, request.path, request.body);
  if (answer) {
    return ToHttpResponse(*answer);
  }
  if (request.path == "/operator/v1/config" && request.method == "GET") {
    return ToHttpResponse(state.Get());
  }
  if (request.path == "/operator/v1/config" && request.method == "PUT") {
    return ToHttpResponse(state.Put(request.body, std::stoull(request.query.at("base_version"))));
  }
  return ErrorResponse(failure(error_kind::kNotFound, "no such call"));
}

http_response Answer(config_state& state, const std::string& test_directory, const http_request& request) {
  if (request.path == "/test/drive.js" || request.path == "/test/phone.html") {
    http_response response;
    response.content_type = request.path == "/test/drive.js" ? "text/javascript" : "text/html";
    response.body = ReadFile(test_directory + request.path.substr(std::string("/test").size()));
    return response;
  }
  const std::optional<operator_answer> file = bamboowing::ConsoleFile(request.path);
  return file ? Page(*file, request) : HandleOperatorCall(state, request);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: console_server DIRECTORY_OF_TEST_SCRIPTS\n";
    return 2;
  }
  const std::string test_directory = argv[1];
  config_state state(ReadFile(test_directory + "/document.yaml"));
  failure error;
  const std::unique_ptr<bamboowing::http_server> server = bamboowing::http_server::Open(
      "127.0.0.1:0",
      [&state, &test_directory](const http_request& request, const bamboowing::http_server::responder& respond) {
        respond(Answer(state, test_directory, request));
      },
      bamboowing::http_limits{}, error);
  if (server == nullptr) {
    std::cerr << error.reason << "\n";
    return 1;
  }
  std::cout << server->port() << std::endl;
  std::string line;
  while (std::getline(std::cin, line)) {
  }
  server->Close();
  return 0;
}
