#include <iostream>

#include "standins/announcer.h"
#include "standins/minion.h"
#include "standins/program.h"

namespace {

using bamboowing::standin::minion;
using bamboowing::standin::minion_fault;
using bamboowing::standin::minion_options;

minion_options Settings(const cxxopts::ParseResult& parsed) {
  minion_options settings;
  settings.address = bamboowing::standin::ListenAddress(parsed);
  settings.slots = parsed["slots"].as<unsigned>();
  settings.connections = parsed["connections"].as<unsigned>();
  settings.speed = parsed["speed"].as<double>();
  settings.seed = parsed["seed"].as<std::uint64_t>();
  settings.fail_share = parsed["fail-share"].as<double>();
  settings.silent_after = parsed["silent-after"].as<std::uint64_t>();
  if (parsed.count("fail-all") > 0) {
    settings.fault = minion_fault::kFailAll;
  } else if (settings.fail_share > 0) {
    settings.fault = minion_fault::kFailShare;
  }
  return settings;
}

int Run(const cxxopts::ParseResult& parsed) {
  bamboowing::failure error;
  const minion_options settings = Settings(parsed);
  const std::unique_ptr<minion> server = minion::Open(settings, error);
  if (!server) {
    std::cerr << error.reason << std::endl;
    return 1;
  }
  std::unique_ptr<bamboowing::standin::announcer> announcer;
  if (parsed.count("announce") > 0) {
    const std::string url = "http://127.0.0.1:" + std::to_string(server->port()) + "/run";
    announcer = bamboowing::standin::announcer::Start(
        parsed["announce"].as<std::string>(), {parsed["service"].as<std::string>(), settings.slots, url}, error);
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
  cxxopts::Options options("standin_minion", "Stand-in for a minion: an HTTP server that runs tasks");
  options.add_options()("slots", "concurrent runs; further ones are queued",
                        cxxopts::value<unsigned>()->default_value("8"));
  options.add_options()("connections", "running and queued runs; further ones are refused",
                        cxxopts::value<unsigned>()->default_value("64"));
  options.add_options()("speed", "run times are divided by this", cxxopts::value<double>()->default_value("1"));
  options.add_options()("seed", "seed of random run times", cxxopts::value<std::uint64_t>()->default_value("1"));
  options.add_options()("fail-all", "every run fails at once");
  options.add_options()("fail-share", "fraction of runs that fail, 0 to 1",
                        cxxopts::value<double>()->default_value("0"));
  options.add_options()("silent-after", "runs after this number are accepted but never answered; 0 for no limit",
                        cxxopts::value<std::uint64_t>()->default_value("0"));
  options.add_options()("announce", "address of the agent to announce to", cxxopts::value<std::string>());
  options.add_options()("service", "service name to announce", cxxopts::value<std::string>()->default_value("default"));
  return bamboowing::standin::RunProgram(options, argc, argv, Run);
}
