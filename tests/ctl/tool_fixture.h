/// @file
/// Runs bamboowingctl's commands in the test's process against a scripted server.
#pragma once

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/command.h"

namespace bamboowing::ctl {

/// Handles a request to the scripted server. nullopt simulates a connection failure with the error that it sets.
using server_script = std::function<std::optional<http_response>(const http_request&, failure&)>;

class scripted_client : public http_client {
 public:
  scripted_client(std::vector<http_request>& requests, server_script& script) : requests_(requests), script_(script) {}

  void SendAsync(const http_request& request, duration /*timeout*/, callback done) override {
    requests_.push_back(request);
    failure error;
    std::optional<http_response> response = script_(request, error);
    done(std::move(response), error);
  }

 private:
  std::vector<http_request>& requests_;
  server_script& script_;
};

inline http_response Reply(int status, const std::string& body) {
  http_response response;
  response.status = status;
  response.body = body;
  return response;
}

class tool_test : public ::testing::Test {
 protected:
  tool_test() : env_(out_, err_, in_) {
    env_.variables = {{"BAMBOOWINGCTL_ENTRY", "127.0.0.1:1"},
                      {"BAMBOOWINGCTL_OPERATOR", "127.0.0.1:2"},
                      {"BAMBOOWINGCTL_TOKEN_FILE", WriteTestFile("token", "secret\n")}};
    env_.connect = [this](std::string_view address, failure& /*error*/) {
      address_ = std::string(address);
      return std::make_unique<scripted_client>(requests_, script_);
    };
    env_.now = [this] { return now_; };
    env_.sleep = [this](duration length) { now_ += length; };
    env_.random_id = [this] { return "id-" + std::to_string(++last_id_); };
  }

  /// Writes a file that is removed at the end of the test, and returns its path.
  std::string WriteTestFile(const std::string& name, const std::string& text) {
    const std::string path = ::testing::TempDir() + "ctl_" + UniqueName() + "_" + name;
    std::ofstream(path) << text;
    files_.push_back(path);
    return path;
  }

  ~tool_test() override {
    for (const std::string& path : files_) {
      std::remove(path.c_str());
    }
  }

  /// Runs a command line; the output is in Out() and Err().
  int Run(const std::vector<std::string>& arguments) {
    out_.str({});
    err_.str({});
    return static_cast<int>(RunTool(arguments, env_));
  }

  std::string Out() const { return out_.str(); }
  std::string Err() const { return err_.str(); }

  std::ostringstream out_;
  std::ostringstream err_;
  std::istringstream in_;
  tool_environment env_;
  std::vector<http_request> requests_;
  server_script script_;
  std::string address_;
  instant now_;

 private:
  static std::string UniqueName() {
    const ::testing::TestInfo* info = ::testing::UnitTest::GetInstance()->current_test_info();
    return std::string(info->test_suite_name()) + "_" + info->name();
  }

  int last_id_ = 0;
  std::vector<std::string> files_;
};

}  // namespace bamboowing::ctl
