#include "bamboowing/service/log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace bamboowing {
namespace {

namespace logging = boost::log;
using logger = logging::sources::severity_logger_mt<log_level>;
using text_sink = logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;

struct log_identity {
  std::string instance;
  std::string failure_domain;
  log_level lowest = log_level::kInfo;
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

}  // namespace

void OpenLog(const daemon_settings& settings) {
  Identity() = {settings.id, settings.failure_domain, LevelFromName(settings.log_level)};
  boost::shared_ptr<logging::sinks::text_ostream_backend> backend =
      boost::make_shared<logging::sinks::text_ostream_backend>();
  if (settings.log_file.empty()) {
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  } else {
    backend->add_stream(boost::make_shared<std::ofstream>(settings.log_file, std::ios::app));
  }
  backend->auto_flush(true);
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(boost::make_shared<text_sink>(backend));
}

void Log(log_level level, std::string_view what, const log_fields& fields) {
  const log_identity& identity = Identity();
  if (level < identity.lowest) {
    return;
  }
  nlohmann::ordered_json line;
  line["time_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count();
  line["level"] = LevelName(level);
  line["instance"] = identity.instance;
  line["failure_domain"] = identity.failure_domain;
  line["event"] = what;
  for (const std::pair<std::string_view, std::string>& field : fields) {
    line[std::string(field.first)] = field.second;
  }
  BOOST_LOG_SEV(Logger(), level) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void FlushLog() { logging::core::get()->flush(); }

}  // namespace bamboowing
