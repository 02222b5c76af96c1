#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>

#include "ctl/command.h"

namespace bamboowing::ctl {
namespace {

constexpr std::size_t kBlockBytes = 65536;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kLongestSeconds = 86400 * 7;  // a week; a longer wait is a mistake in the unit

command_failure FileFailure(const std::string& name, const std::string& what) {
  const std::string reason = "cannot " + what + " '" + name + "': " + std::strerror(errno);
  return {exit_code::kInvalidInput, failure(error_kind::kInvalidField, reason), "Check the path and its permissions."};
}

std::string Trimmed(const std::string& text) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

}  // namespace

invocation::invocation(tool_environment& env, const cxxopts::ParseResult& options)
    : env_(env), options_(options), print_(env, Text("output") == "json") {}

std::string invocation::Text(const std::string& name) const {
  return Has(name) ? options_[name].as<std::string>() : std::string();
}

std::vector<std::string> invocation::List(const std::string& name) const {
  return Has(name) ? options_[name].as<std::vector<std::string>>() : std::vector<std::string>();
}

std::optional<duration> invocation::Seconds(const std::string& name, command_failure& error) const {
  const double value = options_[name].as<double>();
  if (!(value > 0) || value > kLongestSeconds) {
    error = UsageFailure("--" + name + ": expected seconds above 0 and at most " +
                         std::to_string(static_cast<long>(kLongestSeconds)));
    return std::nullopt;
  }
  return duration(static_cast<std::int64_t>(value * kMicrosecondsPerSecond));
}

std::optional<std::string> invocation::ReadFile(const std::string& name, command_failure& error) {
  if (name == "-") {
    return std::string(std::istreambuf_iterator<char>(env_.in), std::istreambuf_iterator<char>());
  }
  std::ifstream file(name, std::ios::binary);
  std::string text;
  char block[kBlockBytes];
  while (file.read(block, sizeof block) || file.gcount() > 0) {
    text.append(block, static_cast<std::size_t>(file.gcount()));
  }
  // A directory opens well and fails at the first read.
  if (!file.is_open() || file.bad()) {
    error = FileFailure(name, "read");
    return std::nullopt;
  }
  return text;
}

bool invocation::WriteFile(const std::string& name, std::string_view text, command_failure& error) {
  std::ofstream file(name, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  if (!file) {
    error = FileFailure(name, "write");
    return false;
  }
  return true;
}

std::string invocation::TextOrVariable(const std::string& option, const std::string& variable) const {
  return Has(option) ? Text(option) : env_.Variable(variable);
}

std::unique_ptr<api_client> invocation::Connect(const std::string& address, std::string authorization,
                                                command_failure& error) {
  const std::optional<duration> timeout = Seconds("timeout", error);
  if (!timeout) {
    return nullptr;
  }
  failure why;
  std::unique_ptr<http_client> connection = env_.connect(address, why);
  if (connection == nullptr) {
    error = UsageFailure(why.reason, "Give the address as IP:PORT.");
    return nullptr;
  }
  return std::make_unique<api_client>(std::move(connection), address, std::move(authorization), *timeout);
}

std::unique_ptr<api_client> invocation::Entry(command_failure& error) {
  const std::string address = TextOrVariable("entry", "BAMBOOWINGCTL_ENTRY");
  if (address.empty()) {
    error = UsageFailure("no address of an entry",
                         "Pass --entry IP:PORT or set BAMBOOWINGCTL_ENTRY to the callers' address of an entry.");
    return nullptr;
  }
  return Connect(address, {}, error);
}

std::unique_ptr<api_client> invocation::Operator(command_failure& error) {
  const std::string address = TextOrVariable("operator", "BAMBOOWINGCTL_OPERATOR");
  if (address.empty()) {
    error = UsageFailure("no operators' address of an entry",
                         "Pass --operator IP:PORT or set BAMBOOWINGCTL_OPERATOR to the operators' address of an "
                         "entry.");
    return nullptr;
  }
  const std::string token_file = TextOrVariable("token-file", "BAMBOOWINGCTL_TOKEN_FILE");
  if (token_file.empty()) {
    error =
        UsageFailure("no file with the operators' token", "Pass --token-file FILE or set BAMBOOWINGCTL_TOKEN_FILE.");
    return nullptr;
  }
  const std::optional<std::string> token = ReadFile(token_file, error);
  if (!token) {
    return nullptr;
  }
  if (Trimmed(*token).empty()) {
    error = {exit_code::kInvalidInput, failure(error_kind::kInvalidField, "'" + token_file + "' holds no token"),
             "Write the operators' token into the file."};
    return nullptr;
  }
  return Connect(address, "Bearer " + Trimmed(*token), error);
}

}  // namespace bamboowing::ctl
