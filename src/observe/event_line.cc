#include "bamboowing/observe/event_line.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace bamboowing {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

void PutText(ordered_json& line, const char* key, std::string_view text) {
  if (!text.empty()) {
    line[key] = text;
  }
}

void PutIndex(ordered_json& line, const char* key, std::int64_t value) {
  if (value >= 0) {
    line[key] = value;
  }
}

void PutPositive(ordered_json& line, const char* key, std::uint64_t value) {
  if (value > 0) {
    line[key] = value;
  }
}

void PutProcess(ordered_json& line, const process_identity& process) {
  line["process"] = process.id;
  line["incarnation"] = std::to_string(process.incarnation);
  PutText(line, "role", process.role);
  PutText(line, "failure_domain", process.failure_domain);
}

/// Reads the fields of one line. After the first invalid field, further calls leave their outputs unchanged.
class field_reader {
 public:
  field_reader(const json& line, failure& error) : line_(line), error_(error) {}

  bool good() const { return good_; }

  void Text(const char* key, std::string& out) {
    const json* value = Find(key);
    if (value == nullptr) {
      return;
    }
    if (!value->is_string()) {
      Reject(key, *value, "a string");
      return;
    }
    out = value->get<std::string>();
  }

  void RequiredText(const char* key, std::string& out) {
    Text(key, out);
    if (good_ && out.empty()) {
      Reject(key, json(), "a non-empty string");
    }
  }

  void Index(const char* key, std::int64_t& out) {
    const json* value = Find(key);
    if (value == nullptr) {
      return;
    }
    if (!value->is_number_integer() || *value < 0 || *value > INT64_MAX) {
      Reject(key, *value, "a non-negative integer");
      return;
    }
    out = value->get<std::int64_t>();
  }

  void Number(const char* key, std::uint64_t& out) {
    const json* value = Find(key);
    if (value == nullptr) {
      return;
    }
    if (!value->is_number_unsigned()) {
      Reject(key, *value, "a non-negative integer");
      return;
    }
    out = value->get<std::uint64_t>();
  }

  void Time(const char* key, instant& out) {
    const json* value = Find(key);
    if (value == nullptr || !value->is_number_integer()) {
      Reject(key, value == nullptr ? json() : *value, "an integer number of microseconds");
      return;
    }
    out = instant(duration(value->get<std::int64_t>()));
  }

  void Flag(const char* key, bool& out) {
    const json* value = Find(key);
    if (value == nullptr) {
      return;
    }
    if (!value->is_boolean()) {
      Reject(key, *value, "true or false");
      return;
    }
    out = value->get<bool>();
  }

  void Incarnation(const char* key, incarnation_id& out) {
    std::string text;
    RequiredText(key, text);
    if (!good_) {
      return;
    }
    const char* end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, out);
    if (result.ec != std::errc() || result.ptr != end) {
      Reject(key, text, "a string that holds a decimal number");
    }
  }

  void Reject(const char* key, const json& found, std::string_view expected) {
    if (!good_) {
      return;
    }
    good_ = false;
    const std::string shown = found.is_null() ? "nothing" : found.dump(-1, ' ', false, json::error_handler_t::replace);
    error_ = failure(error_kind::kInvalidField,
                     "event field '" + std::string(key) + "': found " + shown + ", expected " + std::string(expected));
  }

 private:
  const json* Find(const char* key) const {
    const json::const_iterator found = line_.find(key);
    return !good_ || found == line_.end() ? nullptr : &*found;
  }

  const json& line_;
  failure& error_;
  bool good_ = true;
};

void ReadKind(field_reader& reader, event& record) {
  std::string name;
  reader.RequiredText("event", name);
  const std::optional<event_kind> kind = EventKindFromName(name);
  if (!kind) {
    reader.Reject("event", name, "the name of an event kind");
    return;
  }
  record.kind = *kind;
}

void ReadError(field_reader& reader, event& record) {
  std::string name;
  reader.Text("error", name);
  if (name.empty()) {
    return;
  }
  record.error = ErrorKindFromName(name);
  if (!record.error) {
    reader.Reject("error", name, "the name of an error kind");
  }
}

void ReadNotRun(field_reader& reader, event& record) {
  std::string name;
  reader.Text("not_run", name);
  for (const not_run_state value : {not_run_state::kYes, not_run_state::kNo, not_run_state::kUnknown}) {
    if (NotRunName(value) == name) {
      record.not_run = value;
    }
  }
  if (!name.empty() && !record.not_run) {
    reader.Reject("not_run", name, "yes, no or unknown");
  }
}

void ReadProcess(field_reader& reader, process_identity& process) {
  reader.RequiredText("process", process.id);
  reader.Incarnation("incarnation", process.incarnation);
  reader.Text("role", process.role);
  reader.Text("failure_domain", process.failure_domain);
}

}  // namespace

std::string FormatEvent(const event& record, const process_identity& process) {
  ordered_json line;
  PutPositive(line, "sequence", record.sequence);
  line["at_us"] = record.at.time_since_epoch().count();
  PutProcess(line, process);
  line["event"] = EventName(record.kind);
  PutText(line, "job_id", record.job_id);
  PutIndex(line, "task", record.task);
  PutIndex(line, "attempt", record.attempt);
  PutText(line, "peer", record.peer);
  PutPositive(line, "number", record.number);
  PutIndex(line, "count", record.count);
  if (record.idempotent) {
    line["idempotent"] = true;
  }
  if (record.error) {
    line["error"] = ErrorRow(*record.error).name;
  }
  if (record.not_run) {
    line["not_run"] = NotRunName(*record.not_run);
  }
  PutText(line, "detail", record.detail);
  return line.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::optional<recorded_event> ParseEvent(std::string_view line, failure& error) {
  const json parsed = json::parse(line, nullptr, false);
  if (!parsed.is_object()) {
    error = failure(error_kind::kInvalidJson, "the event line is not a JSON object");
    return std::nullopt;
  }
  recorded_event result;
  event& record = result.record;
  field_reader reader(parsed, error);
  ReadProcess(reader, result.process);
  ReadKind(reader, record);
  reader.Time("at_us", record.at);
  reader.Number("sequence", record.sequence);
  reader.Text("job_id", record.job_id);
  reader.Index("task", record.task);
  reader.Index("attempt", record.attempt);
  reader.Text("peer", record.peer);
  reader.Number("number", record.number);
  reader.Index("count", record.count);
  reader.Flag("idempotent", record.idempotent);
  ReadError(reader, record);
  ReadNotRun(reader, record);
  reader.Text("detail", record.detail);
  if (!reader.good()) {
    return std::nullopt;
  }
  return result;
}

}  // namespace bamboowing
