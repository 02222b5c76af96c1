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

/// One invocation of a command, after its options were parsed.
class command_context {
 public:
  command_context(tool_environment& env, const cxxopts::ParseResult& options);

  tool_environment& env() { return env_; }
  printer& print() { return print_; }
  const cxxopts::ParseResult& options() const { return options_; }

  /// Whether the option was given.
  bool HasOption(const std::string& name) const { return options_.count(name) > 0; }

  /// The value of a text option, or empty.
  std::string TextOption(const std::string& name) const;

  /// The arguments of a positional option.
  std::vector<std::string> ListOption(const std::string& name) const;

  /// A duration option in seconds. Returns nullopt and fills @p error when it is not a number above 0.
  std::optional<duration> DurationOption(const std::string& name, command_failure& error) const;

  /// Reads a file; "-" reads standard input.
  std::optional<std::string> ReadFile(const std::string& name, command_failure& error);

  /// Writes a file.
  bool WriteFile(const std::string& name, std::string_view text, command_failure& error);

  /// A client of the callers' interface: --entry or BAMBOOWINGCTL_ENTRY.
  std::unique_ptr<api_client> MakeEntryClient(command_failure& error);

  /// A client of the operators' interface: --operator or BAMBOOWINGCTL_OPERATOR, with the token of --token-file or
  /// BAMBOOWINGCTL_TOKEN_FILE.
  std::unique_ptr<api_client> MakeOperatorClient(command_failure& error);

 private:
  std::string OptionOrVariable(const std::string& option, const std::string& variable) const;
  std::unique_ptr<api_client> MakeClient(const std::string& address, std::string authorization, command_failure& error);

  tool_environment& env_;
  const cxxopts::ParseResult& options_;
  printer print_;
};

/// Which addresses a command takes.
enum class command_server { kNone, kEntry, kOperator };

/// One command.
struct command_spec {
  std::string_view name;          ///< "job submit"
  std::string_view summary;       ///< one sentence
  std::string_view operand_name;  ///< name of the positional argument for the help; empty when there is none
  command_server server = command_server::kNone;
  bool operand_repeatable = false;              ///< whether the positional argument may occur several times
  bool operand_required = true;                 ///< whether the positional argument must be given
  void (*define)(cxxopts::Options&) = nullptr;  ///< adds the command's own options; may be null
  exit_code (*run)(command_context& context) = nullptr;
  std::string_view operand_values =
      {};  ///< fixed values of the positional argument, separated by spaces, for completion
};

/// Name of the positional argument among the parsed options.
inline constexpr const char* kOperand = "operand";

/// All commands, in the order of the help.
span<const command_spec> Commands();

/// The options of @p one, as its --help shows them.
cxxopts::Options OptionsOf(const command_spec& command);

/// Help of the tool as a whole.
std::string GeneralHelp();

/// Runs the command line @p arguments, which does not contain the program's name.
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
