#include "ctl/reference.h"

#include <sstream>

#include "bamboowing/base/error.h"
#include "bamboowing/observe/metrics.h"
#include "ctl/command.h"

namespace bamboowing::ctl {
namespace {

std::string HelpOf(const command_spec& command) {
  std::ostringstream out;
  std::ostringstream err;
  std::istringstream in;
  tool_environment env(out, err, in);
  std::istringstream words{std::string(command.name)};
  std::vector<std::string> arguments{std::istream_iterator<std::string>(words), std::istream_iterator<std::string>()};
  arguments.emplace_back("--help");
  RunTool(arguments, env);
  return out.str();
}

std::string CliText() {
  std::string text = "| code | name | meaning | next |\n|---:|---|---|---|\n";
  for (const exit_code_row& row : ExitCodeTable()) {
    text += "| " + std::to_string(static_cast<int>(row.code)) + " | `" + std::string(row.name) + "` | " +
            std::string(row.meaning) + " | " + std::string(row.next) + " |\n";
  }
  text += "\n```\n" + GeneralHelp() + "```\n";
  for (const command_spec& command : Commands()) {
    text += "\n### " + std::string(command.name) + "\n\n```\n" + HelpOf(command) + "```\n";
  }
  return text;
}

std::string ErrorText() {
  std::string text = "| kind | HTTP status | not_run | retry | meaning | what to do |\n|---|---:|---|---|---|---|\n";
  for (const error_row& row : ErrorTable()) {
    text += "| `" + std::string(row.name) + "` | " + std::to_string(row.http_status) + " | " +
            std::string(NotRunName(row.not_run)) + " | " + (row.retryable ? "yes" : "no") + " | " +
            std::string(row.meaning) + " | " + std::string(row.action) + " |\n";
  }
  return text;
}

std::string MetricText() {
  std::string text = "| metric | type | unit | label | meaning | what to do |\n|---|---|---|---|---|---|\n";
  for (const metric_row& row : MetricTable()) {
    const std::string label = row.label.empty() ? "" : "`" + std::string(row.label) + "`";
    text += "| `" + std::string(row.name) + "` | " + std::string(MetricTypeName(row.type)) + " | " +
            std::string(row.unit) + " | " + label + " | " + std::string(row.help) + " | " + std::string(row.action) +
            " |\n";
  }
  return text;
}

}  // namespace

std::optional<std::string> ReferenceText(std::string_view page) {
  if (page == "cli") {
    return CliText();
  }
  if (page == "errors") {
    return ErrorText();
  }
  if (page == "metrics") {
    return MetricText();
  }
  return std::nullopt;
}

std::optional<std::string> WithReference(std::string_view text, std::string_view page) {
  const std::string begin = "<!-- begin " + std::string(page) + " -->\n";
  const std::string end = "<!-- end " + std::string(page) + " -->";
  const std::optional<std::string> reference = ReferenceText(page);
  const std::size_t first = text.find(begin);
  const std::size_t last = text.find(end);
  if (!reference || first == std::string_view::npos || last == std::string_view::npos || last < first) {
    return std::nullopt;
  }
  const std::size_t inside = first + begin.size();
  return std::string(text.substr(0, inside)) + *reference + std::string(text.substr(last));
}

}  // namespace bamboowing::ctl
