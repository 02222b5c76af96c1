#include "bamboowing/service/event_log.h"

#include <algorithm>
#include <utility>

namespace bamboowing {

event_log::event_log(process_identity process, const std::string& file)
    : process_(std::move(process)), ring_(kRingCapacity) {
  if (!file.empty()) {
    file_.open(file, std::ios::app);
  }
  thread_ = std::thread([this] { Run(); });
}

event_log::~event_log() {
  ring_.Close();
  thread_.join();
}

void event_log::Record(event recorded) {
  if (!ring_.TryPush(std::move(recorded))) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++dropped_;
  }
}

std::string event_log::Lines(std::uint64_t after, std::size_t max_bytes, std::uint64_t& last_number) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::uint64_t first = last_number_ - lines_.size() + 1;
  std::string text;
  last_number = after;
  for (std::uint64_t number = std::max(after + 1, first); number <= last_number_; ++number) {
    const std::string& line = lines_[number - first];
    if (text.size() + line.size() + 1 > max_bytes) {
      break;
    }
    text += line;
    text += '\n';
    last_number = number;
  }
  return text;
}

std::uint64_t event_log::dropped() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return dropped_;
}

void event_log::Run() {
  constexpr duration kFlushInterval = std::chrono::milliseconds(100);
  while (true) {
    std::optional<event> next = ring_.PopFor(kFlushInterval);
    if (!next) {
      file_.flush();
      if (ring_.closed()) {
        return;
      }
      continue;
    }
    next->sequence = last_number_ + 1;
    std::string line = FormatEvent(*next, process_);
    if (file_.is_open()) {
      file_ << line << '\n';
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    ++last_number_;
    lines_.push_back(std::move(line));
    if (lines_.size() > kMaxLinesInMemory) {
      lines_.pop_front();
    }
  }
}

}  // namespace bamboowing
