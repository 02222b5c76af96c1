#include "ctl/output.h"

#include <algorithm>
#include <cstdio>
#include <ostream>

namespace bamboowing::ctl {
namespace {

using nlohmann::ordered_json;

constexpr std::string_view kColumnGap = "  ";
constexpr std::size_t kDefaultTerminalWidth = 80;  // characters, if COLUMNS is not set

std::string_view ColorCode(cell_style style) {
  switch (style) {
    case cell_style::kGood:
      return "\x1b[32m";
    case cell_style::kWarning:
      return "\x1b[33m";
    case cell_style::kBad:
      return "\x1b[31m";
    case cell_style::kPlain:
      break;
  }
  return "";
}

bool IsNumber(const std::string& text) {
  return !text.empty() && text.find_first_not_of("0123456789.+-%") == std::string::npos;
}

bool IsNumericColumn(const table& data, std::size_t column) {
  return !data.rows.empty() && std::all_of(data.rows.begin(), data.rows.end(), [column](const std::vector<cell>& row) {
    return column < row.size() && (IsNumber(row[column].text) || row[column].text == "-");
  });
}

/// Number of code points in UTF-8 text.
std::size_t Width(std::string_view text) {
  return static_cast<std::size_t>(
      std::count_if(text.begin(), text.end(), [](char c) { return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U; }));
}

std::size_t ColumnWidth(const table& data, std::size_t column) {
  std::size_t width = Width(data.columns[column]);
  for (const std::vector<cell>& row : data.rows) {
    width = std::max(width, column < row.size() ? Width(row[column].text) : 0);
  }
  return width;
}

std::string PadCell(const std::string& text, const std::string& colored_text, std::size_t width, bool align_right,
                    bool is_last) {
  const std::string space(width - std::min(width, Width(text)), ' ');
  if (align_right) {
    return space + colored_text;
  }
  return is_last ? colored_text : colored_text + space;
}

}  // namespace

std::string tool_environment::Variable(const std::string& name) const {
  const std::map<std::string, std::string>::const_iterator found = variables.find(name);
  return found == variables.end() ? std::string() : found->second;
}

bool printer::UsesColor() const {
  return env_.out_is_terminal && env_.Variable("NO_COLOR").empty() && env_.Variable("TERM") != "dumb";
}

std::string printer::Colored(const std::string& text, cell_style style) const {
  if (style == cell_style::kPlain || !this->UsesColor()) {
    return text;
  }
  return std::string(ColorCode(style)) + text + "\x1b[0m";
}

void printer::Table(const table& data) {
  std::vector<std::size_t> widths;
  std::vector<bool> align_right;
  for (std::size_t i = 0; i < data.columns.size(); ++i) {
    widths.push_back(ColumnWidth(data, i));
    align_right.push_back(IsNumericColumn(data, i));
  }
  std::string line;
  for (std::size_t i = 0; i < widths.size(); ++i) {
    line += i == 0 ? "" : std::string(kColumnGap);
    line += PadCell(data.columns[i], data.columns[i], widths[i], align_right[i], i + 1 == widths.size());
  }
  Line(line);
  for (const std::vector<cell>& row : data.rows) {
    line.clear();
    for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i) {
      line += i == 0 ? "" : std::string(kColumnGap);
      line += PadCell(row[i].text, Colored(row[i].text, row[i].style), widths[i], align_right[i], i + 1 == row.size());
    }
    Line(line);
  }
}

void printer::Line(std::string_view text) { env_.out << text << "\n"; }

void printer::Json(const ordered_json& value) {
  env_.out << value.dump(2, ' ', false, ordered_json::error_handler_t::replace) << "\n";
}

void printer::Progress(std::string_view text) {
  if (!env_.err_is_terminal) {
    return;
  }
  const std::string columns = env_.Variable("COLUMNS");
  std::size_t width = kDefaultTerminalWidth;
  if (!columns.empty() && columns.size() < 5 && columns.find_first_not_of("0123456789") == std::string::npos) {
    width = static_cast<std::size_t>(std::stoul(columns));
  }
  std::string line(text.substr(0, std::max<std::size_t>(width, 2) - 1));
  const std::size_t used = line.size();
  line.resize(std::max(progress_width_, used), ' ');
  progress_width_ = used;
  env_.err << "\r" << line << std::flush;
}

void printer::EndProgress() {
  if (progress_width_ > 0) {
    env_.err << "\r" << std::string(progress_width_, ' ') << "\r" << std::flush;
    progress_width_ = 0;
  }
}

void printer::Notice(std::string_view text) {
  EndProgress();
  env_.err << text << "\n";
}

exit_code printer::Fail(const command_failure& error) {
  EndProgress();
  const exit_code_row& row = ExitCodeRow(error.code);
  const std::string next = error.next.empty() ? std::string(row.next) : error.next;
  if (json_) {
    ordered_json body;
    body["exit"] = row.name;
    body["kind"] = ErrorRow(error.cause.kind).name;
    body["reason"] = error.cause.reason;
    body["not_run"] = NotRunName(error.cause.not_run);
    if (error.cause.retry_after) {
      body["retry_after_ms"] = error.cause.retry_after->count() / 1000;
    }
    body["next"] = next;
    env_.err << body.dump(-1, ' ', false, ordered_json::error_handler_t::replace) << "\n";
    return error.code;
  }
  env_.err << "error: " << error.cause.reason << "\n";
  if (error.cause.retry_after) {
    env_.err << "try again in: " << FormatDuration(*error.cause.retry_after) << "\n";
  }
  if (!next.empty()) {
    env_.err << "next: " << next << "\n";
  }
  return error.code;
}

std::string AdviceFor(error_kind kind) {
  const std::string_view action = ErrorRow(kind).action;
  return action == "None." ? std::string() : std::string(action);
}

command_failure UsageFailure(std::string reason, std::string next) {
  return {exit_code::kUsage, failure(error_kind::kInvalidField, not_run_state::kYes, std::move(reason)),
          std::move(next)};
}

command_failure CallFailure(const failure& error, std::string next) {
  const exit_code code = ExitCodeForError(error);
  const bool from_table = next.empty() && (code == exit_code::kRefused || code == exit_code::kJobFailed);
  return {code, error, from_table ? AdviceFor(error.kind) : std::move(next)};
}

std::string FormatDuration(duration length) {
  char text[48];
  const double milliseconds = static_cast<double>(length.count()) / 1000.0;
  const std::int64_t seconds = length.count() / 1'000'000;
  if (milliseconds < 1000) {
    std::snprintf(text, sizeof text, "%.3g ms", milliseconds);
  } else if (seconds < 60) {
    std::snprintf(text, sizeof text, "%.1f s", milliseconds / 1000.0);
  } else {
    std::snprintf(text, sizeof text, "%lld min %lld s", static_cast<long long>(seconds / 60),
                  static_cast<long long>(seconds % 60));
  }
  return text;
}

}  // namespace bamboowing::ctl
