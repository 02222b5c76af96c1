#include "bamboowing/entry/config_writer.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "bamboowing/entry/directory.h"
#include "bamboowing/intent/document.h"

namespace bamboowing {
namespace {

/// Compares the parsed property: in the text, the id may also occur as a name or as part of a key.
bool HasWriteId(const std::string& text, const std::string& write_id) {
  std::vector<intent_error> errors;
  const std::optional<intent_document> document = ParseIntent(text, errors);
  return document && document->write_id == write_id;
}

}  // namespace

void config_writer::Begin(call_id call, config_version base, std::string document, std::string write_id, instant now,
                          std::uint64_t& next_id, std::vector<entry_action>& out) {
  pending_write write;
  write.call = call;
  write.base = base;
  write.document = std::move(document);
  write.write_id = std::move(write_id);
  write.expires_at = now + kWriteTimeout;
  writes_.push_back(std::move(write));
  Attempt(writes_.back(), next_id, out);
}

bool config_writer::OnResult(std::uint64_t call, const store_result& result, instant now, std::uint64_t& next_id,
                             std::vector<entry_action>& out) {
  const std::vector<pending_write>::iterator found =
      std::find_if(writes_.begin(), writes_.end(),
                   [call](const pending_write& write) { return call != 0 && write.store_call == call; });
  if (found == writes_.end()) {
    return false;
  }
  found->store_call = 0;
  if (Handle(*found, result, now, next_id, out)) {
    writes_.erase(found);
  }
  return true;
}

void config_writer::OnTick(instant now, std::uint64_t& next_id, std::vector<entry_action>& out) {
  for (pending_write& write : writes_) {
    if (write.store_call == 0 && now >= write.retry_at) {
      Attempt(write, next_id, out);
    }
  }
}

std::optional<instant> config_writer::next_wakeup() const {
  std::optional<instant> next;
  for (const pending_write& write : writes_) {
    if (write.store_call == 0) {
      next = next ? std::min(*next, write.retry_at) : write.retry_at;
    }
  }
  return next;
}

void config_writer::TakeResults(std::vector<config_write_result>& out) {
  std::move(results_.begin(), results_.end(), std::back_inserter(out));
  results_.clear();
}

void config_writer::Attempt(pending_write& write, std::uint64_t& next_id, std::vector<entry_action>& out) {
  call_store call;
  call.id = ++next_id;
  write.store_call = call.id;
  const std::string key(kConfigKey);
  if (write.reading_back) {
    call.call = store_read{0, key};
  } else {
    call.call = store_swap{0, key, write.base, write.document, 0};
  }
  out.emplace_back(std::move(call));
}

bool config_writer::Handle(pending_write& write, const store_result& result, instant now, std::uint64_t& next_id,
                           std::vector<entry_action>& out) {
  if (result.outcome == store_outcome::kUnavailable) {
    if (now >= write.expires_at) {
      results_.push_back({write.call, 0,
                          failure(error_kind::kStoreUnavailable,
                                  "the key-value service did not answer; the change may still take effect"),
                          ""});
      return true;
    }
    write.retry_at = now + kRetryInterval;
    return false;
  }
  if (write.reading_back) {
    const std::string current = result.value.value_or("");
    // The unique id shows that the document in force is the one of an earlier, unanswered attempt of this write.
    if (HasWriteId(current, write.write_id)) {
      results_.push_back({write.call, result.version, std::nullopt, ""});
    } else {
      results_.push_back({write.call, result.version,
                          failure(error_kind::kConflict, "version " + std::to_string(result.version) +
                                                             " is in force, the change is based on version " +
                                                             std::to_string(write.base)),
                          current});
    }
    return true;
  }
  if (result.outcome == store_outcome::kOk) {
    results_.push_back({write.call, result.version, std::nullopt, ""});
    return true;
  }
  write.reading_back = true;
  Attempt(write, next_id, out);
  return false;
}

}  // namespace bamboowing
