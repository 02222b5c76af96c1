/// @file
/// The commands of bamboowingctl.
#pragma once

#include <cxxopts.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/api.h"
#include "ctl/output.h"

namespace bamboowing::ctl {

/// The parsed options, the output and the server clients of one command invocation.
class command_context {
 public:
  command_context(tool_environment& env, const cxxopts::ParseResult& options);

  tool_environment& env() { return env_; }
  printer& print() { return print_; }
  const cxxopts::ParseResult& options() const { return options_; }

  /// Whether the option was given on the command line. Default values do not count.
  bool HasOption(const std::string& name) const { return options_.count(name) > 0; }

  /// The value of a string option; empty if it was not given.
  std::string TextOption(const std::string& name) const;

  /// The values of a positional option; empty if none was given.
  std::vector<std::string> ListOption(const std::string& name) const;

  /// The value of an option in seconds. Returns nullopt and sets @p error unless it is above 0 and at most a week.
  std::optional<duration> DurationOption(const std::string& name, command_failure& error) const;

  /// Reads a whole file, or standard input if @p name is "-". Returns nullopt and sets @p error on failure.
  std::optional<std::string> ReadFile(const std::string& name, command_failure& error);

  /// Creates or overwrites a file. Returns false and sets @p error on failure.
  bool WriteFile(const std::string& name, std::string_view text, command_failure& error);

  /// Makes a client for the caller API at --entry or BAMBOOWINGCTL_ENTRY. Returns null and sets @p error on failure.
  std::unique_ptr<api_client> MakeEntryClient(command_failure& error);

  /// Makes a client for the operator API at --operator or BAMBOOWINGCTL_OPERATOR, with the token in --token-file or
  /// BAMBOOWINGCTL_TOKEN_FILE. Returns null and sets @p error on failure.
  std::unique_ptr<api_client> MakeOperatorClient(command_failure& error);

 private:
  std::string OptionOrVariable(const std::string& option, const std::string& variable) const;
  std::unique_ptr<api_client> MakeClient(const std::string& address, std::string authorization, command_failure& error);

  tool_environment& env_;
  const cxxopts::ParseResult& options_;
  printer print_;
};

/// The API that a command uses, which determines its address options.
enum class command_server { kNone, kEntry, kOperator };

/// Name, options and implementation of a command.
struct command_spec {
  std::string_view name;          ///< "job submit"
  std::string_view summary;       ///< one sentence
  std::string_view operand_name;  ///< name of the positional argument in the help; empty if there is none
  command_server server = command_server::kNone;
  bool operand_repeatable = false;              ///< whether the positional argument may be repeated
  bool operand_required = true;                 ///< whether the positional argument must be given
  void (*define)(cxxopts::Options&) = nullptr;  ///< adds the command's own options; may be null
  exit_code (*run)(command_context& context) = nullptr;
  std::string_view operand_values = {};  ///< values for completion of the positional argument, separated by spaces
};

/// Name of the positional argument among the parsed options; the help does not show it.
inline constexpr const char* kOperand = "operand";

/// All commands, in the order of the help.
span<const command_spec> Commands();

/// The options of @p command, with the common ones, as its --help shows them.
cxxopts::Options OptionsOf(const command_spec& command);

/// The text of `bamboowingctl --help`.
std::string GeneralHelp();

/// Runs a command. @p arguments are the command-line arguments without the program name.
exit_code RunTool(const std::vector<std::string>& arguments, tool_environment& env);

exit_code RunJobSubmit(command_context& context);
exit_code RunJobStatus(command_context& context);
exit_code RunJobCancel(command_context& context);
exit_code RunConfigValidate(command_context& context);
exit_code RunConfigDiff(command_context& context);
exit_code RunConfigApply(command_context& context);
exit_code RunConfigShow(command_context& context);
exit_code RunTargetList(command_context& context);
exit_code RunTargetDrain(command_context& context);
exit_code RunInstanceList(command_context& context);
exit_code RunTimeline(command_context& context);
exit_code RunMetrics(command_context& context);
exit_code RunTop(command_context& context);
exit_code RunCompletion(command_context& context);

void DefineJobSubmit(cxxopts::Options& options);
void DefineJobStatus(cxxopts::Options& options);
void DefineConfigValidate(cxxopts::Options& options);
void DefineConfigDiff(cxxopts::Options& options);
void DefineConfigApply(cxxopts::Options& options);
void DefineTargetList(cxxopts::Options& options);
void DefineTargetDrain(cxxopts::Options& options);
void DefineTimeline(cxxopts::Options& options);
void DefineMetrics(cxxopts::Options& options);
void DefineTop(cxxopts::Options& options);

}  // namespace bamboowing::ctl
