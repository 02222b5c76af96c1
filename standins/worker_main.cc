#include <iostream>

#include "standins/announcer.h"
#include "standins/program.h"
#include "standins/worker.h"

namespace {

using bamboowing::standin::worker;
using bamboowing::standin::worker_options;

worker_options Settings(const cxxopts::ParseResult& parsed) {
  worker_options settings;
  settings.address = bamboowing::standin::ListenAddress(parsed);
  settings.cores = parsed["cores"].as<double>();
  settings.memory_bytes = parsed["memory-bytes"].as<std::uint64_t>();
  settings.speed = parsed["speed"].as<double>();
  settings.seed = parsed["seed"].as<std::uint64_t>();
  settings.usage_lag = std::chrono::milliseconds(parsed["usage-lag-ms"].as<std::uint64_t>());
  settings.guard_delay = std::chrono::milliseconds(parsed["guard-delay-ms"].as<std::uint64_t>());
  settings.guards = parsed.count("no-guards") == 0;
  return settings;
}

int Run(const cxxopts::ParseResult& parsed) {
  bamboowing::failure error;
  const worker_options settings = Settings(parsed);
  const std::unique_ptr<worker> server = worker::Open(settings, error);
  if (!server) {
    std::cerr << error.reason << std::endl;
    return 1;
  }
  std::unique_ptr<bamboowing::standin::announcer> announcer;
  if (parsed.count("announce") > 0) {
    const std::string url = "http://127.0.0.1:" + std::to_string(server->port()) + "/v1/tasks";
    const unsigned slots = parsed["slots"].as<unsigned>();
    announcer = bamboowing::standin::announcer::Start(parsed["announce"].as<std::string>(),
                                                      {parsed["service"].as<std::string>(), slots, url}, error);
    if (!announcer) {
      std::cerr << error.reason << std::endl;
      return 1;
    }
  }
  bamboowing::standin::PrintReadyAndWait(server->port());
  if (announcer) {
    announcer->Leave();
  }
  server->Close();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("standin_worker", "Stand-in for a machine that runs tasks under leases");
  options.add_options()("cores", "processor cores", cxxopts::value<double>()->default_value("30"));
  options.add_options()("memory-bytes", "memory", cxxopts::value<std::uint64_t>()->default_value("68719476736"));
  options.add_options()("speed", "run times are divided by this", cxxopts::value<double>()->default_value("1"));
  options.add_options()("seed", "seed of random run times", cxxopts::value<std::uint64_t>()->default_value("1"));
  options.add_options()("usage-lag-ms", "age of usage reports", cxxopts::value<std::uint64_t>()->default_value("2000"));
  options.add_options()("guard-delay-ms", "delay from the start of a task to the check of its usage",
                        cxxopts::value<std::uint64_t>()->default_value("100"));
  options.add_options()("no-guards", "let tasks use more than they declared");
  options.add_options()("slots", "number of slots to announce", cxxopts::value<unsigned>()->default_value("30"));
  options.add_options()("announce", "address of the agent to announce to", cxxopts::value<std::string>());
  options.add_options()("service", "service name to announce", cxxopts::value<std::string>()->default_value("default"));
  return bamboowing::standin::RunProgram(options, argc, argv, Run);
}
