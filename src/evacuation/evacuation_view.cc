#include "bamboowing/evacuation/evacuation_view.h"

#include <algorithm>

namespace bamboowing {

evacuation_change evacuation_view::Merge(const evacuation_state& state) {
  if (state.revision <= state_.revision) {
    return evacuation_change::kNone;
  }
  const bool learned = !known();
  const bool same_set = state.failure_domains == state_.failure_domains;
  state_ = state;
  if (!learned && same_set) {
    return evacuation_change::kNone;
  }
  ++set_version_;
  return learned ? evacuation_change::kLearned : evacuation_change::kReplaced;
}

bool evacuation_view::Contains(std::string_view failure_domain) const {
  return std::binary_search(state_.failure_domains.begin(), state_.failure_domains.end(), failure_domain);
}

std::string evacuation_view::Describe() const {
  std::string text;
  for (const std::string& domain : state_.failure_domains) {
    text += (text.empty() ? "" : ", ") + domain;
  }
  return text;
}

}  // namespace bamboowing
