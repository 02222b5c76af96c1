// The daemon. Its settings file selects the role: entry or agent.

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "bamboowing/service/daemon.h"
#include "bamboowing/service/log.h"
#include "bamboowing/service/settings.h"
#include "bamboowing/transport/http.h"

namespace {

using bamboowing::daemon_settings;

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kExitStart = 4;
constexpr int kExitDrainLimit = 5;
// HTTP handlers only parse and enqueue requests, so a few threads suffice. The library's default of 40 threads costs
// memory and context switches.
constexpr int kHttpThreads = 4;

bool ReadFile(const std::string& path, std::string& text) {
  std::ifstream file(path);
  if (!file) {
    return false;
  }
  text.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  return true;
}

std::optional<daemon_settings> LoadSettings(const std::string& path) {
  std::string text;
  if (!ReadFile(path, text)) {
    std::cerr << "bamboowingd: cannot read " << path << "\n";
    return std::nullopt;
  }
  std::vector<bamboowing::settings_error> errors;
  std::optional<daemon_settings> settings = bamboowing::ParseSettings(text, errors);
  for (const bamboowing::settings_error& error : errors) {
    std::cerr << "bamboowingd: " << path << ": " << bamboowing::Describe(error) << "\n";
  }
  return settings;
}

/// Runs until SIGTERM or SIGINT, then drains. The signals are blocked in all threads and received here with sigwait.
int RunDaemon(const daemon_settings& settings) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  bamboowing::OpenLog(settings);
  bamboowing::SetHttpThreads(kHttpThreads);
  bamboowing::failure error;
  const std::unique_ptr<bamboowing::daemon> running = bamboowing::daemon::Start(settings, error);
  if (!running) {
    bamboowing::Log(bamboowing::log_level::kError, "start_failed", {{"reason", error.reason}});
    std::cerr << "bamboowingd: " << error.reason << "\n";
    return kExitStart;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  bamboowing::Log(bamboowing::log_level::kInfo, "draining");
  running->Drain();
  const bool drained = running->WaitDrained(settings.drain_limit);
  bamboowing::Log(drained ? bamboowing::log_level::kInfo : bamboowing::log_level::kWarning,
                  drained ? "drained" : "drain_limit_reached");
  bamboowing::FlushLog();
  return drained ? kExitOk : kExitDrainLimit;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("bamboowingd", "Dispatcher for sub-second tasks: entry or agent, as the settings say.");
  options.add_options()("config", "settings file (YAML)", cxxopts::value<std::string>())(
      "check-config", "check the settings file and exit")("version", "print the version")("help", "print this help");
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return kExitOk;
    }
    if (parsed.count("version") > 0) {
      std::cout << "bamboowingd " << BAMBOOWING_VERSION << "\n";
      return kExitOk;
    }
    if (parsed.count("config") == 0) {
      std::cerr << "bamboowingd: --config FILE is missing; see --help\n";
      return kExitUsage;
    }
    const std::optional<daemon_settings> settings = LoadSettings(parsed["config"].as<std::string>());
    if (!settings) {
      return kExitSettings;
    }
    if (parsed.count("check-config") > 0) {
      std::cout << "settings are valid\n";
      return kExitOk;
    }
    return RunDaemon(*settings);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "bamboowingd: " << error.what() << "; see --help\n";
    return kExitUsage;
  }
}
