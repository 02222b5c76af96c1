#include <algorithm>
#include <array>
#include <set>
#include <sstream>

#include "ctl/command.h"

namespace bamboowing::ctl {
namespace {

using server = command_server;

constexpr std::array<command, 14> kCommands = {{
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

constexpr std::size_t kHelpWidth = 110;  // characters of a line of --help
constexpr const char* kDefaultTimeout = "30";

void AddCommon(cxxopts::Options& options) {
  options.add_options("Output")("output", "table or json", cxxopts::value<std::string>()->default_value("table"),
                                "FORMAT")("h,help", "Show this help")("version", "Show the version");
}

void AddServer(cxxopts::Options& options, command_server which) {
  if (which == command_server::kNone) {
    return;
  }
  cxxopts::OptionAdder add = options.add_options("Server");
  if (which == command_server::kEntry) {
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

void AddOperand(cxxopts::Options& options, const command& one) {
  if (one.operand.empty()) {
    options.custom_help("[options]").positional_help("");
    return;
  }
  std::string shown(one.operand);
  shown += one.many ? "..." : "";
  options.custom_help("[options]").positional_help(one.required ? shown : "[" + shown + "]");
  options.add_options("Hidden")(kOperand, "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({kOperand});
}

/// Finds the command that @p arguments begins with and removes its words.
const command* TakeCommand(std::vector<std::string>& arguments) {
  for (const command& one : kCommands) {
    std::istringstream words{std::string(one.name)};
    std::vector<std::string> name{std::istream_iterator<std::string>(words), std::istream_iterator<std::string>()};
    if (arguments.size() >= name.size() && std::equal(name.begin(), name.end(), arguments.begin())) {
      arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(name.size()));
      return &one;
    }
  }
  return nullptr;
}

std::string Suggestion(const std::string& first) {
  std::string found;
  for (const command& one : kCommands) {
    if (one.name.substr(0, first.size() + 1) == first + " ") {
      found += (found.empty() ? "" : ", ") + std::string(one.name);
    }
  }
  return found.empty() ? "See bamboowingctl --help." : "Commands: " + found + ".";
}

exit_code UnknownCommand(const std::vector<std::string>& arguments, tool_environment& env) {
  printer print(env, false);
  const std::string& word = arguments.front();
  const bool group = Suggestion(word) != Suggestion("");
  const std::string wrong = group && arguments.size() > 1 ? word + " " + arguments[1] : word;
  return print.Fail(UsageFailure(
      group && arguments.size() == 1 ? "'" + word + "' needs a second word" : "unknown command '" + wrong + "'",
      Suggestion(word)));
}

void PrintVersion(tool_environment& env) { env.out << "bamboowingctl " << BAMBOOWING_VERSION << "\n"; }

/// Checks what the option parser leaves to the command.
std::optional<command_failure> CheckUsage(const command& one, const cxxopts::ParseResult& parsed) {
  const std::string format = parsed["output"].as<std::string>();
  if (format != "table" && format != "json") {
    return UsageFailure("--output: found '" + format + "', expected table or json");
  }
  const std::size_t operands = parsed.count(kOperand) > 0 ? parsed[kOperand].as<std::vector<std::string>>().size() : 0;
  const std::string help = "See bamboowingctl " + std::string(one.name) + " --help.";
  if (one.required && operands == 0) {
    return UsageFailure(std::string(one.operand) + " is missing", help);
  }
  const std::size_t limit = one.operand.empty() ? 0 : 1;
  if (!one.many && operands > limit) {
    return UsageFailure("too many arguments", help);
  }
  if (!parsed.unmatched().empty()) {
    return UsageFailure("unexpected argument '" + parsed.unmatched().front() + "'", help);
  }
  return std::nullopt;
}

exit_code RunCommand(const command& one, const std::vector<std::string>& arguments, tool_environment& env) {
  cxxopts::Options options = OptionsOf(one);
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
  const std::optional<command_failure> wrong = CheckUsage(one, parsed);
  invocation call(env, parsed);
  return wrong ? call.print().Fail(*wrong) : one.run(call);
}

}  // namespace

span<const command> Commands() { return kCommands; }

cxxopts::Options OptionsOf(const command& one) {
  cxxopts::Options options("bamboowingctl " + std::string(one.name), std::string(one.summary));
  options.set_width(kHelpWidth);
  AddOperand(options, one);
  if (one.define != nullptr) {
    one.define(options);
  }
  AddServer(options, one.server);
  AddCommon(options);
  return options;
}

std::string GeneralHelp() {
  std::string text = "Submit jobs to bamboowing and operate it.\n\nUsage:\n  bamboowingctl COMMAND [options]\n\n";
  text += "Commands:\n";
  for (const command& one : kCommands) {
    const std::string name(one.name);
    text += "  " + name + std::string(18 - name.size(), ' ') + std::string(one.summary) + "\n";
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
  const command* one = TakeCommand(rest);
  if (one == nullptr) {
    return UnknownCommand(arguments, env);
  }
  try {
    return RunCommand(*one, rest, env);
  } catch (const cxxopts::exceptions::exception& wrong) {
    printer print(env, false);
    return print.Fail(UsageFailure(wrong.what(), "See bamboowingctl " + std::string(one->name) + " --help."));
  }
}

}  // namespace bamboowing::ctl
