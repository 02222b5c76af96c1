/// @file
/// How commands write: tables for people, JSON for scripts, progress for long waits.
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

/// What the tool uses of its surroundings. Tests replace it.
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

  /// The value of a variable; empty when it is not set.
  std::string Variable(const std::string& name) const;
};

/// Meaning of a cell, shown as colour on a terminal.
enum class cell_style { kPlain, kGood, kWarning, kBad };

/// One cell of a table.
struct cell {
  cell(std::string value,
       cell_style initial_style = cell_style::kPlain)  // NOLINT(google-explicit-constructor): rows are lists of text
      : text(std::move(value)), style(initial_style) {}
  std::string text;
  cell_style style = cell_style::kPlain;
};

/// Rows under column titles.
struct table {
  std::vector<std::string> columns;
  std::vector<std::vector<cell>> rows;
};

/// Why a command failed and what to do next.
struct command_failure {
  exit_code code = exit_code::kInternal;
  failure cause;
  std::string next;  ///< empty takes the advice of the error table or of the exit code
};

/// Writes the output of one command.
class printer {
 public:
  printer(tool_environment& env, bool json) : env_(env), json_(json) {}

  /// Whether the output is JSON.
  bool json() const { return json_; }

  /// Whether colours are used: on a terminal, unless NO_COLOR is set.
  bool UsesColor() const;

  /// Writes @p rows, aligned. Columns of numbers are aligned right.
  void Table(const table& data);

  /// Writes a line of text.
  void Line(std::string_view text);

  /// Writes @p value on several lines.
  void Json(const nlohmann::ordered_json& value);

  /// Shows how far a long wait is, on one line of a terminal that is overwritten; nothing elsewhere.
  void Progress(std::string_view text);

  /// Removes the progress line.
  void EndProgress();

  /// A remark on standard error.
  void Notice(std::string_view text);

  /// Reports @p what on standard error, as text or JSON, and returns its exit code.
  exit_code Fail(const command_failure& error);

 private:
  std::string Colored(const std::string& text, cell_style style) const;

  tool_environment& env_;
  bool json_;
  std::size_t progress_width_ = 0;
};

/// What the error table advises for @p kind; empty when it advises nothing.
std::string AdviceFor(error_kind kind);

/// A failure of the command line itself.
command_failure UsageFailure(std::string reason, std::string next = {});

/// A failure that a server or the connection reported.
command_failure CallFailure(const failure& error, std::string next = {});

/// "12.345 ms", "3.2 s" or "4 min 10 s".
std::string FormatDuration(duration length);

}  // namespace bamboowing::ctl
