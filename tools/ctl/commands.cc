#include <algorithm>
#include <array>
#include <set>
#include <sstream>

#include "ctl/command.h"

namespace bamboowing::ctl {
namespace {

using server = command_server;

constexpr std::array<command_spec, 14> kCommands = {{
    {"job submit", "Submit a job from a JSON file ('-' reads standard input) and wait for its answer.", "FILE",
     server::kEntry, false, true, DefineJobSubmit, RunJobSubmit},
    {"job status", "Show the state of a job.", "JOB", server::kEntry, false, true, DefineJobStatus, RunJobStatus},
    {"job cancel", "Cancel a job.", "JOB", server::kEntry, false, true, nullptr, RunJobCancel},
    {"config validate", "Check a configuration document without changing anything.", "FILE", server::kOperator, false,
     true, DefineConfigValidate, RunConfigValidate},
    {"config diff", "Show what a document would change.", "FILE", server::kOperator, false, true, DefineConfigDiff,
     RunConfigDiff},
    {"config apply", "Put a document in force.", "FILE", server::kOperator, false, true, DefineConfigApply,
     RunConfigApply},
    {"config show", "Show the document in force and its version.", "", server::kOperator, false, false, nullptr,
     RunConfigShow},
    {"target list", "List the targets and their state.", "", server::kOperator, false, false, DefineTargetList,
     RunTargetList},
    {"target drain", "Give a target no new work.", "TARGET", server::kOperator, false, true, DefineTargetDrain,
     RunTargetDrain},
    {"instance list", "List the entries and agents.", "", server::kOperator, false, false, nullptr, RunInstanceList},
    {"timeline", "Merge event logs of several processes into one order, show and check it.", "FILE", server::kOperator,
     true, false, DefineTimeline, RunTimeline},
    {"metrics", "Show the metrics of an entry.", "", server::kOperator, false, false, DefineMetrics, RunMetrics},
    {"top", "Show load and health, again and again.", "", server::kOperator, false, false, DefineTop, RunTop},
    {"completion", "Print the completion script of a shell.", "SHELL", server::kNone, false, true, nullptr,
     RunCompletion, "bash"},
}};

constexpr std::size_t kHelpWidth = 110;  // characters per line of --help
constexpr const char* kDefaultTimeout = "30";

void AddCommonOptions(cxxopts::Options& options) {
  options.add_options("Output")("output", "table or json", cxxopts::value<std::string>()->default_value("table"),
                                "FORMAT")("h,help", "Show this help")("version", "Show the version");
}

void AddServerOptions(cxxopts::Options& options, command_server server_kind) {
  if (server_kind == command_server::kNone) {
    return;
  }
  cxxopts::OptionAdder add = options.add_options("Server");
  if (server_kind == command_server::kEntry) {
    add("entry", "Callers' address of an entry (BAMBOOWINGCTL_ENTRY)", cxxopts::value<std::string>(), "IP:PORT");
  } else {
    add("operator", "Operators' address of an entry (BAMBOOWINGCTL_OPERATOR)", cxxopts::value<std::string>(),
        "IP:PORT");
    add("token-file", "File with the operators' token (BAMBOOWINGCTL_TOKEN_FILE)", cxxopts::value<std::string>(),
        "FILE");
  }
  add("timeout", "Longest wait for the answer to one call, in seconds",
      cxxopts::value<double>()->default_value(kDefaultTimeout), "S");
}

void AddOperand(cxxopts::Options& options, const command_spec& command) {
  if (command.operand_name.empty()) {
    options.custom_help("[options]").positional_help("");
    return;
  }
  std::string label(command.operand_name);
  label += command.operand_repeatable ? "..." : "";
  options.custom_help("[options]").positional_help(command.operand_required ? label : "[" + label + "]");
  options.add_options("Hidden")(kOperand, "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({kOperand});
}

/// Removes the command name from the front of @p arguments. Returns nullptr if they do not start with a known command.
const command_spec* ConsumeCommand(std::vector<std::string>& arguments) {
  for (const command_spec& command : kCommands) {
    std::istringstream words{std::string(command.name)};
    std::vector<std::string> name{std::istream_iterator<std::string>(words), std::istream_iterator<std::string>()};
    if (arguments.size() >= name.size() && std::equal(name.begin(), name.end(), arguments.begin())) {
      arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(name.size()));
      return &command;
    }
  }
  return nullptr;
}

std::string SuggestCommands(const std::string& first_word) {
  std::string found;
  for (const command_spec& command : kCommands) {
    if (command.name.substr(0, first_word.size() + 1) == first_word + " ") {
      found += (found.empty() ? "" : ", ") + std::string(command.name);
    }
  }
  return found.empty() ? "See bamboowingctl --help." : "Commands: " + found + ".";
}

exit_code UnknownCommand(const std::vector<std::string>& arguments, tool_environment& env) {
  printer print(env, false);
  const std::string& word = arguments.front();
  const bool group = SuggestCommands(word) != SuggestCommands("");
  const std::string unknown = group && arguments.size() > 1 ? word + " " + arguments[1] : word;
  return print.Fail(UsageFailure(
      group && arguments.size() == 1 ? "'" + word + "' needs a second word" : "unknown command '" + unknown + "'",
      SuggestCommands(word)));
}

void PrintVersion(tool_environment& env) { env.out << "bamboowingctl " << BAMBOOWING_VERSION << "\n"; }

/// Checks the output format and the positional arguments, which the option parser does not validate.
std::optional<command_failure> CheckUsage(const command_spec& command, const cxxopts::ParseResult& parsed) {
  const std::string format = parsed["output"].as<std::string>();
  if (format != "table" && format != "json") {
    return UsageFailure("--output: found '" + format + "', expected table or json");
  }
  const std::size_t operands = parsed.count(kOperand) > 0 ? parsed[kOperand].as<std::vector<std::string>>().size() : 0;
  const std::string help = "See bamboowingctl " + std::string(command.name) + " --help.";
  if (command.operand_required && operands == 0) {
    return UsageFailure(std::string(command.operand_name) + " is missing", help);
  }
  const std::size_t limit = command.operand_name.empty() ? 0 : 1;
  if (!command.operand_repeatable && operands > limit) {
    return UsageFailure("too many arguments", help);
  }
  if (!parsed.unmatched().empty()) {
    return UsageFailure("unexpected argument '" + parsed.unmatched().front() + "'", help);
  }
  return std::nullopt;
}

exit_code RunCommand(const command_spec& command, const std::vector<std::string>& arguments, tool_environment& env) {
  cxxopts::Options options = OptionsOf(command);
  std::vector<const char*> raw = {"bamboowingctl"};
  for (const std::string& argument : arguments) {
    raw.push_back(argument.c_str());
  }
  const cxxopts::ParseResult parsed = options.parse(static_cast<int>(raw.size()), raw.data());
  if (parsed.count("help") > 0) {
    env.out << options.help({"", "Server", "Output"});
    return exit_code::kOk;
  }
  if (parsed.count("version") > 0) {
    PrintVersion(env);
    return exit_code::kOk;
  }
  const std::optional<command_failure> usage_error = CheckUsage(command, parsed);
  command_context context(env, parsed);
  return usage_error ? context.print().Fail(*usage_error) : command.run(context);
}

}  // namespace

span<const command_spec> Commands() { return kCommands; }

cxxopts::Options OptionsOf(const command_spec& command) {
  cxxopts::Options options("bamboowingctl " + std::string(command.name), std::string(command.summary));
  options.set_width(kHelpWidth);
  AddOperand(options, command);
  if (command.define != nullptr) {
    command.define(options);
  }
  AddServerOptions(options, command.server);
  AddCommonOptions(options);
  return options;
}

std::string GeneralHelp() {
  std::string text = "Submit jobs to bamboowing and operate it.\n\nUsage:\n  bamboowingctl COMMAND [options]\n\n";
  text += "Commands:\n";
  for (const command_spec& command : kCommands) {
    const std::string name(command.name);
    text += "  " + name + std::string(18 - name.size(), ' ') + std::string(command.summary) + "\n";
  }
  return text + "\n'bamboowingctl COMMAND --help' shows the options of a command. Exit codes: docs/cli.md.\n";
}

exit_code RunTool(const std::vector<std::string>& arguments, tool_environment& env) {
  if (arguments.empty()) {
    env.err << GeneralHelp();
    return exit_code::kUsage;
  }
  if (arguments.front() == "--help" || arguments.front() == "-h" || arguments.front() == "help") {
    env.out << GeneralHelp();
    return exit_code::kOk;
  }
  if (arguments.front() == "--version") {
    PrintVersion(env);
    return exit_code::kOk;
  }
  std::vector<std::string> rest = arguments;
  const command_spec* command = ConsumeCommand(rest);
  if (command == nullptr) {
    return UnknownCommand(arguments, env);
  }
  try {
    return RunCommand(*command, rest, env);
  } catch (const cxxopts::exceptions::exception& error) {
    printer print(env, false);
    return print.Fail(UsageFailure(error.what(), "See bamboowingctl " + std::string(command->name) + " --help."));
  }
}

}  // namespace bamboowing::ctl
