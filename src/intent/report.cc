#include "bamboowing/intent/report.h"

#include <algorithm>
#include <tuple>

#include "codec.h"
#include "rules.h"
#include "schema_check.h"
#include "text_reader.h"

namespace bamboowing {
namespace {

using intent_detail::parsed_text;

void SortByLine(const parsed_text& parsed, std::vector<intent_error>& errors) {
  for (intent_error& error : errors) {
    if (error.line == 0) {
      error.line = intent_detail::LineOf(parsed.lines, error.path);
    }
  }
  std::stable_sort(errors.begin(), errors.end(), [](const intent_error& a, const intent_error& b) {
    return std::tie(a.line, a.path) < std::tie(b.line, b.path);
  });
}

void CheckValue(nlohmann::json& value, intent_report& report) {
  if (!intent_detail::CheckSchema(value, report.errors)) {
    intent_detail::ReplaceInvalidValues(report.errors, value);
  }
  intent_detail::FillDefaults(intent_detail::IntentSchema(), value);
  intent_document document = intent_detail::Decode(value);
  intent_detail::CheckRules(document, report.errors);
  if (report.errors.empty()) {
    intent_detail::CheckWarnings(document, report.warnings);
    report.document = std::move(document);
  }
}

}  // namespace

intent_report CheckIntent(std::string_view text) {
  intent_report report;
  parsed_text parsed = intent_detail::ParseText(text, report.errors);
  if (report.errors.empty()) {
    CheckValue(parsed.value, report);
  }
  SortByLine(parsed, report.errors);
  SortByLine(parsed, report.warnings);
  return report;
}

intent_report CheckIntent(const intent_document& document) {
  nlohmann::json value = intent_detail::Encode(document);
  intent_report report;
  CheckValue(value, report);
  return report;
}

}  // namespace bamboowing
