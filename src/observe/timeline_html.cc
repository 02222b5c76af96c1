#include <algorithm>
#include <cstdio>
#include <optional>
#include <sstream>

#include "bamboowing/observe/timeline.h"
#include "bamboowing/observe/timeline_spans.h"

namespace bamboowing {
namespace {

// Sizes of the drawing in SVG units.
constexpr double kLabelWidth = 160;
constexpr double kPlotWidth = 1200;
constexpr double kRowHeight = 9;
constexpr double kLaneGap = 8;
constexpr double kAxisHeight = 24;
constexpr int kAxisMarks = 10;
/// Browsers become slow above about ten thousand elements. A longer timeline is truncated, with a note on the page.
constexpr std::size_t kEventLimit = 10000;

constexpr std::string_view kStyle = R"(
body{font:14px/1.4 system-ui,sans-serif;margin:1.5em;color:#222;background:#fff}
svg{border:1px solid #ccc;max-width:100%;height:auto}
svg text{font-size:11px;fill:#222}
.lane{fill:#f4f4f4}.axis{stroke:#ddd}
.call{fill:#8da0cb}.job{fill:#66c2a5}.in-flight{fill:#e5c494}.run{fill:#fc8d62}
.event{stroke:#333;stroke-width:1}.bad{stroke:#d00;stroke-width:2}
.link{stroke:#888;stroke-width:.6;opacity:.6}
table{border-collapse:collapse;margin-top:1em}td,th{padding:1px 10px;text-align:left;border-bottom:1px solid #eee}
td.time{text-align:right;font-variant-numeric:tabular-nums}
.note{background:#fff3cd;padding:.4em .8em}
.key span{padding:1px 8px;margin-right:6px}
)";

std::string Escaped(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

std::string Number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", value);
  return text;
}

std::string Milliseconds(duration at) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(at.count()) / 1000.0);
  return text;
}

std::string ClassOf(span_kind kind) {
  std::string name(SpanName(kind));
  std::replace(name.begin(), name.end(), ' ', '-');
  return name;
}

bool IsFailure(event_kind kind) {
  return kind == event_kind::kJobFailed || kind == event_kind::kJobRefused || kind == event_kind::kTaskRefused ||
         kind == event_kind::kTargetEjected || kind == event_kind::kLeaseLost;
}

/// Vertical extent of one process, in SVG units.
struct lane {
  double top = 0;
  double height = 0;
};

class page_writer {
 public:
  page_writer(const timeline& shown, std::size_t omitted) : shown_(shown), omitted_(omitted) {
    spans_ = FindSpans(shown_);
    LayOutLanes();
    if (!shown_.entries.empty()) {
      first_ = last_ = shown_.entries.front().at;
    }
    for (const timeline_entry& entry : shown_.entries) {
      first_ = std::min(first_, entry.at);
      last_ = std::max(last_, entry.at);
    }
  }

  std::string Write(std::string_view title) {
    out_ << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>" << Escaped(title)
         << "</title><style>" << kStyle << "</style></head><body>\n<h1>" << Escaped(title) << "</h1>\n";
    WriteWarnings();
    WriteLegend();
    WriteSvg();
    WriteTable();
    out_ << "</body></html>\n";
    return out_.str();
  }

 private:
  void LayOutLanes() {
    std::vector<std::size_t> rows(shown_.processes.size(), 0);
    for (const timeline_entry& entry : shown_.entries) {
      rows[entry.process] = std::max<std::size_t>(rows[entry.process], 1);
    }
    for (const timeline_span& one : spans_) {
      std::size_t& count = rows[shown_.entries[one.begin].process];
      count = std::max(count, one.row + 1);
    }
    double top = kAxisHeight;
    for (const std::size_t count : rows) {
      const double height = count == 0 ? 0 : std::max(16.0, static_cast<double>(count) * kRowHeight);
      lanes_.push_back({top, height});
      top += count == 0 ? 0 : height + kLaneGap;
    }
    bottom_ = top;
  }

  double X(duration at) const {
    const double time_range = std::max(1.0, static_cast<double>((last_ - first_).count()));
    return kLabelWidth + kPlotWidth * static_cast<double>((at - first_).count()) / time_range;
  }

  void WriteWarnings() {
    if (omitted_ > 0) {
      out_ << "<p class=\"note\">The page shows the first " << kEventLimit << " events; " << omitted_
           << " later events are left out. Select a job or a window.</p>\n";
    }
    for (const std::string& text : shown_.contradictions) {
      out_ << "<p class=\"note\">Contradiction: " << Escaped(text) << "</p>\n";
    }
  }

  void WriteLegend() {
    out_ << "<p class=\"key\">";
    for (const span_kind kind : {span_kind::kCall, span_kind::kJob, span_kind::kInFlight, span_kind::kRun}) {
      out_ << "<svg width=\"12\" height=\"12\" style=\"border:0\"><rect width=\"12\" height=\"12\" class=\""
           << ClassOf(kind) << "\"/></svg><span>" << SpanName(kind) << "</span>";
    }
    out_ << "</p>\n";
  }

  void WriteSvg() {
    out_ << "<svg viewBox=\"0 0 " << kLabelWidth + kPlotWidth + 20 << " " << bottom_ << "\" width=\""
         << kLabelWidth + kPlotWidth + 20 << "\" xmlns=\"http://www.w3.org/2000/svg\">\n";
    WriteAxis();
    WriteLanes();
    WriteSpans();
    WriteLinks();
    WriteEvents();
    out_ << "</svg>\n";
  }

  void WriteAxis() {
    for (int i = 0; i <= kAxisMarks; ++i) {
      const duration at = first_ + (last_ - first_) * i / kAxisMarks;
      out_ << "<line class=\"axis\" x1=\"" << Number(X(at)) << "\" x2=\"" << Number(X(at)) << "\" y1=\"" << kAxisHeight
           << "\" y2=\"" << bottom_ << "\"/><text x=\"" << Number(X(at)) << "\" y=\"14\" text-anchor=\"middle\">"
           << Milliseconds(at) << "</text>\n";
    }
  }

  void WriteLanes() {
    for (std::size_t i = 0; i < lanes_.size(); ++i) {
      if (lanes_[i].height == 0) {
        continue;
      }
      const timeline_process& process = shown_.processes[i];
      out_ << "<rect class=\"lane\" x=\"" << kLabelWidth << "\" y=\"" << lanes_[i].top << "\" width=\"" << kPlotWidth
           << "\" height=\"" << lanes_[i].height << "\"/><text x=\"4\" y=\"" << lanes_[i].top + 12 << "\">"
           << Escaped(process.label) << "<title>" << Escaped(DescribeProcess(process)) << "</title></text>\n";
    }
  }

  static std::string DescribeProcess(const timeline_process& process) {
    std::string text = process.identity.role + " in " + process.identity.failure_domain + ", clock offset " +
                       Milliseconds(process.offset) + " ms";
    return text +
           (process.uncertainty ? " within " + Milliseconds(*process.uncertainty) + " ms" : ", uncertainty unknown");
  }

  void WriteSpans() {
    for (const timeline_span& one : spans_) {
      const timeline_entry& begin = shown_.entries[one.begin];
      const timeline_entry& end = shown_.entries[one.end];
      const double width = std::max(0.5, X(end.at) - X(begin.at));
      const double top = lanes_[begin.process].top + static_cast<double>(one.row) * kRowHeight;
      out_ << "<rect class=\"" << ClassOf(one.kind) << "\" x=\"" << Number(X(begin.at)) << "\" y=\"" << top
           << "\" width=\"" << Number(width) << "\" height=\"" << kRowHeight - 1 << "\"><title>" << SpanName(one.kind)
           << " " << Milliseconds(end.at - begin.at) << " ms: " << Escaped(DescribeEvent(begin.record)) << " to "
           << Escaped(DescribeEvent(end.record)) << "</title></rect>\n";
    }
  }

  double LaneCenter(const timeline_entry& entry) const {
    return lanes_[entry.process].top + lanes_[entry.process].height / 2;
  }

  void WriteLinks() {
    for (const timeline_link& link : shown_.links) {
      const timeline_entry& cause = shown_.entries[link.cause];
      const timeline_entry& effect = shown_.entries[link.effect];
      out_ << "<line class=\"link\" x1=\"" << Number(X(cause.at)) << "\" y1=\"" << LaneCenter(cause) << "\" x2=\""
           << Number(X(effect.at)) << "\" y2=\"" << LaneCenter(effect) << "\"/>\n";
    }
  }

  void WriteEvents() {
    for (const timeline_entry& entry : shown_.entries) {
      const lane& event_lane = lanes_[entry.process];
      out_ << "<line class=\"" << (IsFailure(entry.record.kind) ? "event bad" : "event") << "\" x1=\""
           << Number(X(entry.at)) << "\" x2=\"" << Number(X(entry.at)) << "\" y1=\"" << event_lane.top << "\" y2=\""
           << event_lane.top + event_lane.height << "\"><title>" << Milliseconds(entry.at) << " ms "
           << Escaped(DescribeEvent(entry.record)) << "</title></line>\n";
    }
  }

  void WriteTable() {
    out_ << "<table><tr><th>ms</th><th>process</th><th>event</th></tr>\n";
    for (const timeline_entry& entry : shown_.entries) {
      out_ << "<tr><td class=\"time\">" << Milliseconds(entry.at) << "</td><td>"
           << Escaped(shown_.processes[entry.process].label) << "</td><td>" << Escaped(DescribeEvent(entry.record))
           << "</td></tr>\n";
    }
    out_ << "</table>\n";
  }

  const timeline& shown_;
  std::size_t omitted_;
  std::vector<timeline_span> spans_;
  std::vector<lane> lanes_;
  double bottom_ = 0;
  duration first_{0};
  duration last_{0};
  std::ostringstream out_;
};

timeline FirstEvents(const timeline& selected) {
  timeline shown = selected;
  shown.entries.resize(std::min(kEventLimit, shown.entries.size()));
  shown.links.erase(std::remove_if(shown.links.begin(), shown.links.end(),
                                   [&shown](const timeline_link& link) {
                                     return std::max(link.cause, link.effect) >= shown.entries.size();
                                   }),
                    shown.links.end());
  return shown;
}

}  // namespace

std::string FormatTimelineHtml(const timeline& selected, std::string_view title) {
  const timeline shown = FirstEvents(selected);
  return page_writer(shown, selected.entries.size() - shown.entries.size()).Write(title);
}

}  // namespace bamboowing
