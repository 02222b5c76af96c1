#include "bamboowing/intent/difference.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "codec.h"
#include "text_reader.h"

namespace bamboowing {
namespace {

using nlohmann::json;
using change_list = std::vector<intent_change>;

void Compare(const std::string& path, const json* before, const json* after, change_list& changes);

std::string Text(const json* value) { return value == nullptr ? "" : value->dump(); }

/// Returns the elements of @p value by the last component of their path: the key, the name, or the string itself.
std::map<std::string, const json*> Elements(const json& value) {
  std::map<std::string, const json*> result;
  if (value.is_object()) {
    for (const auto& [key, member] : value.items()) {
      result.emplace(key, &member);
    }
    return result;
  }
  for (const json& element : value) {
    const json& name = element.is_object() ? element.at("name") : element;
    result.emplace("[" + name.get<std::string>() + "]", &element);
  }
  return result;
}

const json* Find(const std::map<std::string, const json*>& elements, const std::string& name) {
  const auto found = elements.find(name);
  return found == elements.end() ? nullptr : found->second;
}

void CompareElements(const std::string& path, const json& before, const json& after, change_list& changes) {
  const std::map<std::string, const json*> old_elements = Elements(before);
  const std::map<std::string, const json*> new_elements = Elements(after);
  std::map<std::string, const json*> all = old_elements;
  all.insert(new_elements.begin(), new_elements.end());
  for (const auto& [name, unused] : all) {
    const std::string element_path = name[0] == '[' ? path + name : intent_detail::MemberPath(path, name);
    Compare(element_path, Find(old_elements, name), Find(new_elements, name), changes);
  }
}

void Compare(const std::string& path, const json* before, const json* after, change_list& changes) {
  if (before != nullptr && after != nullptr && before->is_structured()) {
    CompareElements(path, *before, *after, changes);
    return;
  }
  if (before == nullptr || after == nullptr || *before != *after) {
    changes.push_back({path, Text(before), Text(after)});
  }
}

json Comparable(const intent_document& document) {
  json value = intent_detail::Encode(document);
  value.erase("write_id");
  return value;
}

}  // namespace

std::vector<intent_change> Difference(const intent_document& before, const intent_document& after) {
  const json old_value = Comparable(before);
  const json new_value = Comparable(after);
  change_list changes;
  Compare("", &old_value, &new_value, changes);
  std::stable_sort(changes.begin(), changes.end(),
                   [](const intent_change& a, const intent_change& b) { return a.path < b.path; });
  return changes;
}

std::string FormatIntentChange(const intent_change& change) {
  if (change.before.empty()) {
    return change.path + ": added " + change.after;
  }
  if (change.after.empty()) {
    return change.path + ": removed " + change.before;
  }
  return change.path + ": " + change.before + " -> " + change.after;
}

}  // namespace bamboowing
