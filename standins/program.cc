#include "standins/program.h"

#include <csignal>
#include <iostream>

#include "bamboowing/transport/http.h"

namespace bamboowing::standin {
namespace {

constexpr int kUsageError = 2;

// The stand-ins' request handlers never block, so a few threads serve all connections.
constexpr int kHttpThreads = 4;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void PrintReadyAndWait(int port) {
  std::cout << "ready " << port << std::endl;
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

int RunProgram(cxxopts::Options& options, int argc, char** argv,
               const std::function<int(const cxxopts::ParseResult&)>& run) {
  options.add_options()("port", "TCP port on 127.0.0.1; 0 picks a free one", cxxopts::value<int>()->default_value("0"));
  options.add_options()("help", "print this help");
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << std::endl;
      return 0;
    }
    BlockStopSignals();
    SetHttpThreads(kHttpThreads);
    return run(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << std::endl;
    return kUsageError;
  }
}

std::string ListenAddress(const cxxopts::ParseResult& parsed) {
  return "127.0.0.1:" + std::to_string(parsed["port"].as<int>());
}

}  // namespace bamboowing::standin
