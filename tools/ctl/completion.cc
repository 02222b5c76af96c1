#include <set>
#include <sstream>

#include "ctl/command.h"

namespace bamboowing::ctl {
namespace {

std::string FirstWord(std::string_view name) { return std::string(name.substr(0, name.find(' '))); }

std::string SecondWord(std::string_view name) {
  const std::size_t space = name.find(' ');
  return space == std::string_view::npos ? std::string() : std::string(name.substr(space + 1));
}

/// The long options of a command with their leading dashes, separated by spaces.
std::string LongOptions(const command_spec& command) {
  const cxxopts::Options options = OptionsOf(command);
  std::string words;
  for (const std::string& group : options.groups()) {
    if (group == "Hidden") {
      continue;
    }
    for (const cxxopts::HelpOptionDetails& option : options.group_help(group).options) {
      for (const std::string& name : option.l) {
        words += (words.empty() ? "--" : " --") + name;
      }
    }
  }
  return words;
}

std::string FirstWords() {
  std::set<std::string> words;
  for (const command_spec& command : Commands()) {
    words.insert(FirstWord(command.name));
  }
  std::string text;
  for (const std::string& word : words) {
    text += word + " ";
  }
  return text + "--help --version";
}

std::string SecondWords(const std::string& first) {
  std::string text;
  for (const command_spec& command : Commands()) {
    if (FirstWord(command.name) == first && !SecondWord(command.name).empty()) {
      text += (text.empty() ? "" : " ") + SecondWord(command.name);
    }
  }
  return text;
}

void WriteGroups(std::ostringstream& out) {
  std::set<std::string> written;
  for (const command_spec& command : Commands()) {
    const std::string first = FirstWord(command.name);
    const std::string words = SecondWords(first);
    if (!words.empty() && written.insert(first).second) {
      out << "    " << first << ") words=\"" << words << "\" ;;\n";
    }
  }
}

void WriteCommands(std::ostringstream& out) {
  for (const command_spec& command : Commands()) {
    const std::string key =
        FirstWord(command.name) + (SecondWord(command.name).empty() ? "" : "-" + SecondWord(command.name));
    const bool file = command.operand_name == "FILE";
    out << "    " << key << ") words=\"" << LongOptions(command) << (command.operand_values.empty() ? "" : " ")
        << command.operand_values << "\"; files=" << (file ? 1 : 0) << " ;;\n";
  }
}

std::string BashScript() {
  std::ostringstream out;
  out << "# bash completion for bamboowingctl\n"
         "_bamboowingctl() {\n"
         "  local current=\"${COMP_WORDS[COMP_CWORD]}\" previous=\"${COMP_WORDS[COMP_CWORD-1]}\"\n"
         "  local words=\"\" files=0 key=\"${COMP_WORDS[1]}\"\n"
         "  COMPREPLY=()\n"
         "  case \"$previous\" in\n"
         "    --token-file|--base|--chrome|--html) COMPREPLY=($(compgen -f -- \"$current\")); return ;;\n"
         "    --output) COMPREPLY=($(compgen -W \"table json\" -- \"$current\")); return ;;\n"
         "  esac\n"
         "  if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
         "    COMPREPLY=($(compgen -W \""
      << FirstWords()
      << "\" -- \"$current\"))\n"
         "    return\n"
         "  fi\n"
         "  case \"${COMP_WORDS[1]}\" in\n";
  WriteGroups(out);
  out << "  esac\n"
         "  if [ -n \"$words\" ] && [ \"$COMP_CWORD\" -eq 2 ]; then\n"
         "    COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
         "    return\n"
         "  fi\n"
         "  [ -n \"$words\" ] && key=\"${COMP_WORDS[1]}-${COMP_WORDS[2]}\"\n"
         "  case \"$key\" in\n";
  WriteCommands(out);
  out << "    *) words=\"\" ;;\n"
         "  esac\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
         "  if [ \"$files\" -eq 1 ]; then\n"
         "    COMPREPLY+=($(compgen -f -- \"$current\"))\n"
         "  fi\n"
         "}\n"
         "complete -o filenames -F _bamboowingctl bamboowingctl\n";
  return out.str();
}

}  // namespace

exit_code RunCompletion(command_context& context) {
  const std::string shell = context.ListOption(kOperand).front();
  if (shell != "bash") {
    return context.print().Fail(
        UsageFailure("no completion for '" + shell + "'", "Use: bamboowingctl completion bash."));
  }
  context.env().out << BashScript();
  return exit_code::kOk;
}

}  // namespace bamboowing::ctl
