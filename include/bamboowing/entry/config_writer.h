/// @file
/// Writes the operators' configuration to the key-value service on behalf of one operator's call.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bamboowing/entry/entry_actions.h"

namespace bamboowing {

/// Writes by compare-and-swap from the version that the operator started from. An unanswered write is repeated with the
/// same base version, so that it can't take effect twice; when it finds another version, the document in force tells by
/// its `write_id` whether the earlier attempt was the one that took effect.
class config_writer {
 public:
  /// How long a write is repeated while the store does not answer.
  static constexpr duration kGiveUpAfter = std::chrono::seconds(10);
  static constexpr duration kRetryAfter = std::chrono::milliseconds(200);

  /// Begins a write. @p write_id is the one in @p document.
  void Begin(call_id call, config_version base, std::string document, std::string write_id, instant now,
             std::uint64_t& next_id, std::vector<entry_action>& out);

  /// Handles the result of one of its calls. Returns false if the call is not one of them.
  bool OnResult(std::uint64_t call, const store_result& result, instant now, std::uint64_t& next_id,
                std::vector<entry_action>& out);

  void OnTick(instant now, std::uint64_t& next_id, std::vector<entry_action>& out);
  std::optional<instant> next_wakeup() const;

  /// Moves the writes that ended to @p out.
  void TakeResults(std::vector<config_write_result>& out);

  bool idle() const { return writes_.empty(); }

 private:
  struct pending_write {
    call_id call = 0;
    config_version base = 0;
    std::string document;
    std::string write_id;
    instant give_up;
    instant retry_at;
    std::uint64_t store_call = 0;  ///< 0 while it waits for the next attempt
    bool reading = false;
  };

  void Attempt(pending_write& write, std::uint64_t& next_id, std::vector<entry_action>& out);
  bool Handle(pending_write& write, const store_result& result, instant now, std::uint64_t& next_id,
              std::vector<entry_action>& out);

  std::vector<pending_write> writes_;
  std::vector<config_write_result> results_;
};

}  // namespace bamboowing
