#include "bamboowing/service/log.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "bamboowing/base/ring.h"

namespace bamboowing {
namespace {

namespace logging = boost::log;
using logger = logging::sources::severity_logger_mt<log_level>;

// Lines that are queued for a slow reader; further lines are dropped and counted.
constexpr std::size_t kMaxPendingLines = 2048;
constexpr std::chrono::milliseconds kPopTimeout{500};
// Time for which FlushLog() waits for a slow reader at process exit.
constexpr std::chrono::milliseconds kFlushTimeout{200};
constexpr std::chrono::milliseconds kFlushPollInterval{2};
constexpr int kFilePermissions = 0644;

struct log_identity {
  std::string instance;
  std::string failure_domain;
  log_level min_level = log_level::kInfo;
};

log_identity& Identity() {
  static log_identity identity;
  return identity;
}

logger& Logger() {
  static logger instance;
  return instance;
}

std::string_view LevelName(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return "debug";
    case log_level::kInfo:
      return "info";
    case log_level::kWarning:
      return "warning";
    case log_level::kError:
      break;
  }
  return "error";
}

log_level LevelFromName(std::string_view name) {
  for (const log_level level : {log_level::kDebug, log_level::kInfo, log_level::kWarning}) {
    if (LevelName(level) == name) {
      return level;
    }
  }
  return log_level::kError;
}

nlohmann::ordered_json MakeLogLine(log_level level, std::string_view event_name) {
  const log_identity& identity = Identity();
  nlohmann::ordered_json line;
  line["time_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count();
  line["level"] = LevelName(level);
  line["instance"] = identity.instance;
  line["failure_domain"] = identity.failure_domain;
  line["event"] = event_name;
  return line;
}

/// Writes lines to a file descriptor on its own thread, so that a stuck reader does not block the threads that log.
class line_writer {
 public:
  explicit line_writer(int descriptor) : descriptor_(descriptor), ring_(kMaxPendingLines), thread_([this] { Run(); }) {
    // At process exit the thread may be blocked on a stuck reader, so it cannot be joined.
    thread_.detach();
  }

  void Push(std::string line) {
    pending_.fetch_add(1);
    if (!ring_.TryPush(std::move(line))) {
      pending_.fetch_sub(1);
      dropped_.fetch_add(1);
    }
  }

  void Flush() {
    const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + kFlushTimeout;
    while (pending_.load() > 0 && std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(kFlushPollInterval);
    }
  }

 private:
  void Run() {
    while (true) {
      const std::optional<std::string> line = ring_.PopFor(kPopTimeout);
      if (!line) {
        continue;
      }
      if (const std::uint64_t dropped = dropped_.exchange(0); dropped > 0) {
        nlohmann::ordered_json warning = MakeLogLine(log_level::kWarning, "log_lines_dropped");
        warning["count"] = dropped;
        Write(warning.dump() + "\n");
      }
      Write(*line);
      pending_.fetch_sub(1);
    }
  }

  void Write(const std::string& text) const {
    std::size_t written = 0;
    while (written < text.size()) {
      const ssize_t count = write(descriptor_, text.data() + written, text.size() - written);
      if (count > 0) {
        written += static_cast<std::size_t>(count);
      } else if (count < 0 && errno == EAGAIN) {
        pollfd ready{descriptor_, POLLOUT, 0};
        poll(&ready, 1, -1);
      } else if (count < 0 && errno != EINTR) {
        return;  // the descriptor can no longer be written
      }
    }
  }

  const int descriptor_;
  bounded_ring<std::string> ring_;
  std::atomic<std::uint64_t> pending_{0};
  std::atomic<std::uint64_t> dropped_{0};
  std::thread thread_;
};

/// Never destroyed: its detached thread runs until process exit.
line_writer*& Writer() {
  static line_writer* writer = nullptr;
  return writer;
}

class ring_backend : public logging::sinks::basic_formatted_sink_backend<char, logging::sinks::synchronized_feeding> {
 public:
  static void consume(const logging::record_view& /*record*/, const string_type& line) { Writer()->Push(line + "\n"); }
};

}  // namespace

void OpenLog(const daemon_settings& settings) {
  Identity() = {settings.id, settings.failure_domain, LevelFromName(settings.log_level)};
  int descriptor = STDOUT_FILENO;
  if (!settings.log_file.empty()) {
    descriptor = open(settings.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFilePermissions);
    if (descriptor < 0) {
      std::perror(settings.log_file.c_str());
      descriptor = STDOUT_FILENO;
    }
  }
  Writer() = new line_writer(descriptor);
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(
      boost::make_shared<logging::sinks::synchronous_sink<ring_backend>>(boost::make_shared<ring_backend>()));
}

void Log(log_level level, std::string_view event_name, const log_fields& fields) {
  if (level < Identity().min_level || Writer() == nullptr) {
    return;
  }
  nlohmann::ordered_json line = MakeLogLine(level, event_name);
  for (const std::pair<std::string_view, std::string>& field : fields) {
    line[std::string(field.first)] = field.second;
  }
  BOOST_LOG_SEV(Logger(), level) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void FlushLog() {
  if (Writer() != nullptr) {
    Writer()->Flush();
  }
}

}  // namespace bamboowing
