/// @file
/// Writes configuration documents from operators' calls to the key-value service.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/entry/entry_actions.h"

namespace bamboowing {

/// Writes by compare-and-swap against the version that the operator started from. An unanswered write is repeated with
/// the same base version, so that it can't take effect twice. On a version conflict the `write_id` of the stored
/// document shows whether an earlier attempt of the same write took effect.
class config_writer {
 public:
  /// How long a write is repeated while the store does not answer.
  static constexpr duration kWriteTimeout = std::chrono::seconds(10);
  static constexpr duration kRetryInterval = std::chrono::milliseconds(200);

  /// Begins a write. @p write_id is the value of that property in @p document.
  void Begin(call_id call, config_version base, std::string document, std::string write_id, instant now,
             std::uint64_t& next_id, std::vector<entry_action>& out);

  /// Handles the result of a store call. Returns false if this object did not make the call.
  bool OnResult(std::uint64_t call, const store_result& result, instant now, std::uint64_t& next_id,
                std::vector<entry_action>& out);

  void OnTick(instant now, std::uint64_t& next_id, std::vector<entry_action>& out);
  std::optional<instant> next_wakeup() const;

  /// Moves the results of finished writes to @p out.
  void TakeResults(std::vector<config_write_result>& out);

  bool idle() const { return writes_.empty(); }

 private:
  struct pending_write {
    call_id call = 0;
    config_version base = 0;
    std::string document;
    std::string write_id;
    instant expires_at;
    instant retry_at;
    std::uint64_t store_call = 0;  ///< 0 while it waits for the next attempt
    bool reading_back = false;     ///< after a version conflict: reads the stored document
  };

  void Attempt(pending_write& write, std::uint64_t& next_id, std::vector<entry_action>& out);
  bool Handle(pending_write& write, const store_result& result, instant now, std::uint64_t& next_id,
              std::vector<entry_action>& out);

  std::vector<pending_write> writes_;
  std::vector<config_write_result> results_;
};

}  // namespace bamboowing
