#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>

#include "ctl/command.h"

namespace bamboowing::ctl {
namespace {

constexpr std::size_t kReadBufferBytes = 65536;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kMaxSeconds = 86400 * 7;  // one week; a larger value is probably in the wrong unit

command_failure FileFailure(const std::string& name, const std::string& operation) {
  const std::string reason = "cannot " + operation + " '" + name + "': " + std::strerror(errno);
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

command_context::command_context(tool_environment& env, const cxxopts::ParseResult& options)
    : env_(env), options_(options), print_(env, TextOption("output") == "json") {}

std::string command_context::TextOption(const std::string& name) const {
  return HasOption(name) ? options_[name].as<std::string>() : std::string();
}

std::vector<std::string> command_context::ListOption(const std::string& name) const {
  return HasOption(name) ? options_[name].as<std::vector<std::string>>() : std::vector<std::string>();
}

std::optional<duration> command_context::DurationOption(const std::string& name, command_failure& error) const {
  const double value = options_[name].as<double>();
  if (!(value > 0) || value > kMaxSeconds) {
    error = UsageFailure("--" + name + ": expected seconds above 0 and at most " +
                         std::to_string(static_cast<long>(kMaxSeconds)));
    return std::nullopt;
  }
  return duration(static_cast<std::int64_t>(value * kMicrosecondsPerSecond));
}

std::optional<std::string> command_context::ReadFile(const std::string& name, command_failure& error) {
  if (name == "-") {
    return std::string(std::istreambuf_iterator<char>(env_.in), std::istreambuf_iterator<char>());
  }
  std::ifstream file(name, std::ios::binary);
  std::string text;
  char block[kReadBufferBytes];
  while (file.read(block, sizeof block) || file.gcount() > 0) {
    text.append(block, static_cast<std::size_t>(file.gcount()));
  }
  // Opening a directory succeeds; only the first read fails.
  if (!file.is_open() || file.bad()) {
    error = FileFailure(name, "read");
    return std::nullopt;
  }
  return text;
}

bool command_context::WriteFile(const std::string& name, std::string_view text, command_failure& error) {
  std::ofstream file(name, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  if (!file) {
    error = FileFailure(name, "write");
    return false;
  }
  return true;
}

std::string command_context::OptionOrVariable(const std::string& option, const std::string& variable) const {
  return HasOption(option) ? TextOption(option) : env_.Variable(variable);
}

std::unique_ptr<api_client> command_context::MakeClient(const std::string& address, std::string authorization,
                                                        command_failure& error) {
  const std::optional<duration> timeout = DurationOption("timeout", error);
  if (!timeout) {
    return nullptr;
  }
  failure open_error;
  std::unique_ptr<http_client> connection = env_.connect(address, open_error);
  if (connection == nullptr) {
    error = UsageFailure(open_error.reason, "Give the address as IP:PORT.");
    return nullptr;
  }
  return std::make_unique<api_client>(std::move(connection), address, std::move(authorization), *timeout);
}

std::unique_ptr<api_client> command_context::MakeEntryClient(command_failure& error) {
  const std::string address = OptionOrVariable("entry", "BAMBOOWINGCTL_ENTRY");
  if (address.empty()) {
    error = UsageFailure("no address of an entry",
                         "Pass --entry IP:PORT or set BAMBOOWINGCTL_ENTRY to the callers' address of an entry.");
    return nullptr;
  }
  return MakeClient(address, {}, error);
}

std::unique_ptr<api_client> command_context::MakeOperatorClient(command_failure& error) {
  const std::string address = OptionOrVariable("operator", "BAMBOOWINGCTL_OPERATOR");
  if (address.empty()) {
    error = UsageFailure("no operators' address of an entry",
                         "Pass --operator IP:PORT or set BAMBOOWINGCTL_OPERATOR to the operators' address of an "
                         "entry.");
    return nullptr;
  }
  const std::string token_file = OptionOrVariable("token-file", "BAMBOOWINGCTL_TOKEN_FILE");
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
  return MakeClient(address, "Bearer " + Trimmed(*token), error);
}

}  // namespace bamboowing::ctl
