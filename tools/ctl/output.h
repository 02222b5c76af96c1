/// @file
/// Output of commands: tables for people, JSON for scripts, progress during long waits.
#pragma once

#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/transport/http_client.h"
#include "ctl/exit_code.h"

namespace bamboowing::ctl {

/// The streams, environment variables, connections and clock that the tool uses. Tests replace them.
struct tool_environment {
  tool_environment(std::ostream& output, std::ostream& errors, std::istream& input)
      : out(output), err(errors), in(input) {}

  std::ostream& out;
  std::ostream& err;
  std::istream& in;
  bool out_is_terminal = false;
  bool err_is_terminal = false;
  std::map<std::string, std::string> variables;  ///< environment variables
  std::function<std::unique_ptr<http_client>(std::string_view address, failure& error)> connect;
  std::function<instant()> now;
  std::function<void(duration)> sleep;
  std::function<std::string()> random_id;  ///< a new id for a job or a write

  /// The value of a variable; empty if it is not set.
  std::string Variable(const std::string& name) const;
};

/// Meaning of a cell, shown as colour on a terminal.
enum class cell_style { kPlain, kGood, kWarning, kBad };

struct cell {
  // NOLINTNEXTLINE(google-explicit-constructor): rows are lists of text
  cell(std::string value, cell_style initial_style = cell_style::kPlain)
      : text(std::move(value)), style(initial_style) {}
  std::string text;
  cell_style style = cell_style::kPlain;
};

/// Column titles and rows. A row may have fewer cells than there are titles.
struct table {
  std::vector<std::string> columns;
  std::vector<std::vector<cell>> rows;
};

/// Why a command failed, its exit code and what the user can do next.
struct command_failure {
  exit_code code = exit_code::kInternal;
  failure cause;
  std::string next;  ///< advice to the user; if empty, that of the exit code is used
};

/// Writes the output of one command.
class printer {
 public:
  printer(tool_environment& env, bool json) : env_(env), json_(json) {}

  /// Whether the output is JSON.
  bool json() const { return json_; }

  /// Whether colours are used: on a terminal, unless NO_COLOR is set.
  bool UsesColor() const;

  /// Writes @p data with aligned columns. Numeric columns are right-aligned.
  void Table(const table& data);

  /// Writes @p text and a newline to standard output.
  void Line(std::string_view text);

  /// Writes @p value as indented JSON.
  void Json(const nlohmann::ordered_json& value);

  /// Overwrites the progress line on standard error. Does nothing if that is not a terminal.
  void Progress(std::string_view text);

  /// Removes the progress line.
  void EndProgress();

  /// Clears the progress line and writes a line to standard error.
  void Notice(std::string_view text);

  /// Reports @p error on standard error, as text or JSON, and returns its exit code.
  exit_code Fail(const command_failure& error);

 private:
  std::string Colored(const std::string& text, cell_style style) const;

  tool_environment& env_;
  bool json_;
  std::size_t progress_width_ = 0;
};

/// The action that the error table recommends for @p kind; empty if there is none.
std::string AdviceFor(error_kind kind);

/// A failure caused by invalid command-line arguments.
command_failure UsageFailure(std::string reason, std::string next = {});

/// A failed request: an error response or a connection failure. The error table gives the advice if @p next is empty
/// and the work was refused or the job failed.
command_failure CallFailure(const failure& error, std::string next = {});

/// "12.345 ms", "3.2 s" or "4 min 10 s".
std::string FormatDuration(duration length);

}  // namespace bamboowing::ctl
